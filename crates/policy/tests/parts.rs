//! Parts of prompts on which replicas crash: which are blocked, and when they are tried again.

use std::rc::Rc;

use clock::Span;
use clock::Time;
use policy::configs::quarantine::Config;
use policy::quarantine::Quarantine;
use policy::quarantine::parts::Standing;
use proptest::prelude::*;
use proptest::test_runner::Config as Proptest;
use proptest::test_runner::RngSeed;

const COMMON: u64 = 1;
const GUILTY: u64 = 666;
const OTHER: u64 = 7;
const ZONE: u64 = 1;
const OWN: u64 = 11;
const PEER: u64 = 12;
/// Time between two crashes: far enough apart that they aren't the loss of a zone.
const GAP: Span = Span::from_millis(500);
const REQUEST: u64 = 100;

/// Evidence of one entry, with its clock and the number of the next replica.
struct World {
    now: Time,
    quarantine: Quarantine,
    next_replica: u64,
}

impl World {
    fn new(members: &[u64]) -> World {
        let mut quarantine = Quarantine::new(Config::default(), 1);
        quarantine.set_members(OWN, members.to_vec());
        World {
            now: Time::from_millis(1_000),
            quarantine,
            next_replica: 0,
        }
    }

    fn wait(&mut self, span: Span) {
        self.now = self.now + span;
        self.quarantine.judge_parts(self.now);
    }

    /// Lets another replica crash on the prompt of a request.
    fn crash(&mut self, request: u64, parts: &[u64]) {
        self.next_replica += 1;
        let replica = self.next_replica;
        self.quarantine
            .accuse_parts(self.now, replica, ZONE, request, parts);
        self.wait(GAP);
    }

    fn answer(&mut self, replica: u64, parts: &[u64]) {
        let parts: Rc<[u64]> = parts.into();
        self.quarantine.record_answer(self.now, replica, &parts);
    }

    fn standing(&self, parts: &[u64]) -> Standing {
        self.quarantine.prompt_standing(self.now, parts)
    }

    fn is_blocked(&self, parts: &[u64]) -> bool {
        matches!(self.standing(parts), Standing::Blocked(_))
    }
}

/// Guards against a guilty part that is tried over and over, and against one that is never tried again.
#[test]
fn a_blocked_part_is_tried_again_at_growing_intervals() {
    let mut world = World::new(&[OWN]);
    world.answer(99, &[OTHER]);
    world.wait(Span::from_seconds(1));
    for _ in 0..3 {
        assert_eq!(world.standing(&[GUILTY]), Standing::Clear);
        world.crash(REQUEST, &[GUILTY]);
    }
    for (number, minutes) in [(1, 1), (2, 10), (3, 100)] {
        world.wait(Span::from_seconds(60 * minutes - 2));
        assert!(world.is_blocked(&[GUILTY]), "before probe {number}");
        world.wait(Span::from_seconds(3));
        assert_eq!(world.standing(&[GUILTY]), Standing::Probe(GUILTY));
        world.quarantine.begin_probe(world.now, GUILTY, number);
        assert!(world.is_blocked(&[GUILTY]), "beside probe {number}");
        assert!(!world.quarantine.blocks(&[GUILTY], number));
        world.crash(number, &[GUILTY]);
        world.quarantine.end_probe(number);
    }
}

/// Guards against several entries that try a guilty part at the same time.
#[test]
fn a_blocked_part_is_tried_by_one_entry() {
    let tries = |part| {
        let mut probes = 0;
        for own in [OWN, PEER] {
            let mut world = World::new(&[]);
            world.quarantine.set_members(own, vec![OWN, PEER]);
            for _ in 0..3 {
                world.crash(REQUEST, &[part]);
            }
            world.wait(Span::from_seconds(100));
            probes += usize::from(world.standing(&[part]) == Standing::Probe(part));
        }
        probes
    };
    for part in 1..50 {
        assert_eq!(tries(part), 1, "part {part}");
    }
}

/// Guards against a guilty part that counts as sound, since the crash of its replica ended its answer.
#[test]
fn an_answer_that_its_replica_did_not_survive_clears_nothing() {
    let mut world = World::new(&[OWN]);
    for _ in 0..3 {
        let replica = world.next_replica + 1;
        world.answer(replica, &[GUILTY]);
        world.crash(REQUEST, &[GUILTY]);
    }
    assert!(world.is_blocked(&[GUILTY]));
}

