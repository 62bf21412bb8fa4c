//! Roll-outs of a new version of a service among many entries.

mod support;

use clock::Span;
use support::SERVICE;
use support::World;

const ENTRIES: usize = 24;
const DEADLINE: Span = Span::from_seconds(12);
/// Time between two requests and until each is answered, milliseconds.
const REQUEST_INTERVAL_MS: u64 = 10;
/// Limits on the requests that a bad version may get: a share of all, plus a fixed number.
const EXPOSURE: f64 = 0.1;
const EXPOSURE_ALLOWANCE: u64 = 50;

/// Numbers of requests by version.
#[derive(Debug, Default)]
struct Traffic {
    all: u64,
    new: u64,
    /// Requests of the last second: all, and those sent to the new version.
    last: (u64, u64),
}

/// Starts a system whose service runs `v1`, then adds as many replicas of `v2`.
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

/// Sends requests to all entries for `millis`; `fails` decides for each answer of the new version whether it
/// fails.
fn serve(world: &mut World, millis: u64, fails: impl Fn(u64) -> bool) -> Traffic {
    let mut traffic = Traffic::default();
    for number in 0..millis / REQUEST_INTERVAL_MS {
        let entry = number as usize % ENTRIES;
        let placed = world.start_request(entry);
        world.run(REQUEST_INTERVAL_MS);
        let Some((serial, place)) = placed else {
            continue;
        };
        let new = is_new(world, &place);
        world.finish_request(entry, serial, new && fails(number));
        traffic.all += 1;
        traffic.new += u64::from(new);
        if number * REQUEST_INTERVAL_MS + 1_000 >= millis {
            traffic.last.0 += 1;
            traffic.last.1 += u64::from(new);
        }
    }
    traffic
}

fn status(world: &World) -> String {
    let row = world.table.row("rollout-status", SERVICE);
    let phase = row.and_then(|row| row.value["phase"].as_str());
    phase.unwrap_or("none").to_owned()
}

/// Replicas of a new version were taken for replicas of the old one, and half of all callers got the failing
/// version.
#[test]
fn a_bad_version_gets_few_requests_and_then_none() {
    let mut world = world();
    world.order_rollout("v2", DEADLINE);
    world.publish_servers();
    let traffic = serve(&mut world, 12_000, |number| number % 2 == 0);
    let most = (traffic.all as f64 * EXPOSURE) as u64 + EXPOSURE_ALLOWANCE;
    assert!(traffic.new > 0 && traffic.new <= most, "{traffic:?}");
    assert_eq!(traffic.last.1, 0, "{traffic:?}");
    assert_eq!(status(&world), "rolled-back");
    // It stays without requests after the operator withdraws the order.
    world.withdraw_rollout();
    assert_eq!(serve(&mut world, 2_000, |_| true).new, 0);
}

/// The replicas are known before the order is read.
#[test]
fn replicas_that_are_there_before_the_order_are_on_trial_too() {
    let mut world = world();
    world.publish_servers();
    world.run(50);
    world.order_rollout("v2", DEADLINE);
    let traffic = serve(&mut world, 12_000, |_| true);
    let most = (traffic.all as f64 * EXPOSURE) as u64 + EXPOSURE_ALLOWANCE;
    assert!(traffic.new <= most, "{traffic:?}");
    assert_eq!(status(&world), "rolled-back");
}

/// A good version was never put into use.
#[test]
fn a_good_version_gets_all_requests_in_time() {
    let mut world = world();
    world.order_rollout("v2", DEADLINE);
    world.publish_servers();
    let traffic = serve(&mut world, 12_000, |_| false);
    assert_eq!(status(&world), "completed", "{traffic:?}");
    assert_eq!(traffic.last.0, traffic.last.1, "{traffic:?}");
    // The old replicas stop, and the operator withdraws the order.
    world.servers.retain(|one| one.version == "v2");
    world.list_revision += 1;
    world.publish_servers();
    world.withdraw_rollout();
    let traffic = serve(&mut world, 2_000, |_| false);
    assert!(traffic.all > 0 && traffic.new == traffic.all, "{traffic:?}");
}

/// The leader is killed during the trial: the next one continues from the saved stage.
#[test]
fn a_trial_outlasts_the_entry_that_leads_it() {
    for fails in [true, false] {
        let mut world = world();
        world.order_rollout("v2", Span::from_seconds(24));
        world.publish_servers();
        let first = serve(&mut world, 1_000, |_| false);
        let holder = world.holders()[0];
        world.kill(holder);
        let traffic = serve(&mut world, 23_000, |_| fails);
        let most = ((first.all + traffic.all) as f64 * EXPOSURE) as u64 + EXPOSURE_ALLOWANCE;
        if fails {
            assert!(first.new + traffic.new <= most, "{traffic:?}");
        }
        let expected = if fails { "rolled-back" } else { "completed" };
        assert_eq!(status(&world), expected, "{traffic:?}");
    }
}

