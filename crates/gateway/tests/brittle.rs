//! Servers that crash when they have to turn too many requests away.

#![allow(clippy::unwrap_used)]

mod support;

use std::collections::BTreeMap;
use std::collections::VecDeque;

use gateway::attempt::End;
use smol_str::SmolStr;
use support::SentRequest;
use support::World;

/// Time from a server's first report until it turns requests away sooner.
const NOTICE_MILLIS: u64 = 3_000;
/// Time from which servers report that they are brittle.
const START_MILLIS: u64 = 4_000;
const END_MILLIS: u64 = 20_000;
/// Time in which many entries get to know each other.
const JOIN_MILLIS: u64 = 20_000;
/// Requests that a server runs at once.
const SLOTS: usize = 64;
/// Requests that wait at a server that isn't brittle.
const QUEUE: usize = 16;
/// Time from the start of a request until its answer.
const ANSWER_MILLIS: u64 = 400;
/// Time for which a server is gone after it crashed.
const CRASH_MILLIS: u64 = 3_000;
const STEP_MILLIS: u64 = 10;
/// Servers of the service.
const SERVERS: usize = 6;

/// A server as it acts in the simulation.
#[derive(Default)]
struct Server {
    running: Vec<(u64, SentRequest)>,
    rejections: VecDeque<u64>,
    gone_until: u64,
}

/// The outcome of a simulation.
#[derive(Default)]
struct Outcome {
    /// Crashes while the servers were brittle.
    crashes: usize,
    /// Requests answered in that time.
    answered: usize,
}

/// Plays entries that get more requests than their servers have room for, of which the servers bear that many
/// rejections a second.
fn simulate(entries: usize, requests_per_second: u64, limit: u32) -> Outcome {
    simulate_in(World::new(entries), entries, requests_per_second, limit)
}

/// Plays requests to the first `entries` of a world.
fn simulate_in(world: World, entries: usize, requests_per_second: u64, limit: u32) -> Outcome {
    simulate_at(world, requests_per_second, limit, |_, sent| {
        (sent * 7) % entries
    })
}

/// Plays requests, each to the entry that `place` names by the time since the start and the request's number.
fn simulate_at(
    mut world: World,
    requests_per_second: u64,
    limit: u32,
    place: impl Fn(u64, usize) -> usize,
) -> Outcome {
    let begin = world.now;
    let mut servers: BTreeMap<SmolStr, Server> = BTreeMap::new();
    let mut outcome = Outcome::default();
    let mut sent = 0;
    while world.now < begin + END_MILLIS {
        world.run(STEP_MILLIS);
        while sent < requests_per_second * (world.now - begin) / 1_000 {
            sent += 1;
            world.request_public(place(world.now - begin, sent as usize));
        }
        let now = world.now;
        let stated = (now >= begin + START_MILLIS).then_some(limit);
        let brittle = now >= begin + START_MILLIS + NOTICE_MILLIS;
        for server in servers.values_mut() {
            let due = server.running.extract_if(.., |(until, _)| *until <= now);
            for (_, request) in due.collect::<Vec<_>>() {
                outcome.answered += usize::from(brittle);
                world.end_brittle(&request, stated, finished());
            }
        }
        // An answer may start further requests.
        while let Some(request) = world.sent_requests.pop() {
            let server = servers.entry(request.server.clone()).or_default();
            if now < server.gone_until {
                world.end_attempt(&request, End::NotSent);
                continue;
            }
            let room = if brittle { SLOTS } else { SLOTS + QUEUE };
            if server.running.len() < room {
                server.running.push((now + ANSWER_MILLIS, request));
                continue;
            }
            world.end_brittle(&request, stated, End::NotStarted);
            server.rejections.push_back(now);
            while server
                .rejections
                .front()
                .is_some_and(|at| *at + 1_000 <= now)
            {
                server.rejections.pop_front();
            }
            if brittle && server.rejections.len() > limit as usize {
                outcome.crashes += 1;
                server.gone_until = now + CRASH_MILLIS;
                server.rejections.clear();
                for (_, request) in std::mem::take(&mut server.running) {
                    world.end_attempt(&request, End::Broken { alive: false });
                }
            }
        }
    }
    outcome
}

fn finished() -> End {
    End::Finished {
        status: 200,
        tokens: 1,
        pause: clock::Span::ZERO,
    }
}

/// Guards against overloaded entries that bring down one server after the other by what these must turn away.
#[test]
fn brittle_servers_stay_up_under_overload() {
    for (entries, limit) in [(8, 4), (8, 12), (24, 6), (24, 40)] {
        let outcome = simulate(entries, 1_300, limit);
        let allowed = 2 + SERVERS / 10;
        assert!(
            outcome.crashes <= allowed,
            "{} crashes at a limit of {limit}, {entries} entries, {} answered",
            outcome.crashes,
            outcome.answered
        );
    }
}

