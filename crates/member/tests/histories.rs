//! Random histories of members that start, die, freeze, and lose each other or the table service.
//!
//! Whenever a member concludes that another's lease has lapsed, that lease must not be valid. After all
//! faults have ended, every member must give callers exactly the live members.

use clock::Span;
use member::configs::membership::Settings;
use member::event::Effect;
use member::fake::Fleet;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRunner;
use store::fake::Fault;

const INITIAL_MEMBERS: usize = 5;
const MAX_MEMBERS: usize = 8;
const CASES: u32 = 128;

/// A step of a history.
#[derive(Clone, Debug)]
enum Step {
    Freeze(usize, bool),
    Kill(usize),
    Start,
    CutStore(usize, bool),
    CutPeers(usize, u32),
    Outage(bool),
    Fault(u8),
    Wait(u16),
}

fn step() -> impl Strategy<Value = Step> {
    let index = 0..MAX_MEMBERS;
    prop_oneof![
        4 => (index.clone(), any::<bool>()).prop_map(|(index, frozen)| Step::Freeze(index, frozen)),
        1 => index.clone().prop_map(Step::Kill),
        1 => (0..1_u8).prop_map(|_| Step::Start),
        3 => (index.clone(), any::<bool>()).prop_map(|(index, cut)| Step::CutStore(index, cut)),
        2 => (index, 0..3_u32).prop_map(|(index, part)| Step::CutPeers(index, part)),
        1 => any::<bool>().prop_map(Step::Outage),
        3 => (0..3_u8).prop_map(Step::Fault),
        8 => (0..9_000_u16).prop_map(Step::Wait),
    ]
}

fn apply(fleet: &mut Fleet, step: &Step) -> Result<(), TestCaseError> {
    let count = fleet.nodes.len();
    match *step {
        Step::Freeze(index, frozen) => fleet.set_frozen(index % count, frozen),
        Step::Kill(index) => fleet.nodes[index % count].dead = true,
        Step::Start if count < MAX_MEMBERS => {
            fleet.start("b", Settings::default());
        }
        Step::Start => {}
        Step::CutStore(index, cut) => fleet.nodes[index % count].store_cut = cut,
        Step::CutPeers(index, part) => fleet.nodes[index % count].partition = part,
        Step::Outage(down) => fleet.table.set_down(down),
        Step::Fault(kind) => {
            let faults = [Fault::Down, Fault::LostCall, Fault::LostAnswer];
            fleet.table.push_fault(faults[usize::from(kind)]);
        }
        Step::Wait(millis) => {
            for _ in 0..millis / 100 {
                fleet.run(Span::from_millis(100));
                assert_views_are_correct(fleet)?;
            }
        }
    }
    Ok(())
}

/// Compares new views with the leases that members hold now. A lease that is valid now, and wasn't gained
/// or renewed since the view was made, was valid then.
fn assert_views_are_correct(fleet: &mut Fleet) -> Result<(), TestCaseError> {
    let now = fleet.now;
    for index in 0..fleet.nodes.len() {
        for (at, effect) in std::mem::take(&mut fleet.nodes[index].effects) {
            let Effect::View(view) = effect else {
                continue;
            };
            for seen in view.members.iter().filter(|seen| seen.lapsed) {
                let other = &fleet.nodes[seen.id.0 as usize - 1];
                let holding = other.membership.holding();
                let renewed_since = holding.valid_until >= at + Span::from_millis(5_900);
                prop_assert!(
                    !holding.is_valid(now) || renewed_since,
                    "{index} takes {} for lapsed at {at}, valid until {}",
                    seen.id,
                    holding.valid_until
                );
            }
        }
    }
    Ok(())
}

fn heal(fleet: &mut Fleet) -> Result<(), TestCaseError> {
    fleet.table.set_down(false);
    for index in 0..fleet.nodes.len() {
        fleet.nodes[index].store_cut = false;
        fleet.nodes[index].partition = 0;
        fleet.set_frozen(index, false);
    }
    fleet.run(Span::from_seconds(60));
    let alive: Vec<usize> = (0..fleet.nodes.len())
        .filter(|index| !fleet.nodes[*index].dead)
        .collect();
    let now = fleet.now;
    for index in &alive {
        prop_assert!(fleet.nodes[*index].membership.holding().is_valid(now));
        let mut offered: Vec<usize> = fleet.nodes[*index]
            .membership
            .addresses(now, None)
            .iter()
            .map(|endpoint| endpoint.id.0 as usize - 1)
            .collect();
        offered.sort_unstable();
        prop_assert_eq!(&offered, &alive, "offered by {}", index);
    }
    Ok(())
}

#[test]
fn no_history_takes_a_valid_lease_for_lapsed() {
    let config = Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(19),
        failure_persistence: None,
        ..Config::default()
    };
    let steps = proptest::collection::vec(step(), 1..60);
    let run = TestRunner::new(config).run(&steps, |steps| {
        let mut fleet = Fleet::default();
        for index in 0..INITIAL_MEMBERS {
            fleet.start(["a", "b", "c"][index % 3], Settings::default());
        }
        fleet.run(Span::from_seconds(15));
        for step in &steps {
            apply(&mut fleet, step)?;
        }
        heal(&mut fleet)
    });
    if let Err(error) = run {
        panic!("{error}");
    }
}
