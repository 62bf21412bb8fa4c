//! Callers: they send requests, resume after a disconnect, and retry by ticket or key at other entries.

use clock::Span;
use clock::Time;
use entry::arrival::Arrival;
use entry::arrival::Work;
use entry::effect::Addresses;
use entry::event::Event;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use verdict::Refusal;

use crate::history::Ask;
use crate::history::Cause;
use crate::history::Fact;
use crate::history::Kind;
use crate::history::Try;
use crate::world::HOP;
use crate::world::Happening;
use crate::world::World;
use crate::world::backend::MODEL_POOL;
use crate::world::backend::SERVICE_POOL;
use crate::world::input::Input;
use crate::world::node::Asker;
use crate::world::operators::CALLER_KEY;

/// Longest time that a caller waits for the next response.
const PATIENCE: Span = Span::from_seconds(9);

/// Delay before a retry if the entry names none.
pub(super) const PAUSE: Span = Span::from_millis(200);

/// How a caller ensures that its call runs at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Once {
    /// Without any protection.
    No,
    /// By an idempotency key of its own.
    Key,
    /// By a ticket.
    Ticket,
}

/// Response that a caller receives on the connection of one try.
#[derive(Clone)]
pub(crate) enum CallerWord {
    Head {
        token: Option<SmolStr>,
    },
    Chunk {
        offset: u64,
        owner: Ask,
        index: u64,
    },
    Done {
        owner: Ask,
    },
    Refused(Refusal),
    Continue {
        address: SmolStr,
        token: Option<SmolStr>,
    },
    Cut(Cause),
}

/// One caller with one request.
pub(crate) struct Caller {
    pub(super) ask: Ask,
    pub(super) kind: Kind,
    pub(super) once: Once,
    pub(super) killer: bool,
    /// Account, key and send time of a probe of a key that operators change.
    pub(super) watched: Option<(SmolStr, SmolStr, Time)>,
    pub(super) key: SmolStr,
    pub(super) ticket: Option<SmolStr>,
    pub(super) token: Option<SmolStr>,
    pub(super) next: u64,
    /// The open try, and the node that serves it.
    pub(super) open: Option<(Try, usize)>,
    /// Node to send to next, if an entry named one.
    pub(super) told: Option<usize>,
    pub(super) heard: Time,
    pub(super) sent: u32,
    pub(super) uncertain: u32,
    /// Whether the caller has received the head of its answer.
    pub(super) headed: bool,
    pub(super) done: bool,
}

impl World {
    /// Schedules a request for a streamed answer.
    pub fn ask_model(&mut self, after: Span, tokens: u64) -> Ask {
        self.add_caller(after, Kind::Model { tokens }, Once::No, false)
    }

    /// Schedules a plain call.
    pub fn ask_plain(&mut self, after: Span, non_idempotent: bool, once: Once) -> Ask {
        self.add_caller(after, Kind::Plain { non_idempotent }, once, false)
    }

    /// Sends a request that crashes every engine that runs it.
    pub(crate) fn add_killer(&mut self) {
        self.add_caller(HOP, Kind::Model { tokens: 20 }, Once::No, true);
    }

    /// Schedules the final disconnect of a caller.
    pub fn drop_later(&mut self, after: Span, ask: Ask) {
        let caller = ask.0 as usize;
        self.after(after, Happening::CallerWaits(caller, Try(u32::MAX)));
    }

    /// Cancels a request; its caller expects no answer any more.
    pub fn cancel(&mut self, ask: Ask) {
        let number = ask.0 as usize;
        let open = self.callers[number].open;
        self.drop_caller(number);
        let Some((name, node)) = open else {
            return;
        };
        let flights = &self.nodes[node].flights;
        let found = flights.iter().find(|(_, flight)| flight.number() == name);
        let Some(serial) = found.map(|(serial, _)| *serial) else {
            return;
        };
        let incarnation = self.nodes[node].identity.incarnation;
        let request = format_smolstr!(
            "{}",
            request::id::Id {
                incarnation,
                serial
            }
        );
        let key = Some(self.callers[number].key.clone());
        let event = move |call| Event::CancelRequested { call, key, request };
        let input = Input::Asked(Asker::Cancel, Box::new(event));
        self.after(HOP, Happening::Input(node, input));
    }

