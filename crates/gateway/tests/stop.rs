//! Requests accepted by an entry that was asked to stop.

mod support;

use gateway::arrival::Prompt;
use gateway::attempt::End;
use support::World;

#[test]
fn a_stopping_entry_begins_no_stream_that_its_end_would_cut() {
    // A stream was cut in the middle of its answer: its caller used a cached address and arrived four and a
    // half seconds after the entry was asked to stop, and three seconds before its grace period was over.
    let mut world = World::new(2);
    world.run(5_000);
    assert!(world.serve_path(0, "/talks/0"));
    world.stop(0);
    world.run(1_000);
    assert!(world.serve_path(0, "/talks/1"));
    world.run(3_500);

    assert!(!world.serve_path(0, "/talks/2"));
    assert!(world.serve(0), "a short request still fits");
    assert_eq!(world.refused.get("Leaving"), Some(&1));
}

/// Guards against cutting off answers of a peer's callers at the stop of the entry that holds their connections.
#[test]
fn a_stopping_entry_waits_for_connections_that_it_holds_for_peers() {
    let mut world = World::new(2);
    world.run(5_000);
    world.hold_tunnels(0, 1);
    world.stop(0);
    world.run(6_500);
    assert_eq!(world.log_count("stopped"), 0);

    world.hold_tunnels(0, 0);
    world.run(50);
    assert!(world.log_count("stopped") > 0);
}

/// Time from the request to stop to the end of the grace period, with a margin.
const GRACE_MILLIS: u64 = 8_500;

/// Starts two entries, and asks one to stop that has measured short answers.
fn stopping_world() -> World {
    let mut world = World::new(2);
    world.run(5_000);
    for (path, _) in long_requests() {
        assert!(world.serve_path(0, path), "{path}");
    }
    world.stop(0);
    world.run(1_000);
    world
}

