//! Crowds beside the work of their process.

#![allow(clippy::unwrap_used)]

use std::io::ErrorKind;
use std::io::Read;
use std::net::TcpListener;
use std::time::Duration;
use std::time::Instant;

use soak::crowd::Crowd;
use soak::crowd::Member;
use tokio::task::LocalSet;

/// Members of the crowd, and what each sends.
const SIZE: usize = 20;
const MESSAGE: &[u8] = b"half a request";
/// Longest wait for a member, far longer than any takes.
const WAIT: Duration = Duration::from_secs(20);

/// Guards against crowds whose connections take turns from everything else on the thread that started them.
#[test]
fn a_crowd_needs_no_turn_of_the_thread_that_starts_it() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let _crowd = Crowd::start(address, SIZE, &Member::sending(MESSAGE)).unwrap();
        // Nothing here gives the thread back to its loop.
        for _ in 0..SIZE {
            let mut socket = accept(&listener);
            socket.set_nonblocking(false).unwrap();
            socket.set_read_timeout(Some(WAIT)).unwrap();
            let mut received = [0; MESSAGE.len()];
            socket.read_exact(&mut received).unwrap();
            assert_eq!(received, MESSAGE);
        }
    });
}

fn accept(listener: &TcpListener) -> std::net::TcpStream {
    let started = Instant::now();
    loop {
        match listener.accept() {
            Ok((socket, _)) => return socket,
            Err(error) => assert_eq!(error.kind(), ErrorKind::WouldBlock),
        }
        assert!(started.elapsed() < WAIT, "no member came");
        std::thread::sleep(Duration::from_millis(10));
    }
}
