//! Prompts with a part that crashes each server which begins to answer it, among sound ones.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use clock::Span;
use gateway::arrival::Part;
use gateway::arrival::Prompt;
use gateway::attempt::End;
use gateway::attempt::Report;
use policy::rendezvous;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use watch::server::Server;

use support::SentRequest;
use support::World;

const STEP_MS: u64 = 10;
/// Time until a server writes the head of an answer.
const HEAD_MS: u64 = 60;
/// Time from the head to the first event, and from there to the crash.
const EVENT_MS: u64 = 30;
/// Duration of a sound answer.
const ANSWER_MS: u64 = 400;
/// Time until the row of a crashed server ends.
const ROW_MS: u64 = 3_000;
/// Time until a crashed server is back, as another incarnation.
const BACK_MS: u64 = 4_000;
/// Crashes after which such requests must be known, and the time that the entries have for that.
const MAX_CRASHES: usize = 5;
const CONTACT_MS: u64 = 3_000;
/// Such requests that may reach servers later.
const MAX_LATE: usize = 3;
/// The part that all prompts of the route begin with.
const COMMON: u64 = 1;
/// The part that crashes servers, and another one.
const GUILTY: u64 = 666;
const ALSO_GUILTY: u64 = 667;
const PARTS: u32 = 50;

/// When a server crashes while it answers.
#[derive(Clone, Copy, PartialEq)]
enum Moment {
    BeforeHead,
    AfterHead,
}

/// A request that a server runs.
struct Run {
    sent: SentRequest,
    crashes: bool,
    age_ms: u64,
}

/// Entries, servers that crash, and what callers and servers saw.
struct Play {
    world: World,
    moment: Moment,
    prompts: BTreeMap<u64, Vec<u64>>,
    /// Whether servers answer guilty parts by now.
    is_mended: bool,
    runs: Vec<Run>,
    /// Attempts at servers that take no connection any more.
    unsent: Vec<SentRequest>,
    seen: usize,
    crashed: BTreeSet<SmolStr>,
    /// Times at which rows end, with the server; and at which servers are back.
    ending: Vec<(u64, SmolStr)>,
    returning: Vec<u64>,
    /// Times of crashes, and of the arrivals of requests with a guilty part at servers.
    crashes: Vec<u64>,
    reached: Vec<u64>,
    /// Sound requests: when they were sent, and whether the first attempt began.
    sound: BTreeMap<u64, (u64, bool)>,
    next_own: u64,
    next_server: u64,
    /// A server as those that come back.
    template: Server,
}

impl Play {
    fn new(entries: usize, servers: usize, moment: Moment) -> Play {
        let mut world = World::unlimited(entries);
        world.servers.truncate(servers);
        while world.servers.len() < servers {
            world.add_server();
        }
        let template = world.servers[0].clone();
        world.publish_servers();
        world.run(3_000);
        Play {
            template,
            world,
            moment,
            prompts: BTreeMap::new(),
            is_mended: false,
            runs: Vec::new(),
            unsent: Vec::new(),
            seen: 0,
            crashed: BTreeSet::new(),
            ending: Vec::new(),
            returning: Vec::new(),
            crashes: Vec::new(),
            reached: Vec::new(),
            sound: BTreeMap::new(),
            next_own: 1_000_000,
            next_server: 1_000,
        }
    }

    /// Returns an entry that is drawn by a number.
    fn entry(&self, drawn: u64) -> usize {
        (rendezvous::weight(drawn, 7) % self.world.entry_count() as u64) as usize
    }

    /// Sends a prompt with these shared parts and one of its own.
    fn ask(&mut self, shared: &[u64]) -> u64 {
        self.next_own += 1;
        let entry = self.entry(self.next_own);
        self.ask_at(entry, "/chats/1", shared)
    }

    /// Sends a prompt that no other server gets after a crash.
    fn ask_once(&mut self, shared: &[u64]) -> u64 {
        self.next_own += 1;
        let entry = self.entry(self.next_own);
        self.ask_at(entry, "/talks/1", shared)
    }

