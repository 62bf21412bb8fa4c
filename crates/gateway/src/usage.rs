//! Counts of started requests by account and window of wall-clock time.
//!
//! Each entry counts its own requests and sends the counts to the others, so that any holder of the duties
//! can add them up. Counts sent before an entry is killed remain with its peers; only later ones are lost.

use std::collections::BTreeMap;

use clock::Time;
use lease::holder;
use smol_str::SmolStr;

/// Request counts by account.
pub type Counts = BTreeMap<SmolStr, u64>;
/// Request counts by window and account.
pub type Windows = BTreeMap<u64, Counts>;

/// Number of windows kept and exchanged. Reports are due two windows after a window's end, so that an entry
/// that was cut off for some seconds still delivers its counts in time.
const RETAINED_WINDOWS: u64 = 8;
/// Clock differences up to this are ignored, since messages take that long.
const CLOCK_SLACK_MS: i64 = 250;

/// Usage counts of all entries.
#[derive(Debug, Default)]
pub(crate) struct Usage {
    window_ms: u64,
    /// Unix time at the start of the process, by its wall clock.
    zero_unix_ms: u64,
    /// Correction of that clock by those of other entries, in milliseconds.
    correction_ms: i64,
    own: Windows,
    peers: BTreeMap<holder::Id, Windows>,
    /// Totals that a former holder of the duties saved, if counts are exchanged by hubs.
    restored: Windows,
    /// Whether the clocks of others were compared with it.
    is_clock_confirmed: bool,
    /// By how much each peer's clock is ahead of ours, in milliseconds.
    clock_offsets: BTreeMap<holder::Id, i64>,
}

impl Usage {
    /// Creates counts with windows of `window_ms`, for a wall clock that read `zero_unix_ms` at the start.
    pub fn new(window_ms: u64, zero_unix_ms: u64) -> Usage {
        Usage {
            window_ms: window_ms.max(1),
            zero_unix_ms,
            ..Usage::default()
        }
    }

    /// Returns the Unix time in milliseconds.
    ///
    /// The wall clock is read only at the start, since it may jump later. If it was wrong then, the median of
    /// all entries' clocks corrects it.
    pub fn unix_ms(&self, now: Time) -> u64 {
        let unix = self.zero_unix_ms + now.as_millis();
        unix.saturating_add_signed(self.correction_ms)
    }

    /// Returns whether the time was compared with that of other entries.
    pub fn is_clock_confirmed(&self) -> bool {
        self.is_clock_confirmed
    }

    /// Returns the window that contains `at`.
    pub fn window(&self, at: Time) -> u64 {
        self.unix_ms(at) / self.window_ms
    }

    /// Returns the milliseconds since a window's end; negative before it.
    pub fn since_end(&self, now: Time, window: u64) -> i64 {
        let end = (window + 1) * self.window_ms;
        self.unix_ms(now) as i64 - end as i64
    }

    /// Counts a request that started to run.
    pub fn record_start(&mut self, at: Time, account: &SmolStr) {
        let window = self.window(at);
        let counts = self.own.entry(window).or_default();
        *counts.entry(account.clone()).or_default() += 1;
    }

    /// Returns this entry's own counts.
    pub fn own_windows(&self) -> &Windows {
        &self.own
    }

    /// Replaces the counts of a peer.
    pub fn absorb(&mut self, peer: holder::Id, windows: Windows) {
        self.peers.insert(peer, windows);
    }

    /// Merges the sum of all other entries' counts. No count decreases: a lower sum comes from a hub that
    /// hasn't received all of them yet.
    pub fn absorb_sum(&mut self, peer: holder::Id, windows: &Windows) {
        merge_max(self.peers.entry(peer).or_default(), windows);
    }

