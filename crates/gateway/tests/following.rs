//! The list of servers among many entries: one reads it, all know what it says.

mod support;

use support::World;

const ENTRIES: usize = 20;
/// Time between two answers to an entry that follows the list.
const READ_INTERVAL_MILLIS: u64 = 500;

/// Lets entries that follow the list read it while time passes.
fn run_following(world: &mut World, millis: u64) {
    for _ in 0..millis / READ_INTERVAL_MILLIS {
        world.run(READ_INTERVAL_MILLIS);
        for entry in readers(world) {
            world.tell_all(entry);
        }
    }
}

fn readers(world: &World) -> Vec<usize> {
    let following = world.following.iter();
    following
        .filter(|(_, reads)| **reads)
        .map(|(entry, _)| *entry)
        .collect()
}

fn settled_world() -> World {
    let mut world = World::new(ENTRIES);
    run_following(&mut world, 10_000);
    world
}

/// Each of 19 entries asked for the list by itself, and on a quiet day calls of the table service cost more than all
/// requests earned.
#[test]
fn one_of_many_entries_reads_the_list() {
    let mut world = settled_world();
    for _ in 0..10 {
        run_following(&mut world, 1_000);
        let readers = readers(&world);
        assert_eq!(readers.len(), 1, "{readers:?}");
    }
}

/// A server joins, and later its row ends; entries that don't read the list must know of both.
#[test]
fn all_entries_learn_what_one_has_read() {
    let mut world = settled_world();
    let joined = world.logged("server_joined");
    let server = world.add_server();
    run_following(&mut world, 2_000);
    let joined = world.logged("server_joined") - joined;
    assert_eq!(joined as usize, ENTRIES, "entries that know the new server");
    assert_eq!(world.end_row().id, server.id);
    run_following(&mut world, 2_000);
    assert_eq!(world.logged("server_gone") as usize, ENTRIES);
}

/// The entry that reads is killed: until another one is known to read, nobody would learn that a server left.
#[test]
fn a_killed_reader_is_replaced() {
    let mut world = settled_world();
    let reader = readers(&world)[0];
    world.kill(reader);
    world.following.remove(&reader);
    world.end_row();
    run_following(&mut world, 4_000);
    assert_eq!(world.logged("server_gone") as usize, ENTRIES - 1);
}

/// An entry that stands in asks for the list; while its answer is under way others report that a server's row has ended.
/// The answer is older and still names that server, and requests went on to it for as long as the entry ran.
#[test]
fn a_stale_read_does_not_restore_a_server() {
    let mut world = settled_world();
    let (revision, servers) = (world.list, world.servers.clone());
    let reader = readers(&world)[0];
    world.end_row();
    run_following(&mut world, 2_000);
    let joined = world.logged("server_joined");
    world.tell_as_of((reader + 1) % ENTRIES, revision, servers);
    assert_eq!(world.logged("server_joined"), joined);
}

/// The reader's answer was lost, and just then a server's row ended. Nobody believed it for 2.5 s, since the reader can't
/// tell a server that left from one whose lease lapsed, and requests went on to it; an entry that stood by could.
#[test]
fn a_gap_of_one_reader_does_not_delay_removals() {
    let mut world = settled_world();
    let reader = readers(&world)[0];
    world.lose_list(reader);
    world.end_row();
    run_following(&mut world, 2_000);
    assert_eq!(world.logged("server_gone") as usize, ENTRIES);
}

/// Each entry reads for itself as it starts, and its question for changes waits for ten seconds. Asked before the entry
/// became a reader for all, it left all others without a word of the list for as long.
#[test]
fn an_entry_that_becomes_a_reader_reads_again() {
    let mut world = World::new(ENTRIES);
    run_following(&mut world, 4_000);
    let readers = readers(&world);
    assert!(!readers.is_empty());
    for reader in readers {
        assert!(world.looks.contains_key(&reader), "entry {reader}");
    }
    assert!(world.looks.len() <= 5, "{:?}", world.looks);
}
