//! Overload of model servers behind several entries: what is admitted, refused at once, and answered in time.

mod support;

use std::collections::BTreeMap;
use std::collections::VecDeque;

use clock::Span;
use gateway::arrival::Arrival;
use gateway::arrival::Continuation;
use gateway::arrival::Part;
use gateway::arrival::Prompt;
use gateway::attempt::End;
use gateway::attempt::Report;
use gateway::configs::gateway::Settings;
use policy::configs::plan::Config;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use support::SentRequest;
use support::World;
use verdict::Reason;
use verdict::Verdict;

/// Time of a step of the simulation, milliseconds.
const STEP: u64 = 10;
/// Prompt tokens that a server processes in a millisecond.
const SPEED: u64 = 16;
/// Prompt tokens of each request, so that a server takes 10 requests a second.
const PROMPT: u32 = 1_600;
/// Tokens of each answer, and the time that it takes after its first token, milliseconds.
const OUTPUT: u32 = 40;
const ANSWER_TIME: u64 = 700;
/// Sequences that a server runs at the same time.
const SLOTS: u32 = 12;
/// Requests that the six servers start in a second.
const CAPACITY: f64 = 60.0;
/// Latency target of the routes, milliseconds.
const TARGET: u64 = 1_000;
/// Time in which entries learn of each other and measure the prompt speed, milliseconds.
const WARM_UP: u64 = 8_000;
/// Longest age of counts from which a plan is applied, milliseconds.
const MAX_PLAN_AGE: u64 = 1_500;

/// Requests of one account on one route.
#[derive(Clone, Copy, Debug)]
struct Stream {
    rank: u8,
    account: usize,
    /// Requests per second, over all entries.
    rate: f64,
}

/// Requests of a stream by their fate.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    offered: u32,
    in_time: u32,
    late: u32,
    /// Refused by a plan, at their arrival.
    shed: u32,
    /// Refused in another way.
    refused: u32,
}

impl Outcome {
    fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.offered.max(1))
    }

    fn add(&mut self, other: &Outcome) {
        self.offered += other.offered;
        self.in_time += other.in_time;
        self.late += other.late;
        self.shed += other.shed;
        self.refused += other.refused;
    }
}

/// A model server that processes prompts one after another, the most urgent first, and answers side by side.
#[derive(Default)]
struct Server {
    prompts: VecDeque<SentRequest>,
    /// When the first of `prompts` is done.
    done_at: Option<u64>,
    answers: VecDeque<(u64, SentRequest)>,
}

/// Entries before servers, and their callers.
struct Simulation {
    world: World,
    random: Pcg64Mcg,
    /// Entries that callers use.
    entries: Vec<usize>,
    servers: BTreeMap<SmolStr, Server>,
    /// Number of sent requests that servers have received.
    received: usize,
    /// Arrival time and stream of each request by serial number.
    arrivals: BTreeMap<u64, (u64, Stream)>,
    /// When each request's answer began.
    begun: BTreeMap<u64, u64>,
}

impl Simulation {
    fn new(entries: usize) -> Simulation {
        Simulation::with_settings(support::default_settings(entries))
    }

    fn with_settings(settings: Settings) -> Simulation {
        let entries = settings.entries as usize;
        Simulation {
            world: World::ranked(entries, settings, SLOTS),
            random: Pcg64Mcg::seed_from_u64(7),
            entries: (0..entries).collect(),
            servers: BTreeMap::new(),
            received: 0,
            arrivals: BTreeMap::new(),
            begun: BTreeMap::new(),
        }
    }

    /// Advances by `millis` with requests of the streams; returns the outcome of each stream.
    fn run(&mut self, millis: u64, streams: &[Stream]) -> Vec<Outcome> {
        let before = self.world.last_serial();
        self.advance(millis, streams);
        let after = self.world.last_serial();
        // Until all of them have been answered or refused.
        self.advance(3_000, &[]);
        let streams = streams.iter();
        streams
            .map(|stream| self.outcome(before + 1..after + 1, stream))
            .collect()
    }

    /// Advances by `millis` with requests of the streams.
    fn advance(&mut self, millis: u64, streams: &[Stream]) {
        let until = self.world.now + millis;
        while self.world.now < until {
            self.step(streams);
        }
    }

    /// Advances by one step with requests of the streams.
    fn step(&mut self, streams: &[Stream]) {
        self.world.run(STEP);
        self.serve();
        for stream in streams {
            // At most one request of a stream in a step; the rates are lower.
            if self.random.random::<f64>() < stream.rate * STEP as f64 / 1_000.0 {
                self.send(*stream);
            }
        }
    }