    fn ask_at(&mut self, entry: usize, path: &str, shared: &[u64]) -> u64 {
        let ids = shared.iter().copied().chain([self.next_own]);
        let prompt = Prompt {
            tokens: 100,
            max_new_tokens: 100,
            parts: ids.map(|id| Part { id, tokens: 30 }).collect(),
            ..Prompt::default()
        };
        let serial = self.world.ask(entry, path, prompt);
        self.prompts.insert(serial, shared.to_vec());
        self.take_sent();
        serial
    }

    /// Sends a sound prompt.
    fn ask_soundly(&mut self, subject: u64) {
        let now = self.world.now;
        let serial = self.ask(&[COMMON, subject]);
        self.sound.insert(serial, (now, false));
    }

    /// Advances the time; sends sound prompts at a steady rate.
    fn run(&mut self, millis: u64) {
        let end = self.world.now + millis;
        while self.world.now < end {
            if self.world.now.is_multiple_of(50) {
                let subject = 100 + rendezvous::weight(self.world.now, 3) % u64::from(PARTS);
                self.ask_soundly(subject);
            }
            self.step();
        }
    }

    fn step(&mut self) {
        self.world.run(STEP_MS);
        self.update_rows();
        for sent in std::mem::take(&mut self.unsent) {
            self.world.end_attempt(&sent, End::NotSent);
        }
        self.take_sent();
        for run in &mut self.runs {
            run.age_ms += STEP_MS;
        }
        let due: Vec<usize> = (0..self.runs.len())
            .filter(|index| self.crashes_now(&self.runs[*index]))
            .collect();
        let lost: BTreeSet<SmolStr> = due
            .iter()
            .map(|index| self.runs[*index].sent.server.clone())
            .collect();
        for server in lost {
            self.crash(&server);
        }
        self.answer();
        self.take_sent();
    }

    fn crashes_now(&self, run: &Run) -> bool {
        let at = match self.moment {
            Moment::BeforeHead => HEAD_MS,
            Moment::AfterHead => HEAD_MS + EVENT_MS,
        };
        run.crashes && run.age_ms >= at
    }

