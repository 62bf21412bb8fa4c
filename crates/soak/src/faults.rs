//! Applies the steps of a plan.

use std::cell::Cell;
use std::rc::Rc;

use clock::Span;
use mirror::document;
use mirror::document::Document;
use mirror::document::Kind;
use mirror::document::Route;
use rustix::process::Signal;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::task::JoinSet;

use crate::caller::Caller;
use crate::caller::Class;
use crate::caller::KEY;
use crate::crowd::Crowd;
use crate::entry::Entry;
use crate::entry::RESTART_TIME;
use crate::environment::Environment;
use crate::environment::HOST;
use crate::environment::Node;
use crate::environment::Port;
use crate::ledger::Cut;
use crate::ledger::Harm;
use crate::ledger::Target;
use crate::plan::Fault;
use crate::plan::Step;
use crate::promises;
use crate::proxy::Mode;
use crate::replica::Behavior;
use crate::replica::Replica;
use crate::stall;
use crate::stall::Part;
use crate::tables::Failure;

/// Services of plain calls; the route that changes alternates between them.
pub const APPS: [&str; 2] = ["app-a", "app-b"];
/// Service of streams.
pub const ENGINES: &str = "engines";
/// Time after which the row of a crashed replica is removed.
const ROW_REMOVAL_DELAY: Span = Span::from_millis(1_500);
/// Time for which a replica goes on after it announced that it leaves.
const LEAVE_TIME: Span = Span::from_millis(3_500);
/// Time from the removal of a replica's row until the one of another version is there.
const RELEASE_ABSENCE: Span = Span::from_millis(500);
/// Pause between two entries that are stopped in turn.
const STOP_PAUSE: Span = Span::from_millis(500);
/// Time between two prompts with a crashing part.
const PART_INTERVAL: Span = Span::from_millis(350);
/// Interval at which replicas are checked for one.
const HIT_CHECK_INTERVAL: Span = Span::from_millis(10);
/// Times that a replica is killed amid answers that only the end of their connections marks.
const KILLS_AMID_ANSWERS: usize = 2;
/// Share of such answers of that replica.
const UNDELIMITED_SHARE: f64 = 0.8;
/// Longest wait for such an answer, and interval at which it is looked for.
const PARTIAL_ANSWER_WAIT: Span = Span::from_millis(2_000);
const PARTIAL_ANSWER_INTERVAL: Span = Span::from_millis(2);
/// Number of the first caller that sends such prompts.
const FIRST_PART_CALLER: usize = 1_000;
/// Connections of a crowd, more than an entry has descriptors or, with large bodies, memory for.
const CROWD_SIZE: usize = 1_200;
/// Number of entries stopped in turn. Each takes its whole grace period while callers keep connections open.
const STOPS_IN_TURN: usize = 3;

/// All nodes of a run that faults act on.
pub struct Cluster {
    /// State shared by all nodes.
    pub environment: Rc<Environment>,
    /// Entries.
    pub entries: Vec<Rc<Entry>>,
    /// Replicas.
    pub replicas: Vec<Rc<Replica>>,
    /// Number of releases so far.
    pub releases: Cell<usize>,
}

