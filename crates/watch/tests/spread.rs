//! Many entries follow a list that few of them read, with message loss, network cuts and frozen entries.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use clock::Span;
use clock::Time;
use policy::rendezvous;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use store::revision::Revision;
use watch::configs::watch::Config;
use watch::list::List;
use watch::report::Echo;
use watch::report::Report;
use watch::server::Reading;
use watch::server::Removal;
use watch::server::Server;
use watch::server::Update;
use watch::watch::Extent;
use watch::watch::Role;
use watch::watch::Watch;

const STEP_MILLIS: u64 = 10;
const ZONES: usize = 5;
const HUBS: usize = 2;
const SERVERS: u64 = 60;
/// Time between two heartbeats of a server.
const HEARTBEAT_MILLIS: u64 = 1_200;
/// Time between two changes of the list.
const CHANGE_MILLIS: u64 = 300;
/// Time between two regular reports.
const REPORT_MILLIS: u64 = 500;
/// Most time that a message between two entries takes.
const MAX_LATENCY_MILLIS: u64 = 20;
/// Time from an entry's end or freeze until the others assign roles without it.
const DETECTION_MILLIS: u64 = 2_500;
/// Most time until every entry knows a change.
const MAX_AGE_MILLIS: u64 = 4_000;

/// A row of the table service.
struct Row {
    server: Option<Server>,
    revision: u64,
}

/// Entries, the list that they follow, and the faults in force.
struct World {
    now: u64,
    revision: u64,
    rows: BTreeMap<SmolStr, Row>,
    /// The list in the table service.
    truth: List,
    /// Latest time by digest of that list.
    history: BTreeMap<u64, u64>,
    entries: Vec<Watch>,
    next_read: Vec<u64>,
    /// Time of the list that each entry knows.
    known_as_of: Vec<u64>,
    /// Messages by arrival time.
    in_flight: BTreeMap<u64, Vec<(usize, usize, Report)>>,
    reads: u64,
    draws: u64,
    /// Messages lost per thousand.
    loss_per_mille: u64,
    /// Entries that can't reach the table service.
    cut_off: BTreeSet<usize>,
    /// Entries that do nothing, by the time of their freeze.
    frozen: BTreeMap<usize, u64>,
    /// Entries whose messages don't reach one in three others.
    one_way: BTreeSet<usize>,
}

impl World {
    fn new(entries: usize) -> World {
        let mut world = World {
            now: 0,
            revision: 0,
            rows: BTreeMap::new(),
            truth: List::default(),
            history: BTreeMap::new(),
            entries: (0..entries)
                .map(|entry| Watch::new(Config::default(), entry as u64))
                .collect(),
            next_read: vec![0; entries],
            known_as_of: vec![0; entries],
            in_flight: BTreeMap::new(),
            reads: 0,
            draws: 0,
            loss_per_mille: 0,
            cut_off: BTreeSet::new(),
            frozen: BTreeMap::new(),
            one_way: BTreeSet::new(),
        };
        for number in 0..SERVERS {
            world.write(number, false);
        }
        world
    }

    fn time(&self) -> Time {
        Time::from_millis(self.now)
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.draws += 1;
        rendezvous::weight(7, self.draws) % below
    }

    /// Writes a server's row.
    fn write(&mut self, number: u64, leaving: bool) {
        let id = format_smolstr!("s{number}");
        let server = Server {
            incarnation: format_smolstr!("s{number}@0"),
            id: id.clone(),
            service: SmolStr::new_static("drafts"),
            address: format_smolstr!("10.1.0.{number}:80"),
            zone: SmolStr::new_static("north"),
            version: SmolStr::default(),
            started_unix_ms: None,
            slots: 16,
            leaving,
            leaves_in: None,
            reclaimable: true,
            revision: self.revision + 1,
        };
        self.set(id, Some(server));
    }

    fn set(&mut self, id: SmolStr, server: Option<Server>) {
        self.revision += 1;
        let revision = self.revision;
        let (written, removed) = match &server {
            Some(server) => (vec![server.clone()], Vec::new()),
            None => (
                Vec::new(),
                vec![Removal {
                    id: id.clone(),
                    revision,
                }],
            ),
        };
        self.rows.insert(id, Row { server, revision });
        let update = Update::Changes { written, removed };
        self.truth.apply_reading(&Reading { revision, update });
        self.history.insert(self.truth.digest(), self.now);
    }

