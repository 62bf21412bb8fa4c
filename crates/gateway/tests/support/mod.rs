//! A simulated cluster of gateways over one table service, without sockets, that tests drive step by step.

#![allow(dead_code)]

pub mod slow_store;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::rc::Rc;

use bytes::Bytes;
use clock::Span;
use clock::Time;
use gateway::arrival::Arrival;
use gateway::arrival::Continuation;
use gateway::arrival::Prompt;
use gateway::attempt::End;
use gateway::attempt::Report;
use gateway::bulletin::Bulletin;
use gateway::catalog::Account;
use gateway::catalog::Catalog;
use gateway::catalog::Engine;
use gateway::catalog::Limits;
use gateway::catalog::Repeat;
use gateway::catalog::Route;
use gateway::catalog::Scaling;
use gateway::catalog::Service;
use gateway::catalog::Share;
use gateway::configs::gateway::Settings;
use gateway::duty;
use gateway::effect::Command;
use gateway::effect::Effect;
use gateway::event::Event;
use gateway::event::Source;
use gateway::gateway::Gateway;
use gateway::gateway::Status;
use gateway::identity::Identity;
use gateway::limits::Stated;
use gateway::notice::Notice;
use gateway::plan::Count;
use lease::holder;
use member::digest::Digest;
use member::digest::Item;
use member::digest::Topic;
use policy::charge::Charge;
use policy::mix::Market;
use policy::pace::Rate;
use rollout::order::Order;
use slow_store::SlowStore;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use store::call::Address;
use store::call::Call;
use store::call::Outcome;
use store::call::Row;
use store::call::Transaction;
use store::call::Write;
use store::fake::Table;
use verdict::Refusal;
use verdict::Verdict;
use watch::server::Reading;
use watch::server::Removal;
use watch::server::Server;
use watch::server::Update;

pub const ACCOUNT: &str = "amber";
pub const SERVICE: &str = "drafts";
pub const KEY: &str = "amber-key";
/// Key of another account, with the same rights.
pub const OTHER_KEY: &str = "birch-key";
/// A service that shares a route with [`SERVICE`], and has no servers at the start.
pub const OTHER_SERVICE: &str = "sketches";
/// Ranks of the routes of [`World::ranked`], whose prefixes are `/rank-0/` and so on.
pub const RANKS: [u8; 3] = [0, 1, 2];
/// Accounts of [`World::ranked`], whose keys are `key-0` and so on.
pub const RANKED_ACCOUNTS: usize = 5;
/// Timeout of the long polls with which an entry follows the list of servers.
const POLL_MILLIS: u64 = 10_000;
const STEP_MS: u64 = 10;
/// Time in which entries learn of each other, of a restore and of the default version.
pub const JOIN_MILLIS: u64 = 3_000;
/// Time between two reads of the list of servers by an entry that follows it.
const READ_INTERVAL_MILLIS: u64 = 500;
/// Streams among which one of each version is expected; prompts spread them over all servers.
const MAX_STREAMS: usize = 40;
/// Time between two checks of who holds the duties, milliseconds.
const HOLDER_CHECK_MS: u64 = 50;
const ZONES: [&str; 3] = ["north", "south", "west"];
/// Unix time at the start, at which a usage window begins.
const ZERO_UNIX_MS: u64 = 1_000_000_000;
/// Servers per zone at the start.
const SERVERS: usize = 3;

/// A call that an entry made as the holder of the duties.
#[derive(Clone, Debug, PartialEq)]
pub struct DutyCall {
    pub made_at: u64,
    pub entry: usize,
    pub call: duty::Call,
}

/// A request that an entry sent to a server.
#[derive(Clone, Debug)]
pub struct SentRequest {
    pub sent_at: u64,
    pub entry: usize,
    pub serial: u64,
    pub attempt: u32,
    pub server: SmolStr,
    /// Priority in the server's queue of prompts, the lowest number first.
    pub urgency: Option<u8>,
    /// Whether only the listed process of the server may get it.
    pub bound_to_process: bool,
    /// Longest wait of its first event for its record; `None` if it needn't wait.
    pub record_timeout: Option<Span>,
}

/// A request that an entry refused by its plan.
#[derive(Clone, Debug)]
pub struct Shed {
    pub at: u64,
    pub entry: usize,
    /// Id of the request.
    pub request: SmolStr,
    pub level: u8,
    /// Age of the counts that the plan was computed from, milliseconds.
    pub plan_age: u64,
}

/// A pending charge that one entry asked another for.
#[derive(Clone, Copy)]
struct Requester {
    entry: usize,
    serial: u64,
    charge: Charge,
    home: holder::Id,
}

/// What a configuration holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Document {
    /// One account with a quota, and one service.
    Usual,
    /// The same without a quota.
    Unlimited,
    /// The same with a burst of one second.
    Steady,
    /// Another account beside it, and a route to two services.
    Extended,
    /// The same without quotas.
    Shared,
    /// Accounts without quotas, and a route for each of [`RANKS`].
    Ranked,
}

/// The process of an entry.
struct Process {
    gateway: Gateway,
    /// Number of its life.
    life: u64,
    /// Simulated time at its start, the zero of its clock.
    started_at: u64,
    /// Revision of the list that its feed delivered last; none once the feed has failed.
    list_revision: Option<u64>,
    /// When its feed last answered.
    list_confirmed_at: u64,
}