    /// Returns whether every caller has finished.
    pub(crate) fn callers_done(&self) -> bool {
        self.callers
            .iter()
            .all(|caller| caller.done || caller.watched.is_some())
    }

    /// Returns whether a request's caller has received the head of its answer.
    pub fn is_headed(&self, ask: Ask) -> bool {
        self.callers[ask.0 as usize].headed
    }

    /// Returns whether a request has finished.
    pub fn is_done(&self, ask: Ask) -> bool {
        self.callers[ask.0 as usize].done
    }

    /// Returns the entry slot at which a request is open.
    pub fn slot_of(&self, ask: Ask) -> Option<usize> {
        let (_, node) = self.callers[ask.0 as usize].open?;
        Some(self.nodes[node].slot)
    }

    /// Returns the backend slot that last began to run a request.
    pub fn backend_of(&self, ask: Ask) -> Option<usize> {
        let mut facts = self.history.records.iter().rev();
        let server = facts.find_map(|(_, fact)| match fact {
            Fact::Ran {
                ask: whose, server, ..
            } if *whose == ask => Some(server.clone()),
            _ => None,
        })?;
        self.backends
            .iter()
            .position(|backend| backend.incarnation == server)
    }

    fn add_caller(&mut self, after: Span, kind: Kind, once: Once, killer: bool) -> Ask {
        let number = self.callers.len();
        let ask = Ask(number as u32);
        self.callers.push(Caller {
            ask,
            kind,
            once,
            killer,
            watched: None,
            key: SmolStr::new_static(CALLER_KEY),
            ticket: None,
            token: None,
            next: 0,
            open: None,
            told: None,
            heard: self.now,
            sent: 0,
            uncertain: 0,
            headed: false,
            done: false,
        });
        self.note(Fact::Asked { ask, kind, killer });
        self.after(after, Happening::CallerActs(number));
        ask
    }

    /// Sends one probe of a watched key.
    pub(crate) fn send_probe(&mut self, node: usize, account: SmolStr, key: SmolStr) {
        let non_idempotent = false;
        let number = self.callers.len();
        self.add_caller(
            Span::from_seconds(1_000_000),
            Kind::Plain { non_idempotent },
            Once::No,
            false,
        );
        let caller = &mut self.callers[number];
        caller.key = key.clone();
        caller.watched = Some((account, key, self.now));
        caller.told = Some(node);
        self.caller_acts(number);
    }

    /// Returns the request that a try belongs to.
    pub(crate) fn ask_of(&self, number: Try) -> Ask {
        self.callers[self.tries[number.0 as usize]].ask
    }

    /// Sends a caller's request, or retries it.
    pub(crate) fn caller_acts(&mut self, number: usize) {
        let caller = &self.callers[number];
        if caller.done || caller.open.is_some() {
            return;
        }
        let node = match caller.told {
            Some(node) => node,
            None => {
                let slot = self.draw(self.slots.len() as u64) as usize;
                self.slots[slot]
            }
        };
        let caller = &mut self.callers[number];
        caller.told = None;
        if caller.once == Once::Ticket && caller.ticket.is_none() {
            return self.ask_ticket(number, node);
        }
        if !self.is_up(node) {
            return self.after(PAUSE, Happening::CallerActs(number));
        }
        self.send(number, node);
    }

    fn ask_ticket(&mut self, number: usize, node: usize) {
        let key = Some(self.callers[number].key.clone());
        let event = move |call| Event::AddressesRequested {
            call,
            key,
            prefix: None,
        };
        let input = Input::Asked(Asker::Addresses(number), Box::new(event));
        self.after(HOP, Happening::Input(node, input));
        // The answer may be lost or contain no ticket.
        self.after(Span::from_millis(900), Happening::CallerActs(number));
    }