    /// Returns a list of this row alone.
    fn single_row(&self, id: &str) -> List {
        let row = &self.rows[id];
        let update = Update::All(row.server.clone().into_iter().collect());
        let mut list = List::default();
        list.apply_reading(&Reading {
            revision: self.revision,
            update,
        });
        list
    }

    /// Starts, drains or ends one server, by turns.
    fn change(&mut self, turn: u64) {
        let number = SERVERS + turn / 3;
        match turn % 3 {
            0 => self.write(number, false),
            1 => self.write(number, true),
            _ => self.set(format_smolstr!("s{number}"), None),
        }
    }

    fn send_heartbeats(&mut self) {
        for row in self.rows.values_mut().filter(|row| row.server.is_some()) {
            self.revision += 1;
            row.revision = self.revision;
            if let Some(server) = &mut row.server {
                server.revision = self.revision;
            }
        }
    }

    /// Entries that the others consider live, in order of rank.
    fn present(&self) -> Vec<usize> {
        let known = |entry: &usize| {
            let frozen = self.frozen.get(entry);
            frozen.is_none_or(|since| self.now < since + DETECTION_MILLIS)
        };
        (0..self.entries.len()).filter(known).collect()
    }

    fn hubs(&self) -> Vec<usize> {
        self.present().into_iter().take(HUBS).collect()
    }

    /// The hubs, then the first entry of each zone.
    fn readers(&self) -> Vec<usize> {
        let present = self.present();
        let first = |zone| present.iter().find(move |entry| **entry % ZONES == zone);
        let mut readers = self.hubs();
        let others: Vec<usize> = (0..ZONES).filter_map(first).copied().collect();
        readers.extend(
            others
                .into_iter()
                .filter(|entry| !present[..HUBS].contains(entry)),
        );
        readers
    }

    fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += STEP_MILLIS;
            if self.now.is_multiple_of(CHANGE_MILLIS) {
                self.change(self.now / CHANGE_MILLIS);
            }
            if self.now.is_multiple_of(HEARTBEAT_MILLIS) {
                self.send_heartbeats();
            }
            self.history.insert(self.truth.digest(), self.now);
            self.deliver();
            let (hubs, readers) = (self.hubs(), self.readers());
            for entry in 0..self.entries.len() {
                if !self.frozen.contains_key(&entry) {
                    self.step(entry, &hubs, &readers);
                }
            }
        }
    }

    fn step(&mut self, entry: usize, hubs: &[usize], readers: &[usize]) {
        let now = self.time();
        let rank = readers.iter().position(|reader| *reader == entry);
        let role = rank.map_or(Role::Follower, |rank| Role::Reader { rank });
        let pause = self.entries[entry].read_interval(now, role);
        if let Some(pause) = pause.filter(|_| self.now >= self.next_read[entry]) {
            self.next_read[entry] = self.now + pause.as_millis();
            self.read(entry);
        }
        let hub = hubs.contains(&entry);
        let regular = (self.now + entry as u64 * STEP_MILLIS).is_multiple_of(REPORT_MILLIS)
            && (hub || self.entries[entry].has_read());
        if !regular && !self.entries[entry].is_report_due(now) {
            return;
        }
        let extent = match regular {
            true => Extent::Recent,
            false => Extent::New,
        };
        let Some(report) = self.entries[entry].report(now, Span::ZERO, extent) else {
            return;
        };
        match hub {
            true => (0..self.entries.len()).for_each(|to| self.send(entry, to, &report)),
            false => hubs.iter().for_each(|to| self.send(entry, *to, &report)),
        }
    }

    fn read(&mut self, entry: usize) {
        self.reads += 1;
        if self.cut_off.contains(&entry) {
            return;
        }
        let rows = self.rows.iter();
        let reading = match self.entries[entry].position() {
            None => Reading {
                revision: self.revision,
                update: Update::All(rows.filter_map(|(_, row)| row.server.clone()).collect()),
            },
            Some(position) => {
                let (mut written, mut removed) = (Vec::new(), Vec::new());
                for (id, row) in rows.filter(|(_, row)| row.revision > position.revision) {
                    match &row.server {
                        Some(server) => written.push(server.clone()),
                        None => removed.push(Removal {
                            id: id.clone(),
                            revision: row.revision,
                        }),
                    }
                }
                Reading {
                    revision: self.revision,
                    update: Update::Changes { written, removed },
                }
            }
        };
        let now = self.time();
        self.entries[entry].apply_reading(now, now, &reading);
    }

    fn send(&mut self, from: usize, to: usize, report: &Report) {
        let one_way = self.one_way.contains(&from) && to % 3 == 2;
        if from == to || one_way || self.draw(1_000) < self.loss_per_mille {
            return;
        }
        let at = self.now + 1 + self.draw(MAX_LATENCY_MILLIS);
        // The last message of the receiver has just arrived.
        let echo = Echo {
            to: to as u64,
            sent_at_ms: self.now,
            held_ms: 0,
        };
        let report = Report {
            echo: Some(echo),
            ..report.clone()
        };
        let message = (from, to, report);
        self.in_flight.entry(at).or_default().push(message);
    }

    fn deliver(&mut self) {
        let later = self.in_flight.split_off(&(self.now + 1));
        let due = std::mem::replace(&mut self.in_flight, later);
        let hubs = self.hubs();
        for (from, to, report) in due.into_values().flatten() {
            if !self.frozen.contains_key(&to) {
                let passes_on = hubs.contains(&to) && !hubs.contains(&from);
                let now = self.time();
                let written_after = report.echo.map(|echo| echo.written_after());
                self.entries[to].receive(now, &report, written_after, passes_on);
            }
        }
        for entry in 0..self.entries.len() {
            let digest = self.entries[entry].digest();
            if let Some(at) = self.history.get(&digest) {
                self.known_as_of[entry] = self.known_as_of[entry].max(*at);
            }
        }
    }

    /// Runs and asserts that no entry's list is too old, except at entries that are frozen or cut off.
    fn assert_known(&mut self, millis: u64, case: &str) {
        let end = self.now + millis;
        while self.now < end {
            self.run(100);
            for entry in 0..self.entries.len() {
                let age = self.now - self.known_as_of[entry];
                let excused = self.frozen.contains_key(&entry) || self.cut_off.contains(&entry);
                assert!(
                    excused || age <= MAX_AGE_MILLIS,
                    "{case}: entry {entry} of {} knows the list of {age} ms ago",
                    self.entries.len()
                );
            }
        }
    }
}