/// Entries, their table service, and a record of their effects.
pub struct World {
    pub now: u64,
    pub table: Table,
    /// Calls made by holders of the duties, in order.
    pub duty_calls: Vec<DutyCall>,
    /// Whether answers to calls of the duties get lost.
    pub duty_answers_lost: bool,
    /// Refusals received by callers, by reason.
    pub refused: BTreeMap<SmolStr, u32>,
    /// Refusals by the id of the request.
    pub refusals: BTreeMap<SmolStr, Refusal>,
    /// Requests that were refused by a plan, in order.
    pub sheds: Vec<Shed>,
    /// Number of attempts sent to a replica.
    pub attempts_started: u32,
    /// Server that each request was last sent to, by serial number.
    pub servers_by_request: BTreeMap<u64, SmolStr>,
    /// Requests sent to servers, in order.
    pub sent_requests: Vec<SentRequest>,
    /// Attempts that were stopped: serial and attempt numbers.
    pub stopped: BTreeSet<(u64, u32)>,
    /// Entries named in the last answer to a caller.
    named_entries: Vec<SmolStr>,
    /// Requests whose first events wait until their version is recorded.
    pub awaiting_record: BTreeSet<u64>,
    /// Longest wait for the record of each of them.
    pub record_timeouts: BTreeMap<u64, Span>,
    /// Runs ordered to move: serial number and target server.
    pub moved_runs: Vec<(u64, SmolStr)>,
    /// Log lines of all entries by event.
    log_counts: BTreeMap<&'static str, u32>,
    /// Whether no call of the table service is answered.
    pub store_unresponsive: bool,
    /// Start of the names of the tables whose writes fail.
    pub failing_table: Option<&'static str>,
    /// Entries whose calls of the table service aren't answered.
    pub store_partitioned: BTreeSet<usize>,
    /// Takes time for calls, and fails some of them; `None` if each is answered at once.
    pub slow_store: Option<SlowStore>,
    /// Log lines of the decisions on versions of streams, if they are kept.
    pub version_log: Option<Vec<String>>,
    /// Number of availability zones for entries that start from now on.
    pub zones: usize,
    /// Additional reads of the list of servers that each entry requested.
    pub list_reads: BTreeMap<usize, u32>,
    /// Entries whose additional reads are yet to be answered.
    requested_reads: BTreeSet<usize>,
    /// Whether each entry reads the list of servers, by its latest effect.
    pub reads_list: BTreeMap<usize, bool>,
    /// Hub sums received by each entry.
    pub sums_received: BTreeMap<usize, u32>,
    /// Hub sums sent by each entry.
    pub sums_sent: BTreeMap<usize, u32>,
    /// Latest counts that each entry sent of its own.
    pub counts_sent: BTreeMap<usize, Bulletin>,
    /// Time since the request for an answer about the list of servers that is delivered, milliseconds.
    request_age: u64,
    /// Milliseconds by which messages to an entry are late.
    pub message_delays: BTreeMap<usize, u64>,
    /// Messages on their way, with the time of their arrival, by receiver.
    delayed_messages: BTreeMap<usize, VecDeque<(u64, Event)>>,
    /// Entries that are paused.
    pub frozen: BTreeSet<usize>,
    /// Events that reached paused entries, in order.
    held_events: BTreeMap<usize, Vec<Event>>,
    /// Entries cut off from all messages.
    pub partitioned: BTreeSet<usize>,
    /// Entries on one side of a partition, which exchange messages among themselves only.
    pub separated: BTreeSet<usize>,
    /// Whether a charge sent to an unreachable entry gets no answer instead of an immediate failure.
    pub charges_hang: bool,
    /// Whether charges are held back until [`World::answer_charges`].
    pub delay_charges: bool,
    /// Held charges with the entries that they are for.
    delayed_charges: Vec<(usize, Event)>,
    /// Number of charges that each entry decided for others.
    pub charges_decided: BTreeMap<usize, u32>,
    /// Pending charges by requester number.
    requesters: Vec<Requester>,
    pub version: u64,
    /// What configurations hold.
    document: Document,
    /// Path of the streams that callers begin.
    stream_path: SmolStr,
    /// Weights of the two services that share a route; one without a weight isn't in it.
    pub weights: [f64; 2],
    /// Closed servers with the entry that closed each.
    pub closed_servers: Vec<(usize, SmolStr)>,
    pub servers: Vec<Server>,
    /// Revision of the list of servers.
    pub list_revision: u64,
    /// Configured capacities of entries, if not the default.
    capacities: BTreeMap<usize, u8>,
    /// Milliseconds by which entries' wall clocks are ahead.
    clock_leads: BTreeMap<usize, u64>,
    settings: Settings,
    processes: Vec<Option<Process>>,
    next_life: u64,
    next_serial: u64,
}

impl World {
    /// Starts entries with default settings, each with the configuration and the list of servers.
    pub fn new(entries: usize) -> World {
        World::with_settings(entries, default_settings(entries))
    }

    /// Starts entries with the given settings.
    pub fn with_settings(entries: usize, settings: Settings) -> World {
        World::start_all(entries, settings, Document::Usual)
    }

    /// Starts entries with default settings, whose only account has no quota.
    pub fn unlimited(entries: usize) -> World {
        World::start_all(entries, default_settings(entries), Document::Unlimited)
    }

    /// Starts entries with the given settings, whose only account may use a second of its quota at once.
    pub fn steady(entries: usize, settings: Settings) -> World {
        World::start_all(entries, settings, Document::Steady)
    }

    /// Starts entries with default settings, whose configuration has another account and a route to two services.
    pub fn extended(entries: usize) -> World {
        World::start_all(entries, default_settings(entries), Document::Extended)
    }

    /// Starts entries with default settings, whose configuration has a route to two services, which streams use.
    pub fn shared(entries: usize) -> World {
        let mut world = World::start_all(entries, default_settings(entries), Document::Shared);
        world.stream_path = SmolStr::new_static("/shared/1");
        world
    }

    /// Starts entries whose configuration has a route for each of [`RANKS`] and [`RANKED_ACCOUNTS`] accounts, before
    /// servers with `slots` slots.
    pub fn ranked(entries: usize, settings: Settings, slots: u32) -> World {
        let mut world = World::start_all(entries, settings, Document::Ranked);
        for server in &mut world.servers {
            server.slots = slots;
        }
        world.publish_servers();
        world
    }

    fn start_all(entries: usize, settings: Settings, document: Document) -> World {
        let mut world = World {
            now: 0,
            table: Table::new(),
            duty_calls: Vec::new(),
            duty_answers_lost: false,
            refused: BTreeMap::new(),
            refusals: BTreeMap::new(),
            sheds: Vec::new(),
            attempts_started: 0,
            servers_by_request: BTreeMap::new(),
            sent_requests: Vec::new(),
            stopped: BTreeSet::new(),
            named_entries: Vec::new(),
            awaiting_record: BTreeSet::new(),
            record_timeouts: BTreeMap::new(),
            moved_runs: Vec::new(),
            log_counts: BTreeMap::new(),
            store_unresponsive: false,
            failing_table: None,
            store_partitioned: BTreeSet::new(),
            slow_store: None,
            version_log: None,
            zones: 1,
            list_reads: BTreeMap::new(),
            requested_reads: BTreeSet::new(),
            reads_list: BTreeMap::new(),
            sums_received: BTreeMap::new(),
            sums_sent: BTreeMap::new(),
            counts_sent: BTreeMap::new(),
            request_age: 0,
            message_delays: BTreeMap::new(),
            delayed_messages: BTreeMap::new(),
            frozen: BTreeSet::new(),
            held_events: BTreeMap::new(),
            partitioned: BTreeSet::new(),
            separated: BTreeSet::new(),
            charges_hang: false,
            delay_charges: false,
            delayed_charges: Vec::new(),
            charges_decided: BTreeMap::new(),
            requesters: Vec::new(),
            version: 3,
            document,
            stream_path: SmolStr::new_static("/chats/1"),
            weights: [0.5, 0.5],
            closed_servers: Vec::new(),
            servers: initial_servers(),
            list_revision: 1,
            capacities: BTreeMap::new(),
            clock_leads: BTreeMap::new(),
            settings,
            processes: (0..entries).map(|_| None).collect(),
            next_life: 100,
            next_serial: 0,
        };
        for entry in 0..entries {
            world.start(entry);
        }
        world
    }

