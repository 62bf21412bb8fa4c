//! Simulates counts and requests that share a narrow link.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use clock::Span;
use clock::Time;
use member::digest::Digest;
use member::digest::Item;
use member::digest::Topic;
use relay::configs::outbox::Config;
use relay::outbox::Outbox;
use smol_str::SmolStr;
use smol_str::format_smolstr;

/// Interval between two rounds of counts.
const ROUND_MS: u64 = 500;
/// Interval between two requests, and their size.
const REQUEST_INTERVAL_MS: u64 = 40;
const REQUEST_BYTES: usize = 12_000;
/// Time from the last byte on the link to the peer's answer.
const ACK_DELAY_MS: u64 = 3;
/// Time after which a call without an answer has failed.
const CALL_TIMEOUT_MS: u64 = 2_000;
/// An entry without heartbeats for 1,250 ms is suspected, and a heartbeat takes up to 150 ms.
const MAX_SILENCE_MS: u64 = 1_100;
/// Longest wait of a request for the link, for it to reach a leaving server in time.
const MAX_WAIT_MS: u64 = 100;

/// An entry's own link, first in, first out.
struct Link {
    bytes_per_ms: f64,
    free_at_ms: f64,
}

impl Link {
    /// Sends bytes; returns when the last one has left the link.
    fn send(&mut self, now: u64, bytes: usize) -> u64 {
        self.free_at_ms = self.free_at_ms.max(now as f64) + bytes as f64 / self.bytes_per_ms;
        self.free_at_ms.ceil() as u64
    }

    /// Returns how long a byte that is sent now waits.
    fn wait(&self, now: u64) -> u64 {
        (self.free_at_ms - now as f64).max(0.0) as u64
    }
}

/// The result of a simulation.
#[derive(Default)]
struct Outcome {
    longest_wait: u64,
    /// The newest round that each peer received.
    rounds: BTreeMap<usize, u64>,
    /// Time of the last heartbeat that each peer received.
    last_heartbeat: BTreeMap<usize, u64>,
    /// The longest time that a peer which answers was without a heartbeat.
    longest_silence: u64,
}

impl Outcome {
    fn record_heartbeat(&mut self, peer: usize, now: u64) {
        let previous = self.last_heartbeat.insert(peer, now).unwrap_or(0);
        self.longest_silence = self.longest_silence.max(now - previous);
    }
}

/// An entry that sends `bytes` of counts to each peer in each round, and requests besides.
struct Scenario {
    peers: usize,
    bytes: usize,
    megabits: u64,
    /// Peers that never answer.
    silent: BTreeSet<usize>,
    until: u64,
}

impl Scenario {
    fn simulate(&self) -> Outcome {
        let bytes_per_ms = self.megabits as f64 * 125.0;
        let mut outbox = Outbox::new(Config::for_link(self.megabits as f64));
        let mut link = Link {
            bytes_per_ms,
            free_at_ms: 0.0,
        };
        let mut answers: BTreeMap<u64, Vec<(SmolStr, Option<u64>)>> = BTreeMap::new();
        let mut heads: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
        let mut outcome = Outcome::default();
        for now in 0..self.until {
            let later = heads.split_off(&(now + 1));
            for peer in std::mem::replace(&mut heads, later).into_values().flatten() {
                if !self.silent.contains(&peer) {
                    outcome.record_heartbeat(peer, now);
                }
            }
            let time = Time::from_millis(now);
            for (address, round) in answers.remove(&now).unwrap_or_default() {
                outbox.answered(time, &address);
                if let Some(round) = round {
                    let peer: usize = address.parse().unwrap();
                    outcome.record_heartbeat(peer, now);
                    let newest = outcome.rounds.entry(peer).or_default();
                    assert!(round >= *newest, "older counts arrived after newer ones");
                    *newest = round;
                }
            }
            if now % ROUND_MS == 0 {
                for peer in 0..self.peers {
                    let digest = counts(now / ROUND_MS, self.bytes);
                    let head = outbox.enqueue(time, format_smolstr!("{peer}"), digest);
                    if let Some(head) = head {
                        let through = link.send(now, head.size());
                        heads.entry(through).or_default().push(peer);
                    }
                }
            }
            while let Some((address, digest)) = outbox.next(time) {
                let through = link.send(now, digest.size());
                let peer: usize = address.parse().unwrap();
                let answer = match self.silent.contains(&peer) {
                    true => (now + CALL_TIMEOUT_MS, None),
                    false => (through + ACK_DELAY_MS, Some(digest.items[0].version)),
                };
                let due = answer.0.max(now + 1);
                answers.entry(due).or_default().push((address, answer.1));
            }
            if now % REQUEST_INTERVAL_MS == 0 {
                outcome.longest_wait = outcome.longest_wait.max(link.wait(now));
                link.send(now, REQUEST_BYTES);
            }
        }
        outcome
    }
}

