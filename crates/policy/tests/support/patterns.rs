//! Load patterns of the benchmarks and tests, for the pools of nine and of three replicas.
//!
//! [`CAPACITY`] is where the goodput of this mix stops rising: on 9 replicas of the default shape
//! every policy meets all targets at 48 requests per second, and none exceeds 54.

use super::engine::Health;
use super::engine::Shape;
use super::load::Fault;
use super::load::Killer;
use super::load::Pattern;
use super::load::Profile;
use super::load::Reports;

/// Requests per second of [`accounts`] that 9 replicas carry.
pub const CAPACITY: f64 = 52.0;

/// Returns two large and three small accounts with a total load relative to capacity.
pub fn accounts(load: f64) -> Vec<Profile> {
    let rate = load * CAPACITY;
    vec![
        Profile::new("large-a", 4, rate * 0.35),
        Profile::new("large-b", 4, rate * 0.35),
        Profile::new("small-a", 1, rate * 0.10),
        Profile::new("small-b", 1, rate * 0.10),
        Profile::new("small-c", 1, rate * 0.10),
    ]
}

/// Returns all patterns in the order of the table.
pub fn all() -> Vec<Pattern> {
    vec![
        steady(),
        burst(),
        hot_caller(),
        without_hot_caller(),
        hot_key(),
        slow_replica(Health::Slow(6.0), "slow-replica"),
        slow_replica(Health::Frozen, "frozen-replica"),
        slow_replica(Health::FailsFast, "fast-failing"),
        long_among_short(),
        overload("overload-1.2", 1.2),
        overload("overload-2", 2.0),
        overload("overload-5", 5.0),
        priorities(),
        zone_reclaim(),
        cold_return(),
        zone_loss(),
        outage(),
        stale_reports(),
        tight_gap(),
        limited(),
        killer(),
        burst_and_slow(),
        reclaim_and_hot_caller(),
        plain_overload(),
        named(small(&steady()), "steady-0.8/3"),
        named(small(&burst()), "burst/3"),
        named(small(&hot_caller()), "hot-caller/3"),
        named(small(&without_hot_caller()), "no-hot-caller/3"),
        named(small(&long_among_short()), "long-among-short/3"),
        named(small(&overload("", 2.0)), "overload-2/3"),
        named(small(&priorities()), "priorities-2/3"),
        named(small(&zone_reclaim()), "zone-reclaim/3"),
        named(small(&outage()), "outage/3"),
    ]
}

fn named(mut pattern: Pattern, name: &'static str) -> Pattern {
    pattern.name = name;
    pattern
}

/// 80% of capacity without faults.
pub fn steady() -> Pattern {
    Pattern::new("steady-0.8", accounts(0.8))
}

/// Four times the load for five seconds.
pub fn burst() -> Pattern {
    let surge = |profile: Profile| profile.surge(10_000, 15_000, 4.0);
    let profiles = accounts(0.6).into_iter().map(surge).collect();
    Pattern::new("burst", profiles)
}

/// One small account sends 40 times its rate from 5 s on, twice what the fleet can carry.
pub fn hot_caller() -> Pattern {
    let mut profiles = accounts(0.5);
    profiles[2] = profiles[2].clone().surge(5_000, 30_000, 40.0);
    Pattern::new("hot-caller", profiles)
}

/// The same without the hot account, to compare the other accounts with.
pub fn without_hot_caller() -> Pattern {
    let mut profiles = accounts(0.5);
    profiles[2].rate = 0.0;
    Pattern::new("no-hot-caller", profiles)
}

/// Half of all requests share one long prefix.
pub fn hot_key() -> Pattern {
    let mut profiles = accounts(0.8);
    for profile in &mut profiles {
        profile.prompt = 1_600;
        profile.shared = 1_400;
    }
    profiles[0].hot_key = true;
    profiles[0].prefixes = 1;
    Pattern::new("hot-key", profiles)
}

/// Slowness of the types of replicas in [`uneven`]: a third of the replicas each.
pub const TYPES: [f64; 3] = [1.0, 1.6, 2.67];

/// Replicas of three types, with a load relative to the capacity of as many of the fastest.
pub fn uneven(load: f64, replicas: usize) -> Pattern {
    let scale = replicas as f64 / 9.0;
    let mut pattern = Pattern::new("uneven", accounts(load)).scaled(scale);
    pattern.replicas = replicas;
    pattern.shares_speeds = true;
    // Zones take every third replica: types that follow the same period would fill one zone each.
    for place in 0..replicas {
        let slowness = TYPES[place / pattern.zones % TYPES.len()];
        pattern = pattern.fault(0, Fault::Health(place, Health::Slow(slowness)));
    }
    pattern
}

/// One replica becomes unhealthy at 5 s and recovers at 20 s.
pub fn slow_replica(health: Health, name: &'static str) -> Pattern {
    Pattern::new(name, accounts(0.7))
        .fault(5_000, Fault::Health(4, health))
        .fault(20_000, Fault::Health(4, Health::Healthy))
}

/// Prompts of 12,000 tokens among short ones.
pub fn long_among_short() -> Pattern {
    let mut profiles = accounts(0.45);
    profiles[1] = Profile::new("bundles", 4, 2.6).long();
    Pattern::new("long-among-short", profiles)
}

