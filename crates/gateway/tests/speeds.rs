//! Relative speeds of servers at all entries.

mod support;

use std::collections::BTreeMap;

use gateway::arrival::Part;
use gateway::arrival::Prompt;
use gateway::attempt::End;
use gateway::attempt::Report;
use policy::rendezvous;
use smol_str::SmolStr;
use support::SentRequest;
use support::World;

/// Entries that exchange counts directly, and with hubs.
const DIRECT: usize = 8;
const WITH_HUBS: usize = 24;
/// Time in which entries learn of each other and, if there are many, choose hubs.
const JOIN_MS: u64 = 6_000;
/// Time of a call at a server of the median speed.
const CALL_MS: f64 = 100.0;
/// Calls that all entries together send each second.
const CALLS_PER_SECOND: u64 = 50;
/// Answers of a server after which its speed is known everywhere within [`KNOWN_WITHIN_MS`].
const ANSWERS: u32 = 20;
const KNOWN_WITHIN_MS: u64 = 2_000;

/// Servers of three speeds and calls to them.
struct Load {
    world: World,
    /// Speeds of servers that differ from those by their number.
    speeds: BTreeMap<SmolStr, f64>,
    /// Calls by the time of their end.
    open: Vec<(u64, SentRequest)>,
    seen: usize,
    next_call: u64,
    calls: u64,
    /// Answers of each server, and when it gave the 20th.
    answers: BTreeMap<SmolStr, u32>,
    known_at: BTreeMap<SmolStr, u64>,
    killed: Vec<usize>,
}

impl Load {
    fn new(entries: usize) -> Load {
        let mut world = World::unlimited(entries);
        world.run(JOIN_MS);
        Load {
            seen: world.sent_requests.len(),
            next_call: world.now,
            world,
            speeds: BTreeMap::new(),
            open: Vec::new(),
            calls: 0,
            answers: BTreeMap::new(),
            known_at: BTreeMap::new(),
            killed: Vec::new(),
        }
    }

    /// Returns the speed of a server: the median one of three types, one faster and one slower.
    fn speed(&self, server: &str) -> f64 {
        let number = server.as_bytes().get(1).copied().map_or(0, usize::from);
        let usual = [1.0, 1.6, 0.6][number % 3];
        self.speeds.get(server).copied().unwrap_or(usual)
    }

    /// Returns the time that a server takes for a call; it differs by up to a fifth between calls.
    fn call_ms(&self, sent: &SentRequest) -> u64 {
        let drawn = rendezvous::weight(1, sent.serial) as f64 / u64::MAX as f64;
        let noise = 0.8 + 0.4 * drawn;
        (CALL_MS * noise / self.speed(&sent.server)) as u64
    }

    /// Sends calls and answers them; `check` runs after each step.
    fn run(&mut self, millis: u64, mut check: impl FnMut(&Load)) {
        let end = self.world.now + millis;
        while self.world.now < end {
            while self.next_call <= self.world.now {
                let entry = self.calls as usize % self.world.entry_count();
                self.calls += 1;
                self.next_call += 1_000 / CALLS_PER_SECOND;
                if !self.killed.contains(&entry) {
                    self.world.request(entry);
                }
            }
            for sent in self.world.sent_requests[self.seen..].iter().cloned() {
                self.open.push((self.world.now + self.call_ms(&sent), sent));
            }
            self.seen = self.world.sent_requests.len();
            self.world.run(10);
            let now = self.world.now;
            let (done, open) = self.open.drain(..).partition(|(end, _)| *end <= now);
            self.open = open;
            for (_, sent) in done {
                self.answer(&sent);
            }
            check(self);
        }
    }

    fn answer(&mut self, sent: &SentRequest) {
        if self.killed.contains(&sent.entry) {
            return;
        }
        let end = End::Finished {
            status: 200,
            tokens: 0,
            pause: clock::Span::ZERO,
        };
        self.world.end_attempt(sent, end);
        let count = self.answers.entry(sent.server.clone()).or_default();
        *count += 1;
        if *count == ANSWERS {
            self.known_at.insert(sent.server.clone(), self.world.now);
        }
    }

    fn speed_at(&self, entry: usize, server: &str) -> f64 {
        self.world.relative_speed(entry, server).unwrap_or(f64::NAN)
    }

    fn assert_known(&self, server: &str) {
        for entry in 0..self.world.entry_count() {
            if !self.killed.contains(&entry) {
                let (known, speed) = (self.speed_at(entry, server), self.speed(server));
                let ratio = known / speed;
                assert!(
                    (0.85..=1.15).contains(&ratio),
                    "entry {entry}, {server} at {}: {known:.2} for {speed}",
                    self.world.now,
                );
            }
        }
    }

    /// Checks every server that gave its 20th answer long enough ago.
    fn assert_known_in_time(&self) {
        for (server, at) in &self.known_at {
            if self.world.now >= at + KNOWN_WITHIN_MS {
                self.assert_known(server);
            }
        }
    }

    fn kill(&mut self, entry: usize) {
        self.world.kill(entry);
        self.killed.push(entry);
        self.open.retain(|(_, sent)| sent.entry != entry);
    }

    fn restart(&mut self, entry: usize) {
        self.world.start(entry);
        self.killed.retain(|killed| *killed != entry);
    }

    /// Returns the entries that sent sums in the last second.
    fn hubs(&mut self) -> Vec<usize> {
        let before = self.world.sums_sent.clone();
        self.run(1_000, |_| {});
        let sent = |entry: &usize| {
            let count = |sums: &BTreeMap<usize, u32>| sums.get(entry).copied().unwrap_or(0);
            count(&self.world.sums_sent) > count(&before)
        };
        (0..self.world.entry_count()).filter(sent).collect()
    }
}

