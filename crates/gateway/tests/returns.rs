//! Streams that callers take up again after the table service lost records, or after a default version that others
//! replaced is back.

#![allow(clippy::unwrap_used)]

mod support;

use smol_str::SmolStr;
use smol_str::format_smolstr;
use support::JOIN_MILLIS;
use support::OTHER_SERVICE;
use support::World;

/// Time after which a default version without replicas is replaced, with a margin.
const REPLACED_MILLIS: u64 = 64_000;
/// Time after which a restore or a new default version no longer matters.
const SETTLED_MILLIS: u64 = 130_000;
/// Time after the start of a stream at which its caller may still return: more than a minute, less than that after its time limit.
const LATE_RETURN_MILLIS: u64 = 66_000;
const STREAMS: usize = 40;

/// Sets the versions of the first servers in order; the others run v1.
fn set_versions(world: &mut World, versions: &[&str]) {
    for (number, server) in world.servers.iter_mut().enumerate() {
        server.version = SmolStr::new(versions.get(number).copied().unwrap_or("v1"));
    }
    world.publish_servers();
}

/// Begins streams at one entry and takes each up at another; returns how many went on, and how many of these at another
/// version than their own.
fn resume_elsewhere(world: &mut World, from: usize, to: usize) -> (usize, usize) {
    let (mut resumed, mut mixed) = (0, 0);
    for _ in 0..STREAMS {
        let (serial, began) = world.begin_stream(from);
        world.run(100);
        let version = world.resume_stream(to, serial);
        resumed += usize::from(version.is_some());
        mixed += usize::from(version.is_some() && version != began);
    }
    (resumed, mixed)
}

/// Guards against taking a stream for one of the default version because a restore lost its record.
#[test]
fn a_stream_whose_record_a_restore_lost_keeps_its_version() {
    let mut world = World::new(2).released(true);
    let copy = world.table.clone();
    let serial = world.begin_stream_at(0, "v2");
    assert!(world.stream_records() > 0);
    world.table.restore(&copy);
    assert_ne!(world.resume_stream(1, serial).as_deref(), Some("v1"));
    world.run(JOIN_MILLIS);
    assert_eq!(world.resume_stream(1, serial).as_deref(), Some("v2"));
}

/// Guards against the same once the only entry that knew the stream's version is gone.
#[test]
fn a_stream_that_nobody_knows_after_a_restore_is_refused() {
    let mut world = World::new(3).released(true);
    let copy = world.table.clone();
    let serial = world.begin_stream_at(0, "v2");
    world.kill(0);
    world.table.restore(&copy);
    for entry in [1, 2] {
        assert_eq!(world.resume_stream(entry, serial), None);
    }
    world.start(0);
    world.run(JOIN_MILLIS);
    for entry in 0..3 {
        assert_eq!(world.resume_stream(entry, serial), None);
    }
    assert_eq!(world.refused.get("StoreUnavailable"), Some(&5));
}

/// Guards against refusing, after a restore, streams of the default version that living entries know.
#[test]
fn streams_of_the_default_version_go_on_after_a_restore() {
    let mut world = World::new(3).released(true);
    let copy = world.table.clone();
    let serial = world.begin_stream_at(0, "v1");
    world.table.restore(&copy);
    world.run(JOIN_MILLIS);
    assert_eq!(world.resume_stream(1, serial).as_deref(), Some("v1"));
    world.kill(0);
    world.start(0);
    world.run(JOIN_MILLIS);
    assert_eq!(resume_elsewhere(&mut world, 1, 0), (STREAMS, 0));
}

/// Guards against entries that assume different default versions because a restore lost the row that states it.
#[test]
fn entries_agree_on_the_default_version_after_a_restore_that_lost_it() {
    for pause in [0, 500, 2_000] {
        let mut world = World::new(3);
        let copy = world.table.clone();
        set_versions(&mut world, &[]);
        world.run(JOIN_MILLIS);
        set_versions(&mut world, &["v2", "v2", "v2", "v2"]);
        world.run(JOIN_MILLIS);
        world.table.restore(&copy);
        world.start(1);
        world.run(pause);
        for (from, to) in [(0, 1), (1, 0), (2, 1), (1, 2)] {
            let (_, mixed) = resume_elsewhere(&mut world, from, to);
            assert_eq!(mixed, 0, "entry {from} to {to}, {pause} ms");
        }
        world.run(SETTLED_MILLIS);
        for (from, to) in [(0, 1), (1, 0), (2, 1), (1, 2)] {
            let outcome = resume_elsewhere(&mut world, from, to);
            assert_eq!(outcome, (STREAMS, 0), "entry {from} to {to}, {pause} ms");
        }
    }
}

