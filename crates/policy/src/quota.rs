//! Quotas of client accounts that hold over all entries, by counts that entries tell each other.
//!
//! Load pattern: an account sends many times what it may, through all entries at once, in clumps. Equal
//! parts refuse an account that is within its quota whenever its requests meet the same entry; shares
//! that follow demand ([`crate::limit`]) come a period late for requests that each are as large as an
//! entry's part of a second. Here every entry keeps the whole account's token bucket: it charges its own
//! requests at once and those of others as their counts arrive.
//!
//! Two buckets an account: its quota, and what the platform lets pass beyond it. A request takes from the quota, and
//! from the other one only if the quota has no room. Were both one bucket, those that ask for more than the quota
//! would use it up, and whoever came next within the quota would be refused.
//!
//! What keeps the sum within the quota:
//! - What others are likely to have charged since they spoke last, by their recent rate, is held back.
//! - What came through unseen all the same is a debt, paid off before anybody is served again.
//! - Few entries hear each other directly: what they give away in a quarter of a second unseen is well under what the
//!   platform lets pass, and is a debt. Equal parts refused large requests while half of the burst was left.
//! - Among many, one entry decides for all ([`crate::charge`]). An entry that can't ask it takes part of the quota:
//!   while less is left than all others could give away in the same moment, an entry gives no more than
//!   its equal part of what comes in. What one hears of many others is old: with each debt that was paid off all of
//!   them found room at once, and 79 entries let through a third more than the quota at eight times its rate.
//!   More than that is left as soon as some use less than their parts, and then others may use it.
//! - A silent peer is taken to use its equal part. It does not use more: an entry that hears nobody
//!   fills its bucket at just that part.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;

use crate::configs::quota::Config;
use crate::fair::Cost;

/// Names an account among entries: a hash of its name.
pub type Name = u64;

/// What an entry has charged since it started; never falls but for refunds.
pub type Counts = BTreeMap<Name, Cost>;

/// The quotas of one entry.
#[derive(Debug)]
pub struct Quotas {
    config: Config,
    entries: u32,
    buckets: BTreeMap<Name, Bucket>,
    peers: BTreeMap<u64, Peer>,
    filled: Time,
}

/// One account's quota, as seen from here.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Tokens a second over all entries.
    rate: f64,
    /// Most that is saved up, tokens.
    burst: f64,
    /// What is left; below zero while a debt is paid off.
    level: f64,
    /// Charged here since the start, tokens.
    own: Cost,
    /// What this entry may give of an account that is short, tokens; none before the first request.
    part: Option<f64>,
    /// The largest request so far, tokens: parts are saved up to that.
    largest: f64,
    /// Until when it counts as short, since it was refused something here.
    short_until: Time,
}

/// Another entry.
#[derive(Clone, Debug)]
struct Peer {
    heard: Time,
    /// How many entries it speaks for.
    entries: u32,
    counts: Counts,
    /// Tokens a second that it charges each account.
    rates: BTreeMap<Name, f64>,
    /// Charged to each account for it while it was silent.
    assumed: BTreeMap<Name, f64>,
    /// Whether `assumed` holds what it is likely to have charged before it was taken for silent.
    settled: bool,
}

impl Quotas {
    /// No quotas and no peers yet.
    pub fn new(config: Config) -> Quotas {
        Quotas {
            config,
            entries: 1,
            buckets: BTreeMap::new(),
            peers: BTreeMap::new(),
            filled: Time::ZERO,
        }
    }

    /// How many entries share the quotas, this one included.
    pub fn set_entries(&mut self, now: Time, entries: u32) {
        self.fill(now);
        self.entries = entries.max(1);
    }

    /// Sets an account's quota; a rate of zero lifts it.
    pub fn set_quota(&mut self, now: Time, name: Name, rate: u64, burst: u64) {
        self.fill(now);
        if rate == 0 {
            self.buckets.remove(&name);
            self.buckets.remove(&beyond(name));
            return;
        }
        self.set_bucket(name, rate as f64, burst as f64);
        if self.config.overrun_burst > 0 {
            let spare = rate as f64 * self.config.overrun_fraction;
            self.set_bucket(beyond(name), spare, self.config.overrun_burst as f64);
        }
    }

    fn set_bucket(&mut self, name: Name, rate: f64, burst: f64) {
        let bucket = self.buckets.entry(name).or_insert(Bucket {
            rate,
            burst,
            level: burst * self.config.start,
            own: 0,
            part: None,
            largest: 0.0,
            short_until: Time::ZERO,
        });
        bucket.rate = rate;
        bucket.burst = burst;
        bucket.level = bucket.level.min(burst);
    }

    /// Drops the quotas of accounts that aren't among `names` any more.
    pub fn retain(&mut self, names: &[Name]) {
        let kept = |name| names.contains(&name) || names.contains(&beyond(name));
        self.buckets.retain(|name, _| kept(*name));
    }

    /// Charges a request and names what it was charged to, or says when to come back.
    ///
    /// One that is larger than the burst passes when the bucket is full.
    pub fn charge(&mut self, now: Time, name: Name, cost: Cost) -> Result<Name, Span> {
        let in_parts = self.entries > self.config.few;
        self.charge_from(now, name, cost, in_parts)
    }