fn counts(round: u64, bytes: usize) -> Digest {
    let item = Item {
        topic: Topic::Count,
        key: SmolStr::new_static("hub"),
        version: round,
        age_ms: 0,
        payload: vec![0; bytes],
    };
    Digest {
        items: vec![item],
        ..Digest::default()
    }
}

#[test]
fn requests_do_not_wait_behind_counts_that_fill_the_link() {
    // A request that waited for seconds reached its server long after it had started to leave.
    for megabits in [10, 20] {
        for (peers, bytes) in [(62, 14_000), (75, 14_000), (300, 6_000), (840, 3_000)] {
            let scenario = Scenario {
                peers,
                bytes,
                megabits,
                silent: BTreeSet::new(),
                until: 20_000,
            };
            let waited_ms = scenario.simulate().longest_wait;
            assert!(
                waited_ms <= MAX_WAIT_MS,
                "waited {waited_ms} ms behind counts for {peers} peers at {megabits} Mbit/s"
            );
        }
    }
}

#[test]
fn heartbeats_do_not_wait_behind_counts() {
    // On narrow links, aggregating entries would be suspected, and their role would flap between entries.
    for (peers, bytes) in [(75, 14_000), (300, 6_000)] {
        let scenario = Scenario {
            peers,
            bytes,
            megabits: 10,
            silent: BTreeSet::new(),
            until: 20_000,
        };
        let outcome = scenario.simulate();
        assert_eq!(outcome.last_heartbeat.len(), peers);
        let silence_ms = outcome.longest_silence;
        assert!(
            silence_ms <= MAX_SILENCE_MS,
            "one of {peers} peers got no heartbeat for {silence_ms} ms"
        );
        assert!(outcome.longest_wait <= MAX_WAIT_MS);
    }
}

#[test]
fn counts_reach_every_peer_as_fast_as_the_link_allows() {
    // Counts that newer ones always overtake before their turn would never arrive.
    let scenario = Scenario {
        peers: 300,
        bytes: 6_000,
        megabits: 10,
        silent: BTreeSet::new(),
        until: 20_000,
    };
    let outcome = scenario.simulate();
    // Requests leave 7,600 of 10,000 bits: a round takes 1.9 s.
    let oldest = outcome.rounds.values().min().copied().unwrap_or(0);
    assert_eq!(outcome.rounds.len(), 300);
    assert!(oldest >= 30, "a peer's newest counts are of round {oldest}");
}

#[test]
fn peers_that_do_not_answer_keep_counts_from_nobody() {
    // A third of the peers is partitioned: calls to them take two seconds to fail.
    let scenario = Scenario {
        peers: 75,
        bytes: 6_000,
        megabits: 10,
        silent: (0..75).filter(|peer| peer % 3 == 0).collect(),
        until: 20_000,
    };
    let outcome = scenario.simulate();
    assert!(outcome.longest_wait <= MAX_WAIT_MS);
    let oldest = outcome.rounds.values().min().copied().unwrap_or(0);
    assert_eq!(outcome.rounds.len(), 50);
    assert!(oldest >= 36, "a peer's newest counts are of round {oldest}");
}

#[test]
fn counts_leave_immediately_on_an_idle_link() {
    let mut outbox = Outbox::new(Config::for_link(1_000.0));
    let now = Time::ZERO;
    for peer in 0..75 {
        outbox.enqueue(now, format_smolstr!("{peer}"), counts(1, 14_000));
    }
    let mut sent = 0;
    while outbox.next(now).is_some() {
        sent += 1;
    }
    assert_eq!(sent, 75);
    let stats = outbox.stats(now + Span::from_millis(40));
    assert_eq!((stats.waiting, stats.max_wait), (0, Span::ZERO));
}