const SIZES: [usize; 3] = [30, 300, 840];

/// Each entry read the list itself, and calls of the table service grew with entries times changes.
#[test]
fn reads_do_not_grow_with_the_entries() {
    for entries in SIZES {
        let mut world = World::new(entries);
        world.run(5_000);
        let before = world.reads;
        world.assert_known(20_000, "calm");
        let reads = world.reads - before;
        assert!(reads <= 20 * 4, "{entries} entries: {reads} reads in 20 s");
    }
}

/// A tenth of all messages is lost: an entry that misses a change must detect it and read the list.
#[test]
fn lost_messages_are_made_up_for() {
    for entries in SIZES {
        let mut world = World::new(entries);
        world.run(5_000);
        world.loss_per_mille = 100;
        world.assert_known(15_000, "a tenth lost");
    }
}

/// No reader reaches the table service: the entries that do must not wait for them.
#[test]
fn readers_without_the_table_service_are_replaced() {
    for entries in SIZES {
        let mut world = World::new(entries);
        world.run(5_000);
        world.cut_off = world.readers().into_iter().collect();
        world.assert_known(10_000, "readers without the table service");
    }
}

/// Both hubs freeze, and the others replace them only after some seconds.
#[test]
fn frozen_hubs_are_replaced_in_time() {
    for entries in SIZES {
        let mut world = World::new(entries);
        world.run(5_000);
        let since = world.now;
        world.frozen = world.hubs().into_iter().map(|hub| (hub, since)).collect();
        world.assert_known(6_000, "hubs frozen");
        // The hubs resume with an old list and still act as hubs: no entry may adopt that list.
        world.frozen.clear();
        world.assert_known(6_000, "hubs awake");
    }
}

/// Both hubs' messages reach only two thirds of the others, while all messages to the hubs arrive.
#[test]
fn a_one_way_cut_is_detected() {
    for entries in SIZES {
        let mut world = World::new(entries);
        world.run(5_000);
        world.one_way = world.hubs().into_iter().collect();
        world.assert_known(10_000, "hubs cut off one way");
    }
}

