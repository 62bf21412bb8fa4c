//! Requests accepted by an entry that was asked to stop.

mod support;

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