/// Guards against blocking a part of all prompts for a minute, since none was answered before the crashes.
#[test]
fn a_part_that_shares_all_crashes_of_another_is_tried_without_it() {
    let mut world = World::new(&[OWN]);
    for _ in 0..3 {
        world.crash(REQUEST, &[COMMON, GUILTY]);
    }
    assert!(world.is_blocked(&[COMMON, GUILTY]));
    world.wait(Span::from_seconds(1));
    assert!(world.is_blocked(&[COMMON, GUILTY]), "both at once");
    assert_eq!(world.standing(&[COMMON, OTHER]), Standing::Probe(COMMON));
    world.quarantine.begin_probe(world.now, COMMON, REQUEST);
    world.answer(99, &[COMMON, OTHER]);
    world.wait(Span::from_seconds(1));
    assert_eq!(world.standing(&[COMMON, OTHER]), Standing::Clear);
    assert!(world.is_blocked(&[COMMON, GUILTY]));
}

/// Guards against refusing all prompts for a minute, since replicas crashed one after the other before any had answered.
#[test]
fn a_part_of_all_prompts_is_tried_soon_if_none_was_answered() {
    let mut world = World::new(&[OWN]);
    for other in [2, 3, 4] {
        world.crash(REQUEST, &[COMMON, other]);
    }
    assert!(world.is_blocked(&[COMMON, OTHER]));
    world.wait(Span::from_seconds(1));
    assert_eq!(world.standing(&[COMMON, OTHER]), Standing::Probe(COMMON));
    world.quarantine.begin_probe(world.now, COMMON, REQUEST);
    // The replica crashes as well: now it counts as guilty.
    world.crash(REQUEST, &[COMMON, OTHER]);
    world.quarantine.end_probe(REQUEST);
    world.wait(Span::from_seconds(50));
    assert!(world.is_blocked(&[COMMON, OTHER]));
}

/// Guards against refusing all prompts of a route for a minute, where many replicas were lost at once before any had
/// answered.
#[test]
fn a_part_is_tried_soon_after_a_loss_of_many_replicas() {
    let mut world = World::new(&[OWN]);
    for replica in 0..16 {
        let quarantine = &mut world.quarantine;
        quarantine.record_crash(world.now, replica, ZONE + replica % 3, &[replica]);
        quarantine.accuse_parts(world.now, replica, ZONE + replica % 3, REQUEST, &[COMMON]);
    }
    world.wait(GAP);
    assert!(world.is_blocked(&[COMMON]));
    world.wait(Span::from_seconds(1));
    assert_eq!(world.standing(&[COMMON]), Standing::Probe(COMMON));
}

/// Guards against blocking for good what is never tried, since two suspects are in all prompts.
#[test]
fn parts_that_never_come_apart_are_tried_together() {
    let mut world = World::new(&[OWN]);
    for _ in 0..3 {
        world.crash(REQUEST, &[COMMON, OTHER]);
    }
    world.wait(Span::from_seconds(5));
    let standing = world.standing(&[COMMON, OTHER]);
    assert!(matches!(standing, Standing::Probe(_)), "{standing:?}");
}

/// Guards against an entry that takes a part for guilty which a peer knows to be sound.
#[test]
fn an_answer_at_a_peer_clears_a_part() {
    let mut world = World::new(&[OWN, PEER]);
    for _ in 0..3 {
        world.crash(REQUEST, &[COMMON]);
    }
    assert!(world.is_blocked(&[COMMON]));
    let mut peer = World::new(&[]);
    peer.quarantine.set_members(PEER, vec![PEER]);
    peer.now = world.now;
    peer.answer(50, &[COMMON]);
    peer.wait(Span::from_seconds(1));
    let digest = world.quarantine.digest(peer.now);
    peer.quarantine.merge(peer.now, &digest);
    assert!(!peer.is_blocked(&[COMMON]));
    assert!(peer.quarantine.take_urgent(), "the peer says so at once");
    let digest = peer.quarantine.digest(peer.now);
    world.now = peer.now;
    world.quarantine.merge(world.now, &digest);
    assert_eq!(world.standing(&[COMMON]), Standing::Clear);
}