    /// Records a peer's clock and updates the correction to the median of all clocks.
    pub fn record_clock(&mut self, now: Time, peer: holder::Id, unix_ms: u64) {
        self.clock_offsets
            .insert(peer, self.clock_offset(now, unix_ms));
        let mut clocks: Vec<i64> = self.clock_offsets.values().copied().chain([0]).collect();
        clocks.sort_unstable();
        self.set_correction(clocks[clocks.len() / 2]);
    }

    /// Adopts a hub's time, which is already the median of all clocks.
    pub fn follow_clock(&mut self, now: Time, unix_ms: u64) {
        self.set_correction(self.clock_offset(now, unix_ms));
    }

    /// Returns the counts of all entries for a window.
    pub fn total(&self, window: u64) -> Counts {
        let mut total = Counts::new();
        let all = self.peers.values().chain([&self.own]);
        for counts in all.filter_map(|windows| windows.get(&window)) {
            for (account, count) in counts {
                *total.entry(account.clone()).or_default() += count;
            }
        }
        match self.restored.get(&window) {
            Some(restored) if sum(restored) > sum(&total) => restored.clone(),
            _ => total,
        }
    }

    /// Returns each entry's counts for a window; `me` is this entry.
    pub fn by_entry(
        &self,
        window: u64,
        me: holder::Id,
    ) -> impl Iterator<Item = (holder::Id, &Counts)> {
        let all = self.peers.iter().map(|(id, windows)| (*id, windows));
        all.chain([(me, &self.own)])
            .filter_map(move |(id, windows)| Some((id, windows.get(&window)?)))
    }

    /// Restores an entry's counts saved by a former holder, unless more of its requests are known.
    pub fn restore(&mut self, entry: holder::Id, window: u64, counts: Counts) {
        let stored = self
            .peers
            .entry(entry)
            .or_default()
            .entry(window)
            .or_default();
        if sum(&counts) > sum(stored) {
            *stored = counts;
        }
    }

    /// Restores the total saved by a former holder.
    pub fn restore_total(&mut self, window: u64, counts: Counts) {
        self.restored.insert(window, counts);
    }

    /// Drops the counts and clocks of single peers, which a sum replaces from here on.
    pub fn forget_peers(&mut self) {
        self.peers.clear();
        self.clock_offsets.clear();
    }

    /// Returns the uncorrected time, for comparison by peers; corrected clocks would follow each other.
    pub fn raw_unix_ms(&self, now: Time) -> u64 {
        self.zero_unix_ms + now.as_millis()
    }

    /// Returns the oldest window that may still be reported.
    pub fn oldest(&self, now: Time) -> u64 {
        self.window(now).saturating_sub(RETAINED_WINDOWS)
    }

    /// Drops windows that are too old to be reported.
    pub fn expire(&mut self, now: Time) {
        let oldest = self.oldest(now);
        self.own.retain(|window, _| *window >= oldest);
        self.restored.retain(|window, _| *window >= oldest);
        for windows in self.peers.values_mut() {
            windows.retain(|window, _| *window >= oldest);
        }
        self.peers.retain(|_, windows| !windows.is_empty());
    }

    fn clock_offset(&self, now: Time, unix_ms: u64) -> i64 {
        unix_ms as i64 - self.raw_unix_ms(now) as i64
    }

    /// Corrects our clock if it is off by more than [`CLOCK_SLACK_MS`].
    fn set_correction(&mut self, ahead_ms: i64) {
        self.is_clock_confirmed = true;
        self.correction_ms = match ahead_ms.abs() > CLOCK_SLACK_MS {
            true => ahead_ms,
            false => 0,
        };
    }
}

/// Raises each count to the one in `other` if that is higher.
pub(crate) fn merge_max(into: &mut Windows, other: &Windows) {
    for (window, counts) in other {
        let into = into.entry(*window).or_default();
        for (account, count) in counts {
            let most = into.entry(account.clone()).or_default();
            *most = (*most).max(*count);
        }
    }
}

fn sum(counts: &Counts) -> u64 {
    counts.values().sum()
}
