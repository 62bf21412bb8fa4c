//! Divides the slots of one replica among entries without coordination.
//!
//! Guards against several overloaded entries, each with a queue, that all see the same free slot in
//! a report and fill it. Work then queues inside the replicas, where no entry can refuse, reorder
//! or move it, and where its wait can't be predicted.
//!
//! An equal share of the slots always belongs to this entry. Of the slots that a report shows free
//! it borrows a few equal shares more, so that the overcommitment of all entries together is
//! bounded. While reports show work waiting inside the replica, borrowed slots are given back, one
//! per report.
//!
//! With more entries than slots the entry owns the slots that [`crate::division`] assigns to it, at most replicas none.
//! Of the slots that a report shows free, all entries together may borrow part: each draws whether it may run one more
//! attempt than it has, until the next report or until the report is too old. Only a job that has waited for a slot of
//! the entry's own takes a borrowed one.

use clock::Span;
use clock::Time;

use crate::configs::division;
use crate::configs::slots::Config;
use crate::replica::Report;

/// Limit on this entry's attempts on one replica.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    limit: u32,
    /// Slots that the division assigns to this entry; `None` where all entries have equal shares.
    owned: Option<u32>,
    /// Slots of those that may be used before `gained_from`; never more than `owned`.
    settled: u32,
    gained_from: Time,
    /// Whether attempts still run in slots that a change of the division took from this entry.
    returns: bool,
    /// End of the right to borrowed slots, where slots are divided.
    borrowed_until: Time,
    /// End of the time for which a report shows more free slots than the reserve of their owners.
    mostly_free_until: Time,
}

impl Share {
    /// Creates an equal share.
    pub fn new(slots: u32, entries: u32) -> Share {
        Share {
            limit: equal_share(slots, entries),
            owned: None,
            settled: 0,
            gained_from: Time::ZERO,
            returns: false,
            borrowed_until: Time::ZERO,
            mostly_free_until: Time::ZERO,
        }
    }

    /// Sets the slots that the division assigns to this entry; `None` for an equal share. Slots gained by a change of the
    /// division are used after `handover`, in which most attempts of their former owners end. Lost slots aren't borrowed
    /// again before this entry's attempts in them have ended. Otherwise both owners use them: when a replica of 60 ended
    /// and was replaced, 8 in 100 attempts of the run waited inside replicas.
    pub fn set_owned(&mut self, now: Time, owned: Option<u32>, handover: Span) {
        if let (Some(old), Some(new)) = (self.owned, owned) {
            if new < old {
                self.returns = true;
                self.limit = self.limit.min(new);
            }
            let settled = self.usable(now).min(new);
            if new > settled && Some(new) != self.owned {
                self.gained_from = now + handover;
            }
            self.settled = settled;
        } else {
            self.limit = 0;
            self.settled = owned.unwrap_or(0);
        }
        self.owned = owned;
    }

    /// Returns how many of the owned slots may be used now.
    pub fn usable(&self, now: Time) -> u32 {
        match self.owned {
            Some(owned) if now >= self.gained_from => owned,
            _ => self.settled,
        }
    }

    /// Returns the slots that the division assigns to this entry; `None` for an equal share.
    pub fn owned(&self) -> Option<u32> {
        self.owned
    }

    /// Returns the maximum number of concurrent attempts.
    pub fn limit(&self, now: Time, slots: u32, entries: u32) -> u32 {
        match self.owned {
            None => self.limit.max(equal_share(slots, entries)),
            Some(_) if now < self.borrowed_until => self.limit.max(self.usable(now)),
            Some(_) => self.usable(now),
        }
    }

    /// Returns whether a report that isn't too old shows more free slots than the reserve of their owners.
    pub fn is_mostly_free(&self, now: Time) -> bool {
        now < self.mostly_free_until
    }

    /// Records whether a report that is valid until `until` shows more free slots than the reserve of their owners.
    pub fn set_mostly_free(&mut self, until: Time, mostly_free: bool) {
        self.mostly_free_until = if mostly_free { until } else { Time::ZERO };
    }

    /// Returns whether one more attempt stays within this entry's share.
    pub fn is_within_share(&self, slots: u32, entries: u32, running: u32) -> bool {
        running < self.owned.unwrap_or_else(|| equal_share(slots, entries))
    }

    /// Adapts the limit to a report while `running` attempts of this entry are in flight; `dither`,
    /// from 0 to 1, randomizes the rounding.
    pub fn record_report(
        &mut self,
        config: &Config,
        slots: u32,
        entries: u32,
        running: u32,
        report: &Report,
        dither: f64,
    ) {
        let equal = equal_share(slots, entries);
        if report.waiting > 0 {
            self.limit = equal.max(self.limit.min(running).saturating_sub(1));
            return;
        }
        let free = slots.saturating_sub(report.running);
        let borrowed = f64::from(free) * config.borrowed_shares / f64::from(entries.max(1));
        self.limit = equal.max(running + (borrowed + dither) as u32).min(slots);
    }

    /// Adapts the limit to a report on a replica whose slots are divided: until `until` this entry may run `borrowed`
    /// attempts more than the `running` ones.
    pub fn record_divided_report(
        &mut self,
        until: Time,
        slots: u32,
        running: u32,
        report: &Report,
        borrowed: u32,
    ) {
        self.borrowed_until = until;
        let owned = self.owned.unwrap_or(0);
        self.returns &= running > owned;
        if self.returns {
            self.limit = owned;
            return;
        }
        self.limit = match report.waiting {
            0 => (running + borrowed).min(slots),
            _ => running.saturating_sub(1),
        };
    }
}

/// Draws how many free slots of a replica, divided among `entries` entries, this one may borrow on a report; `dither`,
/// from 0 to 1, randomizes the rounding.
pub fn draw_borrowed(
    config: &division::Config,
    slots: u32,
    entries: u32,
    report: &Report,
    dither: f64,
) -> u32 {
    let mean = lendable(config, slots, report) * config.lent_fraction / f64::from(entries.max(1));
    (mean + dither) as u32
}

/// Returns the free slots of a replica beyond the reserve of their owners.
pub fn lendable(config: &division::Config, slots: u32, report: &Report) -> f64 {
    let free = f64::from(slots.saturating_sub(report.running));
    (free - f64::from(slots) * config.reserve).max(0.0)
}

/// Returns one entry's equal share; at least one slot.
fn equal_share(slots: u32, entries: u32) -> u32 {
    slots.div_ceil(entries.max(1)).max(1)
}