impl Cluster {
    /// Applies a fault, and ends it after its duration.
    pub async fn apply(self: &Rc<Self>, step: &Step) {
        match step.fault {
            Fault::Kill(entry) => self.kill(&[entry]).await,
            Fault::KillAll => self.kill(&Vec::from_iter(0..self.entries.len())).await,
            Fault::Stop(entry) => self.entries[entry].stop().await,
            Fault::StopInTurn => {
                for entry in self.entries.iter().take(STOPS_IN_TURN) {
                    entry.stop().await;
                    wait(STOP_PAUSE).await;
                }
            }
            Fault::Pause(entry) => {
                let target = (Target::Entry(entry), Harm::Paused);
                let process = &self.entries[entry];
                let pause = || process.signal(Signal::STOP);
                let resume = || {
                    process.signal(Signal::CONT);
                    process.forget_notices();
                };
                self.hold_fault(target, step.duration, pause, resume).await;
            }
            Fault::Reload(entry) => self.entries[entry].signal(Signal::HUP),
            Fault::PartOfCore(entry) => self.run_in_slices(entry, step.duration).await,
            Fault::PauseAtEnd(entry, lead, pause) => self.pause_at_end(entry, lead, pause).await,
            Fault::SignalsAtStart(entry, series) => self.signal_at_start(entry, series).await,
            Fault::ReloadAmidStop(entry, after) => self.reload_amid_stop(entry, after).await,
            Fault::Callers(entry, mode) => {
                let proxy = &self.entries[entry].callers;
                let target = (Target::Entry(entry), Harm::CallersWay);
                self.disturb_link(target, step.duration, mode, |mode| proxy.set_mode(mode))
                    .await;
            }
            Fault::Peers(entry, mode) => {
                let proxy = &self.entries[entry].peers;
                let target = (Target::Entry(entry), Harm::OtherWay);
                self.disturb_link(target, step.duration, mode, |mode| proxy.set_mode(mode))
                    .await;
            }
            Fault::TablesWay(entry, mode) => {
                let proxy = &self.entries[entry].tables;
                let target = (Target::Entry(entry), Harm::OtherWay);
                self.disturb_link(target, step.duration, mode, |mode| proxy.set_mode(mode))
                    .await;
            }
            Fault::ReplicaWay(replica, mode) => {
                let proxy = &self.replicas[replica].proxy;
                let target = (Target::Replica(replica), Harm::OtherWay);
                self.disturb_link(target, step.duration, mode, |mode| proxy.set_mode(mode))
                    .await;
            }
            Fault::Tables(failure) => {
                let tables = &self.environment.tables;
                let begin = || tables.set_failure(failure);
                let end = || tables.set_failure(Failure::None);
                self.hold_fault((Target::Tables, Harm::Failing), step.duration, begin, end)
                    .await;
            }
            Fault::Forget => self.environment.tables.drop_history(),
            Fault::Crash(replica) => self.crash(replica, step.duration).await,
            Fault::Leave(replica) => self.leave(replica, step.duration).await,
            Fault::LeaveUnlisted(replica) => self.leave_unlisted(replica, step.duration).await,
            // Requests that a replica turns away are no fault for their callers.
            Fault::TurnAway(replica, share) => {
                let replica = &self.replicas[replica];
                replica.set_behavior(Behavior::TurnsAway(share));
                wait(step.duration).await;
                replica.set_behavior(Behavior::Good);
            }
            Fault::CutOff(entry, open) => self.cut_off(entry, open, step.duration).await,
            Fault::Brittle(first) => self.make_brittle(first, step.duration).await,
            Fault::CrashPart(number) => self.crash_on_part(number, step.duration).await,
            Fault::Undelimited(replica, absence) => {
                for _ in 0..KILLS_AMID_ANSWERS {
                    self.kill_amid_answer(replica, absence, step.duration).await;
                }
            }
            // To other callers of the entry, a crowd is no fault.
            Fault::Crowd(entry, misbehavior) => {
                let network = self.environment.network;
                let address = network.address(Node::Entry(entry), Port::Requests);
                let member = misbehavior.member(&crowd_head());
                let start = self.environment.clock.now();
                let crowded = (entry, start, start + step.duration);
                self.environment.ledger.borrow_mut().crowds.push(crowded);
                let crowd = Crowd::start(address, CROWD_SIZE, &member);
                if let Err(error) = &crowd {
                    eprintln!("crowd at entry {entry}: {error:#}");
                }
                wait(step.duration).await;
                self.entries[entry].check_memory();
                drop(crowd);
            }
            Fault::Works(replica, behavior) => {
                let replica = &self.replicas[replica];
                let target = (Target::Replica(replica.index), Harm::Failing);
                let begin = || replica.set_behavior(behavior);
                let end = || replica.set_behavior(Behavior::Good);
                self.hold_fault(target, step.duration, begin, end).await;
            }
            Fault::Release => self.release(step.duration).await,
            Fault::KillTogether(first, count) => self.kill(&self.together(first, count)).await,
            Fault::TablesRefuse(first, count) => {
                self.refuse_tables(&self.together(first, count), step.duration)
                    .await;
            }
            Fault::Configure => self.configure(),
        }
    }