    /// The same for a request of any entry, as the one that decides on the account: other entries give nothing.
    pub fn charge_as_home(&mut self, now: Time, name: Name, cost: Cost) -> Result<Name, Span> {
        self.charge_from(now, name, cost, false)
    }

    /// Whether an account has a quota.
    pub fn is_limited(&self, name: Name) -> bool {
        self.buckets.contains_key(&name)
    }

    fn charge_from(
        &mut self,
        now: Time,
        name: Name,
        cost: Cost,
        in_parts: bool,
    ) -> Result<Name, Span> {
        self.fill(now);
        let Err(after) = self.take(now, name, cost, in_parts) else {
            return Ok(name);
        };
        let spare = beyond(name);
        match self.is_limited(spare) && self.take(now, spare, cost, in_parts).is_ok() {
            true => Ok(spare),
            false => Err(after),
        }
    }

    /// Takes from one bucket, or says when there is room; `in_parts`, no more than this entry's part of it.
    fn take(&mut self, now: Time, name: Name, cost: Cost, in_parts: bool) -> Result<(), Span> {
        let unseen = self.unseen(now, name);
        let config = self.config;
        let others = f64::from(self.entries - 1);
        let Some(bucket) = self.buckets.get_mut(&name) else {
            return Ok(());
        };
        let needed = (cost as f64).min(bucket.burst);
        let left = bucket.level - unseen;
        if left < needed {
            bucket.short_until = now + config.short;
            return Err(config.wait(needed - left, bucket.rate));
        }
        if in_parts {
            bucket.take_part(now, &config, needed, left, others)?;
        }
        bucket.level -= cost as f64;
        bucket.own += cost;
        Ok(())
    }

    /// What is left of a quota, by what is known here; below zero while a debt is paid off.
    pub fn remaining(&self, now: Time, name: Name) -> f64 {
        let level = self.buckets.get(&name).map_or(0.0, |bucket| bucket.level);
        level - self.unseen(now, name)
    }

    /// What this entry may give of the account while it is short.
    pub fn share(&self, name: Name) -> f64 {
        let bucket = self.buckets.get(&name);
        bucket.and_then(|bucket| bucket.part).unwrap_or(0.0)
    }

    /// Takes back the charge of a request that didn't run; `name` is what it was charged to.
    pub fn refund(&mut self, name: Name, cost: Cost) {
        if let Some(bucket) = self.buckets.get_mut(&name) {
            bucket.level = (bucket.level + cost as f64).min(bucket.burst);
            bucket.part = bucket.part.map(|part| part + cost as f64);
            bucket.own = bucket.own.saturating_sub(cost);
        }
    }

    /// What this entry has charged, for the others.
    pub fn counts(&self) -> Counts {
        let counts = self.buckets.iter();
        counts.map(|(name, bucket)| (*name, bucket.own)).collect()
    }

    /// Takes in what another entry has charged.
    pub fn absorb(&mut self, now: Time, peer: u64, counts: &Counts) {
        self.fill(now);
        let Some(known) = self.peers.get_mut(&peer) else {
            self.peers.insert(peer, Peer::new(now, counts));
            return;
        };
        // Messages that were held up come in a bunch; what the later ones tell wasn't charged between them.
        let passed = now.since(known.heard).max(self.config.shortest);
        let seconds = passed.as_millis() as f64 / 1_000.0;
        for (name, count) in counts {
            let before = known.counts.get(name).copied().unwrap_or(0);
            let charged = *count as f64 - before as f64;
            let assumed = known.assumed.remove(name).unwrap_or(0.0);
            if let Some(bucket) = self.buckets.get_mut(name) {
                bucket.level = (bucket.level - charged + assumed).min(bucket.burst);
            }
            let rate = known.rates.entry(*name).or_default();
            *rate += self.config.smoothing * ((charged / seconds).max(0.0) - *rate);
        }
        known.counts = counts.clone();
        known.heard = now;
        known.settled = false;
    }

    /// Takes what `entries` others have charged together as known, and charges nothing for it: they told another
    /// sum before.
    pub fn rebase(&mut self, now: Time, peer: u64, counts: &Counts, entries: u32) {
        self.fill(now);
        let known = self
            .peers
            .entry(peer)
            .or_insert_with(|| Peer::new(now, counts));
        known.heard = now;
        known.entries = entries;
        known.counts = counts.clone();
        known.settled = false;
    }

    /// Takes in what `entries` others have charged together. A sum that falls tells that one of them is not
    /// counted in it any more, and gives nothing back.
    pub fn absorb_sum(&mut self, now: Time, peer: u64, counts: &Counts, entries: u32) {
        let mut rising = counts.clone();
        if let Some(known) = self.peers.get(&peer) {
            for (name, count) in &mut rising {
                *count = (*count).max(known.counts.get(name).copied().unwrap_or(0));
            }
        }
        self.absorb(now, peer, &rising);
        if let Some(known) = self.peers.get_mut(&peer) {
            known.counts = counts.clone();
            known.entries = entries;
        }
    }

