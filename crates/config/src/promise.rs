//! Keeps silent on a new version while older words of ours still count.
//!
//! Failure guarded against: this entry tells another that it holds nothing newer than version 4,
//! applies 5 a moment later and says so; 5 is accepted, and the other goes on admitting under 4 on
//! our word. So a version is applied at once, but said to be applied only when every word from before
//! has expired, whatever its receiver's clock shows.

use std::collections::VecDeque;

use clock::Span;
use clock::Time;

/// Versions that are applied and not yet said to be.
#[derive(Clone, Debug, Default)]
pub struct Promise {
    /// Until when our words may count.
    until: Time,
    /// Versions and when they may be said, both rising.
    waiting: VecDeque<(Time, u64)>,
    /// The newest version that was said to be applied.
    said: u64,
}

impl Promise {
    /// A word was given that may count for `span` from now.
    pub fn give(&mut self, now: Time, span: Span) {
        self.until = self.until.max(now + span);
    }

    /// A version was applied.
    pub fn apply(&mut self, version: u64) {
        self.waiting.push_back((self.until, version));
    }

    /// The newest version that may be said now, if it was not said before.
    pub fn due(&mut self, now: Time) -> Option<u64> {
        let mut newest = None;
        while let Some((at, version)) = self.waiting.front().copied() {
            if at > now {
                break;
            }
            self.waiting.pop_front();
            self.said = version;
            newest = Some(version);
        }
        newest
    }

    /// The newest version that was said to be applied.
    pub fn said(&self) -> u64 {
        self.said
    }

    /// When a version may be said.
    pub fn next_wake(&self) -> Option<Time> {
        self.waiting.front().map(|(at, _)| *at)
    }
}
