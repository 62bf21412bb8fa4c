//! The list of servers among many entries: one reads it and publishes it to all.

mod support;

use support::World;

const ENTRIES: usize = 20;
fn settled_world() -> World {
    let mut world = World::new(ENTRIES);
    world.run_following(10_000);
    world
}

/// When each of 19 entries polled the list, the calls of the table service cost more than requests earned
/// under a low load.
#[test]
fn one_of_many_entries_reads_the_list() {
    let mut world = settled_world();
    for _ in 0..10 {
        world.run_following(1_000);
        let readers = world.readers();
        assert_eq!(readers.len(), 1, "{readers:?}");
    }
}

/// Entries that don't read the list must learn that a server joined, and that its row ended.
#[test]
fn all_entries_learn_what_one_has_read() {
    let mut world = settled_world();
    let joined = world.log_count("server_joined");
    let server = world.add_server();
    world.run_following(2_000);
    let joined = world.log_count("server_joined") - joined;
    assert_eq!(joined as usize, ENTRIES, "entries that know the new server");
    assert_eq!(world.remove_server().id, server.id);
    world.run_following(2_000);
    assert_eq!(world.log_count("server_gone") as usize, ENTRIES);
}

/// Until another entry takes over reading, nobody would learn that a server left.
#[test]
fn a_killed_reader_is_replaced() {
    let mut world = settled_world();
    let reader = world.readers()[0];
    world.kill(reader);
    world.reads_list.remove(&reader);
    world.remove_server();
    world.run_following(4_000);
    assert_eq!(world.log_count("server_gone") as usize, ENTRIES - 1);
}

/// A standby's read was in flight while peers reported that a server's row had ended. The older answer
/// still held the server, and the standby sent requests there for as long as it ran.
#[test]
fn a_stale_read_does_not_restore_a_server() {
    let mut world = settled_world();
    let (revision, servers) = (world.list_revision, world.servers.clone());
    let reader = world.readers()[0];
    world.remove_server();
    world.run_following(2_000);
    let joined = world.log_count("server_joined");
    world.send_servers_as_of((reader + 1) % ENTRIES, revision, servers);
    assert_eq!(world.log_count("server_joined"), joined);
}

/// A server's row ended during a gap of the reader. The reader can't tell a server that left from one whose
/// lease lapsed, so all entries ignored the missing row for 2.5 s and kept sending requests; a standby knew
/// better.
#[test]
fn a_gap_of_one_reader_does_not_delay_removals() {
    let mut world = settled_world();
    let reader = world.readers()[0];
    world.fail_list(reader);
    world.remove_server();
    world.run_following(2_000);
    assert_eq!(world.log_count("server_gone") as usize, ENTRIES);
}

/// Each entry reads for itself at start, with a long poll of ten seconds. One started before the entry became
/// a reader for all left the others without reports for that long.
#[test]
fn an_entry_that_becomes_a_reader_reads_again() {
    let mut world = World::new(ENTRIES);
    world.run_following(4_000);
    let readers = world.readers();
    assert!(!readers.is_empty());
    for reader in readers {
        assert!(world.list_reads.contains_key(&reader), "entry {reader}");
    }
    assert!(world.list_reads.len() <= 5, "{:?}", world.list_reads);
}