    fn send(&mut self, stream: Stream) {
        let path = format_smolstr!("/rank-{}/1", stream.rank);
        let serial = self.arrive(path, stream.account, None);
        self.arrivals.insert(serial, (self.world.now, stream));
    }

    /// Sends a request to a random entry; returns its serial number.
    fn arrive(&mut self, path: SmolStr, account: usize, continuation: Option<Continuation>) -> u64 {
        let entry = self.entries[self.random.random_range(0..self.entries.len())];
        let arrival = Arrival {
            host: SmolStr::new_static("models.test"),
            path,
            key: Some(format_smolstr!("key-{account}")),
            continuation,
            prompt: Some(Prompt {
                tokens: PROMPT,
                max_new_tokens: OUTPUT,
                // Without parts all prompts would share one prefix, and prefer the same servers.
                parts: vec![Part {
                    id: self.random.random(),
                    tokens: PROMPT,
                }],
                ..Prompt::default()
            }),
            ..Arrival::default()
        };
        self.world.send(entry, arrival)
    }

    /// Lets the servers receive requests, process prompts and finish answers.
    fn serve(&mut self) {
        let now = self.world.now;
        for sent in &self.world.sent_requests[self.received..] {
            let server = self.servers.entry(sent.server.clone()).or_default();
            // The prompt in progress is finished first.
            let begun = usize::from(!server.prompts.is_empty());
            let mut later = server.prompts.iter().skip(begun);
            let ahead = later.position(|other| other.urgency > sent.urgency);
            let place = ahead.map_or(server.prompts.len(), |ahead| begun + ahead);
            server.prompts.insert(place, sent.clone());
        }
        self.received = self.world.sent_requests.len();
        let mut events = Vec::new();
        for server in self.servers.values_mut() {
            let stopped = &self.world.stopped;
            server
                .prompts
                .retain(|sent| !stopped.contains(&(sent.serial, sent.attempt)));
            let time = u64::from(PROMPT) / SPEED;
            while !server.prompts.is_empty() {
                let done_at = *server.done_at.get_or_insert(now + time);
                if done_at > now {
                    break;
                }
                if let Some(sent) = server.prompts.pop_front() {
                    events.push((sent.clone(), Report::ResponseStarted));
                    server.answers.push_back((now + ANSWER_TIME, sent));
                }
                server.done_at = (!server.prompts.is_empty()).then_some(done_at + time);
            }
            if server.prompts.is_empty() {
                server.done_at = None;
            }
            while server.answers.front().is_some_and(|(at, _)| *at <= now) {
                if let Some((_, sent)) = server.answers.pop_front() {
                    let end = End::Finished {
                        status: 200,
                        tokens: OUTPUT,
                        pause: Span::ZERO,
                    };
                    events.push((sent, Report::Ended(end)));
                }
            }
        }
        for (sent, report) in events {
            if matches!(report, Report::ResponseStarted) {
                self.begun.entry(sent.serial).or_insert(now);
            }
            self.world.report_on(&sent, report);
        }
    }

    fn outcome(&self, serials: std::ops::Range<u64>, stream: &Stream) -> Outcome {
        let mut outcome = Outcome::default();
        for (serial, (arrived_at, of)) in self.arrivals.range(serials) {
            if (of.rank, of.account) != (stream.rank, stream.account) {
                continue;
            }
            outcome.offered += 1;
            let id = format_smolstr!("r{serial}");
            let shed = self.world.sheds.iter().find(|shed| shed.request == id);
            match (shed, self.begun.get(serial)) {
                (Some(shed), _) => {
                    assert_eq!(shed.at, *arrived_at, "refused by the plan, but not at once");
                    outcome.shed += 1;
                }
                (None, Some(at)) if at - arrived_at <= TARGET => outcome.in_time += 1,
                (None, Some(_)) => outcome.late += 1,
                (None, None) => outcome.refused += 1,
            }
        }
        outcome
    }
}

/// Returns streams of all accounts on each rank that use a part of the capacity.
fn all_streams(part: f64) -> Vec<Stream> {
    let rate = CAPACITY * part / (support::RANKS.len() * support::RANKED_ACCOUNTS) as f64;
    let ranks = support::RANKS.into_iter();
    ranks
        .flat_map(|rank| {
            (0..support::RANKED_ACCOUNTS).map(move |account| Stream {
                rank,
                account,
                rate,
            })
        })
        .collect()
}

