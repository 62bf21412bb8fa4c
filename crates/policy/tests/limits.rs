//! Account limits over all entries, with delayed digests between them.

use std::collections::VecDeque;

use clock::Time;
use policy::account::Key;
use policy::account::Spec;
use policy::configs::limit::Config;
use policy::limit::Digest;
use policy::limit::Limits;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const KEY: Key = Key(0);
const ENTRIES: usize = 8;
const CONCURRENT: u32 = 24;

/// Eight entries, their open requests, and digests in transit.
struct Cluster {
    entries: Vec<Limits>,
    open: Vec<u32>,
    in_transit: VecDeque<(u64, usize, Digest)>,
}

impl Cluster {
    fn new(tokens_per_second: u64, concurrent: u32) -> Cluster {
        let spec = Spec {
            name: "society".into(),
            weight: 1,
            priority: 0,
            tokens_per_second,
            concurrent,
        };
        let mut entries: Vec<Limits> = (0..ENTRIES)
            .map(|_| Limits::new(Config::default()))
            .collect();
        for entry in &mut entries {
            entry.set_account(KEY, &spec);
        }
        Cluster {
            entries,
            open: vec![0; ENTRIES],
            in_transit: VecDeque::new(),
        }
    }

    /// Exchanges digests every 500 ms with a delay of 100 ms; entries in `disconnected` neither send nor
    /// receive any.
    fn exchange(&mut self, ms: u64, disconnected: &[usize]) {
        let now = Time::from_millis(ms);
        if ms.is_multiple_of(500) {
            for (from, entry) in self.entries.iter_mut().enumerate() {
                let digest = entry.digest(now);
                if !disconnected.contains(&from) {
                    self.in_transit.push_back((ms + 100, from, digest));
                }
            }
        }
        while self
            .in_transit
            .front()
            .is_some_and(|(arrival, _, _)| *arrival <= ms)
        {
            let Some((_, from, digest)) = self.in_transit.pop_front() else {
                return;
            };
            for (to, entry) in self.entries.iter_mut().enumerate() {
                if to != from && !disconnected.contains(&to) {
                    entry.merge(now, from as u64, &digest);
                }
            }
        }
    }

    fn admit(&mut self, ms: u64, entry: usize, tokens: u64) -> bool {
        let admitted = self.entries[entry]
            .admit(Time::from_millis(ms), KEY, tokens)
            .is_ok();
        self.open[entry] += u32::from(admitted);
        admitted
    }

    fn end(&mut self, entry: usize, tokens: u64) {
        if self.open[entry] > 0 {
            self.open[entry] -= 1;
            self.entries[entry].release(KEY, tokens, tokens);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Demand moves between entries, some of which are cut off for a while. All entries together
    /// never hold more requests open than the limit.
    #[test]
    fn open_requests_never_exceed_the_limit(
        phases in prop::collection::vec((prop::collection::vec(0..4_u32, ENTRIES), 0..4_usize), 1..6),
    ) {
        let mut cluster = Cluster::new(0, CONCURRENT);
        let mut ms = 0;
        for (demand, disconnected) in phases {
            let disconnected: Vec<usize> = (0..disconnected).collect();
            for _ in 0..80 {
                ms += 50;
                cluster.exchange(ms, &disconnected);
                for (entry, demand) in demand.iter().enumerate() {
                    for _ in 0..*demand {
                        cluster.admit(ms, entry, 1);
                    }
                    if ms.is_multiple_of(400) {
                        cluster.end(entry, 1);
                    }
                }
                prop_assert!(cluster.open.iter().sum::<u32>() <= CONCURRENT, "{:?}", cluster.open);
            }
        }
    }
}

/// An account sends everything through one entry. With equal shares it would get an eighth of its
/// limit; with the whole limit at each entry, eight times as much through all of them.
#[test]
fn a_share_follows_demand_to_one_entry() {
    let mut cluster = Cluster::new(0, CONCURRENT);
    for ms in (50..10_000).step_by(50) {
        cluster.exchange(ms, &[]);
        cluster.admit(ms, 3, 1);
    }
    // The other seven keep a floor of one each.
    assert_eq!(cluster.open[3], CONCURRENT - 7);
}

/// The limit on tokens per second holds over all entries while demand is even and after it moves to
/// two of them.
#[test]
fn tokens_hold_over_all_entries() {
    let mut cluster = Cluster::new(8_000, 0);
    let mut granted = 0_u64;
    for ms in (10..20_000_u64).step_by(10) {
        cluster.exchange(ms, &[]);
        let busy = if ms < 10_000 { ENTRIES } else { 2 };
        for entry in 0..busy {
            if cluster.admit(ms, entry, 100) {
                granted += 100;
                cluster.end(entry, 100);
            }
        }
    }
    let limit = 8_000 * 20;
    let burst = 8_000 * 2;
    assert!(granted <= limit + burst, "{granted}");
    assert!(granted > limit * 8 / 10, "{granted}");
}
