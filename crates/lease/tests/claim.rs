//! One lease and its rivals while processes and store fail.

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

/// The holder is stopped by a signal in the middle of its work and continued after another has taken
/// over. The moment it goes on it must know that it holds nothing: no order leaves it.
#[test]
fn a_holder_paused_past_its_lease_gives_no_orders() {
    let mut world = rivals(3);
    world.run(SECOND.times(5));
    let first = world.holder().expect("no holder");
    world.want(first, "e1", false, serving("old"));
    world.set_frozen(first, true);
    let took = world
        .run_until(SECOND.times(20), |world| {
            world.holder().is_some_and(|holder| holder != first)
        })
        .expect("nobody took over");
    assert!(took >= SECOND.times(3), "{took}");
    let second = world.holder().expect("no holder");
    world.want(second, "e1", false, serving("new"));
    world.run(SECOND.times(15));
    world.set_frozen(first, false);
    world.run(SECOND.times(15));
    assert_eq!(world.fence(first), None);
    assert_eq!(world.fence(second), Some(2));
    assert_eq!(world.engines["e1"].target, serving("new"));
}

/// The answer to the write that gains the lease is lost. The writer finds its own token in the row
/// and holds the lease, rather than waiting with the others for itself to lapse.
#[test]
fn a_lost_answer_to_the_gaining_write_is_read_back() {
    let mut world = rivals(1);
    world.table.push_fault(Fault::None);
    world.table.push_fault(Fault::LostAnswer);
    let took = world
        .run_until(SECOND.times(20), |world| world.holder().is_some())
        .expect("not gained");
    assert!(took < SECOND.times(3), "{took}");
    assert_eq!(world.fence(0), Some(1));
}

/// The service is down for an hour. The holder's lease lapses and it stops; nobody else takes it,
/// since nobody can. Afterwards one of them holds it, and no two ever did.
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

/// A holder that stops in good order gives the lease back, and the next one needs not wait out the
/// term.
#[test]
fn a_released_lease_is_taken_at_once() {
    let mut world = rivals(2);
    world.run(SECOND.times(5));
    let first = world.holder().expect("no holder");
    world.feed(first, Event::Claim(claim::Event::Want(false)));
    assert_eq!(world.fence(first), None);
    let took = world
        .run_until(SECOND.times(20), |world| world.holder().is_some())
        .expect("not taken");
    assert!(took < SECOND.times(4), "{took}");
    assert_eq!(world.fence(1 - first), Some(2));
}

/// The holder's process is killed and starts again on its instance. Nobody acts until its lease has lapsed,
/// though the new process knows that the old one is gone: it is told so and takes over at once, under a
/// higher fencing number.
#[test]
fn the_successor_of_a_killed_process_need_not_wait_for_its_lease() {
    let mut world = rivals(2);
    world.run(SECOND.times(5));
    let first = world.holder().expect("no holder");
    let second = 1 - first;
    world.rivals[first].dead = true;
    let gone = lease::holder::Id(first as u64 + 1);
    world.feed(second, Event::Claim(claim::Event::Gone(gone)));
    let took = world
        .run_until(SECOND.times(20), |world| world.holder() == Some(second))
        .expect("nobody took over");
    assert!(took < SECOND, "{took}");
    assert_eq!(world.fence(second), Some(2));
}

/// The holder was cut off from the table service and gave up when its lease had run out by its own clock; nobody acted
/// until the others had waited out the whole term after their last look.
#[test]
fn a_holder_that_gives_up_and_says_so_is_succeeded_at_once() {
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
    let ended = Event::Claim(claim::Event::Relinquished(world.resigned));
    world.feed(second, ended);
    let took = world
        .run_until(SECOND.times(20), |world| world.holder() == Some(second))
        .expect("nobody took over");
    assert!(took < SECOND.times(3), "{took}");
}

/// A holder gave up and said so, and its last renewal took effect just then: were it to act under the old number again,
/// there would be two holders.
#[test]
fn a_number_that_was_given_up_is_never_held_again() {
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
