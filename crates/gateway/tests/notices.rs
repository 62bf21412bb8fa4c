//! Servers that announce their leave in answers, or turn requests away and ask for a pause.

mod support;

use std::collections::BTreeMap;

use clock::Span;
use gateway::notice::Notice;
use smol_str::SmolStr;
use support::SentRequest;
use support::World;

const LEAVING: Notice = Notice {
    leaving: true,
    pause: None,
};
/// Pause that servers ask for.
const PAUSE: Span = Span::from_millis(3_000);
/// Time after a refusal within which requests may still reach its server, in milliseconds.
const REACTION_MILLIS: u64 = 500;
/// Most requests from one entry in the rest of a pause.
const MAX_DURING_PAUSE: usize = 2;
/// Time from the start of a request until its answer.
const ANSWER_MILLIS: u64 = 120;
/// Time from the start of a request until a server turns it away.
const REFUSAL_MILLIS: u64 = 3;
const STEP_MILLIS: u64 = 10;

#[test]
fn a_leave_announced_in_an_answer_stops_requests_while_the_table_service_is_away() {
    // Entries learned of a leave only from the server's row, which waited 13 s for the table service.
    let mut world = World::new(2);
    world.run(3_000);
    world.store_unresponsive = true;
    world.fail_list(0);
    world.fail_list(1);
    let server = world.servers[0].clone();
    assert!(world.count_requests_to(0, &server, 500) > 0);

    world.notify(0, &server.incarnation, LEAVING);
    assert_eq!(world.count_requests_to(0, &server, 3_000), 0);
}

#[test]
fn a_leave_announced_to_one_entry_stops_requests_from_all() {
    let mut world = World::new(8);
    world.run(3_000);
    world.store_unresponsive = true;
    let server = world.servers[0].clone();
    world.notify(3, &server.incarnation, LEAVING);
    world.run(300);

    for entry in 0..8 {
        assert_eq!(world.count_requests_to(entry, &server, 500), 0, "{entry}");
    }
}

#[test]
fn a_row_from_before_the_announcement_brings_no_server_back() {
    let mut world = World::new(1);
    world.run(3_000);
    let server = world.servers[0].clone();
    world.notify(0, &server.incarnation, LEAVING);
    world.publish_servers();

    assert_eq!(world.count_requests_to(0, &server, 1_000), 0);
}

#[test]
fn an_announced_leave_does_not_concern_the_next_incarnation() {
    // A server restarted under its id is as good as a new one.
    let mut world = World::new(1);
    world.run(3_000);
    let former = world.servers[0].clone();
    world.notify(0, &former.incarnation, LEAVING);
    world.servers[0].incarnation = SmolStr::new_static("s0#2");
    world.publish_servers();

    let server = world.servers[0].clone();
    assert!(world.count_requests_to(0, &server, 1_000) > 0);
}

/// A simulation in which some servers turn all requests away for a while and ask for pauses.
struct Run {
    entries: usize,
    /// Requests per second, over all entries.
    requests_per_second: u64,
    /// Number of servers that turn requests away.
    refusing: usize,
    /// Time from which they serve again, in milliseconds.
    recovery: u64,
    end: u64,
}

/// What a run recorded.
#[derive(Default)]
struct Record {
    sent: Vec<SentRequest>,
    /// Times of refusals by entry and server, in milliseconds.
    refusals: BTreeMap<(usize, SmolStr), Vec<u64>>,
    served: usize,
}

const REFUSAL_START_MILLIS: u64 = 4_000;

