//! Limits of a process and of a port.

use clock::Span;
use settings::Settings;
use settings::capacity::Capacity;
use settings::capacity::SMALL_DIVISOR;

/// Limits on what callers send and leave unread, over the whole process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most bytes of requests that are held at once, from their first byte to the last attempt that may need them.
    pub request_bytes: usize,
    /// Part of these that is reserved for small requests.
    pub small_request_bytes: usize,
    /// Most bytes of answers that are held at once for callers to read.
    pub answer_bytes: usize,
    /// Longest time for a body to arrive.
    pub body_time: Span,
    /// Least pace of a body, bytes a second, while others wait for room.
    pub body_rate: u64,
}

impl Limits {
    /// Returns the limits of a process with these settings and this capacity.
    pub fn new(settings: &Settings, capacity: &Capacity) -> Limits {
        let callers = &settings.callers;
        Limits {
            request_bytes: to_usize(capacity.request_bytes),
            small_request_bytes: to_usize(capacity.request_bytes / SMALL_DIVISOR),
            answer_bytes: to_usize(capacity.answer_bytes),
            body_time: Span::from_millis(callers.body_timeout_ms),
            body_rate: callers.min_body_rate,
        }
    }
}

/// Limits on the connections of one port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Port {
    /// Most open connections.
    pub connections: usize,
    /// Most bytes of unfinished heads, over all connections.
    pub head_bytes: usize,
}

impl Port {
    /// Returns the limits of a port with this many connections.
    pub fn new(connections: u64, capacity: &Capacity) -> Port {
        Port {
            connections: to_usize(connections),
            head_bytes: to_usize(capacity.head_bytes),
        }
    }
}

/// Longest times that a connection may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// From the first byte of a head to its end.
    pub head: Span,
    /// Without a request.
    pub idle: Span,
    /// Without reading an answer.
    pub unread: Span,
}

fn to_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