/// Guards against an entry without the table service that takes a default version for granted after others replaced
/// it, whether or not it saw that the version's replicas were gone.
#[test]
fn an_entry_that_missed_the_replacement_of_the_default_version_learns_of_it() {
    for follows_list in [true, false] {
        let mut world = World::new(2).released(true);
        let both = world.servers.clone();
        world.store_partitioned.insert(0);
        world.servers.retain(|server| server.version == "v2");
        world.publish_to(&[1]);
        if follows_list {
            world.publish_to(&[0]);
        }
        world.run(REPLACED_MILLIS);
        world.servers = both;
        world.publish_to(&[1]);
        if follows_list {
            world.publish_to(&[0]);
        }
        world.run(100);
        let (_, mixed) = resume_elsewhere(&mut world, 0, 1);
        assert_eq!(mixed, 0, "without the table service, {follows_list}");
        world.store_partitioned.clear();
        world.publish_servers();
        for _ in 0..3 {
            let (_, mixed) = resume_elsewhere(&mut world, 0, 1);
            assert_eq!(mixed, 0, "in touch again, {follows_list}");
        }
        world.run(SETTLED_MILLIS);
        for (from, to) in [(0, 1), (1, 0)] {
            let outcome = resume_elsewhere(&mut world, from, to);
            assert_eq!(outcome, (STREAMS, 0), "{from} to {to}, {follows_list}");
        }
    }
}

/// Guards against an entry that started while the default version had no servers, and takes it for granted once they are back
/// although others replaced it meanwhile.
#[test]
fn an_entry_that_started_during_an_absence_learns_that_the_default_version_was_replaced() {
    for entries in [2, 20] {
        let mut world = World::new(entries).released(true);
        let both = world.servers.clone();
        world.servers.retain(|server| server.version == "v2");
        world.publish_servers();
        world.run_following(45_000);
        world.start(1);
        world.run_following(REPLACED_MILLIS - 45_000);
        world.servers = both;
        world.publish_servers();
        world.run(300);
        let (_, mixed) = resume_elsewhere(&mut world, 0, 1);
        assert_eq!(mixed, 0, "{entries} entries");
        world.run_following(SETTLED_MILLIS);
        for (from, to) in [(0, 1), (1, 0)] {
            let outcome = resume_elsewhere(&mut world, from, to);
            assert_eq!(outcome, (STREAMS, 0), "{from} to {to}, {entries} entries");
        }
    }
}

/// Guards against entries that agree on the only version of the last minute, although callers return for longer to streams with
/// a time limit.
#[test]
fn entries_agree_on_no_version_while_callers_may_return_to_an_earlier_one() {
    for entries in [3, 20] {
        let mut world = World::new(entries).released(false);
        world.run_following(80_000);
        let begun: Vec<u64> = (0..STREAMS).map(|_| world.begin_stream(0).0).collect();
        world.run(100);
        for server in &mut world.servers {
            server.version = "v2".into();
            server.incarnation = format_smolstr!("{}@2", server.incarnation);
        }
        world.publish_servers();
        world.kill(0);
        world.run_following(LATE_RETURN_MILLIS);
        let mixed = begun.iter().filter(|serial| {
            world.resume_stream(1, **serial);
            let resumed = world.last_serial();
            world.run(100);
            world.version_of(resumed).is_some()
        });
        assert_eq!(mixed.count(), 0, "{entries} entries");
    }
}

/// Guards against the shares between two changes for a stream that began after the second one, once the shares before the first
/// are forgotten.
#[test]
fn a_stream_goes_on_at_its_service_after_several_changes_of_shares() {
    let mut world = World::shared(3).released(false);
    for server in world.servers.iter_mut().step_by(2) {
        server.service = OTHER_SERVICE.into();
        server.incarnation = format_smolstr!("{}@2", server.incarnation);
    }
    world.publish_servers();
    for weights in [[0.6, 0.05], [0.05, 0.6], [0.6, 0.05]] {
        world.run_following(20_000);
        world.weights = weights;
        world.reconfigure();
    }
    world.run_following(3_000);
    let begin = |_| {
        let (serial, _) = world.begin_stream(0);
        world.run(100);
        Some((serial, world.service_of(serial)?))
    };
    let begun: Vec<_> = (0..STREAMS).filter_map(begin).collect();
    assert!(begun.len() > STREAMS / 2);
    world.kill(0);
    world.run_following(LATE_RETURN_MILLIS);
    for (serial, began) in begun {
        world.resume_stream(1, serial);
        world.run(100);
        let resumed = world.service_of(world.last_serial());
        assert!(resumed.is_none_or(|resumed| resumed == began), "{serial}");
    }
}