    /// Ends a server and all that it runs.
    fn crash(&mut self, server: &SmolStr) {
        self.crashes.push(self.world.now);
        self.crashed.insert(server.clone());
        self.ending.push((self.world.now + ROW_MS, server.clone()));
        self.returning.push(self.world.now + BACK_MS);
        let (lost, rest) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.sent.server == *server);
        self.runs = rest;
        let lost: Vec<Run> = lost;
        for run in lost {
            let end = End::Broken { alive: false };
            self.world.end_attempt(&run.sent, end);
        }
    }

    /// Delivers heads, first events and ends of answers.
    fn answer(&mut self) {
        let mut finished = Vec::new();
        for (index, run) in self.runs.iter().enumerate() {
            if run.age_ms == HEAD_MS {
                self.world.report_on(&run.sent, Report::ResponseStarted);
                if let Some(sound) = self.sound.get_mut(&run.sent.serial) {
                    sound.1 |= run.sent.attempt == 1;
                }
            }
            if run.age_ms >= ANSWER_MS {
                finished.push(index);
            }
        }
        for index in finished.into_iter().rev() {
            let run = self.runs.remove(index);
            let end = End::Finished {
                status: 200,
                tokens: 10,
                pause: Span::ZERO,
            };
            self.world.end_attempt(&run.sent, end);
        }
    }

    /// Takes what entries sent since the last call to the servers.
    fn take_sent(&mut self) {
        while self.seen < self.world.sent_requests.len() {
            let sent = self.world.sent_requests[self.seen].clone();
            self.seen += 1;
            if self.crashed.contains(&sent.server) {
                self.unsent.push(sent);
                continue;
            }
            let parts = self.prompts.get(&sent.serial).cloned().unwrap_or_default();
            let is_guilty = parts.contains(&GUILTY) || parts.contains(&ALSO_GUILTY);
            let crashes = is_guilty && !self.is_mended;
            if crashes {
                self.reached.push(self.world.now);
            }
            self.runs.push(Run {
                sent,
                crashes,
                age_ms: 0,
            });
        }
        let stopped = &self.world.stopped;
        self.runs
            .retain(|run| !stopped.contains(&(run.sent.serial, run.sent.attempt)));
    }

    fn update_rows(&mut self) {
        let now = self.world.now;
        let ended: Vec<SmolStr> = self
            .ending
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, id)| id.clone())
            .collect();
        self.ending.retain(|(at, _)| *at > now);
        let returned = self.returning.iter().filter(|at| **at <= now).count();
        self.returning.retain(|at| *at > now);
        if ended.is_empty() && returned == 0 {
            return;
        }
        self.world
            .servers
            .retain(|server| !ended.contains(&server.incarnation));
        for _ in 0..returned {
            self.next_server += 1;
            let number = self.next_server;
            let mut server = self.template.clone();
            server.incarnation = format_smolstr!("s{number}#1");
            server.id = format_smolstr!("s{number}");
            server.address = format_smolstr!("10.1.1.{number}:80");
            self.world.servers.push(server);
        }
        self.world.publish_servers();
    }

    /// Returns the requests with a guilty part that reached servers too late.
    fn late(&self) -> usize {
        let Some(fifth) = self.crashes.get(MAX_CRASHES - 1) else {
            return 0;
        };
        self.reached
            .iter()
            .filter(|at| **at > fifth + CONTACT_MS)
            .count()
    }

    /// Returns the share of the sound requests sent since `from` that began at the first attempt.
    fn sound_share(&self, from: u64) -> f64 {
        let sent = self
            .sound
            .values()
            .filter(|(at, _)| *at >= from && *at + 1_000 < self.world.now);
        let (count, began) = sent.fold((0, 0), |(count, began), (_, first)| {
            (count + 1, began + u32::from(*first))
        });
        f64::from(began) / f64::from(count.max(1))
    }

    /// Checks that guilty prompts were stopped, and that sound ones were served meanwhile.
    fn check(&self, case: &str) {
        let crashes = self.crashes.len();
        let late = self.late();
        assert!(
            late <= MAX_LATE,
            "{case}: {late} reached servers late, {crashes} crashes"
        );
        let last = self
            .crashes
            .iter()
            .take(MAX_CRASHES)
            .next_back()
            .copied()
            .unwrap_or(0);
        let share = self.sound_share(last + 2 * CONTACT_MS);
        assert!(
            share >= 0.5,
            "{case}: {share:.3} of the sound ones began at once, {crashes} crashes"
        );
        println!(
            "{case}: {crashes} crashes, {late} late, {share:.3} of the sound ones began at once"
        );
    }
}

/// Returns the seeds of a play: `usual`, or those that `HORIZONS_FROM` and `HORIZONS_SEEDS` name.
fn seeds(usual: std::ops::Range<u64>) -> std::ops::Range<u64> {
    let number = |name| std::env::var(name).ok().and_then(|text| text.parse().ok());
    match number("HORIZONS_FROM") {
        Some(from) => from..from + number("HORIZONS_SEEDS").unwrap_or(1),
        None => usual,
    }
}

const MOMENTS: [(Moment, &str); 2] = [
    (Moment::BeforeHead, "before the head"),
    (Moment::AfterHead, "after the head"),
];

/// Guards against a prompt part that crashes one server after the other, in requests that are never alike.
#[test]
fn requests_that_share_a_part_which_crashes_servers_are_stopped() {
    for (moment, name) in MOMENTS {
        let mut play = Play::new(8, 9, moment);
        play.run(5_000);
        for _ in 0..40 {
            play.ask(&[COMMON, GUILTY]);
            play.run(500);
        }
        play.check(name);
    }
}

/// Guards against herds of such requests, whose crashes at once look like the loss of a zone.
#[test]
fn herds_of_requests_that_crash_servers_are_stopped() {
    for (moment, name) in MOMENTS {
        let mut play = Play::new(8, 9, moment);
        play.run(5_000);
        for _ in 0..5 {
            for _ in 0..12 {
                play.ask(&[COMMON, GUILTY]);
            }
            play.run(5_000);
        }
        play.check(name);
    }
}