/// Returns the outcomes by rank.
fn by_rank(streams: &[Stream], outcomes: &[Outcome]) -> BTreeMap<u8, Outcome> {
    let mut ranks: BTreeMap<u8, Outcome> = BTreeMap::new();
    for (stream, outcome) in streams.iter().zip(outcomes) {
        ranks.entry(stream.rank).or_default().add(outcome);
    }
    ranks
}

/// Returns all streams at a part of the capacity, and those of the last rank at a multiple of it.
fn streams_with_last_rank_at(part: f64, factor: f64) -> Vec<Stream> {
    let mut streams = all_streams(part);
    let last = support::RANKS[support::RANKS.len() - 1];
    for stream in streams.iter_mut().filter(|stream| stream.rank == last) {
        stream.rate *= factor;
    }
    streams
}

/// Checks an overload by requests of the last rank at six times their rate, behind a number of entries.
fn check_one_kind_at_six_times_its_rate(entries: usize, max_late: u32) {
    let mut simulation = Simulation::new(entries);
    simulation.run(WARM_UP, &all_streams(0.5));
    let streams = streams_with_last_rank_at(0.7, 6.0);
    let outcomes = simulation.run(10_000, &streams);
    let ranks = by_rank(&streams, &outcomes);

    for rank in [0, 1] {
        let outcome = ranks[&rank];
        assert!(outcome.share_in_time() >= 0.98, "rank {rank}: {outcome:?}");
        assert_eq!(outcome.shed, 0, "rank {rank}: {outcome:?}");
    }
    let last = ranks[&2];
    // What exceeds the capacity is refused at its arrival and not after a wait.
    assert!(last.shed > last.offered / 2, "{last:?}");
    assert!(last.refused <= last.offered / 50, "{last:?}");
    // It keeps its floor.
    assert!(last.in_time > last.offered / 20, "{last:?}");
    assert!(last.late <= max_late, "{last:?}");
    let lines = simulation.world.log_count("plan_changed");
    let seconds = (simulation.world.now / 1_000) as u32;
    assert!((1..=entries as u32 * seconds).contains(&lines), "{lines}");
    let counts = (0..entries).flat_map(|entry| simulation.world.take_plan_counts(entry));
    let refused: u64 = counts.map(|count| count.refused).sum();
    let work = u64::from(PROMPT + 2 * OUTPUT);
    assert_eq!(refused, simulation.world.sheds.len() as u64 * work);
    for shed in &simulation.world.sheds {
        assert!(shed.plan_age <= MAX_PLAN_AGE, "{shed:?}");
        let refusal = &simulation.world.refusals[&shed.request];
        assert_eq!(refusal.verdict, Verdict::NotRun);
        assert_eq!(refusal.reason, Reason::Overloaded);
        // Callers that have no retry time repeat their requests at once.
        let retry = refusal.retry_after.map_or(0, Span::as_millis);
        assert!((50..=60_000).contains(&retry), "{retry} ms");
    }
}

#[test]
fn one_kind_of_request_at_six_times_its_rate_leaves_the_others_in_time() {
    // Without a plan 29 of 325 more urgent requests were refused, and 445 of the 477 others that ran were late.
    check_one_kind_at_six_times_its_rate(8, 100);
}

#[test]
fn one_kind_of_request_at_six_times_its_rate_is_refused_with_hubs() {
    // Guards against sums that come too late, and against each of many entries that admits its own first requests.
    check_one_kind_at_six_times_its_rate(24, 200);
}

#[test]
fn nothing_is_refused_below_the_capacity() {
    // Guards against refusals by a wrong estimate of the capacity or of the rates.
    for entries in [8, 24] {
        let mut simulation = Simulation::new(entries);
        // Six servers at 0.85 of their measured speed start 0.8 of the nominal capacity, 48 requests a second. At 0.7
        // the requests of a single second exceed that at times, since their number varies by 6.5.
        for (part, most) in [(0.3, 0.0), (0.5, 0.0), (0.6, 0.0), (0.7, 0.02)] {
            let streams = all_streams(part);
            let outcomes = simulation.run(WARM_UP, &streams);
            let mut total = Outcome::default();
            for outcome in &outcomes {
                total.add(outcome);
            }
            let refused = f64::from(total.shed + total.refused) / f64::from(total.offered);
            assert!(refused <= most, "{entries} entries, {part}: {total:?}");
            let answered = f64::from(total.in_time) / f64::from(total.in_time + total.late);
            assert!(answered >= 0.98, "{entries} entries, {part}: {total:?}");
        }
    }
}

