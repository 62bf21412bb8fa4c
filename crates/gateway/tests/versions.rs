//! Streams under random faults, of which each may hold events of a single software version.

#![allow(clippy::unwrap_used)]

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use gateway::attempt::End;
use gateway::attempt::Report;
use gateway::event::Source;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use support::World;
use support::slow_store::Faults;
use support::slow_store::SlowStore;
use watch::server::Server;

/// Time between two steps of callers, servers and faults.
const STEP_MS: u64 = 20;
/// Mean time between two new streams.
const STREAM_INTERVAL_MS: u64 = 60;
/// Mean time between two faults.
const FAULT_INTERVAL_MS: u64 = 1_500;
/// Longest usual time before a caller returns.
const RETURN_DELAY_MS: u64 = 1_500;
/// Times that a caller takes its stream up.
const MAX_RETURNS: u32 = 3;
/// Time for which a server that leaves serves on.
const DRAIN_MS: u64 = 4_000;
const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];

/// A server as it is, whatever its row says.
#[derive(Clone, Debug)]
struct Backend {
    row: Server,
    is_up: bool,
}

/// A change to come.
#[derive(Clone, Debug)]
enum Change {
    /// A server's row is written.
    Write(Server),
    /// A server's row is removed.
    Remove(SmolStr),
    /// A server's process starts; its row follows.
    Start(Server),
    /// A server's process ends.
    Stop(SmolStr),
    /// An entry reaches the table service again.
    Reach { entry: usize },
    /// An entry starts.
    Run { entry: usize },
    /// The table service answers again.
    Answer,
    /// An entry exchanges messages again.
    Exchange { entry: usize },
    /// A paused entry goes on.
    Thaw { entry: usize },
    /// Messages to an entry are in time again.
    Hurry { entry: usize },
    /// Calls of the table service no longer fail.
    Sound,
    /// The table service comes back from a copy.
    Restore,
    /// All entries go on after a moment.
    Resume,
    /// All entries stand still for a moment; more of these follow.
    Stall { more: u64 },
    /// An entry gets a version of the configuration.
    Configure { entry: usize, version: u64 },
}

/// A stream of a caller.
#[derive(Clone, Debug)]
struct Stream {
    /// Number of the request that began it.
    serial: u64,
    begun_at: u64,
    /// Service and version of its first event, with the request that brought it.
    origin: Option<((SmolStr, SmolStr), u64)>,
    returns: u32,
}

/// A request under way.
#[derive(Clone, Debug)]
struct Open {
    entry: usize,
    stream: usize,
    /// Attempts seen so far.
    attempt: u32,
    /// When something happens to the attempt.
    acts_at: u64,
    has_begun: bool,
}

/// A play of faults.
struct Play {
    world: World,
    random: Pcg64Mcg,
    backends: BTreeMap<SmolStr, Backend>,
    /// Changes by time and number.
    changes: BTreeMap<(u64, u64), Change>,
    /// Number of the last change, which also names servers.
    changed: u64,
    streams: Vec<Stream>,
    open: BTreeMap<u64, Open>,
    /// Callers that return: time and stream.
    returning: BTreeSet<(u64, usize)>,
    /// When each entry reads the list of servers next.
    next_read: BTreeMap<usize, u64>,
    /// Times until which lists don't reach entries.
    lists_held: BTreeMap<usize, u64>,
    /// The copy from which the table service is restored.
    copy: Option<store::fake::Table>,
    setup: Setup,
    /// Attempts that were looked at.
    seen: usize,
    /// Streams that held events of two versions.
    mixed: Vec<String>,
    /// First events of callers that returned.
    resumed: u32,
    /// What happened, for the log.
    history: Vec<String>,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
struct Setup {
    entries: usize,
    /// Time for which faults are played.
    play_ms: u64,
    /// Time within which callers return to a stream.
    returns_within_ms: u64,
    /// Share of the returns that come at any moment of this time, not soon.
    late_returns: f64,
    /// Servers come back in place at another version.
    replaced: bool,
    /// The table service is restored from a copy.
    restored: bool,
    /// All entries stand still for a moment, again and again.
    stalled: bool,
    /// Streams use a route to two services, whose shares change.
    reshared: bool,
    /// Largest difference of an entry's wall clock.
    clock_lead_ms: u64,
}

impl Setup {
    /// A minute of the usual faults.
    const fn usual(entries: usize) -> Setup {
        Setup {
            entries,
            play_ms: 60_000,
            returns_within_ms: 15_000,
            late_returns: 0.0,
            replaced: false,
            restored: false,
            stalled: false,
            reshared: false,
            clock_lead_ms: 0,
        }
    }