impl Run {
    fn simulate(&self) -> Record {
        let mut world = World::new(self.entries);
        let refusing: Vec<SmolStr> = world.servers[..self.refusing]
            .iter()
            .map(|server| server.incarnation.clone())
            .collect();
        let mut record = Record::default();
        let mut due: Vec<(u64, SentRequest)> = Vec::new();
        let mut asked = 0;
        while world.now < self.end {
            world.run(STEP_MILLIS);
            while asked < self.requests_per_second * world.now / 1_000 {
                asked += 1;
                world.request_public((asked as usize * 7) % self.entries);
            }
            for sent in std::mem::take(&mut world.sent_requests) {
                let refuses = refusing.contains(&sent.server)
                    && (REFUSAL_START_MILLIS..self.recovery).contains(&sent.sent_at);
                let after = match refuses {
                    true => REFUSAL_MILLIS,
                    false => ANSWER_MILLIS,
                };
                record.sent.push(sent.clone());
                due.push((sent.sent_at + after, sent));
            }
            let (now, later) = due.into_iter().partition(|(at, _)| *at <= world.now);
            due = later;
            let now: Vec<(u64, SentRequest)> = now;
            for (at, sent) in now {
                if at - sent.sent_at == ANSWER_MILLIS {
                    record.served += 1;
                    world.answer_sent(&sent);
                    continue;
                }
                let key = (sent.entry, sent.server.clone());
                record.refusals.entry(key).or_default().push(world.now);
                world.turn_away(&sent, PAUSE);
            }
        }
        record
    }
}

impl Record {
    /// Returns the most requests of one entry in the part of a pause that must be respected.
    fn max_during_pause(&self) -> usize {
        let pauses = self
            .refusals
            .iter()
            .flat_map(|(key, times)| times.iter().map(move |at| (key, *at)));
        let counts = pauses.map(|((entry, server), refused_at)| {
            let within = refused_at + REACTION_MILLIS..refused_at + PAUSE.as_millis();
            let sent = self.sent.iter();
            sent.filter(|sent| sent.entry == *entry && sent.server == *server)
                .filter(|sent| within.contains(&sent.sent_at))
                .count()
        });
        counts.max().unwrap_or(0)
    }
}

#[test]
fn a_server_that_asks_for_a_pause_gets_nothing_from_that_entry_until_its_end() {
    // A server that turned requests away was chosen like any other: each entry sent it one every half
    // second, and all were turned away again.
    for (entries, refusing) in [(1, 1), (8, 2), (8, 5), (24, 5)] {
        let run = Run {
            entries,
            requests_per_second: 120,
            refusing,
            recovery: 14_000,
            end: 22_000,
        };
        let record = run.simulate();
        let max = record.max_during_pause();
        assert!(
            max <= MAX_DURING_PAUSE,
            "{max} of one entry, {refusing} of 6 servers, {entries} entries"
        );
    }
}

#[test]
fn a_pause_outlasts_a_lapse_of_the_servers_row() {
    let mut world = World::new(1);
    world.run(3_000);
    let server = world.servers[0].clone();
    world.notify(
        0,
        &server.incarnation,
        Notice {
            leaving: false,
            pause: Some(PAUSE),
        },
    );
    let listed = world.servers.remove(0);
    world.publish_servers();
    world.run(100);
    world.servers.push(listed);
    world.publish_servers();

    assert_eq!(world.count_requests_to(0, &server, 2_500), 0);
    world.run(500);
    assert!(world.count_requests_to(0, &server, 1_000) > 0);
}

#[test]
fn others_serve_what_servers_turn_away() {
    let run = Run {
        entries: 8,
        requests_per_second: 120,
        refusing: 4,
        recovery: 14_000,
        end: 16_000,
    };
    let record = run.simulate();
    let asked = run.requests_per_second as usize * (run.end as usize) / 1_000;
    assert!(
        record.served * 100 >= asked * 95,
        "{} of {asked}",
        record.served
    );
}

#[test]
fn a_server_gets_its_usual_share_after_its_pause() {
    let run = Run {
        entries: 8,
        requests_per_second: 120,
        refusing: 2,
        recovery: 10_000,
        end: 24_000,
    };
    let record = run.simulate();
    let servers: Vec<&SmolStr> = record.refusals.keys().map(|(_, server)| server).collect();
    let after = record.sent.iter().filter(|sent| sent.sent_at >= 16_000);
    let sent = after.filter(|sent| servers.contains(&&sent.server)).count();
    let expected = run.requests_per_second as usize * 8 * 2 / 6;
    assert!(sent * 2 >= expected, "{sent} of {expected}");
}
