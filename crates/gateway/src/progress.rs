//! Counts of usage on their way, kept in the table service.
//!
//! Failure guarded against: all entries are killed at once, and with them every count that they had told
//! each other. The window's report would miss most of its requests. The holder writes what it knows of the
//! windows that are open; whoever holds the duty next adds what it didn't hear itself.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use lease::holder;
use line::Line;
use serde_json::Value;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use store::call::Address;
use store::call::Call;
use store::call::Outcome;
use store::call::Transaction;
use store::call::Write;

use crate::effect::Effect;
use crate::gateway::Gateway;
use crate::hubs::SUM_SENDER;
use crate::store_calls::Waiter;
use crate::usage::Counts;

/// The table of counts on their way.
const TABLE: &str = "usage-progress";
/// The only row: it holds the open windows, so that no old ones must be deleted.
const KEY: &str = "open";
/// Time between two writings: what is lost with all entries together, at one call a second.
const WRITE_INTERVAL: Span = Span::from_millis(1_000);
/// Windows that are written: the open one, and those whose counts may not be fixed yet.
const WRITTEN_WINDOWS: u64 = 3;

/// Counts by window and entry.
type Progress = BTreeMap<u64, BTreeMap<SmolStr, Counts>>;

/// What the holder has written.
#[derive(Debug, Default)]
pub(crate) struct Writer {
    next: Time,
    /// Whether what a former holder wrote was read.
    pub restored: bool,
}

impl Gateway {
    /// Reads what a former holder wrote, then writes what is known.
    pub(crate) fn progress_tick(&mut self, now: Time) {
        if !self.settings.report_usage || now < self.duties.progress.next {
            return;
        }
        self.duties.progress.next = now + WRITE_INTERVAL;
        let at = Address::new(TABLE, KEY);
        if !self.duties.progress.restored {
            return self.call_store(Waiter::Progress, Call::Get { at });
        }
        let newest = self.usage.window(now);
        let mut progress = Progress::new();
        for window in newest.saturating_sub(WRITTEN_WINDOWS - 1)..=newest {
            progress.insert(window, self.known_counts(window));
        }
        let value = serde_json::to_value(&progress).unwrap_or(Value::Null);
        let transaction = Transaction {
            token: SmolStr::new_static(KEY),
            checks: Vec::new(),
            writes: vec![Write { at, value }],
        };
        self.call_store(Waiter::Progress, Call::Transact(transaction));
    }

    /// What is known of a window: by entry, or of all together where counts travel by hubs.
    fn known_counts(&self, window: u64) -> BTreeMap<SmolStr, Counts> {
        if self.uses_hubs() {
            let total = self.usage.total(window);
            return BTreeMap::from([(format_smolstr!("{SUM_SENDER}"), total)]);
        }
        let counts = self.usage.by_entry(window, self.identity.incarnation);
        counts
            .map(|(entry, counts)| (format_smolstr!("{entry}"), counts.clone()))
            .collect()
    }

    /// The table service answered.
    pub(crate) fn progress_answered(&mut self, outcome: Outcome, effects: &mut Vec<Effect>) {
        let Outcome::Row(row) = outcome else {
            return;
        };
        self.duties.progress.restored = true;
        let Some(row) = row else {
            return;
        };
        match serde_json::from_value::<Progress>(row.value) {
            Ok(progress) => self.restore_progress(progress),
            Err(error) => {
                let line = Line::warn("progress_unreadable").with("error", error);
                effects.push(Effect::Log(line));
            }
        }
    }

    fn restore_progress(&mut self, progress: Progress) {
        for (window, entries) in progress {
            for (entry, counts) in entries {
                match holder::Id::parse(&entry) {
                    Some(SUM_SENDER) => self.usage.restore_total(window, counts),
                    Some(entry) if entry != self.identity.incarnation => {
                        self.usage.restore(entry, window, counts);
                    }
                    _ => {}
                }
            }
        }
    }
}