#[test]
fn one_account_at_ten_times_its_rate_leaves_its_equals_whole() {
    // Guards against shares in proportion to what accounts ask for.
    for entries in [8, 24] {
        let mut simulation = Simulation::new(entries);
        simulation.run(WARM_UP, &all_streams(0.5));
        let streams: Vec<Stream> = (0..support::RANKED_ACCOUNTS)
            .map(|account| Stream {
                rank: 1,
                account,
                // The usual rate is half of the fair share of 9.6, so that no account exceeds it in a single second.
                rate: if account == 0 { 50.0 } else { 5.0 },
            })
            .collect();
        let outcomes = simulation.run(10_000, &streams);
        assert!(outcomes[0].shed > outcomes[0].offered / 4, "{outcomes:?}");
        let mut others = Outcome::default();
        for outcome in &outcomes[1..] {
            others.add(outcome);
        }
        let refused = f64::from(others.shed + others.refused) / f64::from(others.offered);
        assert!(refused <= 0.02, "{entries} entries: {others:?}");
    }
}

#[test]
fn equal_accounts_get_equal_work_under_overload() {
    // Guards against shares that depend on the entries that an account's callers happen to use.
    for entries in [8, 24] {
        let mut simulation = Simulation::new(entries);
        simulation.run(WARM_UP, &all_streams(0.5));
        let streams: Vec<Stream> = (0..support::RANKED_ACCOUNTS)
            .map(|account| Stream {
                rank: 1,
                account,
                rate: 18.0 + 4.0 * account as f64,
            })
            .collect();
        let outcomes = simulation.run(10_000, &streams);
        let ran = outcomes
            .iter()
            .map(|outcome| f64::from(outcome.in_time + outcome.late));
        let sum: f64 = ran.clone().sum();
        let squares: f64 = ran.map(|ran| ran * ran).sum();
        let jain = sum * sum / (outcomes.len() as f64 * squares);
        assert!(jain > 0.98, "{entries} entries, {jain}: {outcomes:?}");
    }
}

#[test]
fn a_hub_that_ends_leaves_no_plan_in_force() {
    // Guards against refusals by sums of a hub that has ended, while the overload may be over.
    let mut simulation = Simulation::new(24);
    simulation.run(WARM_UP, &all_streams(0.5));
    let streams = streams_with_last_rank_at(0.7, 6.0);
    simulation.advance(4_000, &streams);
    let before = simulation.world.sums_sent.clone();
    simulation.advance(2_000, &streams);
    let hubs: Vec<usize> = (0..24)
        .filter(|entry| simulation.world.sums_sent.get(entry) > before.get(entry))
        .collect();
    assert_eq!(hubs.len(), 2);
    for hub in &hubs {
        simulation.world.kill(*hub);
        simulation.entries.retain(|entry| entry != hub);
    }
    let ended = simulation.world.now;
    let outcomes = simulation.run(12_000, &streams);

    let sheds = &simulation.world.sheds;
    assert!(sheds.iter().all(|shed| shed.plan_age <= MAX_PLAN_AGE));
    // The others take over, and the plan is applied again.
    assert!(sheds.iter().any(|shed| shed.at > ended + 8_000));
    let ranks = by_rank(&streams, &outcomes);
    assert!(ranks[&0].share_in_time() >= 0.9, "{:?}", ranks[&0]);
}

#[test]
fn entries_that_hear_nobody_apply_no_plan() {
    // Guards against a plan from the past at entries that are cut off from all others.
    let mut simulation = Simulation::new(8);
    simulation.run(WARM_UP, &all_streams(0.5));
    let streams = streams_with_last_rank_at(0.7, 6.0);
    simulation.advance(3_000, &streams);
    simulation.world.partitioned = (0..4).collect();
    let outcomes = simulation.run(8_000, &streams);

    let sheds = &simulation.world.sheds;
    assert!(sheds.iter().any(|shed| shed.entry < 4));
    assert!(sheds.iter().all(|shed| shed.plan_age <= MAX_PLAN_AGE));
    assert!(sheds.iter().any(|shed| shed.entry >= 4), "{}", sheds.len());
    let ranks = by_rank(&streams, &outcomes);
    assert!(ranks[&0].share_in_time() >= 0.9, "{:?}", ranks[&0]);

    // The rates of the others return with the connection.
    simulation.world.partitioned.clear();
    simulation.world.run(3_000);
    let streams = all_streams(0.5);
    let outcomes = simulation.run(4_000, &streams);
    for outcome in outcomes {
        assert_eq!(outcome.shed, 0, "{outcome:?}");
    }
}

