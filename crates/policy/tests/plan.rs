//! The plan that cuts offered work to the capacity, and the gates that carry it out.

use std::collections::BTreeMap;

use clock::Time;
use policy::configs::plan::Config;
use policy::demand::Class;
use policy::demand::Rates;
use policy::plan::Gate;
use policy::plan::Plan;
use policy::plan::Weights;
use proptest::prelude::*;
use proptest::test_runner::Config as Proptest;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand_pcg::Pcg64;

const CAPACITY: f64 = 10_000.0;
/// Rounding of sums of floating-point numbers.
const SLACK: f64 = 1e-6;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn class(level: u8, account: u32) -> Class {
    Class { level, account }
}

fn rates(rows: &[(u8, u32, u32)]) -> Rates {
    let mut rates = Rates::default();
    for (level, account, rate) in rows {
        rates.add(class(*level, *account), *rate);
    }
    rates
}

/// Plans with default settings and equal weights.
fn plan(rates: &Rates, capacity: f64) -> Plan {
    Plan::new(&Config::default(), &Weights::new(), rates, capacity)
}

/// Returns the offered and the admitted rate by level.
fn by_level(plan: &Plan, rates: &Rates) -> BTreeMap<u8, (f64, f64)> {
    let mut levels: BTreeMap<u8, (f64, f64)> = BTreeMap::new();
    for (class, rate) in rates.iter() {
        let (offered, admitted) = levels.entry(class.level).or_default();
        *offered += f64::from(rate);
        *admitted += f64::from(rate) * plan.fraction(class);
    }
    levels
}

/// Returns Jain's index of fairness.
fn jain(shares: &[f64]) -> f64 {
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    sum * sum / (shares.len() as f64 * squares)
}

/// Offers one request to a gate; returns whether it is admitted.
fn admits(gate: &mut Gate, random: &mut Pcg64, millis: u64, fraction: f64, work: u64) -> bool {
    let now = at(millis);
    let offer = gate.offer(&Config::default(), now, class(0, 1), work);
    gate.admits(now, offer, fraction, random)
}

/// Offers requests to a gate, one in `interval` milliseconds; returns the offered and the admitted work.
fn offer(gate: &mut Gate, fraction: f64, interval: u64, works: &[u64]) -> (u64, u64) {
    let mut random = Pcg64::seed_from_u64(3);
    let (mut offered, mut admitted) = (0, 0);
    for (number, work) in works.iter().enumerate() {
        offered += work;
        let millis = 1 + number as u64 * interval;
        if admits(gate, &mut random, millis, fraction, *work) {
            admitted += work;
        }
    }
    (offered, admitted)
}

#[test]
fn urgent_levels_are_served_first() {
    // Guards against an overload in which all ranks are late alike.
    let rates = rates(&[(0, 1, 4_000), (10, 1, 9_000), (20, 1, 9_000)]);
    let plan = plan(&rates, CAPACITY);
    let levels = by_level(&plan, &rates);

    assert_eq!(plan.fraction(class(0, 1)), 1.0);
    let floor = CAPACITY / 3.0 / 4.0;
    assert!((levels[&20].1 - floor).abs() < SLACK);
    assert!((levels[&10].1 - (6_000.0 - floor)).abs() < SLACK);
}

#[test]
fn each_level_keeps_a_quarter_of_the_mean_share() {
    // Guards against a lower rank that gets nothing while a more urgent one asks for everything.
    let rates = rates(&[
        (0, 1, 60_000),
        (10, 1, 5_000),
        (20, 1, 100),
        (30, 1, 90_000),
    ]);
    let plan = plan(&rates, CAPACITY);
    let levels = by_level(&plan, &rates);

    let floor = CAPACITY / 4.0 / 4.0;
    assert!((levels[&10].1 - floor).abs() < SLACK);
    assert!((levels[&30].1 - floor).abs() < SLACK);
    assert_eq!(plan.fraction(class(20, 1)), 1.0);
    assert!((plan.admitted(&rates) - CAPACITY).abs() < SLACK);
}

#[test]
fn one_account_at_ten_times_its_rate_leaves_the_others_whole() {
    // Guards against an account with many requests that takes the place of the others.
    let rows: Vec<(u8, u32, u32)> = (0..10)
        .map(|account| (0, account, if account == 0 { 9_000 } else { 900 }))
        .collect();
    let rates = rates(&rows);
    let plan = plan(&rates, CAPACITY);

    for account in 1..10 {
        assert_eq!(plan.fraction(class(0, account)), 1.0);
    }
    let admitted = 9_000.0 * plan.fraction(class(0, 0));
    assert!((admitted - 1_900.0).abs() < SLACK, "{admitted}");
}

