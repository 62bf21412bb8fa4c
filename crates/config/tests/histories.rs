//! Random histories of changes, crashes, pauses, cuts and store faults, with fixed seeds.
//!
//! The world checks after every event that no version falls, differs or is admitted under after a
//! newer one was accepted; at the end every answer must be true of what the service holds.
//! `HISTORIES=2000 cargo test --release -p config --test histories` runs more of them.

mod common;

use clock::Span;
use common::World;
use common::entries;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRunner;
use store::fake::Fault;

const START: usize = 5;
const MOST: usize = 9;
const CASES: u32 = 96;

/// One thing that happens.
#[derive(Clone, Debug)]
enum Step {
    Change { at: usize, account: u8 },
    Repeat { at: usize, of: usize },
    Freeze(usize),
    Thaw(usize),
    Kill(usize),
    Start,
    CutStore(usize, bool),
    CutPeers(usize, u32),
    Outage(bool),
    Fault(u8),
    Late(u16),
    Slow(u16),
    Wait(u16),
}

fn step() -> impl Strategy<Value = Step> {
    let at = 0..MOST;
    prop_oneof![
        6 => (at.clone(), 0..3_u8).prop_map(|(at, account)| Step::Change { at, account }),
        2 => (at.clone(), 0..8_usize).prop_map(|(at, of)| Step::Repeat { at, of }),
        2 => at.clone().prop_map(Step::Freeze),
        3 => at.clone().prop_map(Step::Thaw),
        1 => at.clone().prop_map(Step::Kill),
        1 => (0..1_u8).prop_map(|_| Step::Start),
        3 => (at.clone(), any::<bool>()).prop_map(|(at, cut)| Step::CutStore(at, cut)),
        3 => (at, 0..3_u32).prop_map(|(at, part)| Step::CutPeers(at, part)),
        2 => any::<bool>().prop_map(Step::Outage),
        3 => (0..3_u8).prop_map(Step::Fault),
        2 => (0..9_000_u16).prop_map(Step::Late),
        2 => (0..9_000_u16).prop_map(Step::Slow),
        8 => (0..12_000_u16).prop_map(Step::Wait),
    ]
}

fn take(world: &mut World, step: &Step, count: &mut u32) {
    let known = |world: &World, at: usize| at % world.nodes.len();
    match *step {
        Step::Change { at, account } => {
            *count += 1;
            let at = known(world, at);
            let name = format!("account-{account}");
            world.set_weight(at, &format!("c{count}"), &name, *count);
        }
        Step::Repeat { at, of } => {
            let at = known(world, at);
            let change = world.changes.values().nth(of).cloned();
            if let Some(change) = change {
                world.submit(at, change, Span::from_seconds(10));
            }
        }
        Step::Freeze(at) => world.set_frozen(known(world, at), true),
        Step::Thaw(at) => world.set_frozen(known(world, at), false),
        Step::Kill(at) => {
            let at = known(world, at);
            world.nodes[at].dead = true;
        }
        Step::Start if world.nodes.len() < MOST => {
            world.start();
        }
        Step::Start => {}
        Step::CutStore(at, cut) => {
            let at = known(world, at);
            world.nodes[at].store_cut = cut;
        }
        Step::CutPeers(at, part) => {
            let at = known(world, at);
            world.nodes[at].part = part;
        }
        Step::Outage(down) => world.table.set_down(down),
        Step::Fault(kind) => {
            let faults = [Fault::Down, Fault::LostCall, Fault::LostAnswer];
            world.table.push_fault(faults[usize::from(kind)]);
        }
        Step::Late(millis) => world.late.push(Span::from_millis(millis.into())),
        Step::Slow(millis) => world.slow.push(Span::from_millis(millis.into())),
        Step::Wait(millis) => world.run(Span::from_millis(millis.into())),
    }
}

/// Ends all faults; everyone alive must then hold the newest version and admit.
fn heal(world: &mut World) -> Result<(), TestCaseError> {
    world.table.set_down(false);
    for index in 0..world.nodes.len() {
        world.nodes[index].store_cut = false;
        world.nodes[index].part = 0;
        world.set_frozen(index, false);
    }
    world.run(Span::from_seconds(60));
    world.check_answers();
    for index in 0..world.nodes.len() {
        if !world.nodes[index].dead {
            proptest::prop_assert!(world.admits(index), "entry {index} does not admit");
            proptest::prop_assert_eq!(world.version(index), world.head());
        }
    }
    Ok(())
}

#[test]
fn no_history_reverts_or_splits_the_configuration() {
    let more = std::env::var("HISTORIES").ok();
    let cases = more.and_then(|count| count.parse().ok()).unwrap_or(CASES);
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::default()
    };
    let steps = proptest::collection::vec(step(), 1..60);
    let run = TestRunner::new(config).run(&steps, |steps| {
        let mut world = entries(START);
        let mut count = 0;
        for step in &steps {
            take(&mut world, step, &mut count);
        }
        heal(&mut world)
    });
    if let Err(error) = run {
        panic!("{error}");
    }
}