/// More load than the fleet can carry, for the whole run.
pub fn overload(name: &'static str, factor: f64) -> Pattern {
    Pattern::new(name, accounts(factor))
}

/// Overload by accounts of three priorities.
pub fn priorities() -> Pattern {
    let mut profiles = accounts(2.0);
    profiles[1] = profiles[1].clone().priority(5);
    profiles[3] = profiles[3].clone().priority(9);
    profiles[4] = profiles[4].clone().priority(9);
    Pattern::new("priorities-2", profiles)
}

/// A zone is reclaimed with three seconds' notice during long answers, and comes back later.
pub fn zone_reclaim() -> Pattern {
    let mut profiles = accounts(0.17);
    for profile in &mut profiles {
        profile.output = 400;
    }
    let mut pattern =
        Pattern::new("zone-reclaim", profiles).fault(10_000, Fault::ReclaimZone(1, 3_000));
    pattern.restart_ms = Some(8_000);
    pattern
}

/// A zone's replicas come back with empty caches while the others have long prefixes cached.
pub fn cold_return() -> Pattern {
    let mut profiles = accounts(0.55);
    for profile in &mut profiles {
        profile.prompt = 1_600;
        profile.shared = 1_400;
        profile.prefixes = 12;
    }
    let mut pattern = Pattern::new("cold-return", profiles).fault(5_000, Fault::LoseZone(1));
    pattern.restart_ms = Some(8_000);
    pattern
}

/// Targets for the token gap that a full batch doesn't meet.
pub fn tight_gap() -> Pattern {
    let mut profiles = accounts(1.5);
    for profile in &mut profiles {
        profile.token_gap_ms = 24;
    }
    Pattern::new("tight-gap", profiles)
}

/// A zone is lost without notice at nearly full load.
pub fn zone_loss() -> Pattern {
    let mut pattern = Pattern::new("zone-loss", accounts(0.9)).fault(10_000, Fault::LoseZone(1));
    pattern.restart_ms = Some(8_000);
    pattern
}

/// All replicas are lost for five seconds.
pub fn outage() -> Pattern {
    let mut pattern = Pattern::new("outage", accounts(0.7));
    pattern.restart_ms = Some(5_000);
    for zone in 0..3 {
        pattern = pattern.fault(10_000, Fault::LoseZone(zone));
    }
    pattern
}

/// Reports every two seconds, two seconds old, a third of them lost.
pub fn stale_reports() -> Pattern {
    let mut pattern = Pattern::new("stale-reports", accounts(0.9));
    pattern.reports = Reports {
        period_ms: 2_000,
        lag_ms: 2_000,
        loss: 0.33,
    };
    pattern
}

/// One request that crashes its replica, resent through each entry in turn.
pub fn killer() -> Pattern {
    let mut pattern = Pattern::new("killer", accounts(0.5));
    pattern.killers = (0..8)
        .map(|entry| Killer {
            at_ms: 5_000 + entry as u64 * 1_500,
            entry,
        })
        .collect();
    pattern
}

/// A burst while a replica is slow.
pub fn burst_and_slow() -> Pattern {
    let mut pattern = burst();
    pattern.name = "burst+slow";
    pattern
        .fault(8_000, Fault::Health(4, Health::Slow(6.0)))
        .fault(20_000, Fault::Health(4, Health::Healthy))
}

/// A zone is reclaimed while one account floods the entries.
pub fn reclaim_and_hot_caller() -> Pattern {
    let mut pattern = hot_caller();
    pattern.name = "reclaim+hot";
    pattern.restart_ms = Some(8_000);
    pattern.fault(10_000, Fault::ReclaimZone(1, 5_000))
}

/// A pool of 3 plain replicas at twice its capacity: short calls, answered in one piece.
pub fn plain_overload() -> Pattern {
    let mut profiles = accounts(1.0);
    for profile in &mut profiles {
        // A call alone occupies its server for 20 to 60 ms.
        profile.prompt = 400;
        profile.shared = 0;
        profile.output = 1;
        profile.first_token_ms = 500;
    }
    let mut pattern = Pattern::new("plain-overload-2", profiles).scaled(2.6);
    pattern.replicas = 3;
    pattern.shape = Shape {
        slots: 8,
        step_us: 1_000,
        sequence_us: 0,
        cache_tokens: 0,
        ..Shape::default()
    };
    pattern
}

/// One account has limits on tokens and open requests, and exceeds them threefold.
pub fn limited() -> Pattern {
    let mut profiles = accounts(0.6);
    profiles[0].spec.tokens_per_second = 5_000;
    profiles[0].spec.concurrent = 24;
    profiles[0].rate *= 2.0;
    Pattern::new("limited", profiles)
}

/// The same pattern with a third of the load on 3 replicas, one per zone.
pub fn small(pattern: &Pattern) -> Pattern {
    let mut pattern = pattern.clone().scaled(1.0 / 3.0);
    pattern.replicas = 3;
    for (_, fault) in &mut pattern.faults {
        if let Fault::Health(replica, _) | Fault::Kill(replica) | Fault::Restart(replica) = fault {
            *replica %= 3;
        }
    }
    pattern
}