    /// Several times as long as anything about versions is remembered, with callers that return late.
    const fn long(entries: usize) -> Setup {
        Setup {
            play_ms: 240_000,
            returns_within_ms: 58_000,
            late_returns: 0.3,
            ..Setup::usual(entries)
        }
    }
}

impl Play {
    fn new(seed: u64, setup: Setup) -> Play {
        let mut world = match setup.reshared {
            true => World::shared(setup.entries).released(false),
            false => World::unlimited(setup.entries).released(false),
        };
        let unix_ms = world.unix_ms();
        for (number, server) in world.servers.iter_mut().enumerate() {
            if setup.reshared && number % 2 == 1 {
                server.service = support::OTHER_SERVICE.into();
            }
            server.started_unix_ms = Some(unix_ms - 20_000);
            server.incarnation = format_smolstr!("{}@{}", server.id, unix_ms - 20_000);
        }
        world.publish_servers();
        world.run_following(4_000);
        for server in &mut world.servers {
            server.revision = world.list_revision;
        }
        world.slow_store = Some(SlowStore::new(seed, 40));
        world.version_log = Some(Vec::new());
        let backends = world.servers.iter().map(|row| {
            let row = row.clone();
            (row.id.clone(), Backend { row, is_up: true })
        });
        Play {
            backends: backends.collect(),
            world,
            random: Pcg64Mcg::seed_from_u64(seed),
            changes: BTreeMap::new(),
            changed: 0,
            streams: Vec::new(),
            open: BTreeMap::new(),
            returning: BTreeSet::new(),
            next_read: BTreeMap::new(),
            lists_held: BTreeMap::new(),
            copy: None,
            setup,
            seen: 0,
            mixed: Vec::new(),
            resumed: 0,
            history: Vec::new(),
        }
    }

    fn run(&mut self) {
        let end = self.world.now + self.setup.play_ms;
        while self.world.now < end {
            self.world.run(STEP_MS);
            self.apply_changes();
            self.read_lists();
            if self.chance(STEP_MS as f64 / STREAM_INTERVAL_MS as f64) {
                self.begin();
            }
            self.return_callers();
            self.see_attempts();
            self.act();
            if self.chance(STEP_MS as f64 / FAULT_INTERVAL_MS as f64) {
                self.draw_fault();
            }
        }
    }

    fn chance(&mut self, share: f64) -> bool {
        self.random.random::<f64>() < share
    }

    fn between(&mut self, from: u64, to: u64) -> u64 {
        self.random.random_range(from..=to)
    }

    fn note(&mut self, text: String) {
        self.history.push(format!("{} {text}", self.world.now));
    }

    fn later(&mut self, millis: u64, change: Change) {
        self.changed += 1;
        self.changes
            .insert((self.world.now + millis, self.changed), change);
    }

    fn apply_changes(&mut self) {
        while let Some(((at, number), _)) = self.changes.first_key_value() {
            let (at, number) = (*at, *number);
            if at > self.world.now {
                return;
            }
            let change = self.changes.remove(&(at, number)).unwrap();
            self.apply(change);
        }
    }