/// Lets all servers run a version, as after they have started anew.
fn restart_servers(world: &mut World, version: &str) {
    for server in &mut world.servers {
        server.version = version.into();
        server.incarnation = format_smolstr!("{}@{version}", server.id);
    }
}

/// Guards against entries that are cut off together from the table service and the others, and go by their default version for
/// as long as they hear of each other; and against one that is in contact again once nobody states the replacement any more.
#[test]
fn entries_without_the_table_service_stop_to_go_by_a_default_version_that_may_be_replaced() {
    for (cut_off, is_rejoined) in [(vec![0], false), (vec![0, 1], false), (vec![0], true)] {
        let mut world = World::new(4).released(true);
        let both = world.servers.clone();
        world.separated = cut_off.iter().copied().collect();
        world.store_partitioned = world.separated.clone();
        for entry in &cut_off {
            world.fail_list(*entry);
        }
        world.servers.retain(|server| server.version == "v2");
        world.publish_to(&[2, 3]);
        world.run(REPLACED_MILLIS + SETTLED_MILLIS);
        if is_rejoined {
            world.separated.clear();
            world.run(JOIN_MILLIS);
        }
        world.servers = both;
        let mixed = (0..STREAMS).filter(|_| {
            let (serial, began) = world.begin_stream(0);
            // Its caller gets no event before it is recorded.
            let has_begun = !world.awaiting_record.contains(&serial);
            world.run(100);
            let resumed = world.resume_stream(2, serial);
            has_begun && resumed.is_some() && resumed != began
        });
        let mixed = mixed.count();
        assert_eq!(mixed, 0, "{cut_off:?}, in contact again: {is_rejoined}");
    }
}

/// Guards against servers whose rows are missing, and which are kept while reads of the list fail now and then, as a proof that
/// the default version has servers.
#[test]
fn missing_rows_prove_no_default_version() {
    let mut world = World::new(3).released(true);
    let both = world.servers.clone();
    world.separated = [0].into();
    world.servers.retain(|server| server.version == "v2");
    world.publish_to(&[1, 2]);
    for _ in 0..REPLACED_MILLIS / 1_000 + 1 {
        world.fail_list(0);
        world.send_servers(0);
        world.run(1_000);
    }
    world.servers = both;
    let (_, mixed) = resume_elsewhere(&mut world, 1, 0);
    assert_eq!(mixed, 0);
}

/// Guards against an entry that was paused for a minute, and takes this time for one in which the default version had no servers.
#[test]
fn a_paused_entry_replaces_no_default_version_that_had_servers_meanwhile() {
    let mut world = World::new(3).released(true);
    let both = world.servers.clone();
    let mut released = both.clone();
    released.retain(|server| server.version == "v2");
    world.separated = [0].into();
    world.servers = released.clone();
    world.publish_servers();
    world.run(3_000);
    world.frozen.insert(0);
    for (servers, millis) in [(&released, 27_000), (&both, 29_000), (&released, 3_000)] {
        world.servers = servers.clone();
        world.publish_to(&[1, 2]);
        world.run(millis);
    }
    world.thaw(0);
    for _ in 0..6 {
        world.run(500);
        world.send_servers(0);
    }
    world.servers = both;
    world.publish_to(&[1, 2]);
    world.run(200);
    let (_, mixed) = resume_elsewhere(&mut world, 0, 1);
    assert_eq!(mixed, 0);
}

/// Guards against agreement on the only version that a paused entry knows, which isn't the default that it last read.
#[test]
fn an_entry_that_doubts_its_default_version_agrees_on_no_other_after_a_pause() {
    let mut world = World::unlimited(2).released(false);
    world.run_following(80_000);
    world.frozen.insert(1);
    world.partitioned.insert(1);
    restart_servers(&mut world, "v2");
    world.publish_to(&[0]);
    for _ in 0..70 {
        world.run(1_000);
        world.send_servers(0);
    }
    let begun: Vec<u64> = (0..STREAMS).map(|_| world.begin_stream(0).0).collect();
    restart_servers(&mut world, "v3");
    world.publish_to(&[0]);
    world.run(500);
    world.kill(0);
    world.partitioned.clear();
    world.thaw(1);
    for _ in 0..20 {
        world.send_servers(1);
        world.run(1_000);
    }
    let mixed = begun.iter().filter(|serial| {
        world.resume_stream(1, **serial);
        let resumed = world.last_serial();
        world.run(100);
        world.send_servers(1);
        world.run(100);
        world.version_of(resumed).is_some()
    });
    assert_eq!(mixed.count(), 0);
}
