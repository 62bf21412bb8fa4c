//! Limits what this entry gives a replica, and estimates what all entries together have there.
//!
//! *Pattern*: several entries share each replica and each sees its own part; load reports are a
//! second old. *Without it*: all entries send to the replica that looked idle in the last report,
//! and its batch grows until every stream there misses its token gap. *How*: the load is own jobs in
//! flight, which are exact, plus those of others: the report less what was ours when it was made,
//! plus a share of what we have added since for each other entry, since they act on the same report
//! as we do. An old report loses weight in favour of the guess that others do as we do. The limit on
//! own jobs follows own latency against the target: +1 a round below it, cut by a fifth above it.
//! Grounds: Chiu and Jain 1989 for the limit (entries that share a replica come to equal parts
//! without talking); the figures in [`crate::configs::concurrency::Config`].
//!
//! One [`Load`] stands for one replica; each call costs the same at any size but for the look back
//! into a history of bounded length when a report comes.

mod limit;
mod own;

use clock::Time;

use crate::configs::concurrency::Config;
use crate::replica::Report;

use self::limit::Limit;
use self::own::Own;

/// What is known of one replica's load.
#[derive(Clone, Debug)]
pub struct Load {
    config: Config,
    slots: u32,
    own: Own,
    limit: Limit,
    reported: Option<Reported>,
    /// Moving average of the tokens of own jobs, to put others' jobs into tokens.
    typical_tokens: f64,
}

/// The last report, less our own part in it.
#[derive(Clone, Copy, Debug)]
struct Reported {
    /// When the replica made it, by our clock.
    at: Time,
    /// Jobs of other entries there.
    others: f64,
    /// Own jobs then.
    own: u32,
    kv_used: f64,
}

impl Load {
    /// A replica that can run `slots` jobs at once and has none of ours.
    pub fn new(config: Config, slots: u32) -> Load {
        Load {
            config,
            slots,
            own: Own::default(),
            limit: Limit::new(slots),
            reported: None,
            typical_tokens: 0.0,
        }
    }

    /// How many entries share the replica now, this one included.
    pub fn set_entries(&mut self, entries: u32) {
        self.config.entries = entries.max(1);
    }

    /// A job of ours with that many tokens was started there.
    pub fn started(&mut self, now: Time, tokens: u64) {
        self.own.started(now, tokens, self.config.history);
        if self.typical_tokens == 0.0 {
            self.typical_tokens = tokens as f64;
        }
        self.typical_tokens += self.config.sample * (tokens as f64 - self.typical_tokens);
    }

    /// So many tokens of a job are done.
    pub fn progressed(&mut self, tokens: u64) {
        self.own.progressed(tokens);
    }

    /// A job of ours ended there with so many of its tokens outstanding.
    pub fn ended(&mut self, now: Time, outstanding: u64) {
        self.own.ended(now, outstanding, self.config.history);
    }

    /// One latency of ours there (token gap, or time of a plain call), as a multiple of its target.
    pub fn sample(&mut self, now: Time, strain: f64) {
        let jobs = self.own.jobs();
        self.limit.sample(now, strain, jobs, &self.config);
    }

    /// A load report came. One made before the last one's is dropped.
    pub fn reported(&mut self, now: Time, report: &Report) {
        let at = Time::from_millis(now.since(Time::ZERO + report.age).as_millis());
        if self.reported.is_some_and(|last| last.at > at) {
            return;
        }
        let own = self.own.jobs_at(at);
        let there = f64::from(report.running + report.waiting);
        self.reported = Some(Reported {
            at,
            others: (there - f64::from(own)).max(0.0),
            own,
            kv_used: report.kv_used,
        });
    }

    /// Own jobs in flight.
    pub fn own(&self) -> u32 {
        self.own.jobs()
    }

    /// Jobs of all entries there, as estimated. `usual` is the mean of our own jobs over the pool's
    /// replicas: what each other entry is thought to have anywhere of which nothing is known.
    pub fn jobs(&self, now: Time, usual: f64) -> f64 {
        f64::from(self.own.jobs()) + self.others(now, usual)
    }

    /// Tokens of all entries outstanding there, as estimated.
    pub fn tokens(&self, now: Time, usual: f64) -> f64 {
        self.own.tokens() as f64 + self.others(now, usual) * self.typical_tokens
    }

    /// Whether one more job of ours may go there: within our limit, and within what it can run.
    pub fn is_open(&self, now: Time, usual: f64) -> bool {
        let own = self.own.jobs();
        // Our first job always may: a wrong estimate of others must not shut a replica for good.
        own == 0 || own < self.limit.value() && self.jobs(now, usual) < f64::from(self.slots)
    }

    /// Own jobs that may be there at once.
    pub fn limit(&self) -> u32 {
        self.limit.value()
    }

    /// Share of its KV memory in use by the last report.
    pub fn kv_used(&self) -> Option<f64> {
        self.reported.map(|reported| reported.kv_used)
    }

    fn others(&self, now: Time, usual: f64) -> f64 {
        let peers = f64::from(self.config.entries.saturating_sub(1));
        let guess = usual * peers;
        let Some(reported) = self.reported else {
            return guess;
        };
        let added = f64::from(self.own.jobs().saturating_sub(reported.own));
        let known = reported.others + added * peers * self.config.herd;
        let age = now.since(reported.at).as_millis() as f64;
        let weight = (-age / self.config.report_decay.as_millis().max(1) as f64).exp();
        weight * known + (1.0 - weight) * guess
    }
}
