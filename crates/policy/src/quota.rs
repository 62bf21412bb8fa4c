//! Quotas of client accounts that hold over all entries, by counts that the entries exchange.
//!
//! An account sends a multiple of its quota through all entries at once, in bursts. Equal shares refuse an
//! account that is within its quota whenever its requests meet the same entry; shares that follow demand
//! ([`crate::limit`]) arrive a period late for requests that are each as large as an entry's share of a
//! second. Here every entry keeps the whole account's token bucket: it charges its own requests immediately
//! and those of other entries when their counts arrive.
//!
//! Each account has two buckets: its quota, and the overrun that the platform allows. A request takes from
//! the overrun only if the quota has no room. With a single bucket, requests beyond the quota would use it
//! up, and the next one within the quota would be refused.
//!
//! These rules keep the sum within the quota:
//! - The likely charges of peers since their last messages, by their recent rates, are held back.
//! - Charges that passed unseen become a debt, which is paid off before anything else is granted.
//! - A few entries exchange counts directly: what they grant unseen in a quarter of a second is well below
//!   the allowed overrun and becomes a debt. Equal shares refused large requests while half of the burst was
//!   left.
//! - Among many entries one decides for all ([`crate::charge`]). An entry that can't reach it grants a share:
//!   while less is left than all others could grant at the same moment, it grants no more than its equal
//!   share of the refill. Counts of many others are old: each time a debt was paid off all entries found room
//!   at once, and 79 entries served a third more than the quota at eight times its rate. The level rises
//!   above that as soon as some entries use less than their shares, which others may then use.
//! - An entry that starts assumes a part of the burst to be left, in proportion to the entries that it knows. Entries that
//!   start together take different ones for an account's home at first, each of which would grant that part.
//! - A silent peer is assumed to use its equal share. It does not use more: an entry that receives no counts
//!   refills its bucket at exactly that share.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;

use crate::configs::quota::Config;
use crate::fair::Cost;

/// Identifies an account among entries: a hash of its name.
pub type Name = u64;

/// Total charged per account since an entry started; decreases only by refunds.
pub type Counts = BTreeMap<Name, Cost>;

/// Quotas of all accounts, as one entry keeps them.
#[derive(Debug)]
pub struct Quotas {
    config: Config,
    entries: u32,
    /// Largest number of entries known to be live so far, this one included.
    known: u32,
    buckets: BTreeMap<Name, Bucket>,
    peers: BTreeMap<u64, Peer>,
    refilled_at: Time,
}

/// Token bucket of one account, as this entry sees it.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Refill over all entries, tokens per second.
    rate: f64,
    /// Capacity, tokens.
    burst: f64,
    /// Tokens left; negative while a debt is paid off.
    level: f64,
    /// Charged by this entry since its start, tokens.
    charged: Cost,
    /// Tokens that this entry may grant while the account is short; `None` before the first request.
    share: Option<f64>,
    /// Largest request so far, tokens; caps the saved share.
    largest: f64,
    /// End of the shortage that the last refusal here started.
    short_until: Time,
}

/// Another entry, or several whose counts arrive as a sum.
#[derive(Clone, Debug)]
struct Peer {
    received_at: Time,
    /// Number of entries in its counts.
    entries: u32,
    counts: Counts,
    /// Rate at which it charges each account, tokens per second.
    rates: BTreeMap<Name, f64>,
    /// Charged to each account on its behalf while it was silent.
    assumed: BTreeMap<Name, f64>,
    /// Whether `assumed` holds the likely charges between its last message and its timeout.
    settled: bool,
}

impl Quotas {
    /// Creates an instance without quotas and peers, of an entry that shares them with `entries` in all.
    pub fn new(config: Config, entries: u32) -> Quotas {
        Quotas {
            config,
            entries: entries.max(1),
            known: 1,
            buckets: BTreeMap::new(),
            peers: BTreeMap::new(),
            refilled_at: Time::ZERO,
        }
    }

    /// Sets the number of entries that share the quotas, this one included.
    pub fn set_entries(&mut self, now: Time, entries: u32) {
        self.refill(now);
        self.entries = entries.max(1);
    }

