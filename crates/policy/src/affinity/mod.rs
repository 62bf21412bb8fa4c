//! Sends equal prefixes to the same replica, as long as its load isn't far above the mean.
//!
//! Without affinity every replica computes every prefix, and caches too small for all of them are of little
//! use; without a load bound the home of a hot key is overloaded while its peers idle. The home is the first
//! in [`crate::rendezvous`] order, so all entries agree on it without communication. A home above the bound
//! spills to the second in that order, always the same one, so that its cache warms too; then to a replica
//! that cache events hint at; then further along that order. Where all are above the bound, the less loaded
//! of two random ones is chosen, since loads are stale and all entries would overload the least loaded one
//! at once (Mitzenmacher, "How Useful Is Old Information?", 2000).
//!
//! For the same reason copies of a request that crashes replicas meet the same two; see
//! [`crate::quarantine`].
//!
//! Replicas of different speeds get prefixes in proportion to their speed ([`crate::speed`]).
//!
//! A decision costs one pass over the candidates: an entry's subset of a pool, about 14 at full size
//! ([`crate::subset`]).

mod hints;

use clock::Time;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg32;

use crate::configs::affinity::Config;
use crate::rendezvous;
use crate::replica;

use self::hints::Hints;

/// A replica of the job's pool.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Replica.
    pub key: replica::Key,
    /// Hash of its incarnation, [`rendezvous::identity`].
    pub identity: u64,
    /// Estimated load, in jobs or any other unit common to all candidates.
    pub load: f64,
    /// Whether the replica may take one more job; closed ones are ranked, but not chosen.
    pub open: bool,
}

/// A chosen replica, by the reason for the choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// First in the prefix's order.
    Home(replica::Key),
    /// Second in the prefix's order, since the home is loaded.
    Second(replica::Key),
    /// May hold the prefix, according to its cache events.
    Hinted(replica::Key),
    /// Any other replica, by the prefix's order or by load.
    Spilled(replica::Key),
}

impl Choice {
    /// Returns the chosen replica.
    pub const fn replica(self) -> replica::Key {
        match self {
            Choice::Home(key)
            | Choice::Second(key)
            | Choice::Hinted(key)
            | Choice::Spilled(key) => key,
        }
    }
}

/// Selects replicas for one entry.
#[derive(Debug)]
pub struct Affinity {
    config: Config,
    hints: Hints,
    random: Pcg32,
}

impl Affinity {
    /// Creates a selector without hints; `seed` must differ between entries, so that they spill differently.
    pub fn new(config: Config, seed: u64) -> Affinity {
        Affinity {
            config,
            hints: Hints::new(config),
            random: Pcg32::seed_from_u64(seed),
        }
    }

    /// Chooses a replica for a job with that prefix; returns `None` if no candidate is open.
    pub fn choose(&mut self, now: Time, prefix: u64, candidates: &[Candidate]) -> Option<Choice> {
        self.choose_weighted(now, prefix, candidates, |_| 1.0)
    }

    /// Chooses a replica as [`Affinity::choose`] does, where each candidate is the home of a part of the prefixes in
    /// proportion to its `share`.
    pub fn choose_weighted(
        &mut self,
        now: Time,
        prefix: u64,
        candidates: &[Candidate],
        share: impl Fn(&Candidate) -> f64,
    ) -> Option<Choice> {
        let bound = self.bound(candidates);
        let fits = |candidate: &Candidate| candidate.open && candidate.load <= bound;
        let with_share = || {
            candidates
                .iter()
                .map(|candidate| (candidate, candidate.identity, share(candidate)))
        };
        let (home, second) = rendezvous::top_two_weighted(prefix, with_share());
        if let Some(home) = home.filter(|candidate| fits(candidate)) {
            return Some(Choice::Home(home.key));
        }
        if let Some(second) = second.filter(|candidate| fits(candidate)) {
            return Some(Choice::Second(second.key));
        }
        let hint = self.hints.get(now, prefix);
        let hinted = candidates
            .iter()
            .find(|candidate| Some(candidate.key) == hint);
        if let Some(hinted) = hinted.filter(|candidate| fits(candidate)) {
            return Some(Choice::Hinted(hinted.key));
        }
        let fitting = with_share().filter(|(candidate, _, _)| fits(candidate));
        let spilled = match rendezvous::top_two_weighted(prefix, fitting).0 {
            Some(next) => next.key,
            None => self.balance(candidates)?,
        };
        self.hints.stored(now, prefix, spilled);
        Some(Choice::Spilled(spilled))
    }

    /// Chooses the less loaded of two random open replicas.
    pub fn balance(&mut self, candidates: &[Candidate]) -> Option<replica::Key> {
        let open: Vec<&Candidate> = candidates
            .iter()
            .filter(|candidate| candidate.open)
            .collect();
        if open.is_empty() {
            return None;
        }
        let first = self.random.random_range(0..open.len());
        let other = (first + self.random.random_range(1..open.len().max(2))) % open.len();
        let lighter = if open[other].load < open[first].load {
            other
        } else {
            first
        };
        Some(open[lighter].key)
    }

    /// Records a cache event, which may be late or follow a gap.
    pub fn cache_event(
        &mut self,
        now: Time,
        replica: replica::Key,
        sequence: u64,
        prefix: u64,
        stored: bool,
    ) {
        self.hints.track(replica, sequence);
        match stored {
            true => self.hints.stored(now, prefix, replica),
            false => self.hints.evicted(prefix, replica),
        }
    }

    /// Removes a replica that is gone.
    pub fn remove_replica(&mut self, replica: replica::Key) {
        self.hints.remove_replica(replica);
    }

    /// Returns the number of hints.
    pub fn hint_count(&self) -> usize {
        self.hints.len()
    }

    /// Returns the load up to which a replica takes work by affinity.
    fn bound(&self, candidates: &[Candidate]) -> f64 {
        let total: f64 = candidates.iter().map(|candidate| candidate.load).sum();
        let mean = total / candidates.len().max(1) as f64;
        (mean * self.config.load_factor).max(mean + self.config.slack)
    }
}
