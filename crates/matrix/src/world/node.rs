//! One process of an entry: its reducer, its clock and the state of its shell.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use entry::configs::entry::Settings;
use entry::entry::Entry;
use entry::event::Event;
use entry::identity::Identity;
use request::id::Incarnation;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::history::Cause;
use crate::history::Fact;
use crate::world::Bug;
use crate::world::NETWORK_DELAY;
use crate::world::Occurrence;
use crate::world::POLL_INTERVAL;
use crate::world::SHARED_KEY;
use crate::world::TICK_INTERVAL;
use crate::world::World;
use crate::world::callers::Response;
use crate::world::flight::Flight;
use crate::world::input::Input;

/// Availability zones of every world.
pub(crate) const ZONES: [&str; 3] = ["a", "b", "c"];

/// One process of an entry.
pub(crate) struct Node {
    pub slot: usize,
    pub entry: Entry,
    pub identity: Identity,
    /// Name of its instance on the platform.
    pub instance: SmolStr,
    /// Simulated time at which its own clock read zero.
    pub started: Time,
    pub alive: bool,
    pub ended: Option<Time>,
    pub frozen: bool,
    /// Inputs that arrived while it was frozen.
    pub inbox: Vec<Input>,
    pub flights: BTreeMap<u64, Flight>,
    pub next_serial: u64,
    pub requesters: BTreeMap<u64, Requester>,
    pub next_requester: u64,
    /// Time at which its instance will be reclaimed.
    pub leaving: Option<Time>,
    pub stopping: bool,
}

/// Party that waits for an answer of a reducer.
pub(crate) enum Requester {
    /// Caller that asks for addresses and tickets.
    Addresses(usize),
    /// Operator that submits a change.
    Operator(usize),
    /// Caller that cancels a request.
    Cancel,
    /// Probe of the configuration version.
    Version,
    /// Peer that asks for permission to spend a ticket.
    Spend { from: usize, serial: u64 },
    /// Peer that hands over its ledger.
    Heir { from: usize },
}

impl World {
    /// Starts a new process in an entry slot.
    pub(crate) fn start_entry(&mut self, slot: usize) {
        let node = self.nodes.len();
        let seed = self.random_below(u64::MAX);
        let identity = Identity {
            name: format_smolstr!("entry-{slot}"),
            incarnation: Incarnation(seed | 1),
            zone: SmolStr::new_static(ZONES[slot % ZONES.len()]),
            caller_address: format_smolstr!("caller:{node}"),
            peer_address: format_smolstr!("peer:{node}"),
        };
        let seeds = (0..node).map(|peer| format_smolstr!("peer:{peer}"));
        let settings = Settings {
            seeds: seeds.collect(),
            grace: Span::from_seconds(6),
            ..Settings::default()
        };
        self.slots[slot] = node;
        self.nodes.push(Node {
            slot,
            entry: Entry::new(identity.clone(), settings, SHARED_KEY, seed),
            identity,
            instance: format_smolstr!("e-{slot}.{node}"),
            started: self.now,
            alive: true,
            ended: None,
            frozen: false,
            inbox: Vec::new(),
            flights: BTreeMap::new(),
            next_serial: 1,
            requesters: BTreeMap::new(),
            next_requester: 1,
            leaving: None,
            stopping: false,
        });
        let first = Span::from_millis(self.random_below(TICK_INTERVAL.as_millis()));
        self.after(first, Occurrence::Tick(node));
        self.after(first, Occurrence::Poll(node));
    }

    /// Runs one tick of an entry's loop and schedules the next.
    pub(crate) fn tick(&mut self, node: usize) {
        if !self.nodes[node].alive {
            return;
        }
        self.after(TICK_INTERVAL, Occurrence::Tick(node));
        if !self.nodes[node].frozen {
            self.step(node, Event::Tick);
        }
    }

    /// Reads the instance list and the notices for an entry.
    pub(crate) fn poll(&mut self, node: usize) {
        if !self.nodes[node].alive {
            return;
        }
        self.after(POLL_INTERVAL, Occurrence::Poll(node));
        if self.nodes[node].frozen || self.bug == Bug::HideNotices {
            if !self.nodes[node].frozen {
                let list = self.instance_list(false);
                self.step(node, Event::InstancesRead(list));
            }
            return;
        }
        let list = self.instance_list(true);
        let notices = self.notices();
        let instance = self.nodes[node].instance.clone();
        let own = Event::OwnInstanceRead {
            incarnation: instance,
            leaving: false,
        };
        // The answers may arrive in any order.
        let entries = Event::EntriesRead(self.entry_list());
        let mut events = vec![
            own,
            Event::InstancesRead(list),
            Event::NoticesRead(notices),
            entries,
        ];
        if self.random_below(2) == 0 {
            events.swap(1, 2);
        }
        for event in events {
            self.after(NETWORK_DELAY, Occurrence::Input(node, Input::Event(event)));
        }
    }

    /// Passes one event to a reducer and performs its effects.
    pub(crate) fn step(&mut self, node: usize, event: Event) {
        let mut effects = Vec::new();
        let now = self.local(node);
        self.steps += 1;
        self.nodes[node].entry.step(now, event, &mut effects);
        for effect in effects {
            if !self.nodes[node].alive {
                return;
            }
            self.perform(node, effect);
        }
    }

    /// Returns the time on the entry's own clock.
    pub(crate) fn local(&self, node: usize) -> Time {
        let started = self.nodes[node].started;
        Time::ZERO + self.now.since(started)
    }

    /// Returns whether an entry accepts connections.
    pub(crate) fn is_up(&self, node: usize) -> bool {
        self.nodes[node].alive
    }

    /// Freezes an entry; its clock runs on meanwhile.
    pub(crate) fn freeze(&mut self, node: usize, span: Span) {
        if !self.nodes[node].alive || self.nodes[node].frozen {
            return;
        }
        self.nodes[node].frozen = true;
        let (process, resumed) = (World::process(node), false);
        self.record(Fact::Paused { process, resumed });
        self.after(span, Occurrence::Thaw(node));
    }

    /// Thaws an entry; its queued inputs are delivered before or after the first tick.
    pub(crate) fn thaw(&mut self, node: usize) {
        if !self.nodes[node].alive || !self.nodes[node].frozen {
            return;
        }
        self.nodes[node].frozen = false;
        let (process, resumed) = (World::process(node), true);
        self.record(Fact::Paused { process, resumed });
        if self.random_below(2) == 0 {
            self.step(node, Event::Tick);
        }
        for input in std::mem::take(&mut self.nodes[node].inbox) {
            self.deliver(node, input);
        }
    }

    /// Ends a process and closes all its connections.
    pub(crate) fn end_entry(&mut self, node: usize, cause: Cause) {
        if !self.nodes[node].alive {
            return;
        }
        self.nodes[node].alive = false;
        self.nodes[node].ended = Some(self.now);
        self.nodes[node].inbox.clear();
        let flights = std::mem::take(&mut self.nodes[node].flights);
        for flight in flights.into_values() {
            self.after(
                NETWORK_DELAY,
                Occurrence::CallerReceives(flight.try_id(), Response::Disconnected(cause)),
            );
        }
        self.drop_readers_of(node);
    }
}
