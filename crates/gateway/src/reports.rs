//! Usage reports to the platform, one for each window.
//!
//! Guards against contradictory reports: a holder sends a report, its answer is lost and the holder dies; its
//! successor has received slightly different counts and reports the same window again, so that accounts are
//! billed by both. Therefore a window's counts are first written to the table service, unless some are stored
//! already, and only the stored counts are sent, however often.

use std::collections::BTreeMap;
use std::ops::Range;

use clock::Span;
use clock::Time;
use line::Line;
use serde_json::Value;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use store::call::Address;
use store::call::Call;
use store::call::Check;
use store::call::Outcome;
use store::call::Transaction;
use store::call::Write;

use crate::duty;
use crate::duty::Lease;
use crate::effect::Effect;
use crate::gateway::Gateway;
use crate::store_calls::Waiter;
use crate::usage::Counts;

/// Table of the final counts by window.
const TABLE: &str = "usage";
/// Time from a window's end until its counts are final: two rounds of the exchange, and late counts of
/// entries that were cut off for a moment.
const SETTLE_TIME: Span = Span::from_millis(1_500);
/// The same if counts are exchanged by hubs: while entries are replaced, it takes some seconds until all
/// agree on the hubs, and until then each hub knows part of the counts. Leaves more than half of the usual
/// time to report.
const HUB_SETTLE_TIME: Span = Span::from_millis(4_000);
/// Time between two attempts.
const RETRY_INTERVAL: Span = Span::from_millis(700);
/// Number of windows whose rows are kept.
const RETAINED_WINDOWS: u64 = 24;

/// Reports in progress.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    windows: BTreeMap<u64, Report>,
    /// The newest window that may have been reported with counts that a restore lost, by a former holder's word.
    lost_until: Option<u64>,
}

/// The report of one window.
#[derive(Clone, Debug)]
struct Report {
    stage: Stage,
    /// When the next step is attempted.
    next_attempt: Time,
}

/// Progress of a report.
#[derive(Clone, Debug, PartialEq)]
enum Stage {
    /// The counts aren't final yet.
    Open,
    /// The counts are being written to the table service.
    Writing(Counts),
    /// The counts are final and must be sent.
    Fixed(Counts),
    /// The counts are being sent by the call of this id.
    Sending(u64, Counts),
    /// The platform has confirmed the report, or it is skipped.
    Done,
}

impl Gateway {
    /// Finalizes and sends the counts of windows that are due.
    pub(crate) fn reports_tick(&mut self, now: Time, lease: Lease, effects: &mut Vec<Effect>) {
        // Without a former holder's counts, a window would miss requests that only that holder knew of.
        let ready = self.duties.progress.restored && self.has_collected_counts(now);
        if !self.settings.report_usage || !ready {
            return;
        }
        let windows = self.reportable_windows(now);
        self.duties
            .reports
            .windows
            .retain(|window, _| *window >= windows.start);
        for window in windows {
            let since = self.usage.since_end(now, window);
            let delay = self.settings.usage_delay.as_millis() as i64;
            let settle_time = self.settle_time();
            if since < settle_time.as_millis() as i64 || since > delay {
                continue;
            }
            self.report_window(now, window, lease, effects);
        }
    }

    /// Takes the next step of a window's report when it is due.
    fn report_window(&mut self, now: Time, window: u64, lease: Lease, effects: &mut Vec<Effect>) {
        let report = self.duties.reports.windows.entry(window).or_insert(Report {
            stage: Stage::Open,
            next_attempt: now,
        });
        if now < report.next_attempt {
            return;
        }
        report.next_attempt = now + RETRY_INTERVAL;
        match report.stage.clone() {
            Stage::Open if self.may_be_reported(now, window) => self.skip_report(window, effects),
            Stage::Open => self.write_counts(window),
            Stage::Fixed(counts) => self.send_report(window, counts, lease, effects),
            Stage::Writing(_) | Stage::Sending(..) | Stage::Done => {}
        }
    }

    /// Returns whether a former holder may have sent counts that the table service lost in a restore.
    fn may_be_reported(&self, now: Time, window: u64) -> bool {
        let newest = self.newest_lost_window(now);
        newest.is_some_and(|newest| window <= newest)
    }

    /// Returns the newest window that may have been reported with counts that the table service lost in a restore.
    pub(crate) fn newest_lost_window(&self, now: Time) -> Option<u64> {
        let restored = self.servers.restored();
        let own = restored.and_then(|restored| self.newest_settled_window(now, restored));
        own.max(self.duties.reports.lost_until)
    }

    /// Returns the newest window whose counts were final at a time, if its report can still be due.
    pub(crate) fn newest_settled_window(&self, now: Time, at: Time) -> Option<u64> {
        let elapsed = now.since(at).as_millis() as i64;
        let settle_time = self.settle_time().as_millis() as i64;
        let is_settled = |window: &u64| self.usage.since_end(now, *window) - elapsed >= settle_time;
        self.reportable_windows(now).rev().find(is_settled)
    }

