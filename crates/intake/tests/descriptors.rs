//! A port that closes while the process has no descriptor left, over sockets.

#![allow(clippy::unwrap_used)]

mod support;

use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use intake::accept::Accepted;
use intake::request::Session;
use tokio::sync::watch;

use support::LONG_TIMES;
use support::REQUEST;
use support::connect;
use support::run;
use support::start;

/// Connections of each kind.
const CALLERS: usize = 3;

async fn serve(accepted: Accepted, shutdown: watch::Receiver<bool>) {
    let service = |caller: Session| {
        service_fn(move |request: Request<Incoming>| {
            let body = Full::new(Bytes::from("fine"));
            let answer = caller.begin(request.version()).answer(Response::new(body));
            async move { Ok(answer) }
        })
    };
    support::serve(accepted, shutdown, LONG_TIMES, service).await;
}

/// Opens files until the process has no descriptor left.
fn take_descriptors() -> Vec<File> {
    std::iter::from_fn(|| File::open("/dev/null").ok()).collect()
}

/// Guards against resetting connections that wait to be accepted, where descriptors are free as soon as idle ones close.
#[test]
fn a_port_that_closes_without_descriptors_serves_those_that_wait() {
    run(async {
        let served = start(10 * CALLERS, serve);
        let (address, port) = (served.address, served.port);
        let idle = [(); CALLERS].map(|()| connect(address));
        while port.count() < CALLERS {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        // New connections bring their first head within some time, so these are older.
        tokio::time::sleep(Duration::from_millis(300)).await;

        let mut waiting = [(); CALLERS].map(|()| connect(address));
        for socket in &mut waiting {
            socket.write_all(REQUEST).unwrap();
        }
        let taken = take_descriptors();
        served.shutdown.send(true).unwrap();
        tokio::time::sleep(Duration::from_secs(1)).await;
        drop(taken);
        drop(idle);
        let answered = waiting
            .into_iter()
            .map(|mut socket| socket.read(&mut [0; 4096]).unwrap_or(0))
            .filter(|count| *count > 0)
            .count();
        assert_eq!(answered, CALLERS);
    });
}