    /// Sets the number of entries known to be live, this one included; a larger one raises what is assumed to be left of
    /// the bursts.
    pub fn set_known(&mut self, now: Time, known: u32) {
        if known <= self.known {
            return;
        }
        self.refill(now);
        let before = self.known_share();
        self.known = known;
        let newly_known = (self.known_share() - before).max(0.0);
        for bucket in self.buckets.values_mut() {
            let credit = bucket.burst * self.config.initial_level * newly_known;
            bucket.level = (bucket.level + credit).min(bucket.burst);
        }
    }

    /// Returns the fraction of the entries that are known to be live.
    fn known_share(&self) -> f64 {
        (f64::from(self.known) / f64::from(self.entries)).min(1.0)
    }

    /// Sets an account's quota; a rate of zero removes it.
    pub fn set_quota(&mut self, now: Time, name: Name, rate: u64, burst: u64) {
        self.refill(now);
        if rate == 0 {
            self.buckets.remove(&name);
            self.buckets.remove(&overrun_of(name));
            return;
        }
        self.set_bucket(name, rate as f64, burst as f64);
        if self.config.overrun_burst > 0 {
            let overrun = rate as f64 * self.config.overrun_fraction;
            self.set_bucket(overrun_of(name), overrun, self.config.overrun_burst as f64);
        }
    }

    fn set_bucket(&mut self, name: Name, rate: f64, burst: f64) {
        let initial_level = self.config.initial_level * self.known_share();
        let bucket = self.buckets.entry(name).or_insert(Bucket {
            rate,
            burst,
            level: burst * initial_level,
            charged: 0,
            share: None,
            largest: 0.0,
            short_until: Time::ZERO,
        });
        bucket.rate = rate;
        bucket.burst = burst;
        bucket.level = bucket.level.min(burst);
    }

    /// Removes the quotas of accounts that are not in `names`.
    pub fn retain(&mut self, names: &[Name]) {
        let is_kept = |name| names.contains(&name) || names.contains(&overrun_of(name));
        self.buckets.retain(|name, _| is_kept(*name));
    }

    /// Charges a request; returns the charged bucket, or the time after which to retry.
    ///
    /// A request larger than the burst is granted when the bucket is full.
    pub fn charge(&mut self, now: Time, name: Name, cost: Cost) -> Result<Name, Span> {
        let share_only = self.entries > self.config.max_direct;
        self.charge_buckets(now, name, cost, share_only)
    }

    /// Charges a request of any entry as the account's home, which decides for all.
    pub fn charge_as_home(&mut self, now: Time, name: Name, cost: Cost) -> Result<Name, Span> {
        self.charge_buckets(now, name, cost, false)
    }

    /// Returns whether an account has a quota.
    pub fn is_limited(&self, name: Name) -> bool {
        self.buckets.contains_key(&name)
    }

    fn charge_buckets(
        &mut self,
        now: Time,
        name: Name,
        cost: Cost,
        share_only: bool,
    ) -> Result<Name, Span> {
        self.refill(now);
        let Err(after) = self.take(now, name, cost, share_only) else {
            return Ok(name);
        };
        let overrun = overrun_of(name);
        match self.is_limited(overrun) && self.take(now, overrun, cost, share_only).is_ok() {
            true => Ok(overrun),
            false => Err(after),
        }
    }

    /// Takes from one bucket, or returns when there is room; with `share_only`, at most this entry's share.
    fn take(&mut self, now: Time, name: Name, cost: Cost, share_only: bool) -> Result<(), Span> {
        let unseen = self.unseen(now, name);
        let config = self.config;
        let others = f64::from(self.entries - 1);
        let Some(bucket) = self.buckets.get_mut(&name) else {
            return Ok(());
        };
        let needed = (cost as f64).min(bucket.burst);
        let left = bucket.level - unseen;
        if left < needed {
            bucket.short_until = now + config.shortage_hold;
            return Err(config.wait(needed - left, bucket.rate));
        }
        if share_only {
            bucket.take_share(now, &config, needed, left, others)?;
        }
        bucket.level -= cost as f64;
        bucket.charged += cost;
        Ok(())
    }

    /// Returns the tokens left of a quota, as far as known here; negative while a debt is paid off.
    pub fn remaining(&self, now: Time, name: Name) -> f64 {
        let level = self.buckets.get(&name).map_or(0.0, |bucket| bucket.level);
        level - self.unseen(now, name)
    }

