//! Signals that come before, and while, a process waits for them.

#![allow(clippy::unwrap_used)]

use rustix::process::Signal;
use rustix::process::getpid;
use rustix::process::kill_process;
use signals::request::Request;
use signals::runtime::Runtime;

fn send(signal: Signal) {
    kill_process(getpid(), signal).unwrap();
}

/// Guards against losing signals that come before anything waits for them, and against taking a reload for a stop. One test,
/// as signals reach all tests of a process.
#[test]
fn signals_since_the_start_are_kept() {
    let runtime = Runtime::start().unwrap();
    send(Signal::HUP);
    runtime.block_on(async |mut requests| {
        assert!(!requests.take_stop().await);
        assert_eq!(requests.next().await, Request::Reload);
        for signal in [Signal::TERM, Signal::INT, Signal::QUIT] {
            send(Signal::HUP);
            send(signal);
            assert!(requests.take_stop().await, "{signal:?}");
            assert!(!requests.take_stop().await, "{signal:?}");
            assert_eq!(requests.next().await, Request::Reload);
        }
        send(Signal::TERM);
        send(Signal::TERM);
        assert_eq!(requests.next().await, Request::Stop);
        send(Signal::QUIT);
        assert_eq!(requests.next().await, Request::Quit);
    });
}
