//! One lease and its rivals under failures of processes and of the store.

mod common;

use clock::Span;
use common::Event;
use common::rivals;
use common::serving;
use lease::claim;
use store::fake::Fault;

const SECOND: Span = Span::from_seconds(1);

#[test]
fn one_of_three_gains_the_lease_and_keeps_it() {
    let mut world = rivals(3);
    world.run(SECOND.times(5));
    let holder = world.holder().expect("no holder");
    assert_eq!(world.fence(holder), Some(1));
    world.run(SECOND.times(600));
    assert_eq!(world.holder(), Some(holder));
    assert_eq!(world.fence(holder), Some(1));
}

/// A holder is paused by a signal and continues after another process has taken over. It must know at
/// once that it holds nothing and send no order.
#[test]
fn a_holder_paused_past_its_lease_gives_no_orders() {
    let mut world = rivals(3);
    world.run(SECOND.times(5));
    let first = world.holder().expect("no holder");
    world.set_target(first, "e1", false, serving("old"));
    world.set_frozen(first, true);
    let elapsed = world
        .run_until(SECOND.times(20), |world| {
            world.holder().is_some_and(|holder| holder != first)
        })
        .expect("nobody took over");
    assert!(elapsed >= SECOND.times(3), "{elapsed}");
    let second = world.holder().expect("no holder");
    world.set_target(second, "e1", false, serving("new"));
    world.run(SECOND.times(15));
    world.set_frozen(first, false);
    world.run(SECOND.times(15));
    assert_eq!(world.fence(first), None);
    assert_eq!(world.fence(second), Some(2));
    assert_eq!(world.engines["e1"].target, serving("new"));
}

/// The answer to the write that gains the lease is lost. The writer must recognize its token in the row
/// instead of waiting for its own lease to lapse.
#[test]
fn a_lost_answer_to_the_gaining_write_is_read_back() {
    let mut world = rivals(1);
    world.table.push_fault(Fault::None);
    world.table.push_fault(Fault::LostAnswer);
    let elapsed = world
        .run_until(SECOND.times(20), |world| world.holder().is_some())
        .expect("not gained");
    assert!(elapsed < SECOND.times(3), "{elapsed}");
    assert_eq!(world.fence(0), Some(1));
}

/// The store is unavailable for an hour. The holder's lease lapses and nobody can take it; afterwards one
/// process gains it, and no two ever held it.
#[test]
fn an_outage_of_an_hour_leaves_no_holder_and_never_two() {
    let mut world = rivals(3);
    world.run(SECOND.times(5));
    world.table.set_down(true);
    world.run(SECOND.times(8));
    assert_eq!(world.holder(), None);
    world.run(SECOND.times(3_600));
    assert_eq!(world.holder(), None);
    world.table.set_down(false);
    world
        .run_until(SECOND.times(15), |world| world.holder().is_some())
        .expect("no holder after the outage");
}

/// A holder that stops gracefully releases the lease, so its successor need not wait for the term to end.
#[test]
fn a_released_lease_is_taken_at_once() {
    let mut world = rivals(2);
    world.run(SECOND.times(5));
    let first = world.holder().expect("no holder");
    world.feed(first, Event::Claim(claim::Event::Want(false)));
    assert_eq!(world.fence(first), None);
    let elapsed = world
        .run_until(SECOND.times(20), |world| world.holder().is_some())
        .expect("not taken");
    assert!(elapsed < SECOND.times(4), "{elapsed}");
    assert_eq!(world.fence(1 - first), Some(2));
}

/// The holder's process is killed and restarted on its instance. The new process knows that the old one
/// is dead, so it takes over immediately under a higher fencing number instead of waiting for the term.
#[test]
fn the_successor_of_a_killed_process_need_not_wait_for_its_lease() {
    let mut world = rivals(2);
    world.run(SECOND.times(5));
    let first = world.holder().expect("no holder");
    let second = 1 - first;
    world.rivals[first].dead = true;
    let gone = lease::holder::Id(first as u64 + 1);
    world.feed(second, Event::Claim(claim::Event::Gone(gone)));
    let elapsed = world
        .run_until(SECOND.times(20), |world| world.holder() == Some(second))
        .expect("nobody took over");
    assert!(elapsed < SECOND, "{elapsed}");
    assert_eq!(world.fence(second), Some(2));
}

/// A holder loses its connection to the store and its lease expires by its own clock. Its notification must
/// let a rival take over immediately instead of a full term after the rival's last read.
#[test]
fn a_holder_that_announces_its_loss_is_succeeded_at_once() {
    let mut world = rivals(2);
    world.run(SECOND.times(5));
    let first = world.holder().expect("no holder");
    let second = 1 - first;
    world.rivals[first].store_cut = true;
    world.rivals[second].store_cut = true;
    world
        .run_until(SECOND.times(20), |world| world.holder().is_none())
        .expect("held for ever");
    world.rivals[second].store_cut = false;
    let ended = Event::Claim(claim::Event::Relinquished(world.relinquished));
    world.feed(second, ended);
    let elapsed = world
        .run_until(SECOND.times(20), |world| world.holder() == Some(second))
        .expect("nobody took over");
    assert!(elapsed < SECOND.times(3), "{elapsed}");
}

/// A holder announces that it lost the lease just as its last renewal takes effect. Acting under the old
/// fencing number again would make two holders, so it must gain a new one.
#[test]
fn a_relinquished_fencing_number_is_never_held_again() {
    let mut world = rivals(2);
    world.run(SECOND.times(5));
    let first = world.holder().expect("no holder");
    let fence = world.fence(first).expect("held");
    world.feed(first, Event::Claim(claim::Event::Want(false)));
    world.feed(first, Event::Claim(claim::Event::Want(true)));
    world.feed(1 - first, Event::Claim(claim::Event::Want(false)));
    world
        .run_until(SECOND.times(20), |world| world.holder() == Some(first))
        .expect("not gained again");
    assert!(world.fence(first) > Some(fence));
}