    /// Starts an entry's process at its usual addresses, replacing a running one.
    pub fn start(&mut self, entry: usize) {
        self.next_life += 1;
        let identity = Identity {
            name: format_smolstr!("entry-{entry}"),
            // Spread over all values, like random ones.
            incarnation: holder::Id(self.next_life.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            zone: SmolStr::new_static(ZONES[entry % self.zones]),
            caller_address: caller_address(entry),
            peer_address: peer_address(entry),
        };
        let mut settings = self.settings.clone();
        if let Some(capacity) = self.capacities.get(&entry) {
            settings.capacity = *capacity;
        }
        settings.zero_unix_ms = self.unix_ms() + self.clock_leads.get(&entry).copied().unwrap_or(0);
        self.processes[entry] = Some(Process {
            gateway: Gateway::new(identity, settings, self.next_life),
            life: self.next_life,
            started_at: self.now,
            list_revision: None,
            list_confirmed_at: self.now,
        });
        self.reads_list.remove(&entry);
        self.configure(entry, self.version, Source::Store);
        self.send_servers(entry);
    }

    /// Restarts an entry with a wall clock that is ahead.
    pub fn restart_with_clock_ahead(&mut self, entry: usize, millis: u64) {
        self.clock_leads.insert(entry, millis);
        self.start(entry);
    }

    /// Sets an entry's capacity as of its next start.
    pub fn set_capacity(&mut self, entry: usize, capacity: u8) {
        self.capacities.insert(entry, capacity);
    }

    /// Returns the true Unix time.
    pub fn unix_ms(&self) -> u64 {
        ZERO_UNIX_MS + self.now
    }

    /// Lets a paused entry go on: it handles what has reached it meanwhile.
    pub fn thaw(&mut self, entry: usize) {
        self.frozen.remove(&entry);
        for event in self.held_events.remove(&entry).unwrap_or_default() {
            self.step(entry, event);
        }
    }

    /// Kills an entry's process.
    pub fn kill(&mut self, entry: usize) {
        self.frozen.remove(&entry);
        self.held_events.remove(&entry);
        self.processes[entry] = None;
    }

    /// Delivers a version of the configuration to an entry.
    pub fn configure(&mut self, entry: usize, version: u64, source: Source) {
        let catalog = Rc::new(catalog(version, self.document, self.weights));
        let document = Bytes::from(version.to_string());
        self.step(
            entry,
            Event::Configured {
                catalog,
                document,
                source,
            },
        );
    }

    /// Delivers the next version of the configuration to all entries.
    pub fn reconfigure(&mut self) {
        self.version += 1;
        for entry in 0..self.processes.len() {
            self.configure(entry, self.version, Source::Store);
        }
    }

    /// Delivers the whole list of servers to all entries.
    pub fn publish_servers(&mut self) {
        let all: Vec<usize> = (0..self.processes.len()).collect();
        self.publish_to(&all);
    }

    /// Delivers the whole list of servers to some entries.
    pub fn publish_to(&mut self, entries: &[usize]) {
        self.list_revision += 1;
        for entry in entries {
            self.send_servers(*entry);
        }
    }

    /// Delivers to an entry the removal of a server's row, as its feed does.
    pub fn send_removal(&mut self, entry: usize, id: &SmolStr) {
        let removed = vec![Removal {
            id: id.clone(),
            revision: self.list_revision,
        }];
        let reading = Reading {
            revision: self.list_revision,
            update: Update::Changes {
                written: Vec::new(),
                removed,
            },
        };
        self.read_servers(entry, reading);
    }

    /// Removes the last server's row without delivering the change.
    pub fn remove_server(&mut self) -> Server {
        self.list_revision += 1;
        self.servers.pop().expect("a server")
    }

    /// Adds a server without delivering the change.
    pub fn add_server(&mut self) -> Server {
        self.list_revision += 1;
        let number = self.servers.len();
        let server = Server {
            incarnation: format_smolstr!("s{number}#1"),
            id: format_smolstr!("s{number}"),
            address: format_smolstr!("10.1.0.{number}:80"),
            ..self.servers[0].clone()
        };
        self.servers.push(server.clone());
        server
    }

    /// Orders a roll-out, which all entries read.
    pub fn order_rollout(&mut self, to: &str, within: Span) -> Order {
        self.list_revision += 1;
        let order = Order {
            service: SmolStr::new_static(SERVICE),
            to: SmolStr::new(to),
            within,
            revision: self.list_revision,
        };
        self.order_again(&order);
        order
    }

    /// Delivers the last order for a roll-out to all entries again, as to those that have started since.
    pub fn order_again(&mut self, order: &Order) {
        for entry in 0..self.processes.len() {
            self.step(entry, Event::RolloutOrdered(order.clone()));
        }
    }

    /// Withdraws all orders for roll-outs.
    pub fn withdraw_rollout(&mut self) {
        for entry in 0..self.processes.len() {
            self.step(entry, Event::RolloutsKnown(Vec::new()));
        }
    }

    /// Sends a request; returns its serial number and the server that got it, if any.
    pub fn start_request(&mut self, entry: usize) -> Option<(u64, SmolStr)> {
        let serial = self.request(entry);
        let place = self.servers_by_request.get(&serial)?;
        Some((serial, place.clone()))
    }

    /// Answers a request, successfully or with a failure.
    pub fn finish_request(&mut self, entry: usize, serial: u64, fails: bool) {
        match fails {
            true => self.report(entry, serial, Report::Ended(End::Failed { status: 500 })),
            false => self.answer(entry, serial),
        }
    }

    /// Reports to an entry that it can't follow the list of servers.
    pub fn fail_list(&mut self, entry: usize) {
        if let Some(process) = &mut self.processes[entry] {
            process.list_revision = None;
        }
        self.step(entry, Event::ServersLost);
    }

    /// Sends a request every 20 ms for `millis`; returns how many reach `server`.
    pub fn count_requests_to(&mut self, entry: usize, server: &Server, millis: u64) -> usize {
        let end = self.now + millis;
        let mut handed = 0;
        while self.now < end {
            self.serve(entry);
            let place = self.servers_by_request.get(&self.next_serial);
            handed += usize::from(place == Some(&server.incarnation));
            self.run(20);
        }
        handed
    }

    /// Confirms now and then that the list of servers hasn't changed, as the long polls of a feed do.
    fn confirm_servers(&mut self, entry: usize) {
        let is_cut_off = self.store_unresponsive || self.store_partitioned.contains(&entry);
        let Some(process) = self.processes[entry].as_ref().filter(|_| !is_cut_off) else {
            return;
        };
        let is_current = process.list_revision == Some(self.list_revision);
        if is_current && self.now - process.list_confirmed_at >= POLL_MILLIS {
            let reading = Reading {
                revision: self.list_revision,
                update: Update::Changes {
                    written: Vec::new(),
                    removed: Vec::new(),
                },
            };
            self.read_servers(entry, reading);
        }
    }

    /// Delivers the whole list of servers to an entry that requested an additional read, once it reaches the table service.
    fn answer_requested_read(&mut self, entry: usize) {
        let is_cut_off = self.store_unresponsive || self.store_partitioned.contains(&entry);
        if !is_cut_off && self.requested_reads.remove(&entry) {
            self.send_servers(entry);
        }
    }

    /// Delivers an answer of the feed of servers that was requested just now.
    fn read_servers(&mut self, entry: usize, reading: Reading) {
        let Some(process) = &mut self.processes[entry] else {
            return;
        };
        process.list_revision = Some(reading.revision);
        process.list_confirmed_at = self.now;
        let requested_at = Time::from_millis(self.now - process.started_at - self.request_age);
        self.step(
            entry,
            Event::Servers {
                reading,
                requested_at,
            },
        );
    }

    /// Delivers the whole list of servers to an entry, which requested it some time ago.
    pub fn send_servers_requested(&mut self, entry: usize, millis_ago: u64) {
        self.request_age = millis_ago;
        self.send_servers(entry);
        self.request_age = 0;
    }

    /// Delivers the whole list of servers to an entry, as after a gap.
    pub fn send_servers(&mut self, entry: usize) {
        self.send_servers_as_of(entry, self.list_revision, self.servers.clone());
    }

    /// Delivers a list with rows written at `revision` to an entry.
    pub fn send_servers_as_of(&mut self, entry: usize, revision: u64, mut servers: Vec<Server>) {
        for server in &mut servers {
            server.revision = revision;
        }
        let reading = Reading {
            revision,
            update: Update::All(servers),
        };
        self.read_servers(entry, reading);
    }

    /// Delivers the whole list of servers to an entry, which requested it some time ago, with rows as they were written.
    pub fn send_rows_requested(&mut self, entry: usize, millis_ago: u64) {
        self.request_age = millis_ago.min(self.age_of(entry));
        let reading = Reading {
            revision: self.list_revision,
            update: Update::All(self.servers.clone()),
        };
        self.read_servers(entry, reading);
        self.request_age = 0;
    }

    /// Returns for how long an entry has run.
    fn age_of(&self, entry: usize) -> u64 {
        let process = self.processes[entry].as_ref();
        process.map_or(0, |process| self.now - process.started_at)
    }

    /// Sets the number of connections that an entry holds for peers.
    pub fn hold_tunnels(&mut self, entry: usize, open: usize) {
        self.step(entry, Event::TunnelsChanged { open });
    }

    /// Asks an entry to stop.
    pub fn stop(&mut self, entry: usize) {
        self.stop_pending(entry, 0);
    }

    /// Asks an entry to stop that stood still for so long with the request pending.
    pub fn stop_pending(&mut self, entry: usize, millis: u64) {
        let since = Time::from_millis(self.age_of(entry) - millis);
        self.step(entry, Event::StopRequested { since });
    }

    /// Delivers settings that an entry has read again.
    pub fn reload(&mut self, entry: usize, settings: Settings) {
        self.step(entry, Event::SettingsRead(Box::new(settings)));
    }

    /// Advances the time in steps, with a tick of every entry in each.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += STEP_MS;
            self.answer_slow_calls();
            for entry in 0..self.processes.len() {
                self.deliver_messages(entry);
                self.answer_requested_read(entry);
                self.confirm_servers(entry);
                self.step(entry, Event::Tick);
            }
        }
    }

    /// Advances the time while entries that follow the list of servers read it.
    pub fn run_following(&mut self, millis: u64) {
        for _ in 0..millis / READ_INTERVAL_MILLIS {
            self.run(READ_INTERVAL_MILLIS);
            for entry in self.readers() {
                self.send_servers(entry);
            }
        }
    }

    /// Returns the entries that read the list of servers.
    pub fn readers(&self) -> Vec<usize> {
        let reads = |entry: &usize| self.reads_list.get(entry) == Some(&true);
        let all = 0..self.processes.len();
        let reached = all.filter(|entry| !self.store_partitioned.contains(entry));
        reached.filter(reads).collect()
    }

    /// Delivers the answers of a slow table service that have arrived.
    fn answer_slow_calls(&mut self) {
        let Some(store) = &mut self.slow_store else {
            return;
        };
        for (entry, life, event) in store.advance(self.now, &mut self.table) {
            let process = self.processes[entry].as_ref();
            if process.is_some_and(|process| process.life == life) {
                self.step(entry, event);
            }
        }
    }

    /// Returns whether an entry runs.
    pub fn is_running(&self, entry: usize) -> bool {
        self.processes[entry].is_some()
    }

    /// Delivers the messages to an entry that have arrived.
    fn deliver_messages(&mut self, entry: usize) {
        let now = self.now;
        let mut arrived = Vec::new();
        if let Some(on_their_way) = self.delayed_messages.get_mut(&entry) {
            while let Some((_, event)) = on_their_way.pop_front_if(|(at, _)| *at <= now) {
                arrived.push(event);
            }
        }
        for event in arrived {
            self.step(entry, event);
        }
    }

    /// Sends a request and answers it at once; returns whether it reached a replica.
    pub fn serve(&mut self, entry: usize) -> bool {
        self.serve_path(entry, "/drafts/1")
    }

    /// Asks an entry for addresses and returns the entries it names.
    pub fn ask_addresses(&mut self, entry: usize) -> Vec<SmolStr> {
        let (requester, zone) = (1, None);
        self.step(entry, Event::AddressesRequested { requester, zone });
        std::mem::take(&mut self.named_entries)
    }

    /// Ends the latest attempt of a request.
    pub fn end_latest(&mut self, serial: u64, end: End) {
        let sent = self.latest_attempt(serial).cloned().expect("an attempt");
        self.end_attempt(&sent, end);
    }

    fn latest_attempt(&self, serial: u64) -> Option<&SentRequest> {
        let mut sent = self.sent_requests.iter();
        sent.rfind(|sent| sent.serial == serial)
    }

    /// Returns whether a request was refused as one that may have run; `None` if it wasn't refused.
    pub fn may_have_run(&self, serial: u64) -> Option<bool> {
        let refusal = self.refusals.get(&format_smolstr!("r{serial}"))?;
        Some(refusal.verdict == Verdict::MayHaveRun)
    }

    /// Sends a request on a public route, which stays unanswered.
    pub fn request_public(&mut self, entry: usize) {
        self.arrive(entry, "/open/1", None);
    }

    /// Answers a request, with a limit in requests per second if there is one.
    pub fn answer_with_limit(&mut self, sent: &SentRequest, limit: Option<f64>) {
        let event = Event::LimitReported {
            incarnation: sent.server.clone(),
            limit: Stated {
                rate: limit.and_then(Rate::per_second),
                rejections: None,
            },
        };
        self.step(sent.entry, event);
        self.answer_sent(sent);
    }

    /// Delivers an answer with the number of rejections that its server bears, and the end of the attempt.
    pub fn end_brittle(&mut self, sent: &SentRequest, rejections: Option<u32>, end: End) {
        let event = Event::LimitReported {
            incarnation: sent.server.clone(),
            limit: Stated {
                rate: None,
                rejections,
            },
        };
        self.step(sent.entry, event);
        self.end_attempt(sent, end);
    }

    /// Ends an attempt.
    pub fn end_attempt(&mut self, sent: &SentRequest, end: End) {
        self.report_on(sent, Report::Ended(end));
    }

    /// Delivers a server's notice to an entry, as in an answer.
    pub fn notify(&mut self, entry: usize, server: &SmolStr, notice: Notice) {
        let incarnation = server.clone();
        let event = Event::NoticeReceived {
            incarnation,
            notice,
        };
        self.step(entry, event);
    }

    /// Answers a request that the server did not start.
    pub fn turn_away(&mut self, sent: &SentRequest, pause: Span) {
        let notice = Notice {
            leaving: false,
            pause: Some(pause),
        };
        self.notify(sent.entry, &sent.server, notice);
        self.end_attempt(sent, End::NotStarted);
    }

    /// Answers a request successfully.
    pub fn answer_sent(&mut self, sent: &SentRequest) {
        let ended = Report::Ended(End::Finished {
            status: 200,
            tokens: 1,
            pause: Span::ZERO,
        });
        for report in [Report::ResponseStarted, ended] {
            let event = Event::Attempt {
                serial: sent.serial,
                attempt: sent.attempt,
                report,
            };
            self.step(sent.entry, event);
        }
    }

    /// Sends a request that stays unanswered; returns its serial number.
    pub fn request(&mut self, entry: usize) -> u64 {
        self.arrive(entry, "/drafts/1", None)
    }

    /// Disconnects the caller of a request.
    pub fn disconnect_caller(&mut self, entry: usize, serial: u64) {
        self.step(entry, Event::CallerDisconnected { serial });
    }

    /// Delivers the charges that were held back.
    pub fn answer_charges(&mut self) {
        for (to, event) in std::mem::take(&mut self.delayed_charges) {
            self.step(to, event);
        }
    }

    /// Like [`World::serve`], for a path.
    pub fn serve_path(&mut self, entry: usize, path: &str) -> bool {
        let before = self.attempts_started;
        let serial = self.arrive(entry, path, None);
        self.answer(entry, serial);
        self.attempts_started > before
    }

    /// Serves a request with `tokens` unshared prompt tokens, whose answer begins after `took` milliseconds.
    pub fn serve_prompt(&mut self, entry: usize, tokens: u32, took: u64) {
        let prompt = Prompt {
            tokens,
            max_new_tokens: 1,
            ..Prompt::default()
        };
        let serial = self.arrive(entry, "/drafts/1", Some(prompt));
        self.run(took);
        self.answer(entry, serial);
    }

    /// Starts a long stream that can't be resumed, and delivers its first event.
    pub fn stream(&mut self, entry: usize) -> u64 {
        let prompt = Prompt {
            tokens: 5_000,
            max_new_tokens: 4_000,
            ..Prompt::default()
        };
        let serial = self.arrive(entry, "/talks/1", Some(prompt));
        self.report(entry, serial, Report::ResponseStarted);
        serial
    }

    /// Starts a stream that can be resumed, without its first event; returns its serial number.
    pub fn open_stream(&mut self, entry: usize) -> u64 {
        self.converse(entry, None)
    }

    /// Starts a stream that can be resumed and delivers its first event, unless that must wait; returns its
    /// serial number and the version that began it, if any.
    pub fn begin_stream(&mut self, entry: usize) -> (u64, Option<SmolStr>) {
        let serial = self.converse(entry, None);
        if !self.awaiting_record.contains(&serial) {
            self.report(entry, serial, Report::ResponseStarted);
        }
        (serial, self.version_of(serial))
    }

    /// Lets all servers run v1 and, if `mixed`, adds as many of v2.
    pub fn released(mut self, mixed: bool) -> World {
        for server in &mut self.servers {
            server.version = "v1".into();
        }
        self.publish_servers();
        self.run(JOIN_MILLIS);
        if mixed {
            for _ in 0..self.servers.len() {
                self.add_server();
                self.servers.last_mut().expect("a server").version = "v2".into();
            }
            self.publish_servers();
            self.run(JOIN_MILLIS);
        }
        self
    }

    /// Begins streams until one began at `version`; returns its serial number.
    pub fn begin_stream_at(&mut self, entry: usize, version: &str) -> u64 {
        for _ in 0..MAX_STREAMS {
            let (serial, began) = self.begin_stream(entry);
            if began.as_deref() == Some(version) {
                return serial;
            }
            self.run(10);
        }
        panic!("no stream of {version}");
    }

    /// Takes up the stream that a request began; returns the version at which it goes on, if any.
    pub fn resume_stream(&mut self, entry: usize, began: u64) -> Option<SmolStr> {
        let continuation = Continuation {
            last_event: SmolStr::new_static("1"),
            began_as: Some(format_smolstr!("r{began}")),
        };
        let serial = self.converse(entry, Some(continuation));
        self.version_of(serial)
    }

    /// Starts a stream, or takes one up, with the id, key and path that its caller names, and delivers the first event
    /// unless that must wait; returns its serial number.
    pub fn converse_as(
        &mut self,
        entry: usize,
        caller: &Arrival,
        continuation: Option<Continuation>,
    ) -> u64 {
        self.next_serial += 1;
        let serial = self.next_serial;
        let arrival = Box::new(Arrival {
            continuation,
            ..caller.clone()
        });
        self.step(entry, Event::Arrived { serial, arrival });
        if !self.awaiting_record.contains(&serial) {
            self.report(entry, serial, Report::ResponseStarted);
        }
        serial
    }

    /// Returns the service of the server that a request was last sent to.
    pub fn service_of(&self, serial: u64) -> Option<SmolStr> {
        let incarnation = self.servers_by_request.get(&serial)?;
        let mut servers = self.servers.iter();
        let server = servers.find(|one| one.incarnation == *incarnation)?;
        Some(server.service.clone())
    }

    fn converse(&mut self, entry: usize, continuation: Option<Continuation>) -> u64 {
        let prompt = Some(Prompt {
            tokens: 100,
            max_new_tokens: 100,
            ..Prompt::default()
        });
        self.next_serial += 1;
        let path = self.stream_path.clone();
        let arrival = Arrival {
            continuation,
            ..new_arrival(self.next_serial, path, prompt)
        };
        let (serial, arrival) = (self.next_serial, Box::new(arrival));
        self.step(entry, Event::Arrived { serial, arrival });
        serial
    }

    /// Returns the serial number of the latest request.
    pub fn last_serial(&self) -> u64 {
        self.next_serial
    }

    /// Returns the version of the server that a request was last sent to.
    pub fn version_of(&self, serial: u64) -> Option<SmolStr> {
        let incarnation = self.servers_by_request.get(&serial)?;
        let mut servers = self.servers.iter();
        let server = servers.find(|one| one.incarnation == *incarnation)?;
        Some(server.version.clone())
    }

    /// Returns the number of recorded streams.
    pub fn stream_records(&mut self) -> usize {
        let names = (0..16).map(|table| format_smolstr!("streams-{table:x}"));
        names.map(|name| self.rows(name).len()).sum()
    }

    /// Delivers counts of ended entries to an entry, as a hub hands them over to another one.
    pub fn hand_over_counts(&mut self, entry: usize) {
        let payload = serde_json::to_vec(&Bulletin::default().past()).expect("a bulletin");
        let item = |ended: u64| Item {
            topic: Topic::Count,
            key: format_smolstr!("{}/{}", holder::Id(ended), holder::Id(1)),
            version: 1,
            age_ms: 0,
            payload: payload.clone(),
        };
        let digest = Digest {
            items: (10..20).map(item).collect(),
            ..Digest::default()
        };
        self.step(entry, Event::DigestReceived(digest));
    }

    /// Returns the Unix times, in milliseconds, until which streams are recorded.
    pub fn stream_record_ends(&mut self) -> Vec<u64> {
        let names = (0..16).map(|table| format_smolstr!("streams-{table:x}"));
        let rows: Vec<Row> = names.flat_map(|name| self.rows(name)).collect();
        let ends = rows.iter().map(|row| row.value["until_ms"].as_u64());
        ends.flatten().collect()
    }

    /// Replaces the records of streams by what no entry can read.
    pub fn spoil_records(&mut self) {
        for table in (0..16).map(|table| format_smolstr!("streams-{table:x}")) {
            let rows = self.rows(table.clone()).into_iter();
            let spoil = |row: Row| Write {
                address: Address::new(table.clone(), row.key),
                value: serde_json::Value::from("?"),
            };
            self.table.apply(&Call::Transact(Transaction {
                token: table.clone(),
                checks: Vec::new(),
                writes: rows.map(spoil).collect(),
            }));
        }
    }

    /// Returns the rows of a table.
    pub fn rows(&mut self, table: SmolStr) -> Vec<Row> {
        let call = Call::Scan {
            table,
            prefix: SmolStr::default(),
            after: SmolStr::default(),
            limit: 1_000,
        };
        match self.table.apply(&call) {
            Outcome::Rows { rows, .. } => rows,
            other => panic!("not read: {other:?}"),
        }
    }

    /// Sends a prompt, which stays unanswered; returns its serial number.
    pub fn ask(&mut self, entry: usize, path: &str, prompt: Prompt) -> u64 {
        self.arrive(entry, path, Some(prompt))
    }

    /// Returns the number of entries, running or not.
    pub fn entry_count(&self) -> usize {
        self.processes.len()
    }

    /// Delivers a report on an attempt.
    pub fn report_on(&mut self, sent: &SentRequest, report: Report) {
        let event = Event::Attempt {
            serial: sent.serial,
            attempt: sent.attempt,
            report,
        };
        self.step(sent.entry, event);
    }

    /// Delivers a report on a request's first attempt.
    pub fn report(&mut self, entry: usize, serial: u64, report: Report) {
        let event = Event::Attempt {
            serial,
            attempt: 1,
            report,
        };
        self.step(entry, event);
    }

    /// Sends a request, which stays unanswered; returns its serial number. Requests for streams have prompts.
    pub fn arrive(&mut self, entry: usize, path: &str, prompt: Option<Prompt>) -> u64 {
        self.next_serial += 1;
        let serial = self.next_serial;
        let arrival = Box::new(new_arrival(serial, SmolStr::from(path), prompt));
        self.step(entry, Event::Arrived { serial, arrival });
        serial
    }

    fn answer(&mut self, entry: usize, serial: u64) {
        let ended = Report::Ended(End::Finished {
            status: 200,
            tokens: 1,
            pause: Span::ZERO,
        });
        for report in [Report::ResponseStarted, ended] {
            self.report(entry, serial, report);
        }
    }

    /// Returns the number of log lines of an event.
    pub fn log_count(&self, event: &str) -> u32 {
        self.log_counts.get(event).copied().unwrap_or(0)
    }

    /// Returns the relative speed of a server at an entry, if the entry runs.
    pub fn relative_speed(&self, entry: usize, incarnation: &str) -> Option<f64> {
        let process = self.processes[entry].as_ref()?;
        Some(process.gateway.relative_speed(incarnation))
    }

    /// Returns the configuration version of each live entry.
    pub fn versions(&self) -> Vec<u64> {
        let live = self.processes.iter().flatten();
        live.map(|process| {
            let now = Time::from_millis(self.now - process.started_at);
            process.gateway.status(now).version
        })
        .collect()
    }

    /// Returns the status of a live entry, or an empty one.
    pub fn status(&self, entry: usize) -> Status {
        self.processes[entry]
            .as_ref()
            .map_or_else(Status::default, |process| {
                let now = Time::from_millis(self.now - process.started_at);
                process.gateway.status(now)
            })
    }

    /// Returns the work that arrived at a live entry since the last call.
    pub fn take_plan_counts(&mut self, entry: usize) -> Vec<Count> {
        let process = self.processes[entry].as_mut();
        process.map_or_else(Vec::new, |process| process.gateway.take_plan_counts())
    }

    /// Sends a request as the caller states it; returns its serial number.
    pub fn send(&mut self, entry: usize, arrival: Arrival) -> u64 {
        self.next_serial += 1;
        let serial = self.next_serial;
        let arrival = Box::new(Arrival {
            id: format_smolstr!("r{serial}"),
            fingerprint: serial,
            ..arrival
        });
        self.step(entry, Event::Arrived { serial, arrival });
        serial
    }

    /// Returns the entries that currently hold the duties' lease.
    pub fn holders(&self) -> Vec<usize> {
        let holds = |entry: &usize| {
            self.processes[*entry].as_ref().is_some_and(|process| {
                let now = Time::from_millis(self.now - process.started_at);
                process.gateway.status(now).fence > 0
            })
        };
        (0..self.processes.len()).filter(holds).collect()
    }

    /// Advances the time and returns the longest time without a holder, milliseconds; checks that there are
    /// never two.
    pub fn longest_gap_without_holder(&mut self, millis: u64) -> u64 {
        let (mut gap, mut longest) = (0, 0);
        for _ in 0..millis / HOLDER_CHECK_MS {
            self.run(HOLDER_CHECK_MS);
            let holders = self.holders();
            assert!(holders.len() <= 1, "holders: {holders:?}");
            gap = match holders.is_empty() {
                true => gap + HOLDER_CHECK_MS,
                false => 0,
            };
            longest = longest.max(gap);
        }
        longest
    }

    /// Returns the entry that made the latest call of the duties.
    pub fn holder(&self) -> Option<usize> {
        self.duty_calls.last().map(|duty_call| duty_call.entry)
    }

    /// Returns the usage reports: window and number of requests.
    pub fn reports(&self) -> Vec<(u64, u64)> {
        let reports = self
            .duty_calls
            .iter()
            .filter_map(|duty_call| match &duty_call.call {
                duty::Call::Usage { window, counts } => {
                    Some((*window, counts.get(ACCOUNT).copied().unwrap_or(0)))
                }
                duty::Call::Replicas { .. } => None,
            });
        reports.collect()
    }

    fn step(&mut self, entry: usize, event: Event) {
        // Events keep their order, as on connections.
        let mut events = VecDeque::from([(entry, event)]);
        while let Some((entry, event)) = events.pop_front() {
            if self.frozen.contains(&entry) {
                let held = self.held_events.entry(entry).or_default();
                match event {
                    Event::Tick => {}
                    event => held.push(event),
                }
                continue;
            }
            let Some(process) = &mut self.processes[entry] else {
                continue;
            };
            let now = Time::from_millis(self.now - process.started_at);
            let mut effects = Vec::new();
            process.gateway.step(now, event, &mut effects);
            for effect in effects {
                events.extend(self.carry_out(entry, effect));
            }
        }
    }

    fn carry_out(&mut self, entry: usize, effect: Effect) -> Option<(usize, Event)> {
        match effect {
            Effect::Store { id, call } => {
                let is_cut_off = self.store_unresponsive || self.store_partitioned.contains(&entry);
                if let (Some(store), Some(process)) = (&mut self.slow_store, &self.processes[entry])
                {
                    store.call(self.now, entry, process.life, is_cut_off, id, call);
                    return None;
                }
                let outcome = match is_cut_off {
                    true => Outcome::Unknown,
                    false if self.is_unwritable(&call) => Outcome::Unavailable,
                    false => self.table.apply(&call),
                };
                Some((entry, Event::Store { id, outcome }))
            }
            Effect::Duty { id, call, .. } => {
                let made_at = self.now;
                self.duty_calls.push(DutyCall {
                    made_at,
                    entry,
                    call,
                });
                let outcome = match self.duty_answers_lost {
                    true => duty::Outcome::Unknown,
                    false => duty::Outcome::Done,
                };
                Some((entry, Event::DutyAnswered { id, outcome }))
            }
            Effect::SendDigest {
                address, digest, ..
            } => {
                let to = self.reach(entry, &address)?;
                let sums = sums_in(&digest);
                if let Some(counts) = own_counts_in(&digest) {
                    self.counts_sent.insert(entry, counts);
                }
                *self.sums_received.entry(to).or_default() += sums;
                *self.sums_sent.entry(entry).or_default() += sums;
                let event = Event::DigestReceived(digest);
                if let Some(delay) = self.message_delays.get(&to) {
                    let arrives_at = self.now + delay;
                    let on_their_way = self.delayed_messages.entry(to).or_default();
                    on_their_way.push_back((arrives_at, event));
                    return None;
                }
                Some((to, event))
            }
            Effect::RequestCharge {
                serial,
                home,
                address,
                charge,
            } => {
                let Some(to) = self.reach(entry, &address) else {
                    return (!self.charges_hang).then_some((
                        entry,
                        Event::ChargeAnswered {
                            serial,
                            charge,
                            home,
                            answer: None,
                        },
                    ));
                };
                self.requesters.push(Requester {
                    entry,
                    serial,
                    charge,
                    home,
                });
                let requester = self.requesters.len() as u64 - 1;
                let event = Event::ChargeRequested { requester, charge };
                if self.delay_charges {
                    self.delayed_charges.push((to, event));
                    return None;
                }
                Some((to, event))
            }
            Effect::ChargeAnswer { requester, answer } => {
                *self.charges_decided.entry(entry).or_default() += 1;
                let requester = self.requesters[requester as usize];
                let event = Event::ChargeAnswered {
                    serial: requester.serial,
                    charge: requester.charge,
                    home: requester.home,
                    answer,
                };
                Some((requester.entry, event))
            }
            Effect::Refund { address, grant } => {
                let to = self.reach(entry, &address)?;
                let event = Event::Refunded {
                    bucket: grant.bucket,
                    cost: grant.cost,
                };
                Some((to, event))
            }
            Effect::SendConfiguration { address, document } => {
                let to = self.reach(entry, &address)?;
                let version = std::str::from_utf8(&document).ok()?.parse().ok()?;
                let source = Source::Peer(holder::Id(1));
                self.configure(to, version, source);
                None
            }
            Effect::Flight { serial, command } => {
                match command {
                    Command::Start(start) => {
                        self.attempts_started += 1;
                        self.awaiting_record.remove(&serial);
                        if let Some(timeout) = start.record_timeout {
                            self.awaiting_record.insert(serial);
                            self.record_timeouts.insert(serial, timeout);
                        }
                        self.sent_requests.push(SentRequest {
                            sent_at: self.now,
                            entry,
                            serial,
                            attempt: start.attempt,
                            server: start.endpoint.incarnation.clone(),
                            urgency: start.urgency,
                            bound_to_process: start.bound_to_process,
                            record_timeout: start.record_timeout,
                        });
                        self.servers_by_request
                            .insert(serial, start.endpoint.incarnation);
                    }
                    Command::Refuse(refusal) => {
                        let reason = format_smolstr!("{:?}", refusal.reason);
                        *self.refused.entry(reason).or_default() += 1;
                        self.refusals.insert(format_smolstr!("r{serial}"), refusal);
                    }
                    Command::Move(place) => self.moved_runs.push((serial, place.incarnation)),
                    Command::Recorded { .. } => {
                        self.awaiting_record.remove(&serial);
                    }
                    Command::Stop => {
                        let attempt = self.latest_attempt(serial).map(|sent| sent.attempt);
                        self.stopped
                            .extend(attempt.map(|attempt| (serial, attempt)));
                    }
                }
                None
            }
            Effect::Addresses { answer, .. } => {
                self.named_entries = answer.map(|answer| answer.entries).unwrap_or_default();
                None
            }
            Effect::ReadConfiguration => None,
            Effect::FollowServers { pause } => {
                self.reads_list.insert(entry, pause.is_some());
                None
            }
            Effect::ReadServers => {
                *self.list_reads.entry(entry).or_default() += 1;
                self.requested_reads.insert(entry);
                None
            }
            Effect::OpenServer { endpoint } => {
                self.closed_servers
                    .retain(|one| *one != (entry, endpoint.incarnation.clone()));
                None
            }
            Effect::CloseServer { incarnation } => {
                self.closed_servers.push((entry, incarnation));
                None
            }
            Effect::PauseServer { .. } | Effect::Proxies(_) => None,
            Effect::Log(line) => {
                if line.field("plan") == "shed" {
                    self.sheds.push(Shed {
                        at: self.now,
                        entry,
                        request: SmolStr::new(line.field("request")),
                        level: line.field("level").parse().unwrap_or_default(),
                        plan_age: self.status(entry).plan_age_ms,
                    });
                }
                *self.log_counts.entry(line.event).or_default() += 1;
                if let Some(log) = &mut self.version_log {
                    log.push(format!(
                        "{} entry-{entry} {} {:?}",
                        self.now, line.event, line.fields
                    ));
                }
                None
            }
            Effect::Exit => None,
        }
    }

    fn is_unwritable(&self, call: &Call) -> bool {
        let Call::Transact(transaction) = call else {
            return false;
        };
        let mut writes = transaction.writes.iter();
        writes.any(|write| {
            self.failing_table
                .is_some_and(|table| write.address.table.starts_with(table))
        })
    }

    /// Returns the entry at `address`, unless it or the sender is cut off or they are separated.
    fn reach(&self, from: usize, address: &SmolStr) -> Option<usize> {
        let to = (0..self.processes.len()).find(|entry| peer_address(*entry) == *address)?;
        let connected = !self.partitioned.contains(&from) && !self.partitioned.contains(&to);
        let same_side = self.separated.contains(&from) == self.separated.contains(&to);
        (connected && same_side).then_some(to)
    }
}