    fn apply(&mut self, change: Change) {
        let is_store = matches!(change, Change::Write(_) | Change::Remove(_));
        if is_store && self.world.store_unresponsive {
            return self.later(500, change);
        }
        match change {
            Change::Write(mut row) => {
                self.world.list_revision += 1;
                row.revision = self.world.list_revision;
                self.note(format!(
                    "row {} {} leaving={}",
                    row.incarnation, row.version, row.leaving
                ));
                self.world.servers.retain(|one| one.id != row.id);
                self.world.servers.push(row);
            }
            Change::Remove(id) => {
                self.world.list_revision += 1;
                self.note(format!("row removed {id}"));
                self.world.servers.retain(|one| one.id != id);
            }
            Change::Start(mut row) => {
                let unix_ms = self.world.unix_ms();
                row.incarnation = format_smolstr!("{}@{unix_ms}", row.id);
                row.started_unix_ms = Some(unix_ms);
                let runs = self.backends.get(&row.id);
                if runs.is_some_and(|runs| runs.row.incarnation == row.incarnation) {
                    // Two processes of one server don't start at the same moment.
                    return self.later(STEP_MS, Change::Start(row));
                }
                self.note(format!("server starts {} {}", row.incarnation, row.version));
                let late_by = self.between(0, 1_200);
                self.later(late_by, Change::Write(row.clone()));
                let id = row.id.clone();
                self.backends.insert(id, Backend { row, is_up: true });
            }
            Change::Stop(id) => {
                self.note(format!("server ends {id}"));
                if let Some(backend) = self.backends.get_mut(&id) {
                    backend.is_up = false;
                }
            }
            Change::Reach { entry } => {
                self.world.store_partitioned.remove(&entry);
            }
            Change::Run { entry } => {
                let lead = self.between(0, self.setup.clock_lead_ms);
                self.world.restart_with_clock_ahead(entry, lead);
            }
            Change::Answer => self.world.store_unresponsive = false,
            Change::Exchange { entry } => {
                self.world.partitioned.remove(&entry);
            }
            Change::Hurry { entry } => {
                self.world.message_delays.remove(&entry);
            }
            Change::Thaw { entry } => self.world.thaw(entry),
            Change::Sound => self.set_store_faults(Faults::default()),
            Change::Resume => {
                for entry in 0..self.world.entry_count() {
                    self.world.thaw(entry);
                }
            }
            Change::Stall { more } => {
                let lasts = self.between(250, 470);
                self.world.frozen.extend(0..self.world.entry_count());
                self.later(lasts, Change::Resume);
                if let Some(more) = more.checked_sub(1) {
                    self.later(1_000, Change::Stall { more });
                }
            }
            Change::Configure { entry, version } => {
                if self.world.is_running(entry) && version == self.world.version {
                    self.world.configure(entry, version, Source::Store);
                }
            }
            Change::Restore => {
                if let Some(copy) = self.copy.take() {
                    self.note("store restored".into());
                    self.world.table.restore(&copy);
                }
            }
        }
    }

    fn set_store_faults(&mut self, faults: Faults) {
        self.world.slow_store.as_mut().unwrap().faults = faults;
    }

    fn read_lists(&mut self) {
        let all = 0..self.world.entry_count();
        // An entry reads from its start on, until it says otherwise.
        let reads = |entry: &usize| {
            let is_reached = !self.world.store_partitioned.contains(entry);
            is_reached && self.world.reads_list.get(entry) != Some(&false)
        };
        let readers: Vec<usize> = all.filter(reads).collect();
        for entry in readers {
            let held_until = self.lists_held.get(&entry).copied().unwrap_or(0);
            let due = self.next_read.get(&entry).copied().unwrap_or(0);
            let now = self.world.now;
            if now < due.max(held_until) || self.world.store_unresponsive {
                continue;
            }
            let (pause, age) = (self.between(50, 400), self.between(0, 50));
            self.next_read.insert(entry, now + pause);
            self.world.send_rows_requested(entry, age);
        }
    }

