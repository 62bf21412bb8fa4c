//! One life of an entry: its reducer, its own clock, and what its shell holds.

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
use crate::world::HOP;
use crate::world::Happening;
use crate::world::POLL;
use crate::world::SHARED_KEY;
use crate::world::TICK;
use crate::world::World;
use crate::world::callers::CallerWord;
use crate::world::flight::Flight;
use crate::world::input::Input;

/// Zones of every world.
pub(crate) const ZONES: [&str; 3] = ["a", "b", "c"];

/// One life of an entry.
pub(crate) struct Node {
    pub slot: usize,
    pub entry: Entry,
    pub identity: Identity,
    /// Its platform name.
    pub instance: SmolStr,
    /// When its own clock read zero.
    pub born: Time,
    pub alive: bool,
    pub ended: Option<Time>,
    pub frozen: bool,
    /// What came while it stood still.
    pub inbox: Vec<Input>,
    pub flights: BTreeMap<u64, Flight>,
    pub next_serial: u64,
    pub askers: BTreeMap<u64, Asker>,
    pub next_asker: u64,
    /// When its instance will be taken away.
    pub leaving: Option<Time>,
    pub stopping: bool,
}

/// Who waits for an answer of a reducer.
pub(crate) enum Asker {
    /// A caller for addresses.
    Addresses(usize),
    /// An operator.
    Operator(usize),
    /// A caller that cancels.
    Cancel,
    /// A look at the version.
    Version,
    /// A peer for leave to spend a ticket.
    Spend { from: usize, serial: u64 },
    /// A peer that hands its ledger on.
    Heir { from: usize },
}

impl World {
    /// Starts a new life in an entry slot.
    pub(crate) fn start_entry(&mut self, slot: usize) {
        let node = self.nodes.len();
        let seed = self.draw(u64::MAX);
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
            born: self.now,
            alive: true,
            ended: None,
            frozen: false,
            inbox: Vec::new(),
            flights: BTreeMap::new(),
            next_serial: 1,
            askers: BTreeMap::new(),
            next_asker: 1,
            leaving: None,
            stopping: false,
        });
        let first = Span::from_millis(self.draw(TICK.as_millis()));
        self.after(first, Happening::Tick(node));
        self.after(first, Happening::Poll(node));
    }

    /// One tick of an entry's loop.
    pub(crate) fn tick(&mut self, node: usize) {
        if !self.nodes[node].alive {
            return;
        }
        self.after(TICK, Happening::Tick(node));
        if !self.nodes[node].frozen {
            self.step(node, Event::Tick);
        }
    }

    /// An entry reads list and notices.
    pub(crate) fn poll(&mut self, node: usize) {
        if !self.nodes[node].alive {
            return;
        }
        self.after(POLL, Happening::Poll(node));
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
        // Answers come in any order.
        let entries = Event::EntriesRead(self.entry_list());
        let mut events = vec![
            own,
            Event::InstancesRead(list),
            Event::NoticesRead(notices),
            entries,
        ];
        if self.draw(2) == 0 {
            events.swap(1, 2);
        }
        for event in events {
            self.after(HOP, Happening::Input(node, Input::Event(event)));
        }
    }

    /// Takes one event into a reducer and carries out what follows.
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

    /// The entry's own time.
    pub(crate) fn local(&self, node: usize) -> Time {
        let born = self.nodes[node].born;
        Time::ZERO + self.now.since(born)
    }

    /// Whether an entry can take a connection.
    pub(crate) fn is_up(&self, node: usize) -> bool {
        self.nodes[node].alive
    }

    /// Stops an entry without its knowing.
    pub(crate) fn freeze(&mut self, node: usize, span: Span) {
        if !self.nodes[node].alive || self.nodes[node].frozen {
            return;
        }
        self.nodes[node].frozen = true;
        let (life, over) = (World::life(node), false);
        self.note(Fact::Paused { life, over });
        self.after(span, Happening::Thaw(node));
    }

    /// Lets it run on: it takes in what came meanwhile, before or after the first tick.
    pub(crate) fn thaw(&mut self, node: usize) {
        if !self.nodes[node].alive || !self.nodes[node].frozen {
            return;
        }
        self.nodes[node].frozen = false;
        let (life, over) = (World::life(node), true);
        self.note(Fact::Paused { life, over });
        if self.draw(2) == 0 {
            self.step(node, Event::Tick);
        }
        for input in std::mem::take(&mut self.nodes[node].inbox) {
            self.feed(node, input);
        }
    }

    /// Ends a life, and with it all its connections.
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
                HOP,
                Happening::ToCaller(flight.number(), CallerWord::Cut(cause)),
            );
        }
        self.drop_readers_of(node);
    }
}