pub fn default_settings(entries: usize) -> Settings {
    Settings {
        entries: entries as u32,
        seeds: (0..entries).map(peer_address).collect(),
        report_usage: true,
        ..Settings::default()
    }
}

fn new_arrival(serial: u64, path: SmolStr, prompt: Option<Prompt>) -> Arrival {
    Arrival {
        id: format_smolstr!("r{serial}"),
        host: SmolStr::new_static("models.test"),
        path,
        key: Some(SmolStr::new_static(KEY)),
        fingerprint: serial,
        prompt,
        ..Arrival::default()
    }
}

/// Returns the number of hub sums in a digest.
fn sums_in(digest: &Digest) -> u32 {
    bulletins_in(digest)
        .filter(|bulletin| bulletin.sums > 0)
        .count() as u32
}

/// Returns the sender's own counts in a digest.
fn own_counts_in(digest: &Digest) -> Option<Bulletin> {
    bulletins_in(digest).find(|bulletin| bulletin.sums == 0 && !bulletin.past)
}

fn bulletins_in(digest: &Digest) -> impl Iterator<Item = Bulletin> {
    let counts = digest
        .items
        .iter()
        .filter(|item| item.topic == Topic::Count);
    counts.filter_map(|item| serde_json::from_slice::<Bulletin>(&item.payload).ok())
}

