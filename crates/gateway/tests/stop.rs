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