    fn running_entry(&mut self) -> Option<usize> {
        let count = self.world.entry_count();
        let entry = self.random.random_range(0..count);
        self.world.is_running(entry).then_some(entry)
    }

    fn begin(&mut self) {
        let Some(entry) = self.running_entry() else {
            return;
        };
        let serial = self.world.open_stream(entry);
        self.streams.push(Stream {
            serial,
            begun_at: self.world.now,
            origin: None,
            returns: 0,
        });
        self.track(serial, entry, self.streams.len() - 1);
    }

    fn track(&mut self, serial: u64, entry: usize, stream: usize) {
        let acts_at = self.world.now + 20_000;
        let open = Open {
            entry,
            stream,
            attempt: 0,
            acts_at,
            has_begun: false,
        };
        self.open.insert(serial, open);
    }

    fn return_callers(&mut self) {
        while let Some((at, stream)) = self.returning.first().copied() {
            if at > self.world.now {
                return;
            }
            self.returning.pop_first();
            let Some(entry) = self.running_entry() else {
                self.returning.insert((at + 100, stream));
                continue;
            };
            self.world.resume_stream(entry, self.streams[stream].serial);
            let serial = self.world.last_serial();
            self.track(serial, entry, stream);
        }
    }

    /// Lets the caller of a stream that has begun return.
    fn lose_caller(&mut self, stream: usize) {
        let longest = match self.setup.late_returns > 0.0 && self.chance(self.setup.late_returns) {
            true => self.setup.returns_within_ms,
            false => RETURN_DELAY_MS,
        };
        let delay = self.between(10, longest);
        let one = &mut self.streams[stream];
        one.returns += 1;
        let returns_at = self.world.now + delay;
        if one.origin.is_some()
            && one.returns <= MAX_RETURNS
            && returns_at < one.begun_at + self.setup.returns_within_ms
        {
            self.returning.insert((returns_at, stream));
        }
    }

    fn see_attempts(&mut self) {
        for number in self.seen..self.world.sent_requests.len() {
            let sent = self.world.sent_requests[number].clone();
            let delay = self.between(10, 300);
            let now = self.world.now;
            if let Some(open) = self.open.get_mut(&sent.serial) {
                open.attempt = sent.attempt;
                open.has_begun = false;
                open.acts_at = now + delay;
            }
        }
        self.seen = self.world.sent_requests.len();
        let refused: Vec<u64> = self
            .open
            .keys()
            .filter(|serial| {
                let id = format_smolstr!("r{serial}");
                self.world.refusals.contains_key(&id)
            })
            .copied()
            .collect();
        for serial in refused {
            let open = self.open.remove(&serial).unwrap();
            self.lose_caller(open.stream);
        }
    }

    fn act(&mut self) {
        let now = self.world.now;
        let due = self.open.iter().filter(|(_, open)| open.acts_at <= now);
        let due: Vec<u64> = due.map(|(serial, _)| *serial).collect();
        for serial in due {
            self.act_on(serial);
        }
    }