    /// Returns the tokens that this entry may grant while the account is short.
    pub fn share(&self, name: Name) -> f64 {
        let bucket = self.buckets.get(&name);
        bucket.and_then(|bucket| bucket.share).unwrap_or(0.0)
    }

    /// Refunds the cost of a request that didn't run to `name`, the bucket it was charged to.
    pub fn refund(&mut self, name: Name, cost: Cost) {
        if let Some(bucket) = self.buckets.get_mut(&name) {
            bucket.level = (bucket.level + cost as f64).min(bucket.burst);
            bucket.share = bucket.share.map(|share| share + cost as f64);
            bucket.charged = bucket.charged.saturating_sub(cost);
        }
    }

    /// Returns the totals charged by this entry, for its peers.
    pub fn counts(&self) -> Counts {
        let counts = self.buckets.iter();
        counts
            .map(|(name, bucket)| (*name, bucket.charged))
            .collect()
    }

    /// Charges the totals of a peer.
    pub fn absorb(&mut self, now: Time, peer: u64, counts: &Counts) {
        self.refill(now);
        let Some(state) = self.peers.get_mut(&peer) else {
            self.peers.insert(peer, Peer::new(now, counts));
            return;
        };
        // Delayed messages arrive in bunches; the later counts were not charged in the gap between arrivals.
        let gap = now.since(state.received_at).max(self.config.min_interval);
        let seconds = gap.as_millis() as f64 / 1_000.0;
        for (name, count) in counts {
            let before = state.counts.get(name).copied().unwrap_or(0);
            let charged = *count as f64 - before as f64;
            let assumed = state.assumed.remove(name).unwrap_or(0.0);
            if let Some(bucket) = self.buckets.get_mut(name) {
                bucket.level = (bucket.level - charged + assumed).min(bucket.burst);
            }
            let rate = state.rates.entry(*name).or_default();
            *rate += self.config.smoothing * ((charged / seconds).max(0.0) - *rate);
        }
        state.counts = counts.clone();
        state.received_at = now;
        state.settled = false;
    }

    /// Takes the sum of `entries` peers as the new baseline and charges nothing: it is not comparable with
    /// the previous sum.
    pub fn rebase(&mut self, now: Time, peer: u64, counts: &Counts, entries: u32) {
        self.refill(now);
        let state = self
            .peers
            .entry(peer)
            .or_insert_with(|| Peer::new(now, counts));
        state.received_at = now;
        state.entries = entries;
        state.counts = counts.clone();
        state.settled = false;
    }

    /// Charges the sum of `entries` peers. A sum that falls no longer includes one of them and refunds
    /// nothing.
    pub fn absorb_sum(&mut self, now: Time, peer: u64, counts: &Counts, entries: u32) {
        let mut rising = counts.clone();
        if let Some(state) = self.peers.get(&peer) {
            for (name, count) in &mut rising {
                *count = (*count).max(state.counts.get(name).copied().unwrap_or(0));
            }
        }
        self.absorb(now, peer, &rising);
        if let Some(state) = self.peers.get_mut(&peer) {
            state.counts = counts.clone();
            state.entries = entries;
        }
    }

    /// Removes a peer that is gone; nothing is held back for it any more.
    pub fn remove_peer(&mut self, now: Time, peer: u64) {
        self.refill(now);
        self.peers.remove(&peer);
    }

    /// Returns the likely charges of peers since their last messages.
    fn unseen(&self, now: Time, name: Name) -> f64 {
        let fresh = self
            .peers
            .values()
            .filter(|peer| peer.is_fresh(now, &self.config));
        let likely = fresh.map(|peer| {
            let seconds = now.since(peer.received_at).as_millis() as f64 / 1_000.0;
            peer.rates.get(&name).copied().unwrap_or(0.0) * seconds
        });
        likely.sum()
    }