/// Guards against a second part that hides behind the first one, in the same requests or in others.
#[test]
fn two_parts_that_crash_servers_are_both_stopped() {
    for (moment, name) in MOMENTS {
        let mut play = Play::new(8, 9, moment);
        play.run(5_000);
        for number in 0..40 {
            let shared: &[u64] = match number % 3 {
                0 => &[COMMON, GUILTY],
                1 => &[COMMON, ALSO_GUILTY],
                _ => &[GUILTY, COMMON, ALSO_GUILTY],
            };
            play.ask(shared);
            play.run(500);
        }
        play.check(name);
    }
}

/// Guards against a pool of few servers, where all that ever ran did so beside a crash.
#[test]
fn few_servers_are_kept_from_requests_that_crash_them() {
    for (moment, name) in MOMENTS {
        let mut play = Play::new(4, 3, moment);
        play.run(5_000);
        for _ in 0..40 {
            play.ask(&[GUILTY, COMMON]);
            play.run(500);
        }
        play.check(name);
    }
}

/// Guards against a part common to all requests that is blamed, since none has ended yet when servers crash.
#[test]
fn a_part_of_all_requests_is_not_blamed_for_crashes_at_the_start() {
    for (moment, name) in MOMENTS {
        let mut play = Play::new(4, 3, moment);
        for _ in 0..6 {
            play.ask(&[COMMON, GUILTY]);
        }
        for _ in 0..40 {
            play.ask(&[COMMON, GUILTY]);
            play.run(500);
        }
        play.check(name);
    }
}

/// Guards against entries that learn nothing of a part that was refused before they started.
#[test]
fn an_entry_that_starts_later_refuses_what_crashes_servers() {
    let mut play = Play::new(8, 9, Moment::AfterHead);
    play.run(5_000);
    for _ in 0..20 {
        play.ask(&[COMMON, GUILTY]);
        play.run(500);
    }
    for entry in 0..4 {
        play.world.start(entry);
        play.run(3_000);
        play.next_own += 1;
        play.ask_at(entry, "/chats/1", &[COMMON, GUILTY]);
        play.run(1_000);
    }
    play.check("restarted");
}

/// Guards against requests refused for parts that only ran beside crashes.
#[test]
fn crashes_by_chance_stop_no_request() {
    let mut play = Play::new(8, 9, Moment::BeforeHead);
    play.run(5_000);
    for _ in 0..12 {
        let server = play.world.servers[0].incarnation.clone();
        if !play.crashed.contains(&server) {
            play.crash(&server);
        }
        play.run(1_500);
    }
    // Most of a pool at once, as when a zone is lost.
    let lost: Vec<SmolStr> = play
        .world
        .servers
        .iter()
        .map(|server| server.incarnation.clone())
        .take(7)
        .collect();
    for server in lost {
        if !play.crashed.contains(&server) {
            play.crash(&server);
        }
    }
    play.run(20_000);
    let refused = play.world.refused.get("Quarantined").copied().unwrap_or(0);
    assert_eq!(refused, 0, "sound requests refused");
}

/// Guards against many entries, each of which sees few of the crashes, and which learn of the others late.
#[test]
fn many_entries_stop_requests_that_crash_servers() {
    let entries = std::env::var("ENTRIES")
        .ok()
        .and_then(|count| count.parse().ok())
        .unwrap_or(40);
    let mut play = Play::new(entries, 40, Moment::AfterHead);
    play.run(8_000);
    for _ in 0..15 {
        play.ask(&[COMMON, GUILTY]);
        play.ask(&[COMMON, GUILTY]);
        play.run(1_000);
    }
    play.check("many entries");
}