/// A row was written and ended between two reads, so one answer contains both. The end was dropped, the
/// row was reported as new, and requests went to a server that had left.
#[test]
fn a_row_that_was_written_and_ended_is_gone() {
    let mut world = World::new(3);
    world.read(0);
    world.write(900, false);
    let written = world.rows["s900"].server.clone().into_iter().collect();
    let ended = Removal {
        id: SmolStr::new_static("s900"),
        revision: world.revision + 1,
    };
    let reading = Reading {
        revision: world.revision + 5,
        update: Update::Changes {
            written,
            removed: vec![ended],
        },
    };
    let before = world.entries[0].digest();
    let now = world.time();
    world.entries[0].apply_reading(now, now, &reading);
    assert_eq!(world.entries[0].digest(), before);
    let report = world.entries[0]
        .report(now, Span::ZERO, Extent::Recent)
        .expect("a report");
    assert_eq!(report.changes, []);
}

/// The reader lost an answer and can't tell whether a missing row belongs to a live server. A standby has
/// followed the list all along and must read, or all entries would keep servers that left.
#[test]
fn a_standby_reads_while_the_reader_is_unsure() {
    let mut world = World::new(3);
    world.run(1_000);
    let now = world.time();
    let lapsed = Span::from_millis(2_500);
    let unsure = world.entries[0]
        .report(now, lapsed, Extent::Recent)
        .expect("a report");
    let certain = world.entries[0]
        .report(now, Span::ZERO, Extent::Recent)
        .expect("a report");
    let standby = Role::Reader { rank: 1 };
    world.entries[1].receive(now, &certain, None, true);
    let soon = now + Config::default().reader_interval;
    assert_eq!(world.entries[1].read_interval(soon, standby), None);
    world.entries[1].receive(now, &unsure, None, true);
    assert!(world.entries[1].read_interval(soon, standby).is_some());
}

/// A report that a server started arrives after the receiver has read that it ended, and must not revive
/// it.
#[test]
fn an_older_report_revives_no_server() {
    let mut world = World::new(3);
    world.write(900, false);
    world.read(0);
    world.read(1);
    world.write(901, false);
    world.read(0);
    let late = world.entries[0]
        .report(Time::ZERO, Span::ZERO, Extent::Recent)
        .expect("a report");
    world.set(SmolStr::new_static("s901"), None);
    world.read(1);
    let learned = world.entries[1].receive(Time::ZERO, &late, None, false);
    assert_eq!(learned.written, []);
    assert_eq!(learned.position, None);
    assert_eq!(world.entries[1].digest(), world.truth.digest());
}

/// One answer contained a row twice, as ready and as leaving. The leave was dropped as no newer than the
/// other state, and all entries sent requests to the server until its row ended.
#[test]
fn a_leave_is_kept_beside_its_older_row() {
    let mut world = World::new(3);
    world.read(0);
    world.write(900, false);
    let ready = world.rows["s900"].server.clone().expect("a row");
    world.write(900, true);
    let leaving = world.rows["s900"].server.clone().expect("a row");
    for written in [vec![ready.clone(), leaving.clone()], vec![leaving, ready]] {
        let mut entry = World::new(1).entries.remove(0);
        let reading = Reading {
            revision: world.revision + 5,
            update: Update::Changes {
                written,
                removed: Vec::new(),
            },
        };
        entry.apply_reading(world.time(), world.time(), &reading);
        assert_eq!(entry.digest(), world.single_row("s900").digest());
    }
}