    fn act_on(&mut self, serial: u64) {
        let open = self.open[&serial].clone();
        let sent = self
            .world
            .sent_requests
            .iter()
            .rfind(|sent| sent.serial == serial);
        let Some(sent) = sent.cloned().filter(|_| open.attempt > 0) else {
            self.open.remove(&serial);
            self.world.disconnect_caller(open.entry, serial);
            return self.lose_caller(open.stream);
        };
        let id = sent.server.split('@').next().unwrap();
        let backend = self
            .backends
            .get(id)
            .cloned()
            .filter(|backend| backend.is_up);
        let is_listed = backend
            .as_ref()
            .is_some_and(|one| one.row.incarnation == sent.server);
        let delay = self.between(100, 2_500);
        let end = |play: &mut Play, end: End| {
            play.open.get_mut(&serial).unwrap().acts_at = play.world.now + 10_000;
            play.world.end_attempt(&sent, end);
        };
        if open.has_begun {
            // It ends, its server crashed, or its caller loses it.
            if !is_listed {
                return end(self, End::Broken { alive: false });
            }
            return match self.between(0, 3) {
                0 => {
                    self.open.remove(&serial);
                    self.world.report_on(
                        &sent,
                        Report::Ended(End::Finished {
                            status: 200,
                            tokens: 10,
                            pause: clock::Span::ZERO,
                        }),
                    );
                }
                1 => end(self, End::Broken { alive: true }),
                _ => {
                    self.open.remove(&serial);
                    self.world.disconnect_caller(open.entry, serial);
                    self.lose_caller(open.stream);
                }
            };
        }
        let Some(backend) = backend else {
            return end(self, End::NotSent);
        };
        if !is_listed && sent.bound_to_process {
            return end(self, End::Replaced);
        }
        if self.world.awaiting_record.contains(&serial) {
            let timeout = sent.record_timeout.unwrap_or_default().as_millis();
            if self.world.now > sent.sent_at + timeout {
                return end(self, End::Unrecorded);
            }
            self.open.get_mut(&serial).unwrap().acts_at = self.world.now + STEP_MS;
            return;
        }
        let origin = (backend.row.service, backend.row.version);
        let stream = &mut self.streams[open.stream];
        match &stream.origin {
            None => stream.origin = Some((origin, serial)),
            Some((first, by)) if *first != origin => {
                self.mixed.push(format!(
                    "{} entry-{} r{serial} goes on at {origin:?} ({}), the first by r{by} at {first:?}",
                    self.world.now, open.entry, sent.server,
                ));
            }
            Some(_) => self.resumed += 1,
        }
        self.world.report_on(&sent, Report::ResponseStarted);
        let open = self.open.get_mut(&serial).unwrap();
        open.has_begun = true;
        open.acts_at = self.world.now + delay;
    }

    fn some_entries(&mut self, share: f64) -> Vec<usize> {
        let all = 0..self.world.entry_count();
        all.filter(|_| self.random.random::<f64>() < share)
            .collect()
    }

    fn draw_fault(&mut self) {
        let share = [0.1, 0.3, 0.6][self.between(0, 2) as usize];
        let entries = self.some_entries(share);
        let lasts = self.between(500, 9_000);
        let last = if self.setup.stalled || self.setup.reshared {
            15
        } else {
            13
        };
        match self.between(0, last) {
            0 | 1 => {
                self.note(format!("store cut {entries:?} {lasts}"));
                for entry in entries {
                    self.world.store_partitioned.insert(entry);
                    if self.world.reads_list.get(&entry) != Some(&false)
                        && self.world.is_running(entry)
                    {
                        self.world.fail_list(entry);
                    }
                    self.later(lasts, Change::Reach { entry });
                }
            }
            2 => {
                self.note(format!("store silent {lasts}"));
                self.world.store_unresponsive = true;
                self.later(lasts / 2, Change::Answer);
            }
            3 => {
                let faults = Faults {
                    refused: [0.0, 0.5][self.between(0, 1) as usize],
                    unanswered: [0.0, 0.2][self.between(0, 1) as usize],
                    late: [0.0, 0.2][self.between(0, 1) as usize],
                };
                self.note(format!("store faults {faults:?} {lasts}"));
                self.set_store_faults(faults);
                self.later(lasts, Change::Sound);
            }
            4 | 5 => {
                self.note(format!("entries restart {entries:?}"));
                for entry in entries {
                    let down = self.between(0, 1) * self.between(10, 4_000);
                    self.end_entry(entry);
                    self.world.kill(entry);
                    self.later(down, Change::Run { entry });
                }
            }
            6 => {
                self.note(format!("entries cut off {entries:?} {lasts}"));
                for entry in entries {
                    self.world.partitioned.insert(entry);
                    self.later(lasts / 2, Change::Exchange { entry });
                }
            }
            7 => {
                let delay = self.between(100, 1_500);
                self.note(format!("messages late {entries:?} by {delay}"));
                for entry in entries {
                    self.world.message_delays.insert(entry, delay);
                    self.later(lasts, Change::Hurry { entry });
                }
            }
            8 => {
                self.note(format!("lists late {entries:?} {lasts}"));
                for entry in entries {
                    let until = self.world.now + lasts / 3;
                    self.lists_held.insert(entry, until);
                }
            }
            9 | 10 => self.release(),
            11 => self.crash(),
            12 => {
                self.note(format!("entries paused {entries:?} {lasts}"));
                for entry in entries {
                    self.world.frozen.insert(entry);
                    self.later(lasts, Change::Thaw { entry });
                }
            }
            14 if self.setup.stalled => {
                let more = self.between(1, 6);
                self.note(format!("all entries stall {more}"));
                self.later(0, Change::Stall { more });
            }
            15 if self.setup.reshared => self.reshare(),
            _ if self.setup.restored && self.copy.is_none() => {
                self.copy = Some(self.world.table.clone());
                let age = self.between(200, 3_000);
                self.later(age, Change::Restore);
            }
            _ => {}
        }
    }

