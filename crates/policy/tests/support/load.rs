//! Data of a load pattern: accounts and their requests, the fleet, and scheduled faults.

use std::ops::Range;

use policy::account;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use super::engine::Health;
use super::engine::Shape;

/// One client account and its requests.
#[derive(Clone, Debug)]
pub struct Profile {
    /// Weight, priority and limits.
    pub spec: account::Spec,
    /// Requests per second.
    pub rate: f64,
    /// Mean prompt length; uniform from half to one and a half of it.
    pub prompt: u32,
    /// Part of the prompt that requests with one prefix share.
    pub shared: u32,
    /// Number of prefixes; the first ones are used more often.
    pub prefixes: u64,
    /// Mean output length; uniform from half to one and a half of it.
    pub output: u32,
    /// Target for the time to first token, in milliseconds.
    pub first_token_ms: u64,
    /// Target for the time between tokens, in milliseconds.
    pub token_gap_ms: u64,
    /// Whether its requests may run twice.
    pub idempotent: bool,
    /// Start, end (in milliseconds) and factor of changes of its rate.
    pub surges: Vec<(u64, u64, f64)>,
    /// Entry through which all its requests are sent; none for random entries.
    pub entry: Option<usize>,
    /// Whether all its requests have the same prefix.
    pub hot_key: bool,
    /// Whether its callers retry after a refusal.
    pub persistent: bool,
}

impl Profile {
    /// An ordinary account: short prompts with a shared prefix.
    pub fn new(name: &str, weight: u32, rate: f64) -> Profile {
        Profile {
            spec: account::Spec {
                name: name.into(),
                weight,
                priority: 0,
                tokens_per_second: 0,
                concurrent: 0,
            },
            rate,
            prompt: 600,
            shared: 400,
            prefixes: 40,
            output: 100,
            first_token_ms: 1_000,
            token_gap_ms: 61,
            idempotent: true,
            surges: Vec::new(),
            entry: None,
            hot_key: false,
            persistent: true,
        }
    }

    /// The same account with long prompts.
    pub fn long(mut self) -> Profile {
        self.prompt = 12_000;
        self.shared = 2_000;
        self.output = 400;
        self.first_token_ms = 8_000;
        self
    }

    /// The same account with another rate for a while.
    pub fn surge(mut self, from_ms: u64, to_ms: u64, factor: f64) -> Profile {
        self.surges.push((from_ms, to_ms, factor));
        self
    }

    /// The same account with another priority.
    pub fn priority(mut self, priority: u8) -> Profile {
        self.spec.priority = priority;
        self
    }

    fn rate_at(&self, ms: u64) -> f64 {
        let factors = self
            .surges
            .iter()
            .filter(|(from, to, _)| (*from..*to).contains(&ms));
        self.rate * factors.map(|(_, _, factor)| factor).product::<f64>()
    }
}

/// A scheduled fault.
#[derive(Clone, Debug)]
pub enum Fault {
    /// The replica's health changes.
    Health(usize, Health),
    /// The replica's process dies.
    Kill(usize),
    /// A new incarnation takes the replica's place.
    Restart(usize),
    /// All replicas of the zone get a notice and are gone that many milliseconds later.
    ReclaimZone(usize, u64),
    /// All replicas of the zone die without notice.
    LoseZone(usize),
    /// These entries end without notice; the others learn of it after up to so many milliseconds.
    EndEntries(Range<usize>, u64),
    /// A new incarnation takes the place of each dead replica of the zone.
    ReturnZone(usize),
}

/// Timing and loss of reports.
#[derive(Clone, Copy, Debug)]
pub struct Reports {
    /// Milliseconds between two reports.
    pub period_ms: u64,
    /// Milliseconds until a report arrives.
    pub lag_ms: u64,
    /// Share of reports that are lost.
    pub loss: f64,
}

/// A request that crashes the engine that runs it.
#[derive(Clone, Copy, Debug)]
pub struct Killer {
    /// When it is first sent, in milliseconds.
    pub at_ms: u64,
    /// Entry through which it is sent.
    pub entry: usize,
}

/// One load pattern.
#[derive(Clone, Debug)]
pub struct Pattern {
    /// Name in the table.
    pub name: &'static str,
    /// Client accounts.
    pub profiles: Vec<Profile>,
    /// Duration of the load.
    pub seconds: u64,
    /// Number of entries.
    pub entries: usize,
    /// Replicas, spread over the zones in turn.
    pub replicas: usize,
    /// Number of zones.
    pub zones: usize,
    /// Capacity and speed of the engines.
    pub shape: Shape,
    /// Load reports.
    pub reports: Reports,
    /// Cache events; none by default.
    pub cache_events: Option<Reports>,
    /// Faults and their times in milliseconds.
    pub faults: Vec<(u64, Fault)>,
    /// Submissions of one killer request.
    pub killers: Vec<Killer>,
    /// Milliseconds until a killed replica is back; none for never.
    pub restart_ms: Option<u64>,
    /// Whether entries exchange samples of the replicas' speed, as by a hub.
    pub shares_speeds: bool,
}

