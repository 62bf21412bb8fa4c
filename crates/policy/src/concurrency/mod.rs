//! Limits an entry's jobs on each replica and estimates the load of all entries there.
//!
//! Several entries share each replica, each sees only its own jobs, and load reports are a second old. If
//! all entries sent to the replica that looked idle in the last report, its batch would grow until every
//! stream there missed its token gap.
//!
//! The estimate is the own jobs in flight, which are exact, plus those of others: the report less the own
//! jobs at its time, plus a share of the jobs added since for each other entry, since the others act on the
//! same report. An old report loses weight in favour of the assumption that other entries have as many jobs
//! as this one. The limit on own jobs follows own latency against the target: +1 per round below it, a cut
//! by a fifth above it, so that entries that share a replica converge to equal limits without communication
//! (Chiu and Jain, 1989).
//!
//! Each call costs the same at any size, except for the search in a history of bounded length when a report
//! arrives.

mod limit;
mod own;

use clock::Time;

use crate::configs::concurrency::Config;
use crate::replica::Report;

use self::limit::Limit;
use self::own::Own;

/// Load of one replica, as this entry knows it.
#[derive(Clone, Debug)]
pub struct Load {
    config: Config,
    slots: u32,
    /// Whether slots are divided, so that no other entry acts on the same report as this one.
    divided: bool,
    own: Own,
    limit: Limit,
    reported: Option<Reported>,
    /// Moving average of the tokens of own jobs, which converts jobs of other entries to tokens.
    typical_tokens: f64,
}

/// The last report, without this entry's part.
#[derive(Clone, Copy, Debug)]
struct Reported {
    /// Time at which the replica made it, by the local clock.
    made_at: Time,
    /// Jobs of other entries.
    others: f64,
    /// Own jobs at that time.
    own: u32,
    kv_used: f64,
}

impl Load {
    /// Creates the load of a replica that can run `slots` jobs at once and has no own jobs.
    pub fn new(config: Config, slots: u32) -> Load {
        Load {
            config,
            slots,
            divided: false,
            own: Own::default(),
            limit: Limit::new(slots),
            reported: None,
            typical_tokens: 0.0,
        }
    }

    /// Sets the number of entries that share the replica, this one included.
    pub fn set_entries(&mut self, entries: u32) {
        self.config.entries = entries.max(1);
    }

    /// Sets whether each entry owns slots of its own here. The other entries then don't add jobs when this one does.
    pub fn set_divided(&mut self, divided: bool) {
        self.divided = divided;
    }

    /// Records the start of an own job with that many tokens.
    pub fn started(&mut self, now: Time, tokens: u64) {
        self.own.started(now, tokens, self.config.max_history);
        if self.typical_tokens == 0.0 {
            self.typical_tokens = tokens as f64;
        }
        self.typical_tokens += self.config.smoothing * (tokens as f64 - self.typical_tokens);
    }

    /// Records that tokens of an own job are done.
    pub fn progressed(&mut self, tokens: u64) {
        self.own.progressed(tokens);
    }

    /// Records the end of an own job and its outstanding tokens.
    pub fn ended(&mut self, now: Time, outstanding: u64) {
        self.own.ended(now, outstanding, self.config.max_history);
    }

    /// Records an own latency (token gap, or time of a plain call) as a multiple of its target.
    pub fn sample(&mut self, now: Time, latency_ratio: f64) {
        let jobs = self.own.jobs();
        self.limit.sample(now, latency_ratio, jobs, &self.config);
    }

    /// Records a load report, unless a newer one is known.
    pub fn reported(&mut self, now: Time, report: &Report) {
        let made_at = Time::from_millis(now.since(Time::ZERO + report.age).as_millis());
        if self.reported.is_some_and(|last| last.made_at > made_at) {
            return;
        }
        let own = self.own.jobs_at(made_at);
        let total = f64::from(report.running + report.waiting);
        self.reported = Some(Reported {
            made_at,
            others: (total - f64::from(own)).max(0.0),
            own,
            kv_used: report.kv_used,
        });
    }

    /// Returns the own jobs in flight.
    pub fn own_jobs(&self) -> u32 {
        self.own.jobs()
    }

    /// Estimates the jobs of all entries. `mean_own` is this entry's mean number of jobs per replica of the
    /// pool, which is assumed for each other entry where nothing is known.
    pub fn jobs(&self, now: Time, mean_own: f64) -> f64 {
        f64::from(self.own.jobs()) + self.estimate_others(now, mean_own)
    }

    /// Estimates the outstanding tokens of all entries.
    pub fn tokens(&self, now: Time, mean_own: f64) -> f64 {
        self.own.tokens() as f64 + self.estimate_others(now, mean_own) * self.typical_tokens
    }

    /// Returns whether one more own job may start, within the limit and the replica's slots.
    pub fn is_open(&self, now: Time, mean_own: f64) -> bool {
        let own = self.own.jobs();
        // The first own job is always allowed: a wrong estimate of others must not exclude a replica for
        // good.
        own == 0 || own < self.limit.value() && self.jobs(now, mean_own) < f64::from(self.slots)
    }

    /// Returns the limit on own jobs.
    pub fn limit(&self) -> u32 {
        self.limit.value()
    }

    /// Returns the fraction of KV memory in use in the last report.
    pub fn kv_used(&self) -> Option<f64> {
        self.reported.map(|reported| reported.kv_used)
    }

    fn estimate_others(&self, now: Time, mean_own: f64) -> f64 {
        let peers = f64::from(self.config.entries.saturating_sub(1));
        let assumed = mean_own * peers;
        let Some(reported) = self.reported else {
            return assumed;
        };
        let added = f64::from(self.own.jobs().saturating_sub(reported.own));
        let herd = if self.divided { 0.0 } else { self.config.herd };
        let known = reported.others + added * peers * herd;
        let age = now.since(reported.made_at).as_millis() as f64;
        let weight = (-age / self.config.report_decay.as_millis().max(1) as f64).exp();
        weight * known + (1.0 - weight) * assumed
    }
}
