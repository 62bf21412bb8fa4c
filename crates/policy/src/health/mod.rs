//! Takes a slow, frozen or fast-failing replica out of its pool, and brings it back slowly.
//!
//! *Pattern*: one replica of a pool is several times slower than the rest, says nothing, or fails
//! each request in an instant. *Without it*: the slow one holds its share of requests past their
//! target; the fast-failing one looks idle and draws all of them. *How*: each replica is compared
//! with the median of its peers, so that load, a bad version or a bad request that hits all of them
//! ejects nobody; never more than a third is out. One that was out is probed with one job, then
//! two, four and so on; a relapse doubles its term. Grounds: comparison with peers and latency
//! probation, Dean and Barroso, "The Tail at Scale", 2013; the figures in
//! [`crate::configs::health::Config`].
//!
//! One [`Monitor`] watches one pool. Judgement costs one pass over the pool every `period`; a
//! decision costs one look-up.

mod peer;

use std::collections::BTreeMap;

use clock::Time;

use crate::configs::health::Config;
use crate::job::End;
use crate::replica;

use self::peer::Peer;
use self::peer::State;

/// How much a replica may be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allowance {
    /// Nothing.
    None,
    /// At most so many jobs of ours at once.
    Jobs(u32),
    /// As much as it can carry.
    Full,
}

/// Watches the replicas of one pool.
#[derive(Debug)]
pub struct Monitor {
    config: Config,
    peers: BTreeMap<replica::Key, Peer>,
    /// When the pool is judged next.
    due: Time,
}

/// Why a replica should go out.
#[derive(Clone, Copy, Debug)]
struct Fault {
    replica: replica::Key,
    /// Larger is worse.
    severity: f64,
}

impl Monitor {
    /// Watches nobody yet.
    pub fn new(config: Config) -> Monitor {
        Monitor {
            config,
            peers: BTreeMap::new(),
            due: Time::ZERO,
        }
    }

    /// A replica joined the pool.
    pub fn add(&mut self, now: Time, key: replica::Key) {
        self.peers.insert(key, Peer::new(now, &self.config));
    }

    /// A replica left the pool or is lost.
    pub fn remove(&mut self, key: replica::Key) {
        self.peers.remove(&key);
    }

    /// An attempt was started there.
    pub fn record_start(&mut self, now: Time, key: replica::Key) {
        if let Some(peer) = self.peers.get_mut(&key) {
            peer.record_start(now);
        }
    }

    /// A stream said something; `gap` is the time for each of its tokens in ms, where known. A plain
    /// call's whole time counts as its gap.
    pub fn record_progress(&mut self, now: Time, key: replica::Key, gap: Option<f64>) {
        if let Some(peer) = self.peers.get_mut(&key) {
            peer.record_progress(now, gap);
        }
    }

    /// A load report came, which a frozen process doesn't send.
    pub fn record_report(&mut self, now: Time, key: replica::Key) {
        if let Some(peer) = self.peers.get_mut(&key) {
            peer.record_report(now);
        }
    }

    /// An attempt ended there.
    pub fn record_end(&mut self, now: Time, key: replica::Key, end: End) {
        if let Some(peer) = self.peers.get_mut(&key) {
            peer.record_end(now, end, &self.config);
        }
    }

    /// How much the replica may be given.
    pub fn allowance(&self, key: replica::Key) -> Allowance {
        match self.peers.get(&key).map(|peer| peer.state) {
            None | Some(State::Ejected(_)) => Allowance::None,
            Some(State::Probing(jobs)) => Allowance::Jobs(jobs),
            Some(State::Healthy) => Allowance::Full,
        }
    }

    /// When [`Monitor::tick`] wants to be called next.
    pub fn next_wake(&self) -> Time {
        self.due
    }

    /// Judges the pool, if it is time.
    pub fn tick(&mut self, now: Time) {
        if now < self.due {
            return;
        }
        self.due = now + self.config.period;
        for peer in self.peers.values_mut() {
            peer.close_period(&self.config);
        }
        self.end_terms(now);
        for fault in self.faults(now) {
            self.punish(now, fault);
        }
        self.advance_probes(now);
        self.keep_share(now);
    }

    /// Those out for their whole term are probed.
    fn end_terms(&mut self, now: Time) {
        for peer in self.peers.values_mut() {
            if matches!(peer.state, State::Ejected(until) if until <= now) {
                peer.probe(now);
            }
        }
    }

    /// Replicas that stand out against their peers, the worst first.
    fn faults(&self, now: Time) -> Vec<Fault> {
        let config = &self.config;
        let gap = median(
            self.peers
                .values()
                .filter_map(|peer| peer.judged_gap(config)),
        );
        let failures = median(self.peers.values().filter_map(|peer| peer.failures(config)));
        let mut faults: Vec<Fault> = self
            .peers
            .iter()
            .filter(|(_, peer)| !matches!(peer.state, State::Ejected(_)))
            .filter_map(|(key, peer)| {
                let severity = severity(now, peer, gap, failures, config)?;
                Some(Fault {
                    replica: *key,
                    severity,
                })
            })
            .collect();
        faults.sort_by(|one, other| other.severity.total_cmp(&one.severity));
        faults
    }

    fn punish(&mut self, now: Time, fault: Fault) {
        if self.out() >= self.most_out() {
            return;
        }
        if let Some(peer) = self.peers.get_mut(&fault.replica) {
            peer.eject(now, &self.config);
        }
    }

    fn advance_probes(&mut self, now: Time) {
        for peer in self.peers.values_mut() {
            if let State::Probing(allowed) = peer.state {
                peer.advance(now, allowed, &self.config);
            }
        }
    }

    /// When the pool has shrunk, those due back first are probed early.
    fn keep_share(&mut self, now: Time) {
        while self.out() > self.most_out() {
            let first = self
                .peers
                .values_mut()
                .filter_map(|peer| match peer.state {
                    State::Ejected(until) => Some((until.since(now), peer)),
                    State::Healthy | State::Probing(_) => None,
                })
                .min_by_key(|(left, _)| *left);
            let Some((_, peer)) = first else {
                return;
            };
            peer.probe(now);
        }
    }

    fn out(&self) -> usize {
        let is_out = |peer: &&Peer| matches!(peer.state, State::Ejected(_));
        self.peers.values().filter(is_out).count()
    }

    fn most_out(&self) -> usize {
        self.peers.len() / self.config.ejection_divisor
    }
}

/// How far the replica is beyond what is tolerated, if it is: 1 and more.
fn severity(
    now: Time,
    peer: &Peer,
    gap: Option<f64>,
    failures: Option<f64>,
    config: &Config,
) -> Option<f64> {
    if peer.is_silent(now, gap.unwrap_or(0.0), config) {
        return Some(f64::INFINITY);
    }
    let failing = peer
        .failures(config)
        .zip(failures)
        .and_then(|(own, peers)| {
            let stands_out = own >= config.failure_threshold && peers < own / 2.0;
            stands_out.then_some(own / config.failure_threshold)
        });
    let slow = peer.judged_gap(config).zip(gap).and_then(|(own, peers)| {
        let factor = own / (peers * config.slow_factor).max(f64::MIN_POSITIVE);
        (factor >= 1.0).then_some(factor)
    });
    failing.into_iter().chain(slow).max_by(f64::total_cmp)
}

/// The middle value; of two middle ones the lower, so that one of a pair can stand out.
fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    if values.is_empty() {
        return None;
    }
    let middle = (values.len() - 1) / 2;
    let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}
