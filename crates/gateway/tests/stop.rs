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

/// Starts two entries and asks one to stop.
fn stopping_world() -> World {
    let mut world = World::new(2);
    world.run(5_000);
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
