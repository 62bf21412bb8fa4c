//! Streams of which no record, statement or list proves the software version: nothing that is merely not known counts as
//! proof.

#![allow(clippy::unwrap_used)]

mod support;

use clock::Span;
use gateway::attempt::End;
use gateway::attempt::Report;
use smol_str::SmolStr;
use support::JOIN_MILLIS;
use support::World;

/// Time in which entries notice that the table service doesn't answer.
const OUTAGE_MILLIS: u64 = 12_000;
/// Longest wait for statements of other entries, with a margin.
const AGREEMENT_MILLIS: u64 = 3_000;
const STREAMS: usize = 40;

/// Begins streams at an entry; returns the serial numbers of those whose first event needn't wait, with their versions.
fn begin_all(world: &mut World, entry: usize) -> Vec<(u64, SmolStr)> {
    let begun = (0..STREAMS).filter_map(|_| {
        let (serial, version) = world.begin_stream(entry);
        world.run(10);
        let is_delivered = !world.awaiting_record.contains(&serial);
        version
            .filter(|_| is_delivered)
            .map(|version| (serial, version))
    });
    begun.collect()
}

/// Takes up streams at an entry; returns how many go on at another version than their own.
fn count_mixed(world: &mut World, entry: usize, begun: &[(u64, SmolStr)]) -> usize {
    let resumed: Vec<u64> = begun
        .iter()
        .map(|(serial, _)| {
            world.resume_stream(entry, *serial);
            world.last_serial()
        })
        .collect();
    world.run(AGREEMENT_MILLIS);
    let pairs = resumed.iter().zip(begun);
    let is_mixed = |(resumed, (_, version)): &(&u64, &(u64, SmolStr))| {
        world
            .version_of(**resumed)
            .is_some_and(|resumed| resumed != *version)
    };
    pairs.filter(is_mixed).count()
}

/// Replaces all servers by as many of another version, in the list that entries read next.
fn replace_servers(world: &mut World, version: &str) {
    let count = world.servers.len();
    for _ in 0..count {
        world.add_server();
        world.servers.last_mut().unwrap().version = version.into();
    }
    world.servers.drain(..count);
}

/// Guards against entries that just started and agree on the only version that they know, although another one served
/// before.
#[test]
fn entries_that_started_after_a_release_agree_on_no_version() {
    for entries in [3, 20] {
        let mut world = World::new(entries).released(false);
        world.run_following(4_000);
        let begun = begin_all(&mut world, 0);
        assert!(!begun.is_empty());
        replace_servers(&mut world, "v2");
        world.publish_servers();
        world.run_following(1_000);
        for entry in 0..entries {
            world.start(entry);
        }
        // The list is read again while single calls fail.
        for entry in 0..entries {
            world.store_partitioned.insert(entry);
        }
        for _ in 0..6 {
            world.run(500);
            world.publish_servers();
            let mixed = count_mixed(&mut world, 1, &begun);
            assert_eq!(mixed, 0, "{entries} entries");
        }
    }
}

/// Guards against a stream without a record that begins at an entry which doesn't know the default version.
#[test]
fn an_entry_without_the_default_version_delivers_no_unrecorded_stream() {
    let mut world = World::new(2).released(true);
    world.store_partitioned.insert(0);
    world.start(0);
    world.run(OUTAGE_MILLIS);
    let begun = begin_all(&mut world, 0);
    world.kill(0);
    assert_eq!(count_mixed(&mut world, 1, &begun), 0);
}

/// Guards against a stream without a record at the version of a roll-out while the default one serves too.
#[test]
fn a_roll_out_without_the_table_service_delivers_no_unrecorded_stream() {
    let mut world = World::new(2).released(true);
    world.order_rollout("v2", Span::from_seconds(60));
    world.run(JOIN_MILLIS);
    world.store_unresponsive = true;
    world.run(OUTAGE_MILLIS);
    let begun = begin_all(&mut world, 0);
    world.kill(0);
    world.store_unresponsive = false;
    world.run(JOIN_MILLIS);
    assert_eq!(count_mixed(&mut world, 1, &begun), 0);
}

/// Guards against a stream without a record that begins while the default version has no servers, for which it is taken once
/// these are back.
#[test]
fn a_default_version_without_servers_lets_no_stream_begin_unrecorded() {
    let mut world = World::new(3).released(false);
    replace_servers(&mut world, "v2");
    world.publish_servers();
    world.run(JOIN_MILLIS);
    world.store_partitioned.insert(0);
    world.run(OUTAGE_MILLIS);
    for _ in 0..STREAMS {
        let (serial, version) = world.begin_stream(0);
        assert_eq!(world.awaiting_record.contains(&serial), version.is_some());
        world.run(10);
    }
}

/// Guards against the record of an attempt before the one that began the stream, which a restore brought back.
#[test]
fn a_record_that_a_restore_brought_back_proves_nothing() {
    let mut world = World::new(2).released(true);
    let stream = (0..STREAMS)
        .find_map(|_| {
            let stream = world.open_stream(0);
            world.run(20);
            (world.version_of(stream).as_deref() == Some("v2")).then_some(stream)
        })
        .unwrap();
    let copy = world.table.clone();
    for server in &mut world.servers {
        server.leaving = server.version == "v2";
    }
    world.publish_servers();
    world.end_latest(stream, End::NotSent);
    world.run(100);
    assert_eq!(world.version_of(stream).as_deref(), Some("v1"));
    let sent = world.sent_requests.last().unwrap().clone();
    world.report_on(&sent, Report::ResponseStarted);
    for _ in 0..6 {
        world.add_server();
        world.servers.last_mut().unwrap().version = "v2".into();
    }
    world.publish_servers();
    world.run(500);
    world.kill(0);
    world.table.restore(&copy);
    let begun = [(stream, SmolStr::new_static("v1"))];
    assert_eq!(count_mixed(&mut world, 1, &begun), 0);
}

/// Guards against records that an entry removes early, whose clock differs from that of the entry which wrote them.
#[test]
fn a_record_is_not_removed_by_an_entry_whose_clock_is_ahead() {
    let mut world = World::new(2).released(true);
    world.kill(1);
    world.restart_with_clock_ahead(0, 300_000);
    world.run(OUTAGE_MILLIS);
    // Else one of them would follow the other's clock.
    world.partitioned.insert(1);
    world.start(1);
    world.run(JOIN_MILLIS);
    let begun: Vec<(u64, SmolStr)> = (0..STREAMS)
        .map(|_| (world.begin_stream_at(1, "v2"), "v2".into()))
        .collect();
    world.kill(1);
    world.run(60_000);
    assert_eq!(count_mixed(&mut world, 0, &begun), 0);
}