#[test]
fn accounts_share_by_weight() {
    // Guards against equal shares of accounts whose weights differ.
    let rates = rates(&[(0, 1, 20_000), (0, 2, 20_000), (0, 3, 500)]);
    let weights = Weights::from([(1, 3.0)]);
    let plan = Plan::new(&Config::default(), &weights, &rates, 8_500.0);

    assert!((20_000.0 * plan.fraction(class(0, 1)) - 6_000.0).abs() < SLACK);
    assert!((20_000.0 * plan.fraction(class(0, 2)) - 2_000.0).abs() < SLACK);
    assert_eq!(plan.fraction(class(0, 3)), 1.0);
}

#[test]
fn nothing_is_admitted_beyond_floors_without_capacity() {
    // Guards against a division by zero, and against fractions outside 0 to 1.
    let rates = rates(&[(0, 1, 100), (10, 2, 100)]);
    let plan = plan(&rates, 0.0);
    assert_eq!(plan.admitted(&rates), 0.0);
}

#[test]
fn small_and_large_requests_are_admitted_alike() {
    // Guards against a balance that small requests use up before it covers a large one.
    let mut gate = Gate::default();
    let mut random = Pcg64::seed_from_u64(3);
    let mut admitted = BTreeMap::from([(100, 0), (20_000, 0)]);
    for number in 0..20_000_u64 {
        let work = if number % 7 == 0 { 20_000 } else { 100 };
        if admits(&mut gate, &mut random, number, 0.3, work) {
            *admitted.entry(work).or_default() += 1;
        }
    }
    let part = |work: u64, offered: f64| f64::from(admitted[&work]) / offered;
    let large = part(20_000, 20_000.0 / 7.0);
    assert!((large - 0.3).abs() < 0.01, "{large}");
    let small = part(100, 20_000.0 * 6.0 / 7.0);
    assert!(small > 0.15, "{small}");
}

#[test]
fn the_first_request_of_a_level_after_a_pause_is_admitted() {
    // Guards against a caller with one request in several seconds that is always refused.
    let mut gate = Gate::default();
    let mut random = Pcg64::seed_from_u64(3);
    assert!(admits(&mut gate, &mut random, 0, 0.0, 100));
    for millis in [10, 20, 900] {
        assert!(!admits(&mut gate, &mut random, millis, 0.0, 100));
    }

    // A caller whose requests all come after pauses is held to the plan too.
    let mut gate = Gate::default();
    let admitted: Vec<bool> = (0..8)
        .map(|number| admits(&mut gate, &mut random, number * 1_200, 0.0, 100))
        .collect();
    assert_eq!(admitted.iter().filter(|one| **one).count(), 1);
    gate.expire(at(30_000));
    assert!(admits(&mut gate, &mut random, 30_000, 0.0, 100));
}

#[test]
fn the_first_requests_at_many_entries_keep_to_the_plan_together() {
    // Guards against one request of each account at each entry that is admitted as an overload begins.
    let config = Config::default();
    let mut random = Pcg64::seed_from_u64(3);
    let mut admitted = 0;
    for _ in 0..100 {
        let mut gate = Gate::default();
        for account in 0..10 {
            let now = at(1 + u64::from(account));
            let offer = gate.offer(&config, now, class(0, account), 1_000);
            admitted += i32::from(gate.admits(now, offer, 0.25, &mut random));
        }
    }
    // The first of each level, and a quarter of the others.
    assert!((275..=375).contains(&admitted), "{admitted}");
}

#[test]
fn many_entries_with_few_requests_keep_to_the_plan_together() {
    // Guards against admitting each first request after a pause: among 300 entries with a request in 1.5 s each,
    // that would be every request.
    let mut random = Pcg64::seed_from_u64(3);
    let (mut offered, mut admitted) = (0, 0);
    for _ in 0..300 {
        let mut gate = Gate::default();
        for number in 0..40 {
            offered += 1;
            let millis = 1 + number * 1_500;
            admitted += i32::from(admits(&mut gate, &mut random, millis, 0.25, 1_000));
        }
    }
    let fraction = f64::from(admitted) / f64::from(offered);
    assert!((fraction - 0.25).abs() < 0.05, "{fraction}");
}

/// Rates of up to six levels and eight accounts.
fn any_rates() -> impl Strategy<Value = Rates> {
    let row = (0_u8..6, 0_u32..8, 1_u32..50_000);
    proptest::collection::vec(row, 1..40).prop_map(|rows| rates(&rows))
}