    /// Publishes a configuration that switches the route that changes to the other service.
    pub fn configure(&self) {
        let mut ledger = self.environment.ledger.borrow_mut();
        let version = ledger.configured_services.len() as u64 + 1;
        let service = SmolStr::new_static(APPS[version as usize % APPS.len()]);
        let document = build_document(version, service.clone());
        let tables = &self.environment.tables;
        tables.put(document::TABLE, document::KEY, Some(document.encode()));
        ledger
            .configured_services
            .push((self.environment.clock.now(), service));
    }

    /// Returns this number of entries from the first on.
    fn together(&self, first: usize, count: usize) -> Vec<usize> {
        let entries = self.entries.len();
        (first..first + count)
            .map(|entry| entry % entries)
            .collect()
    }

    /// Lets the table service refuse some entries.
    async fn refuse_tables(&self, entries: &[usize], duration: Span) {
        let begin = |entry: &usize| {
            self.environment.tables.refuse(*entry, true);
            self.begin_disturbance((Target::Entry(*entry), Harm::Failing))
        };
        let disturbances: Vec<usize> = entries.iter().map(begin).collect();
        wait(duration).await;
        for (entry, disturbance) in entries.iter().zip(disturbances) {
            self.environment.tables.refuse(*entry, false);
            self.end_disturbance(disturbance);
        }
    }

    /// Replaces the replicas of streams by ones of the next version, one after the other. Before it is through, another
    /// release may begin.
    async fn release(self: &Rc<Self>, duration: Span) {
        let version = self.releases.get() + 1;
        self.releases.set(version);
        let is_engine = |replica: &&Rc<Replica>| replica.service == ENGINES;
        let engines: Vec<_> = self.replicas.iter().filter(is_engine).collect();
        let interval = Span::from_millis(duration.as_millis() / engines.len() as u64);
        let mut leaving = JoinSet::new();
        for engine in engines {
            engine.plan_release(version);
            // One that another release replaces now comes back with this version.
            if !engine.is_leaving() {
                let (cluster, index) = (Rc::clone(self), engine.index);
                leaving.spawn_local(stall::timed(Part::Faults, async move {
                    cluster.leave(index, RELEASE_ABSENCE).await;
                }));
            }
            wait(interval).await;
        }
        while leaving.join_next().await.is_some() {}
    }

    async fn kill(&self, entries: &[usize]) {
        let now = self.environment.clock.now();
        let disturbances: Vec<usize> = entries
            .iter()
            .map(|entry| self.begin_disturbance((Target::Entry(*entry), Harm::Killed)))
            .collect();
        for entry in entries {
            self.entries[*entry].signal(Signal::KILL);
        }
        wait(RESTART_TIME).await;
        for disturbance in disturbances {
            let mut ledger = self.environment.ledger.borrow_mut();
            ledger.end_disturbance(disturbance, now + RESTART_TIME);
        }
    }

    /// Cuts an entry off from all replicas. For its callers that is no fault.
    async fn cut_off(&self, entry: usize, open: Mode, duration: Span) {
        let set = |mode| {
            for way in &self.entries[entry].ways {
                way.set_mode(mode);
            }
        };
        let start = self.environment.clock.now();
        self.environment.ledger.borrow_mut().cuts.push(Cut {
            entry,
            start,
            end: start + duration,
        });
        set(Mode::Refuse);
        if open == Mode::Reset {
            // New connections are refused before the entry notices that open ones broke.
            tokio::task::yield_now().await;
            set(Mode::Sever);
        }
        wait(duration).await;
        set(Mode::Pass);
    }