/// Guards against sound parts of a few prompts a second that stay blocked after a loss of many servers, since their homes
/// among many entries see none of these prompts.
#[test]
fn parts_of_few_prompts_are_unblocked_soon_after_a_loss_of_many_servers() {
    const RARE: [u64; 3] = [777, 888, 999];
    let mut play = Play::new(86, 40, Moment::AfterHead);
    play.run(8_000);
    for subject in 0..12 {
        for part in RARE {
            play.ask_once(&[part, part * 1_000 + subject]);
        }
    }
    for _ in 0..7 {
        play.step();
    }
    let is_rare = |run: &&Run| {
        let parts = &play.prompts[&run.sent.serial];
        parts.iter().any(|part| RARE.contains(part))
    };
    let hit = play.runs.iter().filter(is_rare);
    let hit: BTreeSet<SmolStr> = hit.map(|run| run.sent.server.clone()).collect();
    for server in &hit {
        play.crash(server);
    }
    let lost_at = play.world.now;
    // Prompts that arrive before the crashes count would prove their parts sound.
    play.run(500);
    let mut asked = Vec::new();
    for number in 0..60 {
        for part in RARE {
            let subject = part * 1_000 + 100 + number;
            asked.push((play.world.now, play.ask_once(&[part, subject])));
        }
        play.run(200);
    }
    let blocked = play.world.log_count("part_blocked");
    assert!(blocked >= 3 * 43, "{blocked} times blocked");
    let late = asked
        .iter()
        .filter(|(at, _)| *at >= lost_at + 3 * CONTACT_MS);
    let late: Vec<&u64> = late.map(|(_, serial)| serial).collect();
    let reached = |serial: &&&u64| play.world.servers_by_request.contains_key(serial);
    let served = late.iter().filter(reached).count();
    assert!(
        served * 20 >= late.len() * 19,
        "{served} of {} were served from {} ms after the loss",
        late.len(),
        3 * CONTACT_MS
    );
}

/// Guards against a part that stays blocked at entries which learned of its crashes and not of its later answers, and against
/// one that is forgotten while it still crashes servers, over several times as long as it waits for its next trial.
#[test]
#[cfg_attr(debug_assertions, ignore = "slow without optimization")]
fn a_part_is_blocked_for_as_long_as_it_crashes_servers() {
    /// Time until a blocked part is tried again, and until it is after a trial that crashed a server.
    const TRIAL_MS: u64 = 60_000;
    const NEXT_TRIAL_MS: u64 = 600_000;
    const ENTRIES: usize = 6;
    for seed in seeds(107..117) {
        let mut drawn = seed * 1_000;
        let mut draw = |below: u64| {
            drawn += 1;
            rendezvous::weight(drawn, seed) % below
        };
        let mut play = Play::new(ENTRIES, 9, Moment::AfterHead);
        play.run(5_000);
        let guilty_until = play.world.now + 3 * TRIAL_MS;
        let end = guilty_until + NEXT_TRIAL_MS + 2 * TRIAL_MS;
        let mut faults_end = 0;
        let mut next_fault = play.world.now + 15_000;
        let mut served = Vec::new();
        while play.world.now < end {
            let now = play.world.now;
            play.is_mended = now >= guilty_until;
            if now >= faults_end {
                play.world.partitioned.clear();
                play.world.store_partitioned.clear();
            }
            if now >= next_fault && now < end - 2 * TRIAL_MS {
                next_fault = now + 5_000 + draw(30_000);
                faults_end = now + 1_000 + draw(90_000);
                let entry = draw(ENTRIES as u64) as usize;
                match draw(3) {
                    0 => play.world.start(entry),
                    1 => _ = play.world.partitioned.insert(entry),
                    _ => _ = play.world.store_partitioned.insert(entry),
                }
            }
            if now.is_multiple_of(500) {
                let serial = play.ask(&[COMMON, GUILTY]);
                served.push((now, serial));
            }
            if now.is_multiple_of(250) {
                play.ask_soundly(100 + draw(u64::from(PARTS)));
            }
            play.step();
        }
        let crashes = play.crashes.len();
        // A trial follows a minute after the last crash, and the next one ten minutes later; each entry that was cut off
        // may make one of its own.
        assert!(crashes <= 5 + 2 * ENTRIES, "seed {seed}: {crashes} crashes");
        let late = served.iter().filter(|(at, _)| *at >= end - TRIAL_MS);
        let late: Vec<u64> = late.map(|(_, serial)| *serial).collect();
        let reached = |serial: &&u64| play.world.servers_by_request.contains_key(serial);
        let count = late.iter().filter(reached).count();
        println!(
            "seed {seed}: {crashes} crashes, {count} of {} served at last",
            late.len()
        );
        assert_eq!(count, late.len(), "seed {seed}: still blocked");
    }
}