    /// Changes the shares of two services, of which the entries learn at different times.
    fn reshare(&mut self) {
        const WEIGHTS: [f64; 3] = [0.05, 0.3, 0.6];
        let [one, other] = [0, 0].map(|_| WEIGHTS[self.between(0, 2) as usize]);
        self.note(format!("shares {one} {other}"));
        self.world.version += 1;
        self.world.weights = [one, other];
        let version = self.world.version;
        for entry in 0..self.world.entry_count() {
            let delay = self.between(0, 2_000);
            self.later(delay, Change::Configure { entry, version });
        }
    }

    /// Ends all requests at an entry.
    fn end_entry(&mut self, entry: usize) {
        let here = self.open.iter().filter(|(_, open)| open.entry == entry);
        let here: Vec<u64> = here.map(|(serial, _)| *serial).collect();
        for serial in here {
            let open = self.open.remove(&serial).unwrap();
            self.lose_caller(open.stream);
        }
    }

    /// Replaces some of the servers of one version by ones of another.
    fn release(&mut self) {
        let to = VERSIONS[self.between(0, 2) as usize];
        let share = [0.5, 1.0][self.between(0, 1) as usize];
        let others: Vec<SmolStr> = self
            .backends
            .values()
            .filter(|one| one.is_up && one.row.version != to)
            .map(|one| one.row.id.clone())
            .collect();
        self.note(format!("release of {to}: {share} of {}", others.len()));
        for (number, id) in others.into_iter().enumerate() {
            if !self.chance(share) {
                continue;
            }
            let pause = 500 * number as u64;
            let mut next = self.backends[&id].row.clone();
            next.version = to.into();
            next.leaving = false;
            if self.setup.replaced && self.chance(0.5) {
                let down = self.between(20, 1_500);
                self.later(pause, Change::Stop(id));
                self.later(pause + down, Change::Start(next));
                continue;
            }
            self.changed += 1;
            next.id = format_smolstr!("n{}", self.changed);
            next.address = format_smolstr!("10.2.0.{}:80", self.changed);
            self.later(pause, Change::Start(next));
            let mut leaving = self.backends[&id].row.clone();
            leaving.leaving = true;
            self.later(pause + 500, Change::Write(leaving));
            self.later(pause + 500 + DRAIN_MS, Change::Remove(id.clone()));
            self.later(pause + 500 + DRAIN_MS + 200, Change::Stop(id));
        }
    }

    /// Crashes some servers, which come back in place.
    fn crash(&mut self) {
        let up = self.backends.values().filter(|one| one.is_up);
        let up: Vec<Server> = up.map(|one| one.row.clone()).collect();
        for mut row in up {
            if !self.chance(0.2) {
                continue;
            }
            let down = self.between(20, 4_000);
            self.note(format!("server crashes {}", row.incarnation));
            self.later(0, Change::Stop(row.id.clone()));
            row.leaving = false;
            self.later(down, Change::Start(row));
        }
    }
}

/// Returns the seeds to play: `VERSIONS_SEEDS` of them from `VERSIONS_FROM` on, if that is set.
fn seeds(usual: std::ops::Range<u64>) -> std::ops::Range<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    match (number("VERSIONS_FROM"), number("VERSIONS_SEEDS")) {
        (Some(from), Some(count)) => from..from + count,
        _ => usual,
    }
}

