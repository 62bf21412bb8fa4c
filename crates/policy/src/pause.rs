//! Pauses that overloaded replicas ask for.
//!
//! An overloaded replica turns requests away and states for how long it accepts none from this entry. Without
//! a pause it would look like the least loaded one: each entry would send it a request every moment, and each
//! would use up an attempt and a retry of the budget, or be refused although other replicas have room.
//!
//! After a pause one request probes the replica, as in a half-open circuit breaker. Otherwise all requests
//! that had waited for the end of the pause would be turned away together.

use clock::Span;
use clock::Time;

use crate::job;

/// Pause of one replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pause {
    /// End of the longest pause that the replica asked for.
    until: Time,
    /// Whether the replica has started no request since then.
    unproven: bool,
    /// The request that probes an unproven replica.
    probe: Option<job::Id>,
}

impl Pause {
    /// Starts or extends the pause; a shorter one doesn't end it sooner.
    pub fn extend(&mut self, now: Time, span: Span) {
        *self = Pause {
            until: self.until.max(now + span),
            unproven: true,
            probe: None,
        };
    }

    /// Returns whether the replica asked for no request now.
    pub fn is_active(&self, now: Time) -> bool {
        now < self.until
    }

    /// Returns whether the replica may get a request now.
    pub fn allows_request(&self, now: Time) -> bool {
        !self.is_active(now) && self.probe.is_none()
    }

    /// Returns when the pause ends.
    pub fn ends_at(&self) -> Time {
        self.until
    }

    /// Records that a request is sent.
    pub fn record_start(&mut self, id: job::Id) {
        if self.unproven {
            self.probe = Some(id);
        }
    }

    /// Records that the replica started a request; returns whether more may be sent now.
    pub fn record_response(&mut self, id: job::Id) -> bool {
        let proves = self.probe == Some(id);
        if proves {
            self.unproven = false;
            self.probe = None;
        }
        proves
    }

    /// Records that an attempt ended.
    pub fn record_end(&mut self, id: job::Id) {
        self.probe.take_if(|probe| *probe == id);
    }
}
