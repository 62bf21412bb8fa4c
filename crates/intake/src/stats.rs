//! Counts what was done to callers that don't behave.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use clock::Clock;
use clock::Span;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Meter;

/// Shortest time between two log lines about the same action.
const LOG_INTERVAL: Span = Span::from_seconds(1);

/// What was done to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// A connection without a running request was closed to make room for others.
    ConnectionEvicted,
    /// A new connection was closed, since no other one could be.
    ConnectionRefused,
    /// A connection couldn't be accepted, for want of descriptors.
    AcceptFailed,
    /// A head took too long.
    HeadTimeout,
    /// A connection without a request was closed.
    IdleTimeout,
    /// Unfinished heads took too much memory.
    HeadEvicted,
    /// A body made too little progress while others waited.
    BodyEvicted,
    /// A body took too long.
    BodyTimeout,
    /// There was no room for a request.
    RequestRefused,
    /// An answer wasn't read for too long.
    UnreadTimeout,
    /// An answer wasn't read while others waited for room.
    UnreadEvicted,
    /// There was no room for an answer.
    AnswerDropped,
    /// A connection was closed while a request on it was received or ran.
    RequestDropped,
    /// A connection without a request was closed although bytes had arrived on it.
    UnreadDropped,
}

impl Action {
    /// All actions.
    pub const ALL: [Action; 14] = [
        Action::ConnectionEvicted,
        Action::ConnectionRefused,
        Action::AcceptFailed,
        Action::HeadTimeout,
        Action::IdleTimeout,
        Action::HeadEvicted,
        Action::BodyEvicted,
        Action::BodyTimeout,
        Action::RequestRefused,
        Action::UnreadTimeout,
        Action::UnreadEvicted,
        Action::AnswerDropped,
        Action::RequestDropped,
        Action::UnreadDropped,
    ];

    /// Returns the form used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Action::ConnectionEvicted => "connection_evicted",
            Action::ConnectionRefused => "connection_refused",
            Action::AcceptFailed => "accept_failed",
            Action::HeadTimeout => "head_timeout",
            Action::IdleTimeout => "idle_timeout",
            Action::HeadEvicted => "head_evicted",
            Action::BodyEvicted => "body_evicted",
            Action::BodyTimeout => "body_timeout",
            Action::RequestRefused => "request_refused",
            Action::UnreadTimeout => "unread_timeout",
            Action::UnreadEvicted => "unread_evicted",
            Action::AnswerDropped => "answer_dropped",
            Action::RequestDropped => "request_dropped",
            Action::UnreadDropped => "unread_dropped",
        }
    }
}

/// Counts of actions, shared with the metrics.
#[derive(Clone, Debug)]
pub struct Stats {
    clock: Clock,
    counts: Arc<[Count; Action::ALL.len()]>,
}

#[derive(Debug, Default)]
struct Count {
    total: AtomicU64,
    /// Total that the last log line stated.
    logged: AtomicU64,
    /// Time of that line, milliseconds.
    logged_at: AtomicU64,
}

impl Stats {
    /// Creates counts of zero.
    pub fn new(clock: Clock) -> Stats {
        Stats {
            clock,
            counts: Arc::default(),
        }
    }

    /// Counts an action; logs it, together with those since the last line about it.
    pub fn record(&self, action: Action) {
        let count = &self.counts[action as usize];
        let total = count.total.fetch_add(1, Ordering::Relaxed) + 1;
        if action == Action::IdleTimeout {
            return;
        }
        let now = self.clock.now().as_millis();
        let logged_at = count.logged_at.load(Ordering::Relaxed);
        let logged = count.logged.load(Ordering::Relaxed);
        if logged > 0 && now < logged_at + LOG_INTERVAL.as_millis() {
            return;
        }
        count.logged_at.store(now, Ordering::Relaxed);
        count.logged.store(total, Ordering::Relaxed);
        log::warn!(event = "callers_limited", action = action.as_str(), count = total - logged; "");
    }

    /// Returns how often an action was taken.
    pub fn count(&self, action: Action) -> u64 {
        self.counts[action as usize].total.load(Ordering::Relaxed)
    }

    /// Registers the counts as a metric.
    pub fn register(&self, meter: &Meter) {
        let stats = self.clone();
        meter
            .u64_observable_counter("dogwoodspur_callers_limited")
            .with_description("Connections closed and requests refused to bound callers, by action")
            .with_callback(move |observer| {
                for action in Action::ALL {
                    let labels = [KeyValue::new("action", action.as_str())];
                    observer.observe(stats.count(action), &labels);
                }
            })
            .build();
    }
}
