//! Usage counts of open windows, saved to the table service.
//!
//! Guards against a loss of all entries at once, and with them of every count that they had exchanged: the
//! report of the window would miss most of its requests. The holder of the duties saves the counts of open
//! windows; the next holder merges what it didn't receive itself.
//!
//! Also guards against a second report of a window whose stored counts a restore of the table service lost, by a holder
//! that started after it: the saves name the era in which they were made, and the windows that may be concerned.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use lease::holder;
use line::Line;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use store::call::Address;
use store::call::Call;
use store::call::Outcome;
use store::call::Transaction;
use store::call::Write;
use store::revision::Revision;

use crate::effect::Effect;
use crate::gateway::Gateway;
use crate::hubs::SUM_SENDER;
use crate::store_calls::Waiter;
use crate::usage::Counts;

/// Table of the saved counts.
const TABLE: &str = "usage-progress";
/// Key of the only row, which holds all open windows, so that old ones need not be deleted.
const KEY: &str = "open";
/// Time between two writes, and thus the usage that is lost with all entries, at a cost of one call a second.
const WRITE_INTERVAL: Span = Span::from_millis(1_000);
/// Number of windows saved: the open one, and those whose counts may not be final yet.
const WRITTEN_WINDOWS: u64 = 3;

/// Counts by window and entry.
type Progress = BTreeMap<u64, BTreeMap<SmolStr, Counts>>;

/// What the holder saves.
#[derive(Debug, Serialize, Deserialize)]
struct Saved {
    /// Era of the table service in which it was saved.
    era: u64,
    /// The newest window that may have been reported with counts that a restore lost.
    lost_until: Option<u64>,
    windows: Progress,
}

/// State of the holder's saves.
#[derive(Debug, Default)]
pub(crate) struct Writer {
    next: Time,
    /// Whether a former holder's counts were read.
    pub restored: bool,
}

impl Gateway {
    /// Reads a former holder's counts first, then saves the current ones.
    pub(crate) fn progress_tick(&mut self, now: Time) {
        if !self.settings.report_usage || now < self.duties.progress.next {
            return;
        }
        self.duties.progress.next = now + WRITE_INTERVAL;
        let at = Address::new(TABLE, KEY);
        if !self.duties.progress.restored {
            return self.call_store(Waiter::Progress, Call::Get { address: at });
        }
        let newest = self.usage.window(now);
        let mut progress = Progress::new();
        for window in newest.saturating_sub(WRITTEN_WINDOWS - 1)..=newest {
            progress.insert(window, self.known_counts(window));
        }
        let saved = Saved {
            era: self.known_era(),
            lost_until: self.newest_lost_window(now),
            windows: progress,
        };
        let value = serde_json::to_value(&saved).unwrap_or(Value::Null);
        let transaction = Transaction {
            token: SmolStr::new_static(KEY),
            checks: Vec::new(),
            writes: vec![Write { address: at, value }],
        };
        self.call_store(Waiter::Progress, Call::Transact(transaction));
    }

    /// Returns the counts of a window by entry, or as one sum if counts are exchanged by hubs.
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

    /// Handles the table service's answer to a read or write.
    pub(crate) fn handle_progress_answer(
        &mut self,
        now: Time,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let Outcome::Row(row) = outcome else {
            return;
        };
        self.duties.progress.restored = true;
        let era = row
            .as_ref()
            .map_or(0, |row| Revision::unpacked(row.revision).era);
        let saved = row.map(|row| serde_json::from_value::<Saved>(row.value));
        let saved = match saved.transpose() {
            Ok(saved) => saved,
            Err(error) => {
                let line = Line::warn("progress_unreadable").with("error", error);
                effects.push(Effect::Log(line));
                None
            }
        };
        let (saved_era, lost_until) = match &saved {
            Some(saved) => (saved.era, saved.lost_until),
            None => (0, None),
        };
        // Nobody has held the duty since the restore.
        let lost_now = match saved_era < era.max(self.known_era()) {
            true => self.newest_settled_window(now, now),
            false => None,
        };
        self.set_lost_windows(lost_until.max(lost_now));
        if let Some(saved) = saved {
            self.restore_progress(saved.windows);
        }
    }

    /// Returns the newest era of the table service that this entry knows of.
    fn known_era(&self) -> u64 {
        Revision::unpacked(self.servers.position().revision).era
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
