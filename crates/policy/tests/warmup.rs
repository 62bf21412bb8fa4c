//! Gradual load on new replicas.

use clock::Time;
use policy::configs::warmup::Config;
use policy::replica::Key;
use policy::warmup::Warmup;

/// A replica joins a busy pool with an empty cache. As the least loaded it would attract every
/// request, each a full prefill, and all of them would be late.
#[test]
fn new_replica_gets_load_gradually() {
    let config = Config::default();
    let mut warmup = Warmup::new(config);
    warmup.add(Time::ZERO, Key(0));
    let late = Time::from_millis(600_000);
    warmup.add(late, Key(1));
    assert_eq!(warmup.max_jobs(late, Key(0), 32), 32);
    assert_eq!(warmup.max_jobs(late, Key(1), 32), 4);
    assert_eq!(warmup.scaled_load(late, Key(1), 1.0), 10.0);
    let mut last = 4;
    let span = config.duration.as_millis();
    for step in 0..=30 {
        let now = Time::from_millis(600_000 + span * step / 30);
        let jobs = warmup.max_jobs(now, Key(1), 32);
        assert!(jobs >= last && jobs - last <= 2);
        last = jobs;
    }
    assert_eq!(last, 32);
}

/// After an outage all replicas are new. Limited like a single new one, they would serve a tenth of
/// the callers who retry.
#[test]
fn pool_of_new_replicas_is_not_held_back() {
    let mut warmup = Warmup::new(Config::default());
    for key in 0..9 {
        warmup.add(Time::ZERO, Key(key));
    }
    assert_eq!(warmup.max_jobs(Time::ZERO, Key(4), 16), 16);
    warmup.remove(Key(0));
    assert_eq!(warmup.capacity_share(Time::ZERO, Key(4)), 1.0);
    assert_eq!(warmup.max_jobs(Time::ZERO, Key(4), 0), 1);
}
