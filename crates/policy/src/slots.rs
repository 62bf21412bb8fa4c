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

use crate::configs::slots::Config;
use crate::replica::Report;

/// Limit on this entry's attempts on one replica.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    limit: u32,
}

impl Share {
    /// Creates an equal share.
    pub fn new(slots: u32, entries: u32) -> Share {
        Share {
            limit: equal_share(slots, entries),
        }
    }

    /// Returns the maximum number of concurrent attempts.
    pub fn limit(&self, slots: u32, entries: u32) -> u32 {
        self.limit.max(equal_share(slots, entries))
    }

    /// Returns whether one more attempt stays within this entry's equal share.
    pub fn is_within_share(&self, slots: u32, entries: u32, running: u32) -> bool {
        running < equal_share(slots, entries)
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
}

/// Returns one entry's equal share; at least one slot.
fn equal_share(slots: u32, entries: u32) -> u32 {
    slots.div_ceil(entries.max(1)).max(1)
}