    /// The other entry is gone: nothing is held back for it any more.
    pub fn remove_peer(&mut self, now: Time, peer: u64) {
        self.fill(now);
        self.peers.remove(&peer);
    }

    /// What others are likely to have charged since they spoke.
    fn unseen(&self, now: Time, name: Name) -> f64 {
        let fresh = self
            .peers
            .values()
            .filter(|peer| peer.is_fresh(now, &self.config));
        let likely = fresh.map(|peer| {
            let seconds = now.since(peer.heard).as_millis() as f64 / 1_000.0;
            peer.rates.get(&name).copied().unwrap_or(0.0) * seconds
        });
        likely.sum()
    }

    /// Charges what peers that have fallen silent are likely to have used until then.
    ///
    /// Guards against a share that was held back for them and is free once they count as silent: each entry that was
    /// cut off in a flood gave it away a second time.
    fn settle(&mut self, now: Time) {
        let config = self.config;
        let seconds = config.peer_timeout.as_millis() as f64 / 1_000.0;
        let fallen = self
            .peers
            .values_mut()
            .filter(|peer| !peer.settled && !peer.is_fresh(now, &config));
        for peer in fallen {
            peer.settled = true;
            for (name, rate) in &peer.rates {
                if let Some(bucket) = self.buckets.get_mut(name) {
                    bucket.level -= rate * seconds;
                    *peer.assumed.entry(*name).or_default() += rate * seconds;
                }
            }
        }
    }

    /// Fills the buckets, less the equal parts of those that are silent.
    fn fill(&mut self, now: Time) {
        let seconds = now.since(self.filled).as_millis() as f64 / 1_000.0;
        self.filled = now;
        if seconds == 0.0 {
            return;
        }
        let config = self.config;
        self.settle(now);
        let fresh = self
            .peers
            .values()
            .filter(|peer| peer.is_fresh(now, &config));
        // No more parts than entries that are missing: one that ended was replaced by another.
        let heard: u32 = fresh.map(|peer| peer.entries).sum();
        let missing = (self.entries - 1).saturating_sub(heard) as usize;
        self.peers
            .retain(|_, peer| now.since(peer.heard) < config.forget);
        let mut silent: Vec<&mut Peer> = self
            .peers
            .values_mut()
            .filter(|peer| !peer.is_fresh(now, &config))
            .collect();
        silent.sort_by_key(|peer| std::cmp::Reverse(peer.heard));
        for (name, bucket) in &mut self.buckets {
            let part = bucket.rate * seconds / f64::from(self.entries);
            for peer in silent.iter_mut().take(missing) {
                *peer.assumed.entry(*name).or_default() += part;
            }
            let filled = bucket.rate * seconds - part * missing as f64;
            bucket.level = (bucket.level + filled).min(bucket.burst);
            // Parts saved up while a debt is paid off would all be given away when it is.
            if bucket.level > 0.0 {
                // Of silent entries nobody knows what they leave.
                let unused = match missing {
                    0 => bucket.unused(&config),
                    _ => 1.0,
                };
                let saved = bucket
                    .part
                    .map(|saved| (saved + part * unused).min(bucket.largest));
                bucket.part = saved;
            }
        }
    }
}

/// Names the bucket of what an account may have beyond its quota, and the quota's by that one's name.
fn beyond(name: Name) -> Name {
    !name
}

impl Config {
    /// Time until so many tokens have come in.
    fn wait(&self, tokens: f64, rate: f64) -> Span {
        let seconds = tokens / rate.max(1.0);
        Span::from_millis((seconds * 1_000.0) as u64).max(self.shortest)
    }
}

impl Bucket {
    /// Takes from this entry's part if the account is short.
    fn take_part(
        &mut self,
        now: Time,
        config: &Config,
        needed: f64,
        left: f64,
        others: f64,
    ) -> Result<(), Span> {
        self.largest = self.largest.max(needed);
        let reserve = (needed * others).min(self.burst * config.reserve);
        let plenty = left >= self.burst * config.plenty;
        let short = left < needed + reserve || now < self.short_until && !plenty;
        let first = self.burst / (others + 1.0);
        let part = self.part.get_or_insert(first);
        if short && *part < needed {
            self.short_until = now + config.short;
            return Err(config.wait(needed - *part, self.rate / (others + 1.0)));
        }
        *part = (*part - needed).max(0.0);
        Ok(())
    }

    /// By how much parts may be larger, since others leave some of theirs.
    fn unused(&self, config: &Config) -> f64 {
        let left = self.level / (self.burst * config.reserve).max(1.0);
        1.0 + (config.unused - 1.0) * left.clamp(0.0, 1.0)
    }
}

impl Peer {
    fn new(now: Time, counts: &Counts) -> Peer {
        Peer {
            heard: now,
            entries: 1,
            counts: counts.clone(),
            rates: BTreeMap::new(),
            assumed: BTreeMap::new(),
            settled: false,
        }
    }

    fn is_fresh(&self, now: Time, config: &Config) -> bool {
        now.since(self.heard) < config.peer_timeout
    }
}
