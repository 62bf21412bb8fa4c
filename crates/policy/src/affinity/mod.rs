//! Sends equal prefixes to the same replica, as long as it isn't loaded much above the mean.
//!
//! *Pattern*: a hot key, and many keys that each come again. *Without it*: every replica computes
//! every prefix, and the caches, too small for all, hold little of use to anyone; with affinity but
//! without the bound, the home of a hot key is overrun while its peers idle. *How*: the home is the
//! first in [`crate::rendezvous`] order, so all entries agree on it untold. A home above the bound
//! spills to the second in that order, always the same one, so that it warms too; then to a replica
//! that cache events hint at; then on in that order; and where all are above the bound to the less
//! loaded of two drawn at random, since loads are stale and the least loaded would be overrun by
//! all entries at once (Mitzenmacher, "How Useful Is Old Information?", 2000).
//!
//! Copies of one killer request meet at the same two replicas for the same reason; see
//! [`crate::quarantine`].
//!
//! A decision costs one pass over the candidates: an entry's subset of a pool, about 14 at full
//! size ([`crate::subset`]).

mod hints;

use clock::Time;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg32;

use crate::configs::affinity::Config;
use crate::rendezvous;
use crate::replica;

use self::hints::Hints;

/// A replica that has room for the job.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Which.
    pub key: replica::Key,
    /// Hash of its incarnation, [`rendezvous::identity`].
    pub identity: u64,
    /// Its load as estimated, in jobs or any other unit that is the same for all.
    pub load: f64,
    /// Whether it may take one more; those without are ranked, but not chosen.
    pub open: bool,
}

/// Why a replica was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The prefix's first choice.
    Home(replica::Key),
    /// Its second, since the home is loaded.
    Second(replica::Key),
    /// One that may hold the prefix by the word of its cache events.
    Hinted(replica::Key),
    /// Any other, by load.
    Spilled(replica::Key),
}

impl Choice {
    /// The replica.
    pub const fn replica(self) -> replica::Key {
        match self {
            Choice::Home(key)
            | Choice::Second(key)
            | Choice::Hinted(key)
            | Choice::Spilled(key) => key,
        }
    }
}

/// Chooses replicas for one entry.
#[derive(Debug)]
pub struct Affinity {
    config: Config,
    hints: Hints,
    random: Pcg32,
}

impl Affinity {
    /// Knows no hints yet; `seed` differs between entries, so that they don't spill alike.
    pub fn new(config: Config, seed: u64) -> Affinity {
        Affinity {
            config,
            hints: Hints::new(config),
            random: Pcg32::seed_from_u64(seed),
        }
    }

    /// A replica for a job with that prefix; none if no candidate is open.
    pub fn choose(&mut self, now: Time, prefix: u64, candidates: &[Candidate]) -> Option<Choice> {
        let bound = self.bound(candidates);
        let fits = |candidate: &Candidate| candidate.open && candidate.load <= bound;
        let nodes = || candidates.iter().map(|node| (node, node.identity));
        let (home, second) = rendezvous::top_two(prefix, nodes());
        if let Some(home) = home.filter(|node| fits(node)) {
            return Some(Choice::Home(home.key));
        }
        if let Some(second) = second.filter(|node| fits(node)) {
            return Some(Choice::Second(second.key));
        }
        let hint = self.hints.get(now, prefix);
        let hinted = candidates.iter().find(|node| Some(node.key) == hint);
        if let Some(hinted) = hinted.filter(|node| fits(node)) {
            return Some(Choice::Hinted(hinted.key));
        }
        let fitting = nodes().filter(|(node, _)| fits(node));
        let spilled = match rendezvous::top_two(prefix, fitting).0 {
            Some(next) => next.key,
            None => self.balance(candidates)?,
        };
        self.hints.stored(now, prefix, spilled);
        Some(Choice::Spilled(spilled))
    }

    /// A replica by load alone: the less loaded of two open ones drawn at random.
    pub fn balance(&mut self, candidates: &[Candidate]) -> Option<replica::Key> {
        let open: Vec<&Candidate> = candidates.iter().filter(|node| node.open).collect();
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

    /// A cache event of the replica, late and perhaps after a gap.
    pub fn cache_event(
        &mut self,
        now: Time,
        replica: replica::Key,
        sequence: u64,
        prefix: u64,
        stored: bool,
    ) {
        self.hints.heard(replica, sequence);
        match stored {
            true => self.hints.stored(now, prefix, replica),
            false => self.hints.evicted(prefix, replica),
        }
    }

    /// The replica is gone.
    pub fn left(&mut self, replica: replica::Key) {
        self.hints.left(replica);
    }

    /// How many hints are kept.
    pub fn hints(&self) -> usize {
        self.hints.len()
    }

    /// The load up to which a replica takes work by affinity.
    fn bound(&self, candidates: &[Candidate]) -> f64 {
        let total: f64 = candidates.iter().map(|candidate| candidate.load).sum();
        let mean = total / candidates.len().max(1) as f64;
        (mean * self.config.factor).max(mean + self.config.slack)
    }
}
