//! Shares the slots of one replica among entries that don't ask each other.
//!
//! Load pattern: eight entries under overload, each with a queue. All see the same free slot in the
//! same report and fill it, so work piles up inside the replicas, where no entry can refuse it,
//! reorder it or give it elsewhere, and where its wait can't be predicted.
//!
//! An equal part of the slots is always this entry's. Of those that a report shows free it borrows a
//! few equal parts more, so that all entries together overbook by a bounded amount. While a report
//! shows work waiting inside the replica, the borrowed ones are given back one a report.

use crate::configs::slots::Config;
use crate::replica::Report;

/// Most attempts of this entry on one replica.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    limit: u32,
}

impl Share {
    /// The equal part.
    pub fn new(slots: u32, entries: u32) -> Share {
        Share {
            limit: part(slots, entries),
        }
    }

    /// Most attempts at once.
    pub fn limit(&self, slots: u32, entries: u32) -> u32 {
        self.limit.max(part(slots, entries))
    }

    /// Whether one more stays within this entry's own part, whatever the others do.
    pub fn is_within_share(&self, slots: u32, entries: u32, running: u32) -> bool {
        running < part(slots, entries)
    }

    /// Takes in a report, while `running` attempts are ours; `drawn`, from 0 to 1, rounds.
    pub fn record_report(
        &mut self,
        config: &Config,
        slots: u32,
        entries: u32,
        running: u32,
        report: &Report,
        drawn: f64,
    ) {
        let part = part(slots, entries);
        if report.waiting > 0 {
            self.limit = part.max(self.limit.min(running).saturating_sub(1));
            return;
        }
        let free = slots.saturating_sub(report.running);
        let borrowed = f64::from(free) * config.borrowed_shares / f64::from(entries.max(1));
        self.limit = part.max(running + (borrowed + drawn) as u32).min(slots);
    }
}

/// One entry's equal part; at least one slot.
fn part(slots: u32, entries: u32) -> u32 {
    slots.div_ceil(entries.max(1)).max(1)
}
