//! Random histories of changes, crashes, pauses, cuts and store faults, with fixed seeds.
//!
//! The world asserts after every event that no version falls, differs, or is admitted under after a newer
//! one was accepted. At the end every answer must agree with the stored versions.
//! `HISTORIES=2000 cargo test --release -p config --test histories` runs more cases.

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

const INITIAL_ENTRIES: usize = 5;
const MAX_ENTRIES: usize = 9;
const CASES: u32 = 96;

/// One change, fault or wait.
#[derive(Clone, Debug)]
enum Step {
    Change { entry: usize, account: u8 },
    Repeat { entry: usize, operation: usize },
    Freeze(usize),
    Thaw(usize),
    Kill(usize),
    Start,
    CutStore(usize, bool),
    CutPeers(usize, u32),
    Outage(bool),
    Fault(u8),
    DelayWrite(u16),
    DelayMessage(u16),
    Wait(u16),
}

fn step() -> impl Strategy<Value = Step> {
    let entry = 0..MAX_ENTRIES;
    prop_oneof![
        6 => (entry.clone(), 0..3_u8).prop_map(|(entry, account)| Step::Change { entry, account }),
        2 => (entry.clone(), 0..8_usize)
            .prop_map(|(entry, operation)| Step::Repeat { entry, operation }),
        2 => entry.clone().prop_map(Step::Freeze),
        3 => entry.clone().prop_map(Step::Thaw),
        1 => entry.clone().prop_map(Step::Kill),
        1 => (0..1_u8).prop_map(|_| Step::Start),
        3 => (entry.clone(), any::<bool>()).prop_map(|(entry, cut)| Step::CutStore(entry, cut)),
        3 => (entry, 0..3_u32).prop_map(|(entry, partition)| Step::CutPeers(entry, partition)),
        2 => any::<bool>().prop_map(Step::Outage),
        3 => (0..3_u8).prop_map(Step::Fault),
        2 => (0..9_000_u16).prop_map(Step::DelayWrite),
        2 => (0..9_000_u16).prop_map(Step::DelayMessage),
        8 => (0..12_000_u16).prop_map(Step::Wait),
    ]
}

fn apply_step(world: &mut World, step: &Step, changes: &mut u32) {
    let started = |world: &World, entry: usize| entry % world.nodes.len();
    match *step {
        Step::Change { entry, account } => {
            *changes += 1;
            let entry = started(world, entry);
            let name = format!("account-{account}");
            world.set_weight(entry, &format!("c{changes}"), &name, *changes);
        }
        Step::Repeat { entry, operation } => {
            let entry = started(world, entry);
            let change = world.changes.values().nth(operation).cloned();
            if let Some(change) = change {
                world.submit(entry, change, Span::from_seconds(10));
            }
        }
        Step::Freeze(entry) => world.set_frozen(started(world, entry), true),
        Step::Thaw(entry) => world.set_frozen(started(world, entry), false),
        Step::Kill(entry) => {
            let entry = started(world, entry);
            world.nodes[entry].dead = true;
        }
        Step::Start if world.nodes.len() < MAX_ENTRIES => {
            world.start();
        }
        Step::Start => {}
        Step::CutStore(entry, cut) => {
            let entry = started(world, entry);
            world.nodes[entry].store_cut = cut;
        }
        Step::CutPeers(entry, partition) => {
            let entry = started(world, entry);
            world.nodes[entry].partition = partition;
        }
        Step::Outage(down) => world.table.set_down(down),
        Step::Fault(kind) => {
            let faults = [Fault::Down, Fault::LostCall, Fault::LostAnswer];
            world.table.push_fault(faults[usize::from(kind)]);
        }
        Step::DelayWrite(millis) => world.late_writes.push(Span::from_millis(millis.into())),
        Step::DelayMessage(millis) => world.slow_messages.push(Span::from_millis(millis.into())),
        Step::Wait(millis) => world.run(Span::from_millis(millis.into())),
    }
}

/// Ends all faults and checks that every live entry soon admits under the newest version.
fn check_recovery(world: &mut World) -> Result<(), TestCaseError> {
    world.table.set_down(false);
    for index in 0..world.nodes.len() {
        world.nodes[index].store_cut = false;
        world.nodes[index].partition = 0;
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
        let mut world = entries(INITIAL_ENTRIES);
        let mut changes = 0;
        for step in &steps {
            apply_step(&mut world, step, &mut changes);
        }
        check_recovery(&mut world)
    });
    if let Err(error) = run {
        panic!("{error}");
    }
}