impl Pattern {
    /// A model pool of 9 replicas in three zones, with 8 entries.
    pub fn new(name: &'static str, profiles: Vec<Profile>) -> Pattern {
        Pattern {
            name,
            profiles,
            seconds: 30,
            entries: 8,
            replicas: 9,
            zones: 3,
            shape: Shape::default(),
            reports: Reports {
                period_ms: 500,
                lag_ms: 300,
                loss: 0.0,
            },
            cache_events: None,
            faults: Vec::new(),
            killers: Vec::new(),
            restart_ms: Some(10_000),
            shares_speeds: false,
        }
    }

    /// Adds a fault.
    pub fn fault(mut self, at_ms: u64, fault: Fault) -> Pattern {
        self.faults.push((at_ms, fault));
        self
    }

    /// Multiplies all rates.
    pub fn scaled(mut self, factor: f64) -> Pattern {
        for profile in &mut self.profiles {
            profile.rate *= factor;
        }
        self
    }

    /// Returns all requests of the run, ordered by time; equal for every policy.
    pub fn arrivals(&self, seed: u64) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        for (index, profile) in self.profiles.iter().enumerate() {
            let mut random = Pcg64::seed_from_u64(seed * 1_000 + index as u64);
            self.arrivals_of(index, profile, &mut random, &mut arrivals);
        }
        for killer in &self.killers {
            arrivals.push(killer_arrival(killer, &self.profiles[0]));
        }
        arrivals.sort_by_key(|arrival| (arrival.at_ms, arrival.account, arrival.fingerprint));
        arrivals
    }

    fn arrivals_of(
        &self,
        index: usize,
        profile: &Profile,
        random: &mut Pcg64,
        arrivals: &mut Vec<Arrival>,
    ) {
        // Thinning: draw at the peak rate, and keep each arrival with the probability of the
        // current rate.
        let max_factor = profile
            .surges
            .iter()
            .fold(1.0, |max: f64, surge| max.max(surge.2));
        let peak = profile.rate * max_factor;
        if peak <= 0.0 {
            return;
        }
        let mut at_ms = 0.0;
        loop {
            at_ms += -(1.0 - random.random::<f64>()).ln() / peak * 1_000.0;
            if at_ms >= (self.seconds * 1_000) as f64 {
                return;
            }
            let accepted = random.random::<f64>() * peak < profile.rate_at(at_ms as u64);
            let arrival = self.draw(index, profile, at_ms as u64, random);
            if accepted {
                arrivals.push(arrival);
            }
        }
    }

    fn draw(&self, index: usize, profile: &Profile, at_ms: u64, random: &mut Pcg64) -> Arrival {
        let prefix_index = random.random::<f64>().powi(2) * profile.prefixes as f64;
        let prefix = if profile.hot_key {
            0
        } else {
            prefix_index as u64
        };
        let prompt = spread(profile.prompt, random).max(profile.shared + 1);
        let output = spread(profile.output, random);
        let entry = random.random_range(0..self.entries);
        Arrival {
            at_ms,
            account: index,
            entry: profile.entry.unwrap_or(entry),
            prompt,
            shared: profile.shared,
            prefix: (index as u64 + 1) * 1_000_003 + prefix,
            output,
            max_new: profile.output * 2,
            fingerprint: random.random::<u64>() | 1,
            killer: false,
        }
    }
}

/// A request to be answered.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it is first sent, in milliseconds.
    pub at_ms: u64,
    /// Index of its account's profile.
    pub account: usize,
    /// Entry through which it is sent first.
    pub entry: usize,
    /// Prompt tokens.
    pub prompt: u32,
    /// Prompt tokens covered by the prefix.
    pub shared: u32,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Output tokens of the complete answer.
    pub output: u32,
    /// Maximum number of output tokens that the caller asks for.
    pub max_new: u32,
    /// Content hash.
    pub fingerprint: u64,
    /// Whether it crashes the engine that runs it.
    pub killer: bool,
}

/// Returns a uniform random number from half to one and a half of the mean.
fn spread(mean: u32, random: &mut Pcg64) -> u32 {
    (f64::from(mean) * random.random_range(0.5..1.5)).max(1.0) as u32
}

/// Returns the arrival of a killer; all killers have the same content.
fn killer_arrival(killer: &Killer, profile: &Profile) -> Arrival {
    Arrival {
        at_ms: killer.at_ms,
        account: 0,
        entry: killer.entry,
        prompt: profile.prompt,
        shared: 1,
        prefix: 666,
        output: profile.output,
        max_new: profile.output * 2,
        fingerprint: 0,
        killer: true,
    }
}