/// Paths of requests that may not be repeated, or only from their last event, with the prompts of streams.
fn long_requests() -> [(&'static str, Option<Prompt>); 3] {
    let prompt = Prompt {
        tokens: 5_000,
        max_new_tokens: 4_000,
        ..Prompt::default()
    };
    [
        ("/filings/1", None),
        ("/talks/1", Some(prompt.clone())),
        ("/chats/1", Some(prompt)),
    ]
}

/// Guards against the verdict "not run" for a request that a server has when the grace period ends.
#[test]
fn a_request_that_a_server_has_is_not_denied_at_the_end_of_a_stop() {
    for (path, prompt) in long_requests() {
        let mut world = stopping_world();
        let serial = world.arrive(0, path, prompt);
        world.run(GRACE_MILLIS);
        assert_eq!(world.may_have_run(serial), Some(true), "{path}");
    }
}

/// Guards against the same for a run that is moved off its server before its first event.
#[test]
fn a_run_that_is_being_moved_is_not_denied_at_the_end_of_a_stop() {
    let [_, (path, prompt), _] = long_requests();
    let mut world = stopping_world();
    let serial = world.arrive(0, path, prompt);
    let place = world.servers_by_request[&serial].clone();
    for server in &mut world.servers {
        server.leaving |= server.incarnation == place;
    }
    world.publish_servers();
    world.run(GRACE_MILLIS);
    assert_eq!(world.moved_runs.len(), 1);
    assert_eq!(world.may_have_run(serial), Some(true));
}

/// Guards against the same for a request whose deadline passes while a server has it.
#[test]
fn a_request_that_a_server_has_is_not_denied_when_its_time_is_up() {
    for (path, prompt) in long_requests() {
        let mut world = World::new(1);
        world.run(5_000);
        let serial = world.arrive(0, path, prompt);
        world.run(16_000);
        assert_eq!(world.may_have_run(serial), Some(true), "{path}");
    }
}

/// Guards against the verdict "not run" after a failed attempt, because a further server didn't start its own.
#[test]
fn a_request_that_failed_once_is_not_denied_by_a_further_server() {
    for path in ["/drafts/1", "/chats/1"] {
        let mut world = World::new(1);
        world.run(5_000);
        let prompt = path.starts_with("/chats").then(Prompt::default);
        let serial = world.arrive(0, path, prompt);
        world.end_latest(serial, End::Broken { alive: true });
        world.end_latest(serial, End::NotStarted);
        world.run(16_000);
        assert_eq!(world.may_have_run(serial), Some(true), "{path}");
    }
}

/// Guards against the verdict "may have run" for a request that no server started, which would keep its caller from a retry.
#[test]
fn a_request_that_no_server_started_is_told_so() {
    for stops in [false, true] {
        let mut world = match stops {
            true => stopping_world(),
            false => World::new(1),
        };
        world.run(1_000);
        let serial = world.arrive(0, "/filings/1", None);
        for _ in 0..2 {
            if world.may_have_run(serial).is_none() {
                world.end_latest(serial, End::NotStarted);
            }
        }
        world.run(GRACE_MILLIS);
        assert_eq!(world.may_have_run(serial), Some(false), "stops: {stops}");
    }
}

/// Guards against discarding an answer that arrives before the process has to exit.
#[test]
fn an_answer_just_before_the_end_of_a_stop_is_delivered() {
    let mut world = stopping_world();
    let serial = world.arrive(0, "/filings/1", None);
    world.run(6_800);
    world.finish_request(0, serial, false);
    world.run(GRACE_MILLIS);
    assert_eq!(world.may_have_run(serial), None);
    assert!(world.log_count("stopped") > 0);
}

/// Time after which a request arrives late in the grace period, 2.5 s before its end.
const LATE_MILLIS: u64 = 5_500;
/// More requests than all servers take at once.
const MOST_REQUESTS: usize = 1_000;

/// Serves requests on a route, each answered after `took` milliseconds.
fn measure(world: &mut World, path: &str, took: u64) {
    for _ in 0..3 {
        let serial = world.arrive(0, path, None);
        world.run(took);
        world.finish_request(0, serial, false);
    }
}

/// Guards against passing on a call that may not be repeated, although such calls take longer than the entry has left: its
/// caller got no answer of a server.
#[test]
fn a_call_that_takes_longer_than_is_left_of_a_stop_is_refused_as_not_run() {
    for (path, took, is_served) in [
        ("/filings/1", 3_000, false),
        ("/filings/1", 200, true),
        ("/drafts/1", 3_000, false),
        ("/drafts/1", 200, true),
        ("/talks/1", 200, false),
    ] {
        let mut world = World::new(2);
        world.run(5_000);
        measure(&mut world, path, took);
        world.stop(0);
        world.run(LATE_MILLIS);
        let sent = world.attempts_started;
        let serial = world.arrive(0, path, None);
        let refused = (!is_served).then_some(false);
        assert_eq!(world.may_have_run(serial), refused, "{path} {took}");
        let handed = u32::from(is_served);
        assert_eq!(world.attempts_started, sent + handed, "{path} {took}");
    }
}

/// Guards against the same for streams that last longer than most.
#[test]
fn a_stream_that_lasts_longer_than_is_left_of_a_stop_is_refused_as_not_run() {
    for path in ["/talks/1", "/chats/1"] {
        let mut world = World::new(2);
        world.run(5_000);
        measure(&mut world, path, 7_000);
        world.stop(0);
        world.run(1_000);
        let serial = world.arrive(0, path, None);
        assert_eq!(world.may_have_run(serial), Some(false), "{path}");
    }
}

/// Guards against the same while nothing is known of a route but its time limit.
#[test]
fn a_call_of_unknown_duration_is_accepted_only_if_its_time_limit_ends_before_the_stop() {
    for (path, is_served) in [("/filings/1", false), ("/drafts/1", true)] {
        let mut world = World::new(2);
        world.run(5_000);
        world.stop(0);
        world.run(1_000);
        let serial = world.arrive(0, path, None);
        let refused = (!is_served).then_some(false);
        assert_eq!(world.may_have_run(serial), refused, "{path}");
    }
}

/// Guards against passing on a request at the end of the grace period that waited for a server until then.
#[test]
fn a_request_that_waits_too_long_during_a_stop_is_refused_as_not_run() {
    let mut world = World::unlimited(2);
    world.run(5_000);
    measure(&mut world, "/filings/1", 3_000);
    let serials: Vec<u64> = (0..MOST_REQUESTS)
        .map(|_| world.arrive(0, "/filings/1", None))
        .collect();
    world.run(100);
    let waits = |world: &World, serial: &u64| {
        world.may_have_run(*serial).is_none() && !world.servers_by_request.contains_key(serial)
    };
    let mut waiting = serials;
    waiting.retain(|serial| waits(&world, serial));
    assert!(!waiting.is_empty());
    world.stop(0);
    world.run(3_500);
    waiting.retain(|serial| waits(&world, serial));
    assert!(!waiting.is_empty());
    world.run(1_000);
    for serial in waiting {
        assert_eq!(world.may_have_run(serial), Some(false));
    }
}

/// Guards against sending a request once more that no server has started, if no answer fits into the rest of a stop.
#[test]
fn a_request_that_no_server_started_is_not_sent_again_late_in_a_stop() {
    let mut world = World::new(2);
    world.run(5_000);
    measure(&mut world, "/filings/1", 3_000);
    world.stop(0);
    let serial = world.arrive(0, "/filings/1", None);
    world.run(LATE_MILLIS);
    let sent = world.attempts_started;
    world.end_latest(serial, End::NotStarted);
    assert_eq!(world.may_have_run(serial), Some(false));
    assert_eq!(world.attempts_started, sent);
}