proptest! {
    #![proptest_config(Proptest { rng_seed: RngSeed::Fixed(11), cases: 500, ..Proptest::default() })]

    #[test]
    fn the_capacity_is_used_and_not_exceeded(rates in any_rates(), capacity in 1.0..200_000.0_f64) {
        // Guards against refusals while the work fits, and against more work than the replicas carry.
        let plan = plan(&rates, capacity);
        let offered = rates.total() as f64;
        let admitted = plan.admitted(&rates);
        if offered <= capacity {
            prop_assert_eq!(plan, Plan::default());
        } else {
            prop_assert!((admitted - capacity).abs() < SLACK * capacity.max(1.0));
        }
    }

    #[test]
    fn a_level_gets_more_than_its_floor_only_after_the_more_urgent(
        rates in any_rates(),
        capacity in 1.0..200_000.0_f64,
    ) {
        // Guards against a plan that isn't monotone in priority, and against a level that starves.
        let plan = plan(&rates, capacity);
        let levels = by_level(&plan, &rates);
        let floor = capacity / levels.len() as f64 / 4.0;
        let slack = SLACK * capacity;
        let mut cut = false;
        for (offered, admitted) in levels.values() {
            prop_assert!(*admitted >= offered.min(floor) - slack);
            prop_assert!(!cut || *admitted <= floor + slack);
            cut |= *admitted < offered - slack;
        }
    }

    #[test]
    fn accounts_of_a_level_get_max_min_shares(
        rates in any_rates(),
        weights in proptest::collection::vec(0.5..8.0_f64, 8),
        capacity in 1.0..200_000.0_f64,
    ) {
        // Guards against an account that gets less than its share while another of its level gets more.
        let weights: Weights = (0_u32..).zip(weights).collect();
        let plan = Plan::new(&Config::default(), &weights, &rates, capacity);
        let share = |class: Class, rate: u32| {
            f64::from(rate) * plan.fraction(class) / weights[&class.account]
        };
        for (class, rate) in rates.iter().filter(|(class, _)| plan.fraction(*class) < 1.0) {
            let own = share(class, rate);
            for (other, rate) in rates.iter().filter(|(other, _)| other.level == class.level) {
                prop_assert!(share(other, rate) <= own + SLACK * capacity);
            }
        }
    }

    #[test]
    fn equal_accounts_get_equal_work(
        demands in proptest::collection::vec(1.0..20.0_f64, 2..20),
    ) {
        // Guards against shares in proportion to what accounts ask for.
        let rows = demands.iter().zip(0_u32..);
        let share = CAPACITY / demands.len() as f64;
        let rows: Vec<(u8, u32, u32)> = rows
            .map(|(demand, account)| (0, account, (demand * share).ceil() as u32))
            .collect();
        let rates = rates(&rows);
        let plan = plan(&rates, CAPACITY);
        let shares: Vec<f64> = rates
            .iter()
            .map(|(class, rate)| f64::from(rate) * plan.fraction(class))
            .collect();
        prop_assert!(jain(&shares) > 0.98, "{shares:?}");
    }

    #[test]
    fn a_gate_admits_the_exact_fraction(
        fraction in 0.0..1.0_f64,
        works in proptest::collection::vec(1_u64..5_000, 1..400),
    ) {
        // Guards against fractions that are only met on average.
        let mut gate = Gate::default();
        let (offered, admitted) = offer(&mut gate, fraction, 20, &works);
        let planned = offered as f64 * fraction;
        prop_assert!((admitted as f64 - planned).abs() <= 5_000.0, "{admitted} of {planned}");
    }
}

/// Guards against an account of a tiny weight that is admitted as a whole: subtracted from a sum, the weights before it
/// left zero, and its share was no number.
#[test]
fn accounts_of_very_different_weights_are_all_bounded() {
    let rates = rates(&[(0, 1, 20_000), (0, 2, 20_000)]);
    for tiny in [0.0, 1e-300, 1e-20, 1e-9] {
        for large in [1.0, 1e9] {
            let weights = Weights::from([(1, large), (2, tiny)]);
            let plan = Plan::new(&Config::default(), &weights, &rates, CAPACITY);
            let admitted = plan.admitted(&rates);
            assert!(
                (admitted - CAPACITY).abs() < SLACK * CAPACITY,
                "{admitted} is admitted with the weights {large} and {tiny}"
            );
        }
    }
}