/// Guards against more entries than a server has slots that bring it down although each sends it little.
#[test]
fn brittle_servers_stay_up_before_many_entries() {
    let (entries, limit) = (75, 6);
    let mut world = World::new(entries);
    world.run(JOIN_MILLIS);
    let outcome = simulate_in(world, entries, 1_300, limit);
    assert!(
        outcome.crashes <= 2 + SERVERS / 10,
        "{} crashes, {} answered",
        outcome.crashes,
        outcome.answered
    );
}

/// Guards against keeping so much off brittle servers that their room stays empty.
#[test]
fn the_room_of_brittle_servers_is_used() {
    for (entries, limit) in [(8, 4), (24, 6)] {
        let outcome = simulate(entries, 200, limit);
        let offered = 200 * (END_MILLIS - START_MILLIS - NOTICE_MILLIS) as usize / 1_000;
        assert!(
            outcome.answered * 10 >= offered * 9,
            "{} of {offered} answered, {entries} entries",
            outcome.answered
        );
    }
}

/// Returns the requests offered while the servers are brittle.
fn offered(requests_per_second: u64) -> usize {
    (requests_per_second * (END_MILLIS - START_MILLIS - NOTICE_MILLIS) / 1_000) as usize
}

fn assert_stays_up(outcome: &Outcome, load: &str) {
    let allowed = 2 + SERVERS / 10;
    assert!(
        outcome.crashes <= allowed,
        "{} crashes, {load}",
        outcome.crashes
    );
}

/// Guards against requests turned away by entries while brittle servers have room for all of them.
#[test]
fn brittle_servers_serve_what_they_have_room_for() {
    for entries in [3, 8, 24, 33] {
        let outcome = simulate(entries, 600, 6);
        let offered = offered(600);
        assert_stays_up(&outcome, &format!("{entries} entries"));
        assert!(
            outcome.answered * 10 >= offered * 9,
            "{} of {offered} answered, {entries} entries",
            outcome.answered
        );
    }
}

/// Guards against serving less under overload than at a load for which there is room.
#[test]
fn brittle_servers_serve_no_less_under_overload() {
    for entries in [3, 8, 24, 33] {
        let outcome = simulate(entries, 1_300, 6);
        let offered = offered(600);
        assert_stays_up(&outcome, &format!("{entries} entries"));
        assert!(
            outcome.answered * 10 >= offered * 9,
            "{} answered, {offered} at less load, {entries} entries",
            outcome.answered
        );
    }
}

/// Guards against slots of brittle servers that stay empty since the entries they are meant for have no callers.
#[test]
fn brittle_servers_serve_the_callers_of_a_few_entries() {
    let outcome = simulate_in(World::new(28), 4, 200, 6);
    let offered = offered(200);
    assert_stays_up(&outcome, "4 of 28 entries");
    assert!(
        outcome.answered * 10 >= offered * 9,
        "{} of {offered} answered",
        outcome.answered
    );
}

/// Guards against the same for other numbers of entries and servers.
#[test]
fn brittle_servers_stay_up_before_any_number_of_entries() {
    for (entries, servers) in [(33, 3), (48, 9), (62, 6)] {
        let mut world = World::new(entries);
        while world.servers.len() > servers {
            world.remove_server();
        }
        while world.servers.len() < servers {
            world.add_server();
        }
        world.publish_servers();
        world.run(JOIN_MILLIS);
        let per_second = 1_300 * servers as u64 / SERVERS as u64;
        let outcome = simulate_in(world, entries, per_second, 6);
        assert!(
            outcome.crashes <= 2 + servers / 10,
            "{} crashes, {} answered, {entries} entries, {servers} servers",
            outcome.crashes,
            outcome.answered
        );
    }
}

/// Guards against servers that crash when callers move to entries that had none.
#[test]
fn brittle_servers_stay_up_when_callers_move_to_other_entries() {
    for entries in [8, 28] {
        let outcome = simulate_moving(World::new(entries), entries, 800, 6);
        assert_stays_up(&outcome, &format!("{entries} entries"));
    }
}

/// Plays requests to one half of the entries, then to the other, in turn.
fn simulate_moving(world: World, entries: usize, per_second: u64, limit: u32) -> Outcome {
    let half = entries / 2;
    simulate_at(world, per_second, limit, |now, sent| {
        let first = (now / 2_000 % 2) as usize * half;
        first + (sent * 7) % half
    })
}
