//! Requests that find all room taken.

#![allow(clippy::unwrap_used)]

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use clock::Clock;
use clock::Span;
use http::Request;
use http_body_util::Empty;
use hyper::body::Body;
use hyper::body::Frame;
use intake::configs::limits::Limits;
use intake::configs::limits::Port;
use intake::intake::Intake;
use intake::request::Session;
use tokio::task::LocalSet;
use verdict::Reason;
use verdict::Verdict;

/// Largest body of a request.
const BODY_BYTES: usize = 64 << 10;

/// A body that stops after its first part.
struct Stalled(Option<Bytes>);

impl Body for Stalled {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.0.take() {
            Some(part) => Poll::Ready(Some(Ok(Frame::data(part)))),
            None => Poll::Pending,
        }
    }
}

/// Returns a process with room for this many bodies.
fn intake(bodies: usize) -> Rc<Intake> {
    let limits = Limits {
        request_bytes: bodies * BODY_BYTES,
        small_request_bytes: 0,
        answer_bytes: BODY_BYTES,
        body_time: Span::from_seconds(600),
        body_rate: 1,
    };
    let port = Port {
        connections: 10,
        head_bytes: BODY_BYTES,
    };
    Rc::new(Intake::new(Clock::start(), limits, port))
}

fn session(intake: &Rc<Intake>) -> Session {
    let (_, connection) = intake.callers.add(intake.clock.now());
    Session {
        intake: Rc::clone(intake),
        port: Rc::clone(&intake.callers),
        connection,
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// Guards against refusing small requests for as long as bodies that never end take all room.
#[test]
fn a_request_without_a_body_finds_room_beside_bodies_that_stall() {
    run(async {
        let intake = intake(2);
        for _ in 0..2 {
            let intake = Rc::clone(&intake);
            tokio::task::spawn_local(async move {
                let part = Bytes::from(vec![b'x'; BODY_BYTES - 1]);
                let refusal = intake.read_body(Stalled(Some(part)), BODY_BYTES).await;
                assert_eq!(refusal.unwrap_err().reason, Reason::TimedOut);
            });
        }
        tokio::task::yield_now().await;
        assert_eq!(intake.request_bytes(), 2 * (BODY_BYTES - 1));
        let (head, ()) = Request::new(()).into_parts();
        let mut request = session(&intake).begin(http::Version::HTTP_11);
        let body = request
            .receive(&head, Empty::<Bytes>::new(), BODY_BYTES)
            .await;
        assert_eq!(body.unwrap(), Bytes::new());
    });
}

/// Guards against a wrong verdict, and against a wait that can't help, where running requests take all room.
#[test]
fn a_request_is_refused_as_not_run_where_no_body_stalls() {
    run(async {
        let intake = intake(1);
        let part = Bytes::from(vec![b'x'; BODY_BYTES]);
        let full = http_body_util::Full::new(part);
        let running = intake.read_body(full, BODY_BYTES).await.unwrap();
        let (head, ()) = Request::new(()).into_parts();
        let mut request = session(&intake).begin(http::Version::HTTP_11);
        let refused = request
            .receive(&head, Empty::<Bytes>::new(), BODY_BYTES)
            .await;
        let refusal = refused.unwrap_err();
        assert_eq!(refusal.verdict, Verdict::NotRun);
        assert_eq!(refusal.reason, Reason::Overloaded);
        assert!(refusal.retry_after.is_some());
        drop(running);
        let mut request = session(&intake).begin(http::Version::HTTP_11);
        let body = request
            .receive(&head, Empty::<Bytes>::new(), BODY_BYTES)
            .await;
        assert!(body.is_ok());
    });
}