proptest! {
    #![proptest_config(Proptest { rng_seed: RngSeed::Fixed(5), cases: 300, ..Proptest::default() })]

    /// Guards against refusing prompts whose parts were answered after all crashes, whatever went before.
    #[test]
    fn a_part_that_was_answered_last_is_never_blocked(
        events in prop::collection::vec((0_u64..4, any::<bool>(), 0_u64..4_000), 0..60),
    ) {
        let mut world = World::new(&[OWN]);
        for (part, crashes, pause) in events {
            match crashes {
                true => world.crash(REQUEST, &[part, part + 1]),
                false => world.answer(1_000, &[part]),
            }
            world.wait(Span::from_millis(pause));
        }
        for part in 0..5 {
            world.answer(1_000, &[part]);
        }
        world.wait(Span::from_seconds(1));
        for part in 0..5 {
            prop_assert_eq!(world.standing(&[part]), Standing::Clear);
        }
    }
}

/// Guards against statements that a part is sound which two entries return to each other without end: the time in transit
/// is missing from their ages, so a later crash would never count.
#[test]
fn a_sound_part_is_stated_for_the_window_only() {
    const WINDOW: Span = Span::from_seconds(8);
    const TRANSIT: Span = Span::from_millis(250);
    let mut one = World::new(&[OWN, PEER]);
    let mut other = World::new(&[OWN, PEER]);
    other.quarantine.set_members(PEER, vec![OWN, PEER]);
    for _ in 0..3 {
        one.crash(REQUEST, &[COMMON]);
        other.crash(REQUEST, &[COMMON]);
    }
    one.answer(99, &[COMMON]);
    one.wait(Span::from_seconds(1));
    let answered_at = one.now;
    other.wait(Span::from_seconds(1));
    let mut learned = false;
    while one.now.since(answered_at) < WINDOW + Span::from_seconds(4) {
        let stated = one.quarantine.recently_cleared(one.now, WINDOW);
        let returned = other.quarantine.recently_cleared(other.now, WINDOW);
        if one.now.since(answered_at) >= WINDOW {
            assert_eq!((&stated, &returned), (&Vec::new(), &Vec::new()));
        }
        one.wait(TRANSIT);
        other.wait(TRANSIT);
        other.quarantine.merge_cleared(other.now, &stated);
        one.quarantine.merge_cleared(one.now, &returned);
        learned |= other.standing(&[COMMON]) == Standing::Clear;
    }
    assert!(learned, "the other entry wasn't told");
}

/// Blocks the guilty part and begins to try it again after a minute.
fn trial(request: u64) -> World {
    let mut world = World::new(&[OWN]);
    world.answer(99, &[OTHER]);
    world.wait(Span::from_seconds(1));
    for _ in 0..3 {
        world.crash(REQUEST, &[GUILTY]);
    }
    world.wait(Span::from_seconds(61));
    assert_eq!(world.standing(&[GUILTY]), Standing::Probe(GUILTY));
    world.quarantine.begin_probe(world.now, GUILTY, request);
    world
}

/// Guards against a trial that costs two replicas, and counts as two.
#[test]
fn a_trial_that_crashed_its_replica_goes_to_no_other() {
    let mut world = trial(5);
    world.crash(5, &[GUILTY]);
    assert!(world.quarantine.blocks(&[GUILTY], 5));
}

/// Guards against entries that block a sound part for days, since it was found sound long after its last crash.
#[test]
fn a_part_whose_trial_was_answered_is_announced_as_sound() {
    let mut world = trial(5);
    world.answer(99, &[GUILTY]);
    world.wait(Span::from_seconds(1));
    assert_eq!(world.standing(&[GUILTY]), Standing::Clear);
    for _ in 0..2 {
        let digest = world.quarantine.digest(world.now);
        let item = digest.parts.iter().find(|item| item.part == GUILTY);
        let is_sound = item.is_some_and(|item| item.answered.is_some() && item.crashes.is_empty());
        assert!(is_sound, "{item:?}");
        world.wait(Span::from_seconds(10));
    }
    world.wait(Span::from_seconds(60));
    assert!(world.quarantine.digest(world.now).parts.is_empty());
}
