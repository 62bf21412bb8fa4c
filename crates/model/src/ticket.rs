//! The ledger of a non-idempotent request's ticket, and a caller that retries the request.
//!
//! The minter holds the ledger and may hand it over when it stops; so may its heir. The entry that receives a
//! request queries an entry that it believes to hold the ledger, and starts the request only if that entry
//! grants the ticket. Entries may crash; messages may be lost, delayed or duplicated. Bounds: three entries,
//! one ticket, three requests under it, one query to an entry for each request.

use crate::checker::Specification;

/// Number of entries that may hold the ledger.
pub const ENTRIES: usize = 3;
/// Number of requests that the caller sends under the ticket.
pub const REQUESTS: usize = 3;

/// A guard that the specification omits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// All guards are present.
    #[default]
    None,
    /// A ledger continues to grant after it was handed over.
    NoFreeze,
    /// A ledger that is delivered twice is inherited twice.
    InheritTwice,
    /// A request starts although the answer to its query was lost.
    StartOnLoss,
    /// The ticket is marked as spent when the request starts, not when it is granted.
    SpendOnStart,
}

/// The specification of at-most-once execution by tickets.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ticket {
    /// The guard that is omitted.
    pub fault: Fault,
}

/// The whole state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// The ledger at each entry; none if the entry never had it.
    pub ledgers: [Option<Ledger>; ENTRIES],
    /// Whether each entry has crashed.
    pub crashed: [bool; ENTRIES],
    /// The ledger in flight to each entry, as whether the ticket was spent in it. It may be delivered any
    /// number of times.
    pub estates: [Option<bool>; ENTRIES],
    /// The requests.
    pub requests: [Request; REQUESTS],
    /// How often a request was started at a backend server.
    pub starts: u8,
}

/// A ledger with one ticket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Ledger {
    /// Whether the ticket is spent.
    pub spent: bool,
    /// Whether the ledger was handed over.
    pub frozen: bool,
}

/// One request under the ticket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Request {
    /// Not sent yet.
    #[default]
    New,
    /// An entry is being queried.
    Querying(u8),
    /// The queried entry has answered whether it grants the ticket.
    Answered(bool),
    /// Started at a backend server.
    Started,
    /// The caller received the refusal "may have run".
    Refused,
}

/// A step; the number identifies a request or an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// The request arrives at some entry, which queries this one.
    Query {
        /// The request.
        request: usize,
        /// The queried entry.
        entry: usize,
    },
    /// The queried entry looks the ticket up in its ledger.
    Spend(usize),
    /// The answer arrives: the request is started or refused.
    Answer(usize),
    /// The query or its answer is lost.
    Lose(usize),
    /// An entry crashes and loses its ledger.
    Crash(usize),
    /// An entry hands its ledger over.
    HandOver {
        /// The entry that stops.
        from: usize,
        /// Its heir.
        to: usize,
    },
    /// The ledger is delivered, possibly again.
    Deliver(usize),
}

impl Specification for Ticket {
    type State = State;
    type Action = Action;

    fn initial(&self) -> State {
        let mut ledgers = [None; ENTRIES];
        ledgers[0] = Some(Ledger::default());
        State {
            ledgers,
            crashed: [false; ENTRIES],
            estates: [None; ENTRIES],
            requests: [Request::New; REQUESTS],
            starts: 0,
        }
    }

    fn steps(&self, state: &State) -> Vec<(Action, State)> {
        let mut actions = Vec::new();
        for request in 0..REQUESTS {
            actions.extend((0..ENTRIES).map(|entry| Action::Query { request, entry }));
            actions.extend([
                Action::Spend(request),
                Action::Answer(request),
                Action::Lose(request),
            ]);
        }
        for from in 0..ENTRIES {
            actions.extend((0..ENTRIES).map(|to| Action::HandOver { from, to }));
            actions.extend([Action::Crash(from), Action::Deliver(from)]);
        }
        actions
            .into_iter()
            .filter_map(|action| Some((action, self.apply(state, action)?)))
            .collect()
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        (state.starts > 1).then_some("the request was started twice")
    }
}

impl Ticket {
    /// Returns the state after an action, or none if the action is impossible.
    pub fn apply(&self, state: &State, action: Action) -> Option<State> {
        let mut next = state.clone();
        match action {
            Action::Query { request, entry } => {
                if next.requests[request] != Request::New {
                    return None;
                }
                next.requests[request] = Request::Querying(entry as u8);
            }
            Action::Spend(request) => {
                let Request::Querying(entry) = next.requests[request] else {
                    return None;
                };
                if next.crashed[usize::from(entry)] {
                    return None;
                }
                let granted = self.spend(&mut next, usize::from(entry));
                next.requests[request] = Request::Answered(granted);
            }
            Action::Answer(request) => {
                let Request::Answered(granted) = next.requests[request] else {
                    return None;
                };
                self.finish(&mut next, request, granted);
            }
            Action::Lose(request) => {
                match next.requests[request] {
                    Request::Querying(_) | Request::Answered(_) => {}
                    _ => return None,
                }
                self.finish(&mut next, request, self.fault == Fault::StartOnLoss);
            }
            Action::Crash(entry) => {
                if next.crashed[entry] {
                    return None;
                }
                next.crashed[entry] = true;
                next.ledgers[entry] = None;
                next.estates[entry] = None;
            }
            Action::HandOver { from, to } => self.hand_over(&mut next, from, to)?,
            Action::Deliver(entry) => self.deliver(&mut next, entry)?,
        }
        (next != *state).then_some(next)
    }

    fn spend(&self, next: &mut State, entry: usize) -> bool {
        let Some(ledger) = &mut next.ledgers[entry] else {
            return false;
        };
        if ledger.frozen && self.fault != Fault::NoFreeze {
            return false;
        }
        let granted = !ledger.spent;
        if self.fault != Fault::SpendOnStart {
            ledger.spent = true;
        }
        granted
    }

    fn finish(&self, next: &mut State, request: usize, start: bool) {
        if !start {
            next.requests[request] = Request::Refused;
            return;
        }
        next.requests[request] = Request::Started;
        next.starts += 1;
        for ledger in next.ledgers.iter_mut().flatten() {
            ledger.spent |= self.fault == Fault::SpendOnStart;
        }
    }

    fn hand_over(&self, next: &mut State, from: usize, to: usize) -> Option<()> {
        let ledger = next.ledgers[from]
            .as_mut()
            .filter(|ledger| !ledger.frozen)?;
        if from == to || next.crashed[to] || next.estates[to].is_some() {
            return None;
        }
        ledger.frozen = true;
        next.estates[to] = Some(ledger.spent);
        Some(())
    }

    fn deliver(&self, next: &mut State, entry: usize) -> Option<()> {
        let spent = next.estates[entry]?;
        if next.ledgers[entry].is_some() && self.fault != Fault::InheritTwice {
            return None;
        }
        next.ledgers[entry] = Some(Ledger {
            spent,
            frozen: false,
        });
        Some(())
    }
}
