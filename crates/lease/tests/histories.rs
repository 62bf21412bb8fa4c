//! Random histories of rivals for one lease, with fixed seeds.

mod common;

use clock::Span;
use common::Event;
use common::rivals;
use lease::claim;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;
use store::fake::Fault;

const RIVALS: usize = 3;
const CASES: u32 = 512;

/// One fault, action or wait.
#[derive(Clone, Debug)]
enum Step {
    Freeze(usize, bool),
    CutStore(usize, bool),
    Want(usize, bool),
    Outage(bool),
    Fault(u8),
    DelayWrite(u16),
    Restore(u16),
    Wait(u16),
}

fn step() -> impl Strategy<Value = Step> {
    let rival = 0..RIVALS;
    prop_oneof![
        3 => (rival.clone(), any::<bool>()).prop_map(|(rival, frozen)| Step::Freeze(rival, frozen)),
        2 => (rival.clone(), any::<bool>()).prop_map(|(rival, cut)| Step::CutStore(rival, cut)),
        1 => (rival, any::<bool>()).prop_map(|(rival, wanted)| Step::Want(rival, wanted)),
        1 => any::<bool>().prop_map(Step::Outage),
        3 => (0..3_u8).prop_map(Step::Fault),
        3 => (0..15_000_u16).prop_map(Step::DelayWrite),
        2 => (0..10_000_u16).prop_map(Step::Restore),
        8 => (0..9_000_u16).prop_map(Step::Wait),
    ]
}

/// Checks that one process holds the lease soon after all faults have ended. The world asserts after every
/// event that there is at most one holder.
#[test]
fn no_history_makes_two_holders() {
    let config = Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    };
    let steps = (any::<bool>(), proptest::collection::vec(step(), 1..60));
    let run = TestRunner::new(config).run(&steps, |(notifies_rivals, steps)| {
        let mut world = rivals(RIVALS);
        world.notifies_rivals = notifies_rivals;
        for step in steps {
            match step {
                Step::Freeze(rival, frozen) => world.set_frozen(rival, frozen),
                Step::CutStore(rival, cut) => world.rivals[rival].store_cut = cut,
                Step::Want(rival, wanted) => {
                    world.feed(rival, Event::Claim(claim::Event::Want(wanted)));
                }
                Step::Outage(down) => world.table.set_down(down),
                Step::Fault(kind) => {
                    let faults = [Fault::Down, Fault::LostCall, Fault::LostAnswer];
                    world.table.push_fault(faults[usize::from(kind)]);
                }
                Step::DelayWrite(millis) => {
                    world.late_writes.push(Span::from_millis(millis.into()))
                }
                Step::Restore(millis) => world.restore(Span::from_millis(millis.into())),
                Step::Wait(millis) => world.run(Span::from_millis(millis.into())),
            }
        }
        world.table.set_down(false);
        for rival in 0..RIVALS {
            world.rivals[rival].store_cut = false;
            world.set_frozen(rival, false);
            world.feed(rival, Event::Claim(claim::Event::Want(true)));
        }
        world.run(Span::from_seconds(60));
        proptest::prop_assert!(world.holder().is_some(), "no holder at the end");
        Ok(())
    });
    if let Err(error) = run {
        panic!("{error}");
    }
}