    /// Handles an entry's answer with addresses and tickets.
    pub(crate) fn addresses_given(&mut self, node: usize, call: u64, answer: Addresses) {
        let Some(Asker::Addresses(number)) = self.nodes[node].askers.remove(&call) else {
            return;
        };
        let ticket = answer.tickets.first();
        let sealed = ticket.map(|ticket| SmolStr::from(self.seals.ticket.sign(ticket)));
        // Some callers use the ticket at the entry that issued it, others elsewhere.
        let here = self.draw(2) == 0;
        let caller = &mut self.callers[number];
        if caller.ticket.is_some() || caller.open.is_some() {
            return;
        }
        caller.ticket = sealed;
        caller.told = here.then_some(node);
        if caller.ticket.is_some() {
            self.after(HOP, Happening::CallerActs(number));
        }
    }

    fn send(&mut self, number: usize, node: usize) {
        let name = Try(self.tries.len() as u32);
        self.tries.push(number);
        let now = self.now;
        let caller = &mut self.callers[number];
        caller.sent += 1;
        caller.open = Some((name, node));
        caller.heard = now;
        let arrival = arrival_of(caller);
        let (ask, killer, offset) = (caller.ask, caller.killer, caller.next);
        let tokens = match caller.kind {
            Kind::Model { tokens } => tokens,
            Kind::Plain { .. } => 0,
        };
        let life = World::life(node);
        self.note(Fact::Sent {
            ask,
            number: name,
            life,
            offset,
        });
        let input = Input::Open {
            number: name,
            ask,
            arrival,
            killer,
            tokens,
        };
        self.after(HOP, Happening::Input(node, input));
        self.after(PATIENCE, Happening::CallerWaits(number, name));
    }

    /// Checks whether a caller's try has timed out; `Try(u32::MAX)` disconnects the caller for good.
    pub(crate) fn caller_waits(&mut self, number: usize, name: Try) {
        let for_good = name == Try(u32::MAX);
        let caller = &self.callers[number];
        let Some((open, node)) = caller.open else {
            if for_good && !caller.done {
                self.drop_caller(number);
            }
            return;
        };
        if caller.done || (open != name && !for_good) {
            return;
        }
        let waited = self.now.since(caller.heard);
        if for_good {
            self.drop_caller(number);
        } else if waited < PATIENCE {
            let rest = PATIENCE - waited;
            return self.after(rest, Happening::CallerWaits(number, name));
        }
        self.after(HOP, Happening::Input(node, Input::Gone { number: open }));
        if !for_good {
            self.caller_hears(open, CallerWord::Cut(Cause::Patience));
        }
    }

    pub(super) fn drop_caller(&mut self, number: usize) {
        let ask = self.callers[number].ask;
        self.note(Fact::Dropped { ask });
        self.callers[number].done = true;
    }
}

fn arrival_of(caller: &Caller) -> Arrival {
    let plain = |method: &'static str, path: &'static str| Work::Plain {
        method: SmolStr::new_static(method),
        path: SmolStr::new_static(path),
    };
    let (deployment, work) = match caller.kind {
        Kind::Model { tokens } => (
            MODEL_POOL,
            Work::Model {
                prompt_tokens: 100,
                max_new_tokens: (tokens - caller.next.min(tokens)) as u32,
                prefix: u64::from(caller.ask.0 % 3),
            },
        ),
        Kind::Plain {
            non_idempotent: true,
        } => (SERVICE_POOL, plain("POST", "/receipts")),
        Kind::Plain { .. } => (SERVICE_POOL, plain("GET", "/catalogue")),
    };
    let idempotency_key =
        (caller.once == Once::Key).then(|| format_smolstr!("key-{}", caller.ask.0));
    Arrival {
        key: Some(caller.key.clone()),
        deployment: SmolStr::new_static(deployment),
        work,
        fingerprint: u64::from(caller.ask.0) + 1,
        idempotency_key,
        ticket: caller.ticket.clone(),
        resume: caller.token.clone(),
        offset: caller.next,
    }
}