#[test]
fn every_entry_knows_each_speed_within_2_s_of_the_20th_answer() {
    // Each of 24 entries got an answer of a server every three seconds: none knew which servers are slow, and a
    // third of the servers was overloaded at half of the capacity.
    for entries in [DIRECT, WITH_HUBS] {
        let mut load = Load::new(entries);
        load.run(12_000, Load::assert_known_in_time);
        assert_eq!(load.known_at.len(), 6, "{entries} entries");
        assert!(load.world.log_count("replica_speeds") as usize >= 4 * entries);
        let status = load.world.status(0);
        assert_eq!((status.slow, status.median, status.fast), (2, 2, 2));
        assert!(status.speeds_age_ms <= 2_500, "{}", status.speeds_age_ms);
    }
}

#[test]
fn speeds_stay_known_when_a_hub_ends() {
    // Guards against speeds that are lost, or kept from an earlier hub, when an entry follows another one.
    let mut load = Load::new(WITH_HUBS);
    load.run(10_000, |_| {});
    for _ in 0..2 {
        let hubs = load.hubs();
        assert_eq!(hubs.len(), 2, "{hubs:?}");
        load.kill(hubs[0]);
        load.run(15_000, Load::assert_known_in_time);
    }
}

#[test]
fn speeds_stay_known_when_both_hubs_end() {
    // A new hub has merged hardly any samples: its first sums would call all servers equally fast.
    let mut load = Load::new(WITH_HUBS);
    load.run(10_000, |_| {});
    for hub in load.hubs() {
        load.kill(hub);
    }
    load.run(15_000, Load::assert_known_in_time);
    assert_eq!(load.hubs().len(), 2);
}

#[test]
fn a_restarted_entry_learns_the_speeds() {
    // With hubs it takes the speeds from the next sum with them, else it needs 20 new answers of each server, here
    // 2.5 s. It first has to learn of the others.
    for (entries, millis) in [(DIRECT, 5_000), (WITH_HUBS, 6_000)] {
        let mut load = Load::new(entries);
        load.run(10_000, |_| {});
        let restarted = entries - 1;
        load.kill(restarted);
        load.run(500, |_| {});
        load.restart(restarted);
        load.run(10, |_| {});
        for server in ["s0#1", "s1#1", "s2#1"] {
            assert_eq!(load.speed_at(restarted, server), 1.0);
        }
        load.run(millis, |_| {});
        load.run(5_000, Load::assert_known_in_time);
    }
}

#[test]
fn a_new_incarnation_starts_at_the_median() {
    // Guards against a server that returns on a faster instance and keeps the speed of the slow one.
    for entries in [DIRECT, WITH_HUBS] {
        let mut load = Load::new(entries);
        load.run(10_000, |_| {});
        let before = SmolStr::new_static("s2#1");
        let slow = load.speed_at(0, &before);
        assert!(slow < 0.75, "{slow}");
        let after = SmolStr::new_static("s2#2");
        for server in &mut load.world.servers {
            if server.incarnation == before {
                server.incarnation = after.clone();
            }
        }
        load.speeds.insert(after.clone(), 1.6);
        load.world.publish_servers();
        for entry in 0..entries {
            assert_eq!(load.speed_at(entry, &after), 1.0);
        }
        load.run(10_000, |load| {
            for entry in 0..entries {
                let speed = load.speed_at(entry, &after);
                assert!(speed >= 1.0, "entry {entry}: {speed}");
            }
            if let Some(at) = load.known_at.get(&after)
                && load.world.now >= at + KNOWN_WITHIN_MS
            {
                for entry in 0..entries {
                    assert!(load.speed_at(entry, &after) > 1.15, "entry {entry}");
                }
            }
        });
        assert!(load.known_at.contains_key(&after));
    }
}

#[test]
fn prompt_speeds_are_those_of_a_median_replica() {
    // The fleet was planned for the speed of the fastest answers: with uneven replicas too few were ordered.
    const TOKENS: u32 = 2_000;
    const MILLIS: f64 = 200.0;
    // Time to the first token that isn't spent on the prompt.
    const OVERHEAD: f64 = 8.0;
    let mut load = Load::new(DIRECT);
    load.run(10_000, |_| {});
    let mut servers = BTreeMap::new();
    for id in 0..100 {
        // A part of its own, so that the prompts go to all servers.
        let own = Part { id, tokens: TOKENS };
        let prompt = Prompt {
            tokens: TOKENS,
            max_new_tokens: 1,
            parts: vec![own],
            ..Prompt::default()
        };
        let serial = load.world.ask(0, "/drafts/1", prompt);
        let server = load.world.servers_by_request[&serial].clone();
        let took = (MILLIS + OVERHEAD) / load.speed(&server);
        *servers.entry(server).or_insert(0) += 1;
        load.world.run(took as u64);
        load.world.report(0, serial, Report::ResponseStarted);
        let end = End::Finished {
            status: 200,
            tokens: 1,
            pause: clock::Span::ZERO,
        };
        load.world.report(0, serial, Report::Ended(end));
    }
    load.world.run(1_000);
    assert!(servers.len() >= 4, "{servers:?}");
    let work = &load.world.counts_sent[&0].work;
    let known = work[support::SERVICE].speed;
    let expected = f64::from(TOKENS) / MILLIS;
    assert!(
        (0.85..=1.15).contains(&(known / expected)),
        "{known} for {expected}"
    );
}
