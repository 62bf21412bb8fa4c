//! Simulates one load pattern under one policy in virtual time.

mod attempts;
mod callers;
mod digests;
mod fleet;
mod members;
mod paces;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;

use clock::Time;
use policy::account;
use policy::decision::Decision;
use policy::job;
use policy::replica;
use policy::scheduler::Digest;
use policy::speed::Pace;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::support::engine::CacheEvent;
use crate::support::engine::Engine;
use crate::support::engine::Sequence;
use crate::support::load::Arrival;
use crate::support::load::Pattern;
use crate::support::policy::Policy;
use crate::support::tally::Outcome;
use crate::support::tally::Tally;

/// How long the simulation continues after the last arrival, in milliseconds.
const DRAIN_MS: u64 = 60_000;
/// Interval between digests of an entry, in milliseconds.
const DIGEST_PERIOD_MS: u64 = 500;
/// Weight of an output token against a prompt token in a request's cost.
const OUTPUT_WEIGHT: f64 = 12.0;

/// A scheduled event.
#[derive(Clone, Debug)]
enum Event {
    Submit(usize),
    Step(usize),
    Ended(usize, job::Id, job::End, u32),
    CheckPatience(job::Id, u32),
    Wake(usize),
    SendReports,
    Report(usize, usize, replica::Report),
    SendCacheEvents,
    CacheUpdate(usize, usize, CacheEvent),
    Fault(usize),
    Reclaimed(usize),
    Restart(usize),
    MembersChanged(usize),
    SendDigests,
    Digest(usize, Box<Digest>),
    SendPaces,
    Paces(BTreeMap<u64, Pace>),
    SendSpeeds,
    Speeds(BTreeMap<u64, u16>),
    Transferred(usize, usize, usize, Box<Sequence>),
}

/// One submission of a request by its caller.
#[derive(Debug)]
struct Submission {
    request: usize,
    entry: usize,
    sent_ms: u64,
    first_token_ms: Option<u64>,
    last_token_ms: u64,
    generated: u32,
    handed_over: bool,
    computed: u64,
    replica: Option<usize>,
}

/// State of the simulation.
pub struct World {
    pattern: Pattern,
    now_ms: u64,
    sequence: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    waiting: BTreeMap<u64, Event>,
    entries: Vec<Box<dyn Policy>>,
    wakes: Vec<Option<u64>>,
    /// Whether each entry has ended.
    ended: Vec<bool>,
    engines: Vec<Engine>,
    /// Engine at each place of the fleet.
    places: Vec<usize>,
    zones: Vec<usize>,
    live_since: Vec<Option<u64>>,
    keys_by_engine: Vec<BTreeMap<usize, replica::Key>>,
    engines_by_key: Vec<BTreeMap<replica::Key, usize>>,
    arrivals: Vec<Arrival>,
    submissions: BTreeMap<job::Id, Submission>,
    non_idempotent_started: BTreeSet<usize>,
    /// Time at which the link of a leaving engine becomes free, in milliseconds.
    links: BTreeMap<usize, u64>,
    open: Vec<u32>,
    random: Pcg64,
    /// Random numbers for the spread of member lists only.
    members_random: Pcg64,
    /// Random numbers for cache events only, so that other draws are the same with and without
    /// them.
    cache_random: Pcg64,
    tally: Tally,
}

impl World {
    /// Creates the simulation of a pattern, with a policy made for each entry.
    pub fn new(pattern: Pattern, seed: u64, make: &dyn Fn(u64) -> Box<dyn Policy>) -> World {
        let arrivals = pattern.arrivals(seed);
        let entries: Vec<Box<dyn Policy>> = (0..pattern.entries)
            .map(|index| make(seed * 100 + index as u64))
            .collect();
        let count = pattern.entries;
        let mut world = World {
            now_ms: 0,
            sequence: 0,
            events: BinaryHeap::new(),
            waiting: BTreeMap::new(),
            entries,
            wakes: vec![None; count],
            ended: vec![false; count],
            engines: Vec::new(),
            places: vec![usize::MAX; pattern.replicas],
            zones: Vec::new(),
            live_since: Vec::new(),
            keys_by_engine: vec![BTreeMap::new(); count],
            engines_by_key: vec![BTreeMap::new(); count],
            submissions: BTreeMap::new(),
            non_idempotent_started: BTreeSet::new(),
            links: BTreeMap::new(),
            open: vec![0; pattern.profiles.len()],
            random: Pcg64::seed_from_u64(seed ^ 0x5eed),
            members_random: Pcg64::seed_from_u64(seed ^ 0x3e3b),
            cache_random: Pcg64::seed_from_u64(seed ^ 0xcac4e),
            tally: Tally::default(),
            arrivals,
            pattern,
        };
        world.set_up();
        world
    }

    /// Runs to the end and returns the results.
    pub fn run(mut self) -> Tally {
        let last = self.pattern.seconds * 1_000 + DRAIN_MS;
        while let Some(Reverse((at_ms, key))) = self.events.pop() {
            if at_ms > last || self.is_over(at_ms) {
                break;
            }
            self.now_ms = at_ms;
            if let Some(event) = self.waiting.remove(&key) {
                self.handle(event);
            }
        }
        self.close()
    }