/// An order for a version without replicas is rolled back when its time is up.
#[test]
fn a_version_that_is_not_there_is_rolled_back() {
    let mut world = world();
    world.publish_servers();
    world.order_rollout("v3", DEADLINE);
    serve(&mut world, 12_500, |_| false);
    assert_eq!(status(&world), "rolled-back");
}

/// An entry that starts after the old replicas have stopped must serve requests before the leader's next
/// announcement.
#[test]
fn an_entry_that_starts_late_serves_by_the_version_that_is_there() {
    let mut world = world();
    world.order_rollout("v2", DEADLINE);
    world.publish_servers();
    serve(&mut world, 12_000, |_| false);
    world.servers.retain(|one| one.version == "v2");
    world.publish_servers();
    world.kill(5);
    world.start(5);
    world.order_rollout("v2", DEADLINE);
    assert!(world.start_request(5).is_some());
}

/// The stage was saved but writing the status failed, so that the operator's status stayed empty forever.
#[test]
fn a_status_that_could_not_be_written_is_written_later() {
    let mut world = world();
    world.failing_table = Some("rollout-status");
    world.order_rollout("v2", DEADLINE);
    world.publish_servers();
    serve(&mut world, 8_000, |_| true);
    assert_eq!(status(&world), "none");
    world.failing_table = None;
    world.run(2_000);
    assert_eq!(status(&world), "rolled-back");
}

/// Time in which a lost status is written again.
const REWRITE_MILLIS: u64 = 12_000;

/// Guards against an operator who never learns how a roll-out ended, since the status was lost in a restore.
#[test]
fn a_status_that_a_restore_lost_is_written_again() {
    for fails in [true, false] {
        let mut world = world();
        let copy = world.table.clone();
        world.order_rollout("v2", DEADLINE);
        world.publish_servers();
        serve(&mut world, 14_000, |_| fails);
        let decided = status(&world);
        assert_ne!(decided, "none");
        world.table.restore(&copy);
        serve(&mut world, REWRITE_MILLIS, |_| fails);
        assert_eq!(status(&world), decided);
        let stage = world.table.row("rollouts", SERVICE);
        assert!(stage.is_some(), "the stage of a roll-out that is {decided}");
    }
}

/// Guards against a roll-out that is tried once more, since a restore lost its stage and its leader is replaced.
#[test]
fn a_rollout_that_ended_is_not_tried_again_after_a_restore() {
    for fails in [true, false] {
        let mut world = world();
        let copy = world.table.clone();
        let order = world.order_rollout("v2", DEADLINE);
        world.publish_servers();
        serve(&mut world, 14_000, |_| fails);
        let decided = status(&world);
        world.table.restore(&copy);
        let leader = world.holders()[0];
        for entry in (0..8).chain([leader]) {
            world.start(entry);
        }
        world.order_again(&order);
        // Entries that went on know how it ended.
        for number in 0..REWRITE_MILLIS / REQUEST_INTERVAL_MS {
            let entry = 8 + number as usize % (ENTRIES - 8);
            let placed = world.start_request(entry);
            world.run(REQUEST_INTERVAL_MS);
            let Some((serial, place)) = placed.filter(|_| entry != leader) else {
                continue;
            };
            assert_eq!(
                is_new(&world, &place),
                !fails,
                "{decided}, request {number}"
            );
            world.finish_request(entry, serial, false);
        }
        assert_eq!(status(&world), decided);
    }
}

/// Guards against entries that ignore the stages of an order, since their numbers go back to those of an earlier order under
/// the same leader.
#[test]
fn an_order_that_replaces_another_is_followed_at_once() {
    let mut world = world();
    world.order_rollout("v2", DEADLINE);
    world.publish_servers();
    serve(&mut world, 14_000, |_| false);
    assert_eq!(status(&world), "completed");
    let leader = world.holders();
    for _ in 0..world.servers.len() {
        world.add_server();
        world.servers.last_mut().expect("added").version = "v3".into();
    }
    world.order_rollout("v3", DEADLINE);
    world.publish_servers();
    let mut tried = 0;
    for number in 0..5_000 / REQUEST_INTERVAL_MS {
        let entry = number as usize % ENTRIES;
        let placed = world.start_request(entry);
        world.run(REQUEST_INTERVAL_MS);
        if let Some((serial, place)) = placed {
            let mut servers = world.servers.iter();
            let server = servers.find(|server| server.incarnation == place);
            let is_new = server.is_some_and(|server| server.version == "v3");
            // The leader follows its own stages, whatever their numbers.
            tried += u64::from(is_new && !leader.contains(&entry));
            world.finish_request(entry, serial, false);
        }
    }
    assert_eq!(world.holders(), leader, "the leader was replaced");
    assert!(tried > 0, "no entry tries the new version");
}
