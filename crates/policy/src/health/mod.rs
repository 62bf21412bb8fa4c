//! Outlier detection: ejects slow, frozen or fast-failing replicas from their pool and readmits
//! them gradually.
//!
//! Guards against one replica of a pool that is several times slower than the rest, is silent, or
//! fails each request in an instant: the slow one holds its share of requests past their target,
//! and the fast-failing one looks idle and attracts all of them. Each replica is compared with the
//! median of its peers, so that load, a bad version or a bad request that affects all of them
//! ejects nobody, and never more than a third is ejected: one that fails takes the place of one that is slow. An ejected
//! replica is probed with one job, then two, four and so on; each relapse doubles its ejection time. Comparison with peers and
//! latency-induced probation follow Dean and Barroso, "The Tail at Scale", 2013; the thresholds are
//! in [`crate::configs::health::Config`].
//!
//! One [`Monitor`] watches one pool. An evaluation costs one pass over the pool every `period`; a
//! decision costs one lookup.

mod peer;

use std::collections::BTreeMap;

use clock::Time;

use crate::configs::health::Config;
use crate::job::End;
use crate::replica;

use self::peer::Fault;
use self::peer::Peer;
use self::peer::State;

/// How many jobs a replica may be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allowance {
    /// No jobs.
    None,
    /// At most this many concurrent jobs of this entry.
    Jobs(u32),
    /// As many as it has capacity for.
    Full,
}

/// Monitors the replicas of one pool.
#[derive(Debug)]
pub struct Monitor {
    config: Config,
    peers: BTreeMap<replica::Key, Peer>,
    /// When the pool is evaluated next.
    next_check: Time,
}

/// A replica that stands out against its peers.
#[derive(Clone, Copy, Debug)]
struct Outlier {
    replica: replica::Key,
    fault: Fault,
    /// Factor by which it exceeds a threshold.
    severity: f64,
}

impl Monitor {
    /// Creates a monitor without replicas.
    pub fn new(config: Config) -> Monitor {
        Monitor {
            config,
            peers: BTreeMap::new(),
            next_check: Time::ZERO,
        }
    }

    /// Adds a replica.
    pub fn add(&mut self, now: Time, key: replica::Key) {
        self.peers.insert(key, Peer::new(now, &self.config));
    }

    /// Removes a replica that left the pool or is lost.
    pub fn remove(&mut self, key: replica::Key) {
        self.peers.remove(&key);
    }

    /// Sets the relative speed that the replica has persistently. Its time per token is compared with that of
    /// replicas of its own speed: one of a slower type isn't unhealthy. While `learning`, it isn't ejected for its
    /// time per token.
    pub fn set_speed(&mut self, key: replica::Key, speed: f64, learning: bool) {
        if let Some(peer) = self.peers.get_mut(&key) {
            peer.speed = speed;
            peer.learning = learning;
        }
    }

    /// Records the start of an attempt.
    pub fn record_start(&mut self, now: Time, key: replica::Key) {
        if let Some(peer) = self.peers.get_mut(&key) {
            peer.record_start(now);
        }
    }

    /// Records output of a stream; `gap` is the time per token in milliseconds, if known. The gap
    /// of a plain call is its whole duration.
    pub fn record_progress(&mut self, now: Time, key: replica::Key, gap: Option<f64>) {
        if let Some(peer) = self.peers.get_mut(&key) {
            peer.record_progress(now, gap);
        }
    }

    /// Records a load report, which a frozen process doesn't send.
    pub fn record_report(&mut self, now: Time, key: replica::Key) {
        if let Some(peer) = self.peers.get_mut(&key) {
            peer.record_report(now);
        }
    }

    /// Records the end of an attempt.
    pub fn record_end(&mut self, now: Time, key: replica::Key, end: End) {
        if let Some(peer) = self.peers.get_mut(&key) {
            peer.record_end(now, end, &self.config);
        }
    }

    /// Returns how many jobs the replica may be given.
    pub fn allowance(&self, key: replica::Key) -> Allowance {
        match self.peers.get(&key).map(|peer| peer.state) {
            None | Some(State::Ejected(..)) => Allowance::None,
            Some(State::Probing(jobs)) => Allowance::Jobs(jobs),
            Some(State::Healthy) => Allowance::Full,
        }
    }

    /// Returns when to call [`Monitor::tick`] next.
    pub fn next_wake(&self) -> Time {
        self.next_check
    }

    /// Evaluates the pool, if it is due.
    pub fn tick(&mut self, now: Time) {
        if now < self.next_check {
            return;
        }
        self.next_check = now + self.config.period;
        for peer in self.peers.values_mut() {
            peer.close_period(&self.config);
        }
        self.probe_expired(now);
        for outlier in self.outliers(now) {
            self.eject(now, outlier);
        }
        self.advance_probes(now);
        self.enforce_max_ejected(now);
    }