    /// Sets the newest window that may have been reported with counts that a restore lost.
    pub(crate) fn set_lost_windows(&mut self, newest: Option<u64>) {
        self.duties.reports.lost_until = newest;
    }

    /// Returns the windows that have ended and whose reports can still be due.
    fn reportable_windows(&self, now: Time) -> Range<u64> {
        let newest = self.usage.window(now);
        let span = self.settings.usage_delay.as_millis() / self.settings.usage_window.as_millis();
        newest.saturating_sub(span + 1)..newest
    }

    /// Skips the report of a window, since a second one could contradict the first.
    fn skip_report(&mut self, window: u64, effects: &mut Vec<Effect>) {
        let line = Line::warn("usage_not_reported").with("window", window);
        effects.push(Effect::Log(line));
        if let Some(report) = self.duties.reports.windows.get_mut(&window) {
            report.stage = Stage::Done;
        }
    }

    /// Returns the time from a window's end until its counts are final.
    fn settle_time(&self) -> Span {
        match self.uses_hubs() {
            true => HUB_SETTLE_TIME,
            false => SETTLE_TIME,
        }
    }

    /// Writes the counts of a window unless some are stored.
    fn write_counts(&mut self, window: u64) {
        let mut counts = self.usage.total(window);
        if let Some(catalog) = &self.catalog {
            for account in &catalog.accounts {
                counts.entry(account.name.clone()).or_default();
            }
        }
        let at = address(window);
        let value = serde_json::to_value(&counts).unwrap_or(Value::Null);
        let transaction = Transaction {
            token: format_smolstr!("usage/{window}"),
            checks: vec![Check {
                address: at.clone(),
                revision: None,
            }],
            writes: vec![
                Write { address: at, value },
                Write {
                    address: address(window.saturating_sub(RETAINED_WINDOWS)),
                    value: Value::Null,
                },
            ],
        };
        if let Some(report) = self.duties.reports.windows.get_mut(&window) {
            report.stage = Stage::Writing(counts);
        }
        self.call_store(Waiter::Report(window), Call::Transact(transaction));
    }

    /// Handles the table service's answer to writing a window's counts.
    pub(crate) fn handle_counts_written(
        &mut self,
        now: Time,
        window: u64,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(report) = self.duties.reports.windows.get_mut(&window) else {
            return;
        };
        let Stage::Writing(written) = report.stage.clone() else {
            return;
        };
        report.stage = match outcome {
            Outcome::Committed(_) => Stage::Fixed(written),
            Outcome::Conflict(failed) => match stored_counts(failed) {
                Some(counts) => Stage::Fixed(counts),
                None => Stage::Open,
            },
            // The write may have succeeded; the next attempt finds out.
            _ => Stage::Open,
        };
        if matches!(report.stage, Stage::Fixed(_)) {
            report.next_attempt = now;
            if let Some(lease) = self.lease(now) {
                self.report_window(now, window, lease, effects);
            }
        }
    }

    /// Sends the final counts of a window to the platform.
    fn send_report(
        &mut self,
        window: u64,
        counts: Counts,
        lease: Lease,
        effects: &mut Vec<Effect>,
    ) {
        let call = duty::Call::Usage {
            window,
            counts: counts.clone(),
        };
        let total: u64 = counts.values().sum();
        let line = Line::info("usage_reported")
            .with("window", window)
            .with("requests", total)
            .with("fence", lease.fence);
        effects.push(Effect::Log(line));
        let id = self.call_platform(call, lease, effects);
        if let Some(report) = self.duties.reports.windows.get_mut(&window) {
            report.stage = Stage::Sending(id, counts);
        }
    }

    /// Handles the platform's answer to a report.
    pub(crate) fn handle_report_answer(&mut self, now: Time, id: u64, outcome: duty::Outcome) {
        for report in self.duties.reports.windows.values_mut() {
            let Stage::Sending(sent, counts) = &report.stage else {
                continue;
            };
            if *sent != id {
                continue;
            }
            report.next_attempt = now + RETRY_INTERVAL;
            report.stage = match outcome {
                duty::Outcome::Done => Stage::Done,
                _ => Stage::Fixed(counts.clone()),
            };
            return;
        }
    }
}

/// Returns the address of a window's counts.
fn address(window: u64) -> Address {
    let key: SmolStr = format_smolstr!("{window:012}");
    Address::new(TABLE, key)
}

/// Returns the counts stored by another holder.
fn stored_counts(failed: Vec<(Address, Option<store::call::Row>)>) -> Option<Counts> {
    let (_, row) = failed.into_iter().next()?;
    serde_json::from_value(row?.value).ok()
}
