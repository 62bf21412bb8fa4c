//! Decides which body gives way while others wait for room.
//!
//! Answers callers that stop within their bodies, or send them slowly, and so hold room that others need. Without
//! others that wait, only the time limit of a body ends it.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;

/// Time without progress after which a body may have to give way.
pub const STALL: Span = Span::from_millis(500);
/// Age from which on a body's pace is judged.
const PACE_AGE: Span = Span::from_seconds(2);

/// Identifies a body that is being received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key(u64);

/// Bodies that are being received.
#[derive(Debug)]
pub struct Receivers {
    bodies: BTreeMap<Key, Progress>,
    next: u64,
    /// Least pace, bytes a second.
    rate: u64,
}

#[derive(Clone, Copy, Debug)]
struct Progress {
    began_at: Time,
    last_at: Time,
    bytes: u64,
    /// Whether it waits for room itself.
    waits: bool,
}

impl Receivers {
    /// Creates an empty set; `rate` is the least pace in bytes a second.
    pub fn new(rate: u64) -> Receivers {
        Receivers {
            bodies: BTreeMap::new(),
            next: 0,
            rate,
        }
    }

    /// Adds a body.
    pub fn begin(&mut self, now: Time) -> Key {
        let key = Key(self.next);
        self.next += 1;
        let progress = Progress {
            began_at: now,
            last_at: now,
            bytes: 0,
            waits: false,
        };
        self.bodies.insert(key, progress);
        key
    }

    /// Records that bytes of a body arrived.
    pub fn record(&mut self, key: Key, now: Time, bytes: usize) {
        if let Some(progress) = self.bodies.get_mut(&key) {
            progress.last_at = now;
            progress.bytes += bytes as u64;
        }
    }

    /// Records that a body waits for room, or that it goes on after that.
    pub fn set_waiting(&mut self, key: Key, now: Time, waits: bool) {
        if let Some(progress) = self.bodies.get_mut(&key) {
            progress.waits = waits;
            progress.last_at = now;
        }
    }

    /// Removes a body.
    pub fn end(&mut self, key: Key) {
        self.bodies.remove(&key);
    }

    /// Returns the body that made no progress for longest, if it stalls or is too slow.
    pub fn slowest(&self, now: Time) -> Option<Key> {
        let candidates = self.bodies.iter().filter(|(_, progress)| {
            !progress.waits && (progress.is_stalled(now) || progress.is_slow(now, self.rate))
        });
        let slowest = candidates.min_by_key(|(_, progress)| (progress.last_at, progress.bytes));
        slowest.map(|(key, _)| *key)
    }
}

impl Progress {
    fn is_stalled(&self, now: Time) -> bool {
        now.since(self.last_at) >= STALL
    }

    fn is_slow(&self, now: Time, rate: u64) -> bool {
        let age = now.since(self.began_at);
        age >= PACE_AGE && self.bytes * 1_000 < rate * age.as_millis()
    }
}