pub fn caller_address(entry: usize) -> SmolStr {
    format_smolstr!("10.0.0.{entry}:80")
}

pub fn peer_address(entry: usize) -> SmolStr {
    format_smolstr!("10.0.0.{entry}:90")
}

fn initial_servers() -> Vec<Server> {
    let zones = ["north", "south"];
    let all = (0..SERVERS * zones.len()).map(|number| Server {
        incarnation: format_smolstr!("s{number}#1"),
        id: format_smolstr!("s{number}"),
        service: SmolStr::new_static(SERVICE),
        address: format_smolstr!("10.1.0.{number}:80"),
        zone: SmolStr::new_static(zones[number % zones.len()]),
        version: SmolStr::default(),
        started_unix_ms: None,
        slots: 64,
        leaving: false,
        leaves_in: None,
        reclaimable: true,
        revision: 1,
    });
    all.collect()
}

/// Returns a configuration.
fn catalog(version: u64, document: Document, weights: [f64; 2]) -> Catalog {
    let route = Route {
        name: SmolStr::new_static("drafts"),
        host: SmolStr::new_static("models.test"),
        prefix: SmolStr::new_static("/drafts/"),
        repeat: Repeat::Idempotent,
        timeout: Span::from_seconds(5),
        target: Span::from_seconds(1),
        pause: None,
        rank: 1,
        shares: vec![Share {
            service: SmolStr::new_static(SERVICE),
            weight: 1.0,
        }],
        attempts: 2,
        public: false,
    };
    let talks = Route {
        name: SmolStr::new_static("talks"),
        prefix: SmolStr::new_static("/talks/"),
        repeat: Repeat::Stream { resumable: false },
        timeout: Span::from_seconds(15),
        ..route.clone()
    };
    let open = Route {
        name: SmolStr::new_static("open"),
        prefix: SmolStr::new_static("/open/"),
        public: true,
        ..route.clone()
    };
    let filings = Route {
        name: SmolStr::new_static("filings"),
        prefix: SmolStr::new_static("/filings/"),
        repeat: Repeat::NonIdempotent,
        timeout: Span::from_seconds(15),
        ..route.clone()
    };
    let chats = Route {
        name: SmolStr::new_static("chats"),
        prefix: SmolStr::new_static("/chats/"),
        repeat: Repeat::Stream { resumable: true },
        ..talks.clone()
    };
    let service = Service {
        name: SmolStr::new_static(SERVICE),
        connections: 64,
        engine: Some(Engine {
            slots: 64,
            memory_tokens: 600_000,
            transfer_tokens_per_ms: Some(1_000.0),
            tokens_per_event: 1,
        }),
        scaling: Some(Scaling {
            least: 1,
            most: 6,
            boot: Span::from_seconds(2),
            reclaimable_price: Some(0.3),
            prices: vec![
                (SmolStr::new_static("north"), 1.0),
                (SmolStr::new_static("south"), 1.0),
            ],
        }),
    };
    // An account without a rate has no quota.
    let rate = match document {
        Document::Unlimited | Document::Shared | Document::Ranked => 0,
        Document::Steady => 400,
        Document::Usual | Document::Extended => 40,
    };
    let account = Account {
        name: SmolStr::new_static(ACCOUNT),
        keys: vec![SmolStr::new_static(KEY)],
        priority: 1,
        rate,
        burst: 400,
        plain_cost: 1,
        in_tokens: false,
    };
    let shared = Route {
        name: SmolStr::new_static("shared"),
        prefix: SmolStr::new_static("/shared/"),
        shares: shares(weights),
        ..chats.clone()
    };
    let other_service = Service {
        name: SmolStr::new_static(OTHER_SERVICE),
        scaling: None,
        ..service.clone()
    };
    let other_account = Account {
        name: SmolStr::new_static("birch"),
        keys: vec![SmolStr::new_static(OTHER_KEY)],
        ..account.clone()
    };
    let mut routes = vec![route.clone(), talks, filings, chats, open];
    let mut services = vec![service];
    let mut accounts = vec![account];
    if matches!(document, Document::Extended | Document::Shared) {
        routes.push(shared);
        services.push(other_service);
        accounts.push(other_account);
    }
    if document == Document::Ranked {
        routes.extend(RANKS.map(|rank| Route {
            name: format_smolstr!("rank-{rank}"),
            prefix: format_smolstr!("/rank-{rank}/"),
            rank,
            ..route.clone()
        }));
        accounts = (0..RANKED_ACCOUNTS).map(ranked_account).collect();
    }
    Catalog::new(version, routes, services, accounts, Limits::default())
}

/// Returns an account without a quota.
fn ranked_account(number: usize) -> Account {
    Account {
        name: format_smolstr!("account-{number}"),
        keys: vec![format_smolstr!("key-{number}")],
        priority: 1,
        plain_cost: 1,
        ..Account::default()
    }
}

fn shares(weights: [f64; 2]) -> Vec<Share> {
    let all = [SERVICE, OTHER_SERVICE].into_iter().zip(weights);
    let used = all.filter(|(_, weight)| *weight > 0.0);
    let share = |(service, weight)| Share {
        service: SmolStr::new_static(service),
        weight,
    };
    used.map(share).collect()
}

/// Returns zone, market and count of an order for replicas.
pub fn order(duty_call: &DutyCall) -> Option<(SmolStr, Market, u32)> {
    match &duty_call.call {
        duty::Call::Replicas {
            zone,
            market,
            count,
            ..
        } => Some((zone.clone(), *market, *count)),
        duty::Call::Usage { .. } => None,
    }
}