    /// Charges what newly silent peers are likely to have used before their timeout.
    ///
    /// What was held back for them would otherwise become free at the timeout: every entry that was cut off
    /// in a flood granted it a second time.
    fn charge_timed_out(&mut self, now: Time) {
        let config = self.config;
        let seconds = config.peer_timeout.as_millis() as f64 / 1_000.0;
        let timed_out = self
            .peers
            .values_mut()
            .filter(|peer| !peer.settled && !peer.is_fresh(now, &config));
        for peer in timed_out {
            peer.settled = true;
            for (name, rate) in &peer.rates {
                if let Some(bucket) = self.buckets.get_mut(name) {
                    bucket.level -= rate * seconds;
                    *peer.assumed.entry(*name).or_default() += rate * seconds;
                }
            }
        }
    }

    /// Refills the buckets, less the equal shares of silent peers.
    fn refill(&mut self, now: Time) {
        let seconds = now.since(self.refilled_at).as_millis() as f64 / 1_000.0;
        self.refilled_at = now;
        if seconds == 0.0 {
            return;
        }
        let config = self.config;
        self.charge_timed_out(now);
        let fresh = self
            .peers
            .values()
            .filter(|peer| peer.is_fresh(now, &config));
        // No more shares than missing entries: an entry that ended was replaced by another.
        let reported: u32 = fresh.map(|peer| peer.entries).sum();
        let missing = (self.entries - 1).saturating_sub(reported) as usize;
        self.peers
            .retain(|_, peer| now.since(peer.received_at) < config.peer_expiry);
        let mut silent: Vec<&mut Peer> = self
            .peers
            .values_mut()
            .filter(|peer| !peer.is_fresh(now, &config))
            .collect();
        silent.sort_by_key(|peer| std::cmp::Reverse(peer.received_at));
        for (name, bucket) in &mut self.buckets {
            let equal_share = bucket.rate * seconds / f64::from(self.entries);
            for peer in silent.iter_mut().take(missing) {
                *peer.assumed.entry(*name).or_default() += equal_share;
            }
            let refill = bucket.rate * seconds - equal_share * missing as f64;
            bucket.level = (bucket.level + refill).min(bucket.burst);
            // Shares saved up while a debt is paid off would all be granted at its end.
            if bucket.level > 0.0 {
                // What silent entries leave of their shares is unknown.
                let boost = match missing {
                    0 => bucket.share_boost(&config),
                    _ => 1.0,
                };
                let grown = bucket
                    .share
                    .map(|saved| (saved + equal_share * boost).min(bucket.largest));
                bucket.share = grown;
            }
        }
    }
}

/// Returns the name of an account's overrun bucket, and for the overrun bucket that of the account.
fn overrun_of(name: Name) -> Name {
    !name
}

impl Config {
    /// Returns the time in which that many tokens are refilled.
    fn wait(&self, tokens: f64, rate: f64) -> Span {
        let seconds = tokens / rate.max(1.0);
        Span::from_millis((seconds * 1_000.0) as u64).max(self.min_interval)
    }
}

impl Bucket {
    /// Takes from this entry's share if the account is short.
    fn take_share(
        &mut self,
        now: Time,
        config: &Config,
        needed: f64,
        left: f64,
        others: f64,
    ) -> Result<(), Span> {
        self.largest = self.largest.max(needed);
        let reserve = (needed * others).min(self.burst * config.reserve);
        let recovered = left >= self.burst * config.recovered;
        let short = left < needed + reserve || now < self.short_until && !recovered;
        let first = self.burst / (others + 1.0);
        let share = self.share.get_or_insert(first);
        if short && *share < needed {
            self.short_until = now + config.shortage_hold;
            return Err(config.wait(needed - *share, self.rate / (others + 1.0)));
        }
        *share = (*share - needed).max(0.0);
        Ok(())
    }

    /// Returns the factor by which shares may grow because other entries leave some of theirs.
    fn share_boost(&self, config: &Config) -> f64 {
        let left = self.level / (self.burst * config.reserve).max(1.0);
        1.0 + (config.max_boost - 1.0) * left.clamp(0.0, 1.0)
    }
}

impl Peer {
    fn new(now: Time, counts: &Counts) -> Peer {
        Peer {
            received_at: now,
            entries: 1,
            counts: counts.clone(),
            rates: BTreeMap::new(),
            assumed: BTreeMap::new(),
            settled: false,
        }
    }

    fn is_fresh(&self, now: Time, config: &Config) -> bool {
        now.since(self.received_at) < config.peer_timeout
    }
}