    fn set_up(&mut self) {
        for (index, profile) in self.pattern.profiles.clone().into_iter().enumerate() {
            self.tally.weights.push(f64::from(profile.spec.weight));
            for entry in &mut self.entries {
                entry.set_account(account::Key(index as u32), profile.spec.clone());
            }
        }
        for entry in 0..self.entries.len() {
            self.update_members(entry);
        }
        for place in 0..self.pattern.replicas {
            self.add_replica(place);
        }
        for (index, arrival) in self.arrivals.clone().iter().enumerate() {
            self.tally.outcomes.push(Outcome {
                account: arrival.account,
                cost: f64::from(arrival.prompt) + OUTPUT_WEIGHT * f64::from(arrival.output),
                ..Outcome::default()
            });
            self.schedule(arrival.at_ms, Event::Submit(index));
        }
        for (index, (at_ms, _)) in self.pattern.faults.clone().iter().enumerate() {
            self.schedule(*at_ms, Event::Fault(index));
        }
        self.schedule(self.pattern.reports.period_ms, Event::SendReports);
        if let Some(events) = self.pattern.cache_events {
            self.schedule(events.period_ms, Event::SendCacheEvents);
        }
        self.schedule(DIGEST_PERIOD_MS, Event::SendDigests);
        self.start_exchange();
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Submit(request) => self.submit(request),
            Event::Step(engine) => self.finish_step(engine),
            Event::Ended(entry, id, end, generated) => self.deliver_end(entry, id, end, generated),
            Event::CheckPatience(id, generated) => self.check_patience(id, generated),
            Event::Wake(entry) => {
                self.wakes[entry] = None;
                self.call_policy(entry, |policy, now, out| policy.poll(now, out));
            }
            Event::SendReports => self.send_reports(),
            Event::Report(entry, engine, report) => self.deliver_report(entry, engine, report),
            Event::SendCacheEvents => self.send_cache_events(),
            Event::CacheUpdate(entry, engine, event) => {
                self.deliver_cache_event(entry, engine, event)
            }
            Event::Fault(index) => self.apply_fault(index),
            Event::Reclaimed(engine) => self.kill(engine),
            Event::Restart(place) => self.restart(place),
            Event::MembersChanged(entry) => self.update_members(entry),
            Event::SendDigests => self.send_digests(),
            Event::Digest(sender, digest) => self.deliver_digest(sender, &digest),
            Event::SendPaces => self.send_paces(),
            Event::Paces(paces) => self.deliver_paces(&paces),
            Event::SendSpeeds => self.send_speeds(),
            Event::Speeds(speeds) => self.deliver_speeds(&speeds),
            Event::Transferred(entry, from, to, sequence) => {
                self.finish_transfer(entry, from, to, *sequence)
            }
        }
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at_ms, self.sequence)));
        self.waiting.insert(self.sequence, event);
    }

    fn schedule_after(&mut self, ms: u64, event: Event) {
        self.schedule(self.now_ms + ms, event);
    }

    fn now(&self) -> Time {
        Time::from_millis(self.now_ms)
    }

    fn is_over(&self, at_ms: u64) -> bool {
        at_ms > self.pattern.seconds * 1_000
            && self.submissions.is_empty()
            && !self
                .waiting
                .values()
                .any(|event| matches!(event, Event::Submit(_)))
    }

    /// Calls an entry's policy and executes its decisions.
    fn call_policy(
        &mut self,
        entry: usize,
        act: impl FnOnce(&mut dyn Policy, Time, &mut Vec<Decision>),
    ) {
        if self.ended[entry] {
            return;
        }
        let now = self.now();
        let mut out = Vec::new();
        act(self.entries[entry].as_mut(), now, &mut out);
        for decision in out {
            self.execute(entry, decision);
        }
        self.schedule_wake(entry);
        let scheduler = self.entries[entry].scheduler();
        if scheduler.is_some_and(|scheduler| scheduler.take_urgent()) {
            self.send_digest(entry);
        }
    }

    fn schedule_wake(&mut self, entry: usize) {
        let Some(wake) = self.entries[entry].next_wake() else {
            return;
        };
        let wake = wake.as_millis().max(self.now_ms);
        if self.wakes[entry].is_none_or(|armed| wake < armed) {
            self.wakes[entry] = Some(wake);
            self.schedule(wake, Event::Wake(entry));
        }
    }

    fn close(mut self) -> Tally {
        for since in std::mem::take(&mut self.live_since).into_iter().flatten() {
            self.record_lifetime(since);
        }
        self.tally.seconds = self.pattern.seconds as f64;
        self.tally.computed = self.engines.iter().map(|engine| engine.computed).sum();
        for engine in &self.engines {
            self.tally.attempts += engine.submitted;
            self.tally.queued_inside += engine.queued;
            self.tally.max_surplus = self.tally.max_surplus.max(engine.max_surplus);
        }
        self.tally.unanswered = self.submissions.len() as u32;
        self.tally
    }
}
