//! Defers the announcement of a new version until this entry's earlier votes have expired.
//!
//! Guards against this sequence: this entry votes that it holds nothing newer than version 4, applies
//! version 5 a moment later and announces it. Version 5 is then accepted while the receiver of the vote
//! still admits requests under 4. So a version is applied immediately, but announced only when every earlier
//! vote has expired, whatever the receivers' clocks show.

use std::collections::VecDeque;

use clock::Span;
use clock::Time;

/// Versions that are applied and not yet announced.
#[derive(Clone, Debug, Default)]
pub struct Promise {
    /// Time until which a vote of this entry may be valid.
    promised_until: Time,
    /// Versions with the time at which each may be announced; both ascend.
    deferred: VecDeque<(Time, u64)>,
    /// Newest version that was announced as applied.
    announced: u64,
}

impl Promise {
    /// Records a vote that may be valid for `span` from now.
    pub fn extend(&mut self, now: Time, span: Span) {
        self.promised_until = self.promised_until.max(now + span);
    }

    /// Records an applied version and defers its announcement.
    pub fn defer_announcement(&mut self, version: u64) {
        self.deferred.push_back((self.promised_until, version));
    }

    /// Returns the newest version that may be announced now and was not announced before.
    pub fn take_due(&mut self, now: Time) -> Option<u64> {
        let mut newest = None;
        while let Some((due_at, version)) = self.deferred.front().copied() {
            if due_at > now {
                break;
            }
            self.deferred.pop_front();
            self.announced = version;
            newest = Some(version);
        }
        newest
    }

    /// Returns the newest version that was announced as applied.
    pub fn announced(&self) -> u64 {
        self.announced
    }

    /// Returns when the next announcement is due.
    pub fn next_wake(&self) -> Option<Time> {
        self.deferred.front().map(|(due_at, _)| *due_at)
    }
}
