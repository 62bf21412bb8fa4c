//! How many requests of each account began to run, by window of true time.
//!
//! Each entry counts its own and tells all others, so that whoever holds the duty can add them up. What a
//! killed entry told stays with its peers; only what it had not told yet is lost.

use std::collections::BTreeMap;

use clock::Time;
use lease::holder;
use smol_str::SmolStr;

/// Requests by account.
pub type Counts = BTreeMap<SmolStr, u64>;
/// Requests by window and account.
pub type Windows = BTreeMap<u64, Counts>;

/// Windows that are kept and told: reports are due two windows after a window's end, and an entry that
/// was cut off for some seconds still brings its counts in time.
const RETAINED_WINDOWS: u64 = 8;
/// Clocks that differ by less are left alone: messages take that long.
const CLOCK_SLACK_MS: i64 = 250;

/// Counts of all entries.
#[derive(Debug, Default)]
pub(crate) struct Usage {
    window_ms: u64,
    /// Unix time at the start of the process, as its wall clock said then.
    zero_unix_ms: u64,
    /// By how much that clock was behind the others'.
    correction_ms: i64,
    own: Windows,
    peers: BTreeMap<holder::Id, Windows>,
    /// What a former holder of the duty knew of all entries together, where counts travel by hubs.
    restored: Windows,
    /// By how much each peer's clock is ahead of ours.
    clock_offsets: BTreeMap<holder::Id, i64>,
}

impl Usage {
    /// Counts in windows of this length; the wall clock read `zero_unix_ms` at the start.
    pub fn new(window_ms: u64, zero_unix_ms: u64) -> Usage {
        Usage {
            window_ms: window_ms.max(1),
            zero_unix_ms,
            ..Usage::default()
        }
    }

    /// Unix time in milliseconds.
    ///
    /// The wall clock is read once, at the start, since it may jump later. Should it have been wrong just
    /// then, the median of all entries' clocks puts it right.
    pub fn unix_ms(&self, now: Time) -> u64 {
        let unix = self.zero_unix_ms + now.as_millis();
        unix.saturating_add_signed(self.correction_ms)
    }

    /// The window that a moment belongs to.
    pub fn window(&self, at: Time) -> u64 {
        self.unix_ms(at) / self.window_ms
    }

    /// Milliseconds since a window's end; negative before it.
    pub fn since_end(&self, now: Time, window: u64) -> i64 {
        let end = (window + 1) * self.window_ms;
        self.unix_ms(now) as i64 - end as i64
    }

    /// A request of this account began to run.
    pub fn record_start(&mut self, at: Time, account: &SmolStr) {
        let window = self.window(at);
        let counts = self.own.entry(window).or_default();
        *counts.entry(account.clone()).or_default() += 1;
    }

    /// What to tell the others.
    pub fn own_windows(&self) -> &Windows {
        &self.own
    }

    /// Takes in what another entry tells.
    pub fn absorb(&mut self, peer: holder::Id, windows: Windows) {
        self.peers.insert(peer, windows);
    }

    /// Takes in what all others have counted together. Nobody's count falls: a sum that tells less comes from an
    /// entry that hasn't heard all of them yet.
    pub fn absorb_sum(&mut self, peer: holder::Id, windows: &Windows) {
        merge_max(self.peers.entry(peer).or_default(), windows);
    }

    /// Notes what another entry's clock read.
    pub fn record_clock(&mut self, now: Time, peer: holder::Id, unix_ms: u64) {
        self.clock_offsets
            .insert(peer, self.clock_offset(now, unix_ms));
        let mut clocks: Vec<i64> = self.clock_offsets.values().copied().chain([0]).collect();
        clocks.sort_unstable();
        self.set_correction(clocks[clocks.len() / 2]);
    }

    /// Follows a hub's time, which is the median of all clocks already.
    pub fn follow_clock(&mut self, now: Time, unix_ms: u64) {
        self.set_correction(self.clock_offset(now, unix_ms));
    }

    /// Requests of all entries in a window.
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

    /// Requests of each entry in a window; `me` counts its own.
    pub fn by_entry(
        &self,
        window: u64,
        me: holder::Id,
    ) -> impl Iterator<Item = (holder::Id, &Counts)> {
        let all = self.peers.iter().map(|(id, windows)| (*id, windows));
        all.chain([(me, &self.own)])
            .filter_map(move |(id, windows)| Some((id, windows.get(&window)?)))
    }

    /// Adds what an entry had told a former holder, unless more of it was heard.
    pub fn restore(&mut self, entry: holder::Id, window: u64, counts: Counts) {
        let known = self
            .peers
            .entry(entry)
            .or_default()
            .entry(window)
            .or_default();
        if sum(&counts) > sum(known) {
            *known = counts;
        }
    }

    /// Notes what a former holder knew of all entries together.
    pub fn restore_total(&mut self, window: u64, counts: Counts) {
        self.restored.insert(window, counts);
    }

    /// Forgets what single entries told; from here on one sum stands for all.
    pub fn forget_peers(&mut self) {
        self.peers.clear();
        self.clock_offsets.clear();
    }

    /// The clock as it read at the start, for peers to compare: uncorrected, or all would follow each other.
    pub fn raw_unix_ms(&self, now: Time) -> u64 {
        self.zero_unix_ms + now.as_millis()
    }

    /// The oldest window that may still be reported.
    pub fn oldest(&self, now: Time) -> u64 {
        self.window(now).saturating_sub(RETAINED_WINDOWS)
    }

    /// Forgets what is too old to be reported.
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

    /// Puts our clock right if it differs.
    fn set_correction(&mut self, ahead_ms: i64) {
        self.correction_ms = match ahead_ms.abs() > CLOCK_SLACK_MS {
            true => ahead_ms,
            false => 0,
        };
    }
}

/// Raises each count to what the other one tells, if that is more.
pub(crate) fn merge_max(into: &mut Windows, told: &Windows) {
    for (window, counts) in told {
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