    /// Makes all replicas of a service brittle.
    async fn make_brittle(&self, first: usize, duration: Span) {
        let service = &self.replicas[first].service;
        let replicas = || self.replicas.iter().filter(|one| one.service == *service);
        let start = self.environment.clock.now();
        for replica in replicas() {
            replica.set_behavior(Behavior::Brittle(start));
        }
        wait(duration).await;
        for replica in replicas() {
            replica.set_behavior(Behavior::Good);
        }
        let end = self.environment.clock.now();
        let mut ledger = self.environment.ledger.borrow_mut();
        let replicas: Vec<usize> = replicas().map(|one| one.index).collect();
        promises::check_brittle(&mut ledger, &replicas, start, end);
    }

    /// Lets replicas crash on a part of prompts, and sends such prompts to entries in turn.
    async fn crash_on_part(self: &Rc<Self>, number: u64, duration: Span) {
        let environment = &self.environment;
        let part = format_smolstr!("{number:x}");
        environment.crash_parts.borrow_mut().insert(part.clone());
        let end = environment.clock.now() + duration;
        let mut asking = JoinSet::new();
        let mut count = 0;
        while environment.clock.now() < end {
            let caller = FIRST_PART_CALLER + (number % 1_000) as usize * 1_000 + count;
            let caller = Caller::new(Rc::clone(environment), caller, self.entries.len());
            let prompt = caller.ask_with_part(part.clone());
            asking.spawn_local(stall::timed(Part::Callers, prompt));
            count += 1;
            wait(PART_INTERVAL).await;
        }
        while asking.join_next().await.is_some() {}
        environment.crash_parts.borrow_mut().remove(&part);
        let now = environment.clock.now();
        promises::check_part(&mut environment.ledger.borrow_mut(), &part, now);
    }

    /// Ends replicas that began to answer a prompt with a crashing part.
    pub async fn crash_hit_replicas(self: Rc<Self>) {
        loop {
            wait(HIT_CHECK_INTERVAL).await;
            for replica in self.replicas.iter().filter(|replica| replica.take_hit()) {
                let (cluster, index) = (Rc::clone(&self), replica.index);
                stall::spawn(Part::Faults, async move {
                    cluster.crash(index, ROW_REMOVAL_DELAY).await;
                });
            }
        }
    }

    /// Lets a replica answer with neither a length nor chunks, which is no fault, and ends it amid such an answer.
    async fn kill_amid_answer(&self, index: usize, absence: Option<Span>, duration: Span) {
        let replica = &self.replicas[index];
        replica.set_behavior(Behavior::Undelimited(UNDELIMITED_SHARE));
        wait(duration).await;
        let until = self.environment.clock.now() + PARTIAL_ANSWER_WAIT;
        while !replica.has_partial_answer() && self.environment.clock.now() < until {
            wait(PARTIAL_ANSWER_INTERVAL).await;
        }
        match absence {
            None => self.crash(index, duration).await,
            Some(absence) => {
                let disturbance = self.begin_disturbance((Target::Replica(index), Harm::Killed));
                self.end_process(replica).await;
                wait(absence).await;
                self.restart(replica).await;
                self.end_disturbance(disturbance);
            }
        }
    }

    /// Ends a replica's process: its host refuses connections, and open ones end.
    async fn end_process(&self, replica: &Replica) {
        self.set_down(replica.index, true).await;
        replica.crash();
    }

    async fn restart(&self, replica: &Replica) {
        replica.restart();
        // The process listens before its proxies do.
        tokio::task::yield_now().await;
        self.set_down(replica.index, false).await;
    }

