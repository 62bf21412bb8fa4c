//! One ticket of a non-idempotent request, its ledger, and a caller who sends it again and again.
//!
//! The minter holds the ledger and may hand it on when it stops; so may its heir. Whoever receives
//! the request asks some entry that it believes to hold the ledger, and starts the request only when
//! that entry grants the ticket. Entries may crash, messages may be lost, late or doubled. Bounds:
//! three entries, one ticket, three requests under it, one question to an entry for each request.

use crate::checker::Specification;

/// Entries that may hold the ledger.
pub const ENTRIES: usize = 3;
/// Requests that the caller sends under the one ticket.
pub const REQUESTS: usize = 3;

/// What is left out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// A ledger that was handed on goes on granting.
    NoFreeze,
    /// A ledger that is delivered twice is taken twice.
    InheritTwice,
    /// A request whose answer was lost is started.
    StartOnLoss,
    /// The ticket is marked as spent when the request starts, not when it is granted.
    SpendOnStart,
}

/// The specification.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ticket {
    /// What is left out.
    pub fault: Fault,
}

/// Everything.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// The ledger at each entry; none if it never had it.
    pub books: [Option<Book>; ENTRIES],
    /// Entries that have crashed.
    pub crashed: [bool; ENTRIES],
    /// The ledger on its way to each entry, and whether the ticket was spent in it. It may be
    /// delivered any number of times.
    pub estates: [Option<bool>; ENTRIES],
    /// The requests.
    pub requests: [Request; REQUESTS],
    /// How often one was started at a backend server.
    pub starts: u8,
}

/// A ledger with one ticket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Book {
    /// Whether the ticket is spent.
    pub spent: bool,
    /// Whether the ledger was handed on.
    pub frozen: bool,
}

/// One request under the ticket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Request {
    /// Not sent yet.
    #[default]
    New,
    /// An entry is being asked.
    Asking(u8),
    /// An entry has answered: it grants the ticket or not.
    Answered(bool),
    /// Started at a backend server.
    Started,
    /// The caller was told "may have run".
    Refused,
}

/// A step; the numbers are those of a request or an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// The request arrives somewhere, and this entry is asked.
    Ask {
        /// The request.
        request: usize,
        /// Who is asked.
        entry: usize,
    },
    /// The asked entry looks into its ledger.
    Spend(usize),
    /// The answer arrives: the request is started or refused.
    Answer(usize),
    /// Question or answer is lost.
    Lose(usize),
    /// An entry crashes; its ledger is gone.
    Crash(usize),
    /// An entry hands its ledger on.
    HandOn {
        /// Who stops.
        from: usize,
        /// Its heir.
        to: usize,
    },
    /// The ledger is delivered, perhaps not for the first time.
    Deliver(usize),
}

impl Specification for Ticket {
    type State = State;
    type Action = Action;

    fn initial(&self) -> State {
        let mut books = [None; ENTRIES];
        books[0] = Some(Book::default());
        State {
            books,
            crashed: [false; ENTRIES],
            estates: [None; ENTRIES],
            requests: [Request::New; REQUESTS],
            starts: 0,
        }
    }

    fn steps(&self, state: &State) -> Vec<(Action, State)> {
        let mut actions = Vec::new();
        for request in 0..REQUESTS {
            actions.extend((0..ENTRIES).map(|entry| Action::Ask { request, entry }));
            actions.extend([
                Action::Spend(request),
                Action::Answer(request),
                Action::Lose(request),
            ]);
        }
        for from in 0..ENTRIES {
            actions.extend((0..ENTRIES).map(|to| Action::HandOn { from, to }));
            actions.extend([Action::Crash(from), Action::Deliver(from)]);
        }
        actions
            .into_iter()
            .filter_map(|action| Some((action, self.take(state, action)?)))
            .collect()
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        (state.starts > 1).then_some("the request was started twice")
    }
}

impl Ticket {
    /// The state after an action, if it can happen.
    pub fn take(&self, state: &State, action: Action) -> Option<State> {
        let mut next = state.clone();
        match action {
            Action::Ask { request, entry } => {
                if next.requests[request] != Request::New {
                    return None;
                }
                next.requests[request] = Request::Asking(entry as u8);
            }
            Action::Spend(request) => {
                let Request::Asking(entry) = next.requests[request] else {
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
                self.end(&mut next, request, granted);
            }
            Action::Lose(request) => {
                match next.requests[request] {
                    Request::Asking(_) | Request::Answered(_) => {}
                    _ => return None,
                }
                self.end(&mut next, request, self.fault == Fault::StartOnLoss);
            }
            Action::Crash(entry) => {
                if next.crashed[entry] {
                    return None;
                }
                next.crashed[entry] = true;
                next.books[entry] = None;
                next.estates[entry] = None;
            }
            Action::HandOn { from, to } => self.hand_on(&mut next, from, to)?,
            Action::Deliver(entry) => self.deliver(&mut next, entry)?,
        }
        (next != *state).then_some(next)
    }

    fn spend(&self, next: &mut State, entry: usize) -> bool {
        let Some(book) = &mut next.books[entry] else {
            return false;
        };
        if book.frozen && self.fault != Fault::NoFreeze {
            return false;
        }
        let granted = !book.spent;
        if self.fault != Fault::SpendOnStart {
            book.spent = true;
        }
        granted
    }

    fn end(&self, next: &mut State, request: usize, start: bool) {
        if !start {
            next.requests[request] = Request::Refused;
            return;
        }
        next.requests[request] = Request::Started;
        next.starts += 1;
        for book in next.books.iter_mut().flatten() {
            book.spent |= self.fault == Fault::SpendOnStart;
        }
    }

    fn hand_on(&self, next: &mut State, from: usize, to: usize) -> Option<()> {
        let book = next.books[from].as_mut().filter(|book| !book.frozen)?;
        if from == to || next.crashed[to] || next.estates[to].is_some() {
            return None;
        }
        book.frozen = true;
        next.estates[to] = Some(book.spent);
        Some(())
    }

    fn deliver(&self, next: &mut State, entry: usize) -> Option<()> {
        let spent = next.estates[entry]?;
        if next.books[entry].is_some() && self.fault != Fault::InheritTwice {
            return None;
        }
        next.books[entry] = Some(Book {
            spent,
            frozen: false,
        });
        Some(())
    }
}
