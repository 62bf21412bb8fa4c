//! Orders of former and current holders to engines with and without fencing checks.

mod common;

use clock::Span;
use common::World;
use common::rivals;
use common::serving;

const SECOND: Span = Span::from_seconds(1);

/// Creates a frozen former holder whose order for `old` arrives almost ten seconds late, and a current
/// holder that wants `new`. Returns the index of the latter.
fn deposed_holder(checks_fencing: bool, offset: Span) -> (World, usize) {
    let mut world = rivals(2);
    world.run(SECOND.times(5) + offset);
    let first = world.holder().expect("no holder");
    world.engines.entry("e1".into()).or_default();
    world.run(SECOND.times(10));
    world.order_delays.push(Span::from_millis(9_900));
    world.set_target(first, "e1", checks_fencing, serving("old"));
    world
        .run_until(SECOND.times(20), |world| world.order_delays.is_empty())
        .expect("no order was sent");
    world.set_frozen(first, true);
    world
        .run_until(SECOND.times(20), |world| {
            world.holder().is_some_and(|holder| holder != first)
        })
        .expect("nobody took over");
    let second = 1 - first;
    world.set_target(second, "e1", checks_fencing, serving("new"));
    (world, second)
}

/// A delayed order of the former holder arrives after the current holder's. An engine that checks
/// fencing numbers must refuse it.
#[test]
fn an_engine_that_checks_fencing_refuses_an_old_order() {
    let (mut world, second) = deposed_holder(true, Span::ZERO);
    world.run(SECOND.times(3));
    assert_eq!(world.engines["e1"].target, serving("new"));
    world.run(SECOND.times(20));
    assert_eq!(world.engines["e1"].target, serving("new"));
    assert!(world.rivals[second].orders.is_settled("e1"));
}

/// A delayed order of the former holder meets an engine that ignores fencing numbers. The current holder
/// must wait until that order has arrived, so that its own comes last.
#[test]
fn an_engine_that_ignores_fencing_ends_with_the_new_order() {
    for offset in 0..5 {
        let (mut world, second) = deposed_holder(false, Span::from_millis(offset * 400));
        world.run(SECOND.times(30));
        assert_eq!(world.engines["e1"].target, serving("new"));
        assert!(!world.engines["e1"].reverted, "at {offset}");
        assert!(world.rivals[second].orders.is_settled("e1"));
    }
}

/// An engine runs requests when its target changes to another model. The order would cut them, so it
/// waits until the engine has been idle for a while.
#[test]
fn an_order_that_empties_an_engine_waits_until_it_is_idle() {
    let mut world = rivals(1);
    world.run(SECOND.times(5));
    world.set_target(0, "e1", false, serving("old"));
    world.run(SECOND.times(15));
    assert_eq!(world.engines["e1"].target, serving("old"));
    let engine = world.engines.get_mut("e1").expect("no engine");
    engine.running = 1;
    world.set_target(0, "e1", false, serving("new"));
    world.run(SECOND.times(30));
    assert_eq!(world.engines["e1"].target, serving("old"));
    let engine = world.engines.get_mut("e1").expect("no engine");
    engine.running = 0;
    world.run(SECOND.times(20));
    assert_eq!(world.engines["e1"].target, serving("new"));
    assert!(!world.engines["e1"].disturbed);
}

/// An order is lost in the network. The holder reads the engine, finds that it has not reached its
/// target, and sends the order again.
#[test]
fn a_lost_order_is_sent_again() {
    let mut world = rivals(1);
    world.run(SECOND.times(5));
    world.order_delays.push(SECOND.times(86_400));
    world.set_target(0, "e1", true, serving("new"));
    world.run(SECOND.times(30));
    assert_eq!(world.engines["e1"].target, serving("new"));
}