    /// Probes the replicas whose ejection time is over.
    fn probe_expired(&mut self, now: Time) {
        for peer in self.peers.values_mut() {
            if matches!(peer.state, State::Ejected(until, _) if until <= now) {
                peer.probe(now);
            }
        }
    }

    /// Returns the replicas that stand out against their peers, the worst first.
    fn outliers(&self, now: Time) -> Vec<Outlier> {
        let config = &self.config;
        let gap = median(
            self.peers
                .values()
                .filter_map(|peer| peer.average_gap(config)),
        );
        let failures = median(
            self.peers
                .values()
                .filter_map(|peer| peer.failure_rate(config)),
        );
        let mut outliers: Vec<Outlier> = self
            .peers
            .iter()
            .filter(|(_, peer)| !matches!(peer.state, State::Ejected(..)))
            .filter_map(|(key, peer)| {
                let (fault, severity) = judge(now, peer, gap, failures, config)?;
                Some(Outlier {
                    replica: *key,
                    fault,
                    severity,
                })
            })
            .collect();
        outliers.sort_by(|one, other| {
            let by_severity = other.severity.total_cmp(&one.severity);
            other.fault.cmp(&one.fault).then(by_severity)
        });
        outliers
    }

    fn eject(&mut self, now: Time, outlier: Outlier) {
        let has_room = self.ejected_count() < self.max_ejected();
        if !has_room && !self.readmit_lesser(now, outlier.fault) {
            return;
        }
        if let Some(peer) = self.peers.get_mut(&outlier.replica) {
            peer.eject(now, outlier.fault, &self.config);
        }
    }

    /// Probes a replica that is ejected for a lesser fault early; returns whether there is one.
    fn readmit_lesser(&mut self, now: Time, fault: Fault) -> bool {
        let lesser = self.peers.values_mut().filter_map(|peer| match peer.state {
            State::Ejected(until, ejected_for) if ejected_for < fault => {
                Some((ejected_for, until, peer))
            }
            State::Ejected(..) | State::Healthy | State::Probing(_) => None,
        });
        let least = lesser.min_by_key(|(ejected_for, until, _)| (*ejected_for, *until));
        let Some((.., peer)) = least else {
            return false;
        };
        peer.probe(now);
        true
    }

    fn advance_probes(&mut self, now: Time) {
        for peer in self.peers.values_mut() {
            if let State::Probing(allowed) = peer.state {
                peer.advance(now, allowed, &self.config);
            }
        }
    }

    /// Probes the replicas due back first early when the pool has shrunk.
    fn enforce_max_ejected(&mut self, now: Time) {
        while self.ejected_count() > self.max_ejected() {
            let first = self
                .peers
                .values_mut()
                .filter_map(|peer| match peer.state {
                    State::Ejected(until, _) => Some((until.since(now), peer)),
                    State::Healthy | State::Probing(_) => None,
                })
                .min_by_key(|(remaining, _)| *remaining);
            let Some((_, peer)) = first else {
                return;
            };
            peer.probe(now);
        }
    }

    fn ejected_count(&self) -> usize {
        let is_ejected = |peer: &&Peer| matches!(peer.state, State::Ejected(..));
        self.peers.values().filter(is_ejected).count()
    }

    fn max_ejected(&self) -> usize {
        self.peers.len() / self.config.ejection_divisor
    }
}

/// Returns how the replica stands out, if it does, and the factor by which it exceeds a threshold: 1 and more.
fn judge(
    now: Time,
    peer: &Peer,
    gap: Option<f64>,
    failures: Option<f64>,
    config: &Config,
) -> Option<(Fault, f64)> {
    if peer.is_silent(now, gap.unwrap_or(0.0), config) {
        return Some((Fault::Silent, f64::INFINITY));
    }
    let failing = peer
        .failure_rate(config)
        .zip(failures)
        .and_then(|(own, peers)| {
            let stands_out = own >= config.failure_threshold && peers < own / 2.0;
            stands_out.then_some((Fault::Failing, own / config.failure_threshold))
        });
    let average = peer.average_gap(config).filter(|_| !peer.learning);
    let slow = average.zip(gap).and_then(|(own, peers)| {
        let least = config.min_slow_gap.as_millis() as f64;
        let factor = own / (peers * config.slow_factor).max(least);
        (factor >= 1.0).then_some((Fault::Slow, factor))
    });
    failing.or(slow)
}

/// Returns the median; of two middle values the lower, so that one replica of a pair can stand out.
fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    if values.is_empty() {
        return None;
    }
    let middle = (values.len() - 1) / 2;
    let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}