#[test]
fn a_restarted_entry_applies_the_plan_again() {
    // Guards against an entry that starts without rates of others and admits everything for long, and against the
    // rates of its former incarnation that count twice.
    let mut simulation = Simulation::new(8);
    simulation.run(WARM_UP, &all_streams(0.5));
    let streams = streams_with_last_rank_at(0.7, 6.0);
    simulation.advance(3_000, &streams);
    simulation.world.start(3);
    let restarted = simulation.world.now;
    let outcomes = simulation.run(8_000, &streams);

    let again = |shed: &&support::Shed| shed.entry == 3 && shed.at > restarted;
    let first = simulation.world.sheds.iter().find(again);
    let first = first.map_or(u64::MAX, |shed| shed.at - restarted);
    assert!(first <= 4_000, "{first} ms");
    let ranks = by_rank(&streams, &outcomes);
    assert!(ranks[&0].share_in_time() >= 0.98, "{:?}", ranks[&0]);

    // After the overload nothing is refused, and the last rates of the former incarnation are forgotten.
    for outcome in simulation.run(4_000, &all_streams(0.7)) {
        assert_eq!(outcome.shed, 0, "{outcome:?}");
    }
    simulation.advance(6_000, &[]);
    for entry in 0..8 {
        assert_eq!(simulation.world.status(entry).plan_offered, 0);
    }
}

#[test]
fn separated_halves_each_plan_by_what_they_hear() {
    // Guards against a partition after which an entry waits for counts that don't come, or plans by old ones.
    let mut simulation = Simulation::new(8);
    simulation.run(WARM_UP, &all_streams(0.5));
    simulation.world.separated = (0..4).collect();
    let streams = streams_with_last_rank_at(0.7, 6.0);
    let outcomes = simulation.run(8_000, &streams);

    let sheds = &simulation.world.sheds;
    assert!(sheds.iter().all(|shed| shed.plan_age <= MAX_PLAN_AGE));
    for side in [0..4, 4..8] {
        let shed = sheds.iter().filter(|shed| side.contains(&shed.entry));
        assert!(shed.count() > 50, "{side:?}");
    }
    let ranks = by_rank(&streams, &outcomes);
    for rank in [0, 1] {
        let outcome = ranks[&rank];
        assert!(outcome.share_in_time() >= 0.95, "rank {rank}: {outcome:?}");
    }

    simulation.world.separated.clear();
    simulation.world.run(3_000);
    for outcome in simulation.run(4_000, &all_streams(0.5)) {
        assert_eq!(outcome.shed, 0, "{outcome:?}");
    }
}

#[test]
fn a_stream_that_is_taken_up_again_is_admitted() {
    // Guards against a caller that has read half of an answer and is refused the rest by a plan.
    let mut simulation = Simulation::new(8);
    simulation.run(WARM_UP, &all_streams(0.5));
    let urgent = Stream {
        rank: 0,
        account: 1,
        rate: 90.0,
    };
    let (mut continued, mut begun) = (Vec::new(), Vec::new());
    for _ in 0..40 {
        simulation.advance(100, &[urgent]);
        let path = SmolStr::new_static("/chats/1");
        begun.push(simulation.arrive(path.clone(), 0, None));
        let continuation = Continuation {
            last_event: SmolStr::new_static("1"),
            began_as: Some(SmolStr::new_static("r0")),
        };
        continued.push(simulation.arrive(path, 0, Some(continuation)));
    }
    let shed = |serials: &[u64]| {
        let ids: Vec<SmolStr> = serials
            .iter()
            .map(|serial| format_smolstr!("r{serial}"))
            .collect();
        let sheds = simulation.world.sheds.iter();
        sheds.filter(|shed| ids.contains(&shed.request)).count()
    };
    assert!(shed(&begun) > 5, "{} of {}", shed(&begun), begun.len());
    assert_eq!(shed(&continued), 0);
}

#[test]
fn nothing_is_planned_when_switched_off() {
    // Guards against a deployment that has switched the plan off and still exchanges rates or refuses by them.
    let settings = Settings {
        plan: Config {
            enabled: false,
            ..Config::default()
        },
        ..support::default_settings(8)
    };
    let mut simulation = Simulation::with_settings(settings);
    simulation.run(WARM_UP, &all_streams(0.5));
    simulation.run(4_000, &streams_with_last_rank_at(0.7, 6.0));
    assert!(simulation.world.sheds.is_empty());
    assert_eq!(simulation.world.log_count("plan_changed"), 0);
    assert_eq!(simulation.world.status(0).plan_offered, 0);
}