/// The table service was restored from a backup some seconds old: a server that had ended since received
/// requests again, and one that had started since was dropped.
#[test]
fn a_restored_list_revives_no_server() {
    let mut world = World::new(1);
    world.write(900, false);
    world.write(901, false);
    world.write(902, false);
    let backup: Vec<Server> = ["s900", "s901", "s902"]
        .iter()
        .filter_map(|id| world.rows[*id].server.clone())
        .collect();
    world.write(903, false);
    world.write(902, true);
    world.read(0);
    world.set(SmolStr::new_static("s901"), None);
    world.read(0);
    let before = world.entries[0].digest();
    let restored = |number| Revision { era: 1, number }.packed();
    let reading = Reading {
        revision: restored(3),
        update: Update::All(backup.clone()),
    };
    let now = world.time();
    world.entries[0].apply_reading(now, now, &reading);
    assert_eq!(world.entries[0].digest(), before);

    // The server rewrites its row, at a revision number that was used before the restore.
    let back = Server {
        revision: restored(4),
        ..backup[1].clone()
    };
    let reading = Reading {
        revision: restored(4),
        update: Update::Changes {
            written: vec![back],
            removed: Vec::new(),
        },
    };
    let applied = world.entries[0].apply_reading(now, now, &reading);
    assert_eq!(applied.update, reading.update);
    // The next full reading removes rows that nobody rewrote.
    let reading = Reading {
        revision: restored(9),
        update: Update::All(Vec::new()),
    };
    world.entries[0].apply_reading(now, now, &reading);
    assert_eq!(world.entries[0].digest(), List::default().digest());
}

/// Sixty servers that started within a second were in up to seven reports each, which exceeds a narrow
/// link.
#[test]
fn each_change_is_reported_at_once_only_once() {
    let mut world = World::new(3);
    world.read(0);
    let mut reported = Vec::new();
    for server in 0..60 {
        world.now += 2 * STEP_MILLIS;
        world.write(900 + server, false);
        world.read(0);
        let now = world.time();
        if world.entries[0].is_report_due(now) {
            let report = world.entries[0].report(now, Span::ZERO, Extent::New);
            reported.extend(report.expect("a report").changes);
        }
    }
    world.now += REPORT_MILLIS;
    let now = world.time();
    let rest = world.entries[0].report(now, Span::ZERO, Extent::New);
    reported.extend(rest.expect("a report").changes);
    let servers: BTreeSet<&SmolStr> = reported.iter().map(|change| &change.id).collect();
    assert_eq!((servers.len(), reported.len()), (60, 60));
    let regular = world.entries[0].report(now, Span::ZERO, Extent::Recent);
    assert!(regular.expect("a report").changes.len() >= 8);
}

/// Guards against a list that counts as current since an answer was processed late, or since a report took long.
#[test]
fn a_list_is_as_old_as_the_request_for_it_and_the_time_on_its_way() {
    let at = Time::from_millis;
    let mut reader = Watch::new(Config::default(), 1);
    let mut follower = Watch::new(Config::default(), 2);
    let reading = Reading {
        revision: 1,
        update: Update::All(Vec::new()),
    };
    follower.apply_reading(at(1_000), at(900), &reading);
    // The answer to a read that began at 6.0 s was left unread until 10.0 s.
    reader.apply_reading(at(10_000), at(6_000), &reading);
    let report = reader.report(at(10_100), Span::ZERO, Extent::Recent);
    let report = report.expect("a report");
    assert_eq!(report.certain_age_ms, Some(4_100));
    // Nothing shows when it was written.
    follower.receive(at(10_200), &report, None, false);
    assert_eq!(certain_as_of(&follower), at(900));
    // The reader had had a message of 7.5 s by the follower's clock for half a second when it wrote.
    let echo = Echo {
        to: 2,
        sent_at_ms: 7_500,
        held_ms: 500,
    };
    follower.receive(at(10_200), &report, Some(echo.written_after()), false);
    assert_eq!(certain_as_of(&follower), at(3_900));
}

fn certain_as_of(watch: &Watch) -> Time {
    watch.position().expect("a position").certain_as_of
}

/// Guards against a follower whose list proves nothing for as long as reports don't say when they were written.
#[test]
fn a_follower_reads_the_list_where_reports_leave_its_age_open() {
    let config = Config::default();
    let at = Time::from_millis;
    let mut follower = Watch::new(config, 2);
    let reading = Reading {
        revision: 1,
        update: Update::All(Vec::new()),
    };
    follower.apply_reading(at(1_000), at(1_000), &reading);
    let mut sender = Watch::new(config, 1);
    let mut reads = 0;
    for millis in (1_000..40_000).step_by(100) {
        sender.apply_reading(at(millis), at(millis), &reading);
        let report = sender.report(at(millis), Span::ZERO, Extent::Recent);
        let report = report.expect("a report");
        follower.receive(at(millis), &report, None, false);
        if follower.read_interval(at(millis), Role::Follower).is_some() {
            follower.apply_reading(at(millis), at(millis), &reading);
            reads += 1;
        }
    }
    assert_eq!(reads, 3);
}
