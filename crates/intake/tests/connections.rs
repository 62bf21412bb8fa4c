//! Which connection gives way to a new one.

use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use clock::Clock;
use clock::Span;
use clock::Time;
use intake::configs::limits::Port;
use intake::configs::limits::Times;
use intake::connections::Connection;
use intake::connections::Connections;
use intake::guard::Guard;
use intake::stats::Action;

const TIMES: Times = Times {
    head: Span::from_seconds(3),
    idle: Span::from_seconds(15),
    unread: Span::from_seconds(30),
};

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn port() -> Connections {
    Connections::new(Port {
        connections: 10,
        head_bytes: 1_000,
    })
}

fn open(port: &Connections, millis: u64) -> Rc<Connection> {
    port.add(at(millis)).1
}

/// Returns whether the connection was closed.
fn is_closed(connection: &Connection) -> bool {
    let waker = Waker::noop();
    connection.closed_for(waker).is_some()
}

/// Opens a connection that had a request.
fn served(port: &Connections, millis: u64) -> Rc<Connection> {
    let connection = open(port, millis);
    port.end_head(&connection);
    let number = connection.begin_running();
    connection.end_running(number, at(millis));
    connection
}

/// Guards against callers that are closed while a crowd that sends nothing stays.
#[test]
fn connections_that_never_had_a_request_give_way_first() {
    let port = port();
    let idle = served(&port, 0);
    let silent = open(&port, 5_000);
    let new = open(&port, 6_500);
    assert!(port.evict(at(6_600)));
    assert!(is_closed(&silent) && !is_closed(&idle) && !is_closed(&new));
    assert!(port.evict(at(6_600)));
    assert!(is_closed(&idle) && !is_closed(&new));
}

/// Guards against a crowd that comes back so often that none of its connections is old.
#[test]
fn new_connections_give_way_where_they_take_more_than_half() {
    let port = port();
    let idle = served(&port, 0);
    let crowd: Vec<_> = (0..9).map(|number| open(&port, 1_000 + number)).collect();
    assert!(port.evict(at(1_100)));
    assert!(is_closed(&crowd[0]) && !is_closed(&idle));
}

/// Guards against closing a connection whose request runs.
#[test]
fn a_running_request_does_not_give_way() {
    let port = port();
    let running = open(&port, 0);
    port.end_head(&running);
    let number = running.begin_running();
    assert!(!port.evict(at(60_000)));
    running.set_unread(number, Some(at(60_000)));
    assert!(!port.evict(at(61_000)));
    assert!(port.evict(at(62_000)));
    assert!(is_closed(&running));
}

/// Guards against connections with bodies that never end, which outlast idle ones.
#[test]
fn a_stalled_body_gives_way_before_an_idle_connection() {
    let port = port();
    let idle = served(&port, 0);
    let stalled = open(&port, 1_000);
    port.record_read(&stalled, at(1_000), b"POST");
    port.end_head(&stalled);
    stalled.begin_receiving();
    assert!(port.evict(at(2_000)));
    assert!(is_closed(&stalled) && !is_closed(&idle));
}

/// Guards against a head that takes as long as a connection may be idle.
#[test]
fn a_head_has_a_time_limit_of_its_own() {
    let port = port();
    let connection = open(&port, 0);
    let idle = Some((at(15_000), Action::IdleTimeout));
    assert_eq!(connection.deadline(&TIMES), idle);
    port.record_read(&connection, at(10_000), b"GET /");
    port.record_read(&connection, at(12_000), b"path");
    let head = Some((at(13_000), Action::HeadTimeout));
    assert_eq!(connection.deadline(&TIMES), head);
    port.end_head(&connection);
    connection.begin_receiving();
    assert_eq!(connection.deadline(&TIMES), None);
    connection.end_receiving(at(14_000));
    let idle = Some((at(29_000), Action::IdleTimeout));
    assert_eq!(connection.deadline(&TIMES), idle);
}

/// Guards against memory that grows with the number of unfinished heads.
#[test]
fn the_oldest_heads_give_way_to_the_sum_of_all() {
    let port = port();
    let first = open(&port, 0);
    let second = open(&port, 0);
    port.record_read(&first, at(10), &[b'x'; 600]);
    port.record_read(&second, at(20), &[b'x'; 300]);
    assert!(!is_closed(&first));
    port.record_read(&second, at(30), &[b'x'; 300]);
    assert!(is_closed(&first) && !is_closed(&second));
}

/// Guards against answers that are never read and keep their memory.
#[test]
fn the_answer_that_is_unread_for_longest_gives_way() {
    let port = port();
    let (first, second) = (open(&port, 0), open(&port, 0));
    for (connection, since) in [(&first, 100), (&second, 200)] {
        let number = connection.begin_running();
        connection.set_unread(number, Some(at(since)));
    }
    assert!(!port.evict_unread(at(500)));
    assert!(port.evict_unread(at(600)));
    assert!(is_closed(&first) && !is_closed(&second));
    let unread = Some((at(30_200), Action::UnreadTimeout));
    assert_eq!(second.deadline(&TIMES), unread);
}

/// Guards against closing a connection whose request has arrived without the event loop knowing of it.
#[test]
fn a_connection_does_not_give_way_with_an_unread_request() {
    let port = port();
    let connection = open(&port, 0);
    connection.close(Action::ConnectionEvicted);
    let mut request = pin!(poll_fn(|_| {
        if connection.is_probing() {
            connection.begin_running();
        }
        Poll::<()>::Pending
    }));
    let mut guard = Guard::new(Clock::start(), &connection, TIMES);
    let mut watching = pin!(guard.watch(request.as_mut()));
    let mut context = Context::from_waker(Waker::noop());
    assert!(watching.as_mut().poll(&mut context).is_pending());
    assert!(!is_closed(&connection));
}

/// Guards against closing a connection whose request is read in the turn in which it is to give way.
#[test]
fn a_connection_does_not_give_way_with_a_request_that_was_just_read() {
    let port = port();
    let connection = open(&port, 0);
    connection.close(Action::ConnectionEvicted);
    let mut request = pin!(poll_fn(|_| {
        if !connection.is_running() {
            connection.begin_running();
        }
        Poll::<()>::Pending
    }));
    let mut guard = Guard::new(Clock::start(), &connection, TIMES);
    let mut watching = pin!(guard.watch(request.as_mut()));
    let mut context = Context::from_waker(Waker::noop());
    assert!(watching.as_mut().poll(&mut context).is_pending());
    assert!(!is_closed(&connection));
}

/// Guards against keeping connections that are to be closed for another reason.
#[test]
fn a_connection_whose_request_runs_is_closed_for_its_unread_answer() {
    let port = port();
    let connection = open(&port, 0);
    connection.begin_running();
    connection.close(Action::UnreadEvicted);
    let mut request = pin!(std::future::pending::<()>());
    let mut guard = Guard::new(Clock::start(), &connection, TIMES);
    let mut watching = pin!(guard.watch(request.as_mut()));
    let mut context = Context::from_waker(Waker::noop());
    let ended = watching.as_mut().poll(&mut context);
    assert_eq!(ended, Poll::Ready(Err(Action::UnreadEvicted)));
}
