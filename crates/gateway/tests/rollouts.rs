//! A service's traffic moves to another version by the operator's order, over many entries.

mod support;

use clock::Span;
use support::SERVICE;
use support::World;

const ENTRIES: usize = 24;
const WITHIN: Span = Span::from_seconds(12);
/// Time between two requests, milliseconds, and until each is answered.
const GAP: u64 = 10;
/// Of a service's requests a bad version may get this share, and so many besides.
const EXPOSURE: f64 = 0.1;
const EXPOSURE_ALLOWANCE: u64 = 50;

/// What became of requests.
#[derive(Debug, Default)]
struct Seen {
    all: u64,
    new: u64,
    /// Requests of the last second, and how many of them went to the new version.
    last: (u64, u64),
}

/// A system whose service runs `v1`, and as many replicas of `v2` started beside them.
fn world() -> World {
    let mut world = World::new(ENTRIES);
    for server in &mut world.servers {
        server.version = "v1".into();
    }
    world.publish_servers();
    world.run(8_000);
    for _ in 0..world.servers.len() {
        world.add_server();
        world.servers.last_mut().expect("added").version = "v2".into();
    }
    world
}

fn is_new(world: &World, incarnation: &str) -> bool {
    let mut servers = world.servers.iter();
    servers.any(|one| one.incarnation == incarnation && one.version == "v2")
}

/// Requests at all entries for so long; `fails` says of each answer of the new version whether it failed.
fn serve(world: &mut World, millis: u64, fails: impl Fn(u64) -> bool) -> Seen {
    let mut seen = Seen::default();
    for number in 0..millis / GAP {
        let entry = number as usize % ENTRIES;
        let placed = world.start_request(entry);
        world.run(GAP);
        let Some((serial, place)) = placed else {
            continue;
        };
        let new = is_new(world, &place);
        world.finish_request(entry, serial, new && fails(number));
        seen.all += 1;
        seen.new += u64::from(new);
        if number * GAP + 1_000 >= millis {
            seen.last.0 += 1;
            seen.last.1 += u64::from(new);
        }
    }
    seen
}

fn status(world: &World) -> String {
    let row = world.table.row("rollout-status", SERVICE);
    let phase = row.and_then(|row| row.value["phase"].as_str());
    phase.unwrap_or("none").to_owned()
}

/// The replicas of a new version were taken for those of the old one: half of all callers met a version that failed.
#[test]
fn a_bad_version_gets_few_requests_and_then_none() {
    let mut world = world();
    world.order_rollout("v2", WITHIN);
    world.publish_servers();
    let seen = serve(&mut world, 12_000, |number| number % 2 == 0);
    let most = (seen.all as f64 * EXPOSURE) as u64 + EXPOSURE_ALLOWANCE;
    assert!(seen.new > 0 && seen.new <= most, "{seen:?}");
    assert_eq!(seen.last.1, 0, "{seen:?}");
    assert_eq!(status(&world), "rolled-back");
    // It gets nothing either once the operator has taken the order off the table.
    world.withdraw_rollout();
    assert_eq!(serve(&mut world, 2_000, |_| true).new, 0);
}

/// The replicas were there before the order was read.
#[test]
fn replicas_that_are_there_before_the_order_are_on_trial_too() {
    let mut world = world();
    world.publish_servers();
    world.run(50);
    world.order_rollout("v2", WITHIN);
    let seen = serve(&mut world, 12_000, |_| true);
    let most = (seen.all as f64 * EXPOSURE) as u64 + EXPOSURE_ALLOWANCE;
    assert!(seen.new <= most, "{seen:?}");
    assert_eq!(status(&world), "rolled-back");
}

/// A good version was never put into use.
#[test]
fn a_good_version_gets_all_requests_in_time() {
    let mut world = world();
    world.order_rollout("v2", WITHIN);
    world.publish_servers();
    let seen = serve(&mut world, 12_000, |_| false);
    assert_eq!(status(&world), "completed", "{seen:?}");
    assert_eq!(seen.last.0, seen.last.1, "{seen:?}");
    // The old replicas stop, and the order may be taken off the table.
    world.servers.retain(|one| one.version == "v2");
    world.list_revision += 1;
    world.publish_servers();
    world.withdraw_rollout();
    let seen = serve(&mut world, 2_000, |_| false);
    assert!(seen.all > 0 && seen.new == seen.all, "{seen:?}");
}

/// The entry that leads is killed in the middle of the trial: the next one goes on from what it wrote.
#[test]
fn a_trial_outlasts_the_entry_that_leads_it() {
    for fails in [true, false] {
        let mut world = world();
        world.order_rollout("v2", Span::from_seconds(24));
        world.publish_servers();
        let first = serve(&mut world, 1_000, |_| false);
        let holder = world.holders()[0];
        world.kill(holder);
        let seen = serve(&mut world, 23_000, |_| fails);
        let most = ((first.all + seen.all) as f64 * EXPOSURE) as u64 + EXPOSURE_ALLOWANCE;
        if fails {
            assert!(first.new + seen.new <= most, "{seen:?}");
        }
        let expected = if fails { "rolled-back" } else { "completed" };
        assert_eq!(status(&world), expected, "{seen:?}");
    }
}

/// An order for a version that never comes ends, and nobody waits for it.
#[test]
fn a_version_that_is_not_there_is_rolled_back() {
    let mut world = world();
    world.publish_servers();
    world.order_rollout("v3", WITHIN);
    serve(&mut world, 12_500, |_| false);
    assert_eq!(status(&world), "rolled-back");
}

/// An entry that starts once the old replicas have stopped must not wait for the leader's word to serve anybody.
#[test]
fn an_entry_that_starts_late_serves_by_the_version_that_is_there() {
    let mut world = world();
    world.order_rollout("v2", WITHIN);
    world.publish_servers();
    serve(&mut world, 12_000, |_| false);
    world.servers.retain(|one| one.version == "v2");
    world.publish_servers();
    world.kill(5);
    world.start(5);
    world.order_rollout("v2", WITHIN);
    assert!(world.start_request(5).is_some());
}

/// The stage was written and the status was not: the operator read for ever that nothing had begun.
#[test]
fn a_status_that_could_not_be_written_is_written_later() {
    let mut world = world();
    world.failing_table = Some("rollout-status");
    world.order_rollout("v2", WITHIN);
    world.publish_servers();
    serve(&mut world, 8_000, |_| true);
    assert_eq!(status(&world), "none");
    world.failing_table = None;
    world.run(2_000);
    assert_eq!(status(&world), "rolled-back");
}
