//! Orders of old and new holders to engines that check fencing numbers and engines that don't.

mod common;

use clock::Span;
use common::World;
use common::rivals;
use common::serving;

const SECOND: Span = Span::from_seconds(1);

/// A first holder that has ordered `old` by an order that is still under way for almost ten seconds
/// and is then frozen, and a second holder that wants `new`.
fn deposed(checks_fencing: bool, offset: Span) -> (World, usize) {
    let mut world = rivals(2);
    world.run(SECOND.times(5) + offset);
    let first = world.holder().expect("no holder");
    world.engines.entry("e1".into()).or_default();
    world.run(SECOND.times(10));
    world.order_delays.push(Span::from_millis(9_900));
    world.want(first, "e1", checks_fencing, serving("old"));
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
    world.want(second, "e1", checks_fencing, serving("new"));
    (world, second)
}

/// An order of the old holder is held up in the network and arrives after the new holder's. The
/// engine checks fencing numbers and refuses it.
#[test]
fn an_engine_that_checks_fencing_refuses_an_old_order() {
    let (mut world, second) = deposed(true, Span::ZERO);
    world.run(SECOND.times(3));
    assert_eq!(world.engines["e1"].target, serving("new"));
    world.run(SECOND.times(20));
    assert_eq!(world.engines["e1"].target, serving("new"));
    assert!(world.rivals[second].orders.is_settled("e1"));
}

/// The same, and the engine ignores fencing numbers. The new holder first waits until the old order
/// must have landed, so its own comes last.
#[test]
fn an_engine_that_ignores_fencing_ends_with_the_new_order() {
    for offset in 0..5 {
        let (mut world, second) = deposed(false, Span::from_millis(offset * 400));
        world.run(SECOND.times(30));
        assert_eq!(world.engines["e1"].target, serving("new"));
        assert!(!world.engines["e1"].reverted, "at {offset}");
        assert!(world.rivals[second].orders.is_settled("e1"));
    }
}

/// An engine is at work when its holder wants another model there. Requests in progress would be cut;
/// so the order waits until the engine has been seen idle for a while.
#[test]
fn an_order_that_empties_an_engine_waits_until_it_is_idle() {
    let mut world = rivals(1);
    world.run(SECOND.times(5));
    world.want(0, "e1", false, serving("old"));
    world.run(SECOND.times(15));
    assert_eq!(world.engines["e1"].target, serving("old"));
    let engine = world.engines.get_mut("e1").expect("no engine");
    engine.running = 1;
    world.want(0, "e1", false, serving("new"));
    world.run(SECOND.times(30));
    assert_eq!(world.engines["e1"].target, serving("old"));
    let engine = world.engines.get_mut("e1").expect("no engine");
    engine.running = 0;
    world.run(SECOND.times(20));
    assert_eq!(world.engines["e1"].target, serving("new"));
    assert!(!world.engines["e1"].disturbed);
}

/// An order is lost on its way. The holder reads the engine back, sees that it is not as wanted and
/// orders again.
#[test]
fn a_lost_order_is_sent_again() {
    let mut world = rivals(1);
    world.run(SECOND.times(5));
    world.order_delays.push(SECOND.times(86_400));
    world.want(0, "e1", true, serving("new"));
    world.run(SECOND.times(30));
    assert_eq!(world.engines["e1"].target, serving("new"));
}