/// Plays seeds; with `VERSIONS_LOG` it prints the logs of those that mix versions.
fn play_all(setup: Setup, usual: std::ops::Range<u64>) {
    let mut broken = Vec::new();
    for seed in seeds(usual) {
        let mut play = Play::new(seed, setup);
        play.run();
        println!(
            "seed {seed}: {} streams, {} went on, {} mixed, refused {:?}",
            play.streams.len(),
            play.resumed,
            play.mixed.len(),
            play.world.refused
        );
        if play.mixed.is_empty() {
            continue;
        }
        if std::env::var("VERSIONS_LOG").is_ok() {
            let log = play.world.version_log.iter().flatten();
            for line in play.history.iter().chain(log) {
                println!("{line}");
            }
        }
        let mixed = play.mixed.join("\n");
        broken.push(format!("seed {seed}: {}\n{mixed}", play.mixed.len()));
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Guards against streams of two versions at few entries, each of which reads the list of servers itself.
#[test]
fn few_entries_under_random_faults_mix_no_versions() {
    play_all(Setup::usual(3), 386..398);
}

/// Guards against the same among entries that learn of the list from others.
#[test]
fn many_entries_under_random_faults_mix_no_versions() {
    play_all(Setup::usual(20), 4..9);
}

/// Guards against the same where servers come back in place at another version.
#[test]
fn replaced_servers_under_random_faults_mix_no_versions() {
    let setup = Setup {
        replaced: true,
        ..Setup::usual(20)
    };
    play_all(setup, 4..8);
}

/// Guards against the same where the table service loses what it acknowledged.
#[test]
fn restored_tables_under_random_faults_mix_no_versions() {
    let setup = Setup {
        restored: true,
        ..Setup::usual(20)
    };
    play_all(setup, 28..34);
}

/// Guards against the same under all of these faults.
#[test]
fn all_faults_at_random_mix_no_versions() {
    let setup = Setup {
        replaced: true,
        restored: true,
        ..Setup::usual(20)
    };
    play_all(setup, 1..5);
}

/// Guards against the same while default versions are replaced.
#[test]
fn long_plays_among_few_entries_mix_no_versions() {
    play_all(Setup::long(3), 9_400..9_402);
}

/// Guards against the same among entries that exchange statements with all others.
#[test]
fn long_plays_among_several_entries_mix_no_versions() {
    play_all(Setup::long(8), 9_604..9_605);
}

/// Guards against the same among entries that learn of the list from others.
#[test]
fn long_plays_among_many_entries_mix_no_versions() {
    play_all(Setup::long(20), 9_600..9_601);
}

/// Guards against the same where servers come back in place at another version.
#[test]
fn long_plays_of_replaced_servers_mix_no_versions() {
    let setup = Setup {
        replaced: true,
        ..Setup::long(8)
    };
    play_all(setup, 9_716..9_717);
}

/// Guards against the same under all of these faults.
#[test]
fn long_plays_of_all_faults_mix_no_versions() {
    let setup = Setup {
        replaced: true,
        restored: true,
        ..Setup::long(8)
    };
    play_all(setup, 9_800..9_801);
}

/// Guards against the same while all entries stand still for moments beside a table service that fails, their clocks differ
/// by seconds, and shares of services change.
#[test]
fn long_plays_with_stalls_and_changes_of_shares_mix_no_versions() {
    let setup = Setup {
        stalled: true,
        reshared: true,
        clock_lead_ms: 3_000,
        ..Setup::long(20)
    };
    play_all(setup, 1..2);
}
