//! Prefix affinity under a hot key, with late and lost cache events.

use clock::Span;
use clock::Time;
use policy::affinity::Affinity;
use policy::affinity::Candidate;
use policy::affinity::Choice;
use policy::configs::affinity::Config;
use policy::rendezvous;
use policy::replica::Key;
use proptest::prelude::*;
use proptest::test_runner::Config as Proptest;
use proptest::test_runner::RngSeed;

fn pool(loads: &[f64]) -> Vec<Candidate> {
    loads
        .iter()
        .enumerate()
        .map(|(index, load)| Candidate {
            key: Key(index as u32),
            identity: rendezvous::identity(&format!("i-{index}.1")),
            load: *load,
            open: true,
        })
        .collect()
}

/// Every request has the same prefix. Its home would be overloaded while eight replicas idle; the second
/// choice takes the rest, always the same one, so that only two compute the prefix.
#[test]
fn hot_key_fills_two_replicas_and_only_then_spills() {
    let mut candidates = pool(&[4.0; 9]);
    let config = Config {
        slack: 1.0,
        ..Config::default()
    };
    let mut affinity = Affinity::new(config, 1);
    let mut other_entry = Affinity::new(config, 2);
    let mut choices = Vec::new();
    for _ in 0..4 {
        let choice = affinity.choose(Time::ZERO, 7, &candidates).expect("room");
        assert_eq!(other_entry.choose(Time::ZERO, 7, &candidates), Some(choice));
        candidates[choice.replica().0 as usize].load += 1.0;
        choices.push(choice);
    }
    assert!(matches!(
        choices[..],
        [
            Choice::Home(_),
            Choice::Home(_),
            Choice::Second(_),
            Choice::Second(_)
        ]
    ));
}

/// A very hot key needs a third replica. The first spill warms it; later spills go there again instead of
/// warming all the others.
#[test]
fn spill_comes_back_to_the_replica_it_warmed() {
    let mut candidates = pool(&[4.0; 9]);
    let mut affinity = Affinity::new(Config::default(), 1);
    for index in [0, 1] {
        let choice = affinity.choose(Time::ZERO, 7, &candidates).expect("room");
        assert!(index < 2);
        candidates[choice.replica().0 as usize].load = 20.0;
    }
    let third = affinity.choose(Time::ZERO, 7, &candidates).expect("room");
    assert!(matches!(third, Choice::Spilled(_)));
    let repeated = affinity.choose(Time::ZERO, 7, &candidates);
    assert_eq!(repeated, Some(Choice::Hinted(third.replica())));
}

/// Cache events arrive late and with gaps, so a reported prefix may be evicted already. A hint never precedes
/// the two choices, is invalid after a gap or an eviction, and expires.
#[test]
fn cache_events_are_only_hints() {
    let candidates = pool(&[0.0; 9]);
    let mut affinity = Affinity::new(Config::default(), 1);
    let home = affinity.choose(Time::ZERO, 7, &candidates).expect("room");
    let mut loaded = candidates.clone();
    let (first, second) = rendezvous::top_two(
        7,
        candidates
            .iter()
            .map(|candidate| (candidate.key, candidate.identity)),
    );
    for key in [first, second].into_iter().flatten() {
        loaded[key.0 as usize].load = 20.0;
    }
    let third = candidates
        .iter()
        .map(|candidate| candidate.key)
        .find(|key| Some(*key) != first && Some(*key) != second);
    let third = third.expect("nine replicas");

    affinity.cache_event(Time::ZERO, third, 1, 7, true);
    assert_eq!(affinity.choose(Time::ZERO, 7, &candidates), Some(home));
    assert_eq!(
        affinity.choose(Time::ZERO, 7, &loaded),
        Some(Choice::Hinted(third))
    );
    let late = Time::ZERO + Config::default().hint_ttl + Span::from_millis(1);
    assert!(matches!(
        affinity.choose(late, 7, &loaded),
        Some(Choice::Spilled(_))
    ));

    affinity.cache_event(late, third, 2, 7, true);
    assert_eq!(
        affinity.choose(late, 7, &loaded),
        Some(Choice::Hinted(third))
    );
    affinity.cache_event(late, third, 9, 8, true);
    assert!(matches!(
        affinity.choose(late, 7, &loaded),
        Some(Choice::Spilled(_))
    ));

    affinity.cache_event(late, third, 10, 7, true);
    affinity.cache_event(late, third, 11, 7, false);
    assert!(matches!(
        affinity.choose(late, 7, &loaded),
        Some(Choice::Spilled(_))
    ));
}

proptest! {
    #![proptest_config(Proptest {
        cases: 128,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..Proptest::default()
    })]

    /// While any replica is open one is chosen, and it is open. No affinity choice exceeds the bound, and the
    /// number of hints is bounded.
    #[test]
    fn choices_are_open_and_bounded(
        loads in proptest::collection::vec((0.0_f64..30.0, any::<bool>()), 1..20),
        prefixes in proptest::collection::vec(any::<u64>(), 1..100),
    ) {
        let mut candidates = pool(&loads.iter().map(|(load, _)| *load).collect::<Vec<f64>>());
        for (candidate, (_, open)) in candidates.iter_mut().zip(&loads) {
            candidate.open = *open;
        }
        let config = Config { max_hints: 16, ..Config::default() };
        let mut affinity = Affinity::new(config, 3);
        let mean = loads.iter().map(|(load, _)| load).sum::<f64>() / loads.len() as f64;
        let bound = (mean * config.load_factor).max(mean + config.slack);
        for prefix in prefixes {
            let choice = affinity.choose(Time::ZERO, prefix, &candidates);
            prop_assert_eq!(choice.is_some(), loads.iter().any(|(_, open)| *open));
            prop_assert!(affinity.hint_count() <= config.max_hints);
            let Some(choice) = choice else { continue };
            let chosen = candidates[choice.replica().0 as usize];
            prop_assert!(chosen.open);
            prop_assert!(matches!(choice, Choice::Spilled(_)) || chosen.load <= bound);
        }
    }
}
