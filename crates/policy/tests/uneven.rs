//! Replicas of several types that differ in speed.

mod support;

use policy::configs::scheduler::Settings;
use policy::configs::speed;
use support::engine::Health;
use support::load::Fault;
use support::patterns;
use support::tally::Tally;
use support::variant::Variant;

const REPLICAS: usize = 60;

fn run(load: f64, seed: u64, seconds: u64, settings: Settings) -> Tally {
    let mut pattern = patterns::uneven(load, REPLICAS);
    pattern.seconds = seconds;
    Variant::Scheduler(Box::new(settings)).run(&pattern, seed)
}

/// Replicas run at 1, 1/1.6 and 1/2.67 of the nominal speed, and callers send half of the nominal capacity. The
/// slowest type was ejected while its caches were cold.
#[test]
fn slower_types_serve_in_time_and_arent_ejected() {
    for seed in 1..=3 {
        let tally = run(0.5, seed, 20, Settings::default());
        let shares: Vec<f64> = (0..5).map(|account| tally.share(Some(account))).collect();
        assert!(tally.worst_share() > 0.97, "seed {seed}: {shares:.3?}");
        assert_eq!(tally.max_ejected, 0, "seed {seed}");
    }
}

/// Nearer to the capacity, which is two thirds of the nominal one, equal parts overload the slow replicas.
#[test]
fn speeds_keep_more_answers_in_time_near_the_capacity() {
    let disabled = speed::Config {
        enabled: false,
        ..speed::Config::default()
    };
    let without = Settings {
        speed: disabled,
        ..Settings::default()
    };
    for seed in 1..=3 {
        let with = run(0.65, seed, 40, Settings::default()).share(None);
        let without = run(0.65, seed, 40, without).share(None);
        println!("seed {seed}: {with:.3}, without speeds {without:.3}");
        assert!(
            with > without + 0.015,
            "seed {seed}: {with:.3}, without speeds {without:.3}"
        );
    }
}

/// A replica of the fastest type that becomes eight times slower is ejected as before, although it has a speed.
#[test]
fn an_unhealthy_replica_is_ejected_among_uneven_ones() {
    let mut pattern = patterns::uneven(0.5, REPLICAS);
    pattern.seconds = 20;
    let pattern = pattern.fault(10_000, Fault::Health(0, Health::Slow(8.0)));
    let tally = Variant::scheduler().run(&pattern, 1);
    assert!(tally.max_ejected > 0);
    assert!(tally.worst_share() > 0.95, "{}", tally.worst_share());
}