    /// Lets all proxies in front of a replica refuse connections, or accept them again.
    async fn set_down(&self, replica: usize, is_down: bool) {
        self.replicas[replica].proxy.set_down(is_down);
        for way in self
            .entries
            .iter()
            .filter_map(|entry| entry.ways.get(replica))
        {
            way.set_down(is_down);
        }
        // Listeners are closed before entries notice that connections broke.
        tokio::task::yield_now().await;
    }

    async fn crash(&self, replica: usize, duration: Span) {
        let replica = &self.replicas[replica];
        let disturbance = self.begin_disturbance((Target::Replica(replica.index), Harm::Killed));
        self.end_process(replica).await;
        wait(ROW_REMOVAL_DELAY).await;
        replica.remove_row();
        wait(duration).await;
        self.restart(replica).await;
        self.end_disturbance(disturbance);
    }

    async fn leave(&self, replica: usize, duration: Span) {
        let replica = &self.replicas[replica];
        replica.announce_leaving();
        self.finish_leave(replica, duration).await;
    }

    async fn leave_unlisted(&self, replica: usize, duration: Span) {
        let replica = &self.replicas[replica];
        replica.announce_leaving_in_answers();
        self.finish_leave(replica, duration).await;
    }

    async fn finish_leave(&self, replica: &Replica, duration: Span) {
        wait(LEAVE_TIME).await;
        replica.remove_row();
        self.crash(replica.index, duration).await;
    }

    async fn disturb_link(
        &self,
        target: (Target, Harm),
        duration: Span,
        mode: Mode,
        set: impl Fn(Mode),
    ) {
        self.hold_fault(target, duration, || set(mode), || set(Mode::Pass))
            .await;
    }

    /// Holds a fault that harms a target so.
    pub(crate) async fn hold_fault(
        &self,
        target: (Target, Harm),
        duration: Span,
        begin: impl Fn(),
        end: impl Fn(),
    ) {
        let disturbance = self.begin_disturbance(target);
        begin();
        wait(duration).await;
        end();
        self.end_disturbance(disturbance);
    }

    /// Records that a fault begins, for [`Cluster::end_disturbance`].
    pub(crate) fn begin_disturbance(&self, (target, harm): (Target, Harm)) -> usize {
        let now = self.environment.clock.now();
        self.environment
            .ledger
            .borrow_mut()
            .begin_disturbance(target, harm, now)
    }

    /// Records that a fault ends.
    pub(crate) fn end_disturbance(&self, disturbance: usize) {
        let now = self.environment.clock.now();
        self.environment
            .ledger
            .borrow_mut()
            .end_disturbance(disturbance, now);
    }
}

/// Returns the beginning of a request of a crowd.
fn crowd_head() -> String {
    let class = Class::Idempotent.name();
    format!("POST /{class}/crowd HTTP/1.1\r\nHost: {HOST}\r\n")
}

pub(crate) async fn wait(span: Span) {
    tokio::time::sleep(span.as_duration()).await;
}

fn build_document(version: u64, rerouted_service: SmolStr) -> Document {
    let route = |(class, _): (Class, u32)| {
        let (kind, service) = match class {
            Class::Idempotent => (Kind::Idempotent, SmolStr::new_static(APPS[0])),
            Class::NonIdempotent => (Kind::NonIdempotent, SmolStr::new_static(APPS[0])),
            Class::Stream => (Kind::Stream, SmolStr::new_static(ENGINES)),
            Class::Rerouted => (Kind::Idempotent, rerouted_service.clone()),
        };
        Route {
            prefix: SmolStr::new_static(class.name()),
            kind,
            service,
            timeout_ms: class.timeout().as_millis(),
            attempts: 2,
        }
    };
    Document {
        version,
        host: HOST.into(),
        routes: Class::ALL.into_iter().map(route).collect(),
        engines: vec![ENGINES.into()],
        services: APPS.iter().map(SmolStr::new).collect(),
        accounts: vec![("soak".into(), KEY.into())],
    }
}
