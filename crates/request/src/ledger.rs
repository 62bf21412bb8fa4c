//! Which tickets of one minter have been spent.
//!
//! Guards against a non-idempotent request running twice. The fault shows as the same ticket arriving
//! again: at the same entry after a cut, at another entry, or after the minter was paused or replaced.
//! The guard holds because a ticket is spent in exactly one place, the minter's ledger, before any
//! byte leaves for a backend server. A ledger that was handed on is frozen first and never grants
//! again, so minter and heir can't both grant one. A ledger that is lost grants nothing: its tickets
//! then end in "may have run" for ever. No clock and no lease takes part, so a pause can't break it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use clock::Span;
use clock::Time;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::id::Incarnation;
use crate::ticket::Ticket;

/// How long a ticket can be spent after it was minted; the ledger forgets it afterwards.
///
/// Bounds the ledger: at 43 non-idempotent requests a second (36,000 over 840 nodes, were all of them
/// so) it holds 26,000 serials.
pub const TICKET_LIFETIME: Span = Span::from_seconds(600);

/// What the ledger says to a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// It was unspent and is spent now: the asker, and nobody else, may run the request.
    Granted,
    /// It was spent before: an earlier request under it may have run.
    Spent,
    /// It is too old, or of a ledger that isn't held here: an earlier request may have run.
    Unknown,
}

/// The part of a ledger that is handed to a successor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Estate {
    /// Whose tickets these are.
    pub minter: Incarnation,
    /// Serials below this one are too old.
    pub oldest: u64,
    /// The serial after the last one minted.
    pub next: u64,
    /// Serials from `oldest` on that are spent.
    pub spent: Vec<u64>,
}

/// The ledger of one entry: its own tickets and those it inherited.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ledger {
    own: Incarnation,
    books: BTreeMap<Incarnation, Book>,
    /// When serials were minted: the first serial of each batch with its time, in order.
    batches: Vec<(Time, u64)>,
}

/// Spent serials of one minter.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Book {
    oldest: u64,
    next: u64,
    spent: BTreeSet<u64>,
    /// Once set, nothing is granted here any more; never unset.
    frozen: bool,
    /// When an inherited book may be forgotten.
    until: Option<Time>,
}

impl Ledger {
    /// The empty ledger of a new incarnation.
    pub fn new(own: Incarnation) -> Ledger {
        Ledger {
            own,
            books: BTreeMap::from([(own, Book::default())]),
            batches: Vec::new(),
        }
    }

    /// Mints `count` tickets for an account; none once the ledger was handed on.
    pub fn mint(&mut self, now: Time, account: &SmolStr, count: u64) -> Vec<Ticket> {
        self.expire(now);
        let Some(book) = self.books.get_mut(&self.own) else {
            return Vec::new();
        };
        if book.frozen {
            return Vec::new();
        }
        let first = book.next;
        book.next += count;
        if self.batches.last().is_none_or(|(time, _)| *time != now) {
            self.batches.push((now, first));
        }
        (first..first + count)
            .map(|serial| Ticket {
                minter: self.own,
                serial,
                account: account.clone(),
            })
            .collect()
    }

    /// Spends a ticket, if this ledger holds its book and it is unspent.
    pub fn spend(&mut self, now: Time, ticket: &Ticket) -> Answer {
        self.expire(now);
        let Some(book) = self.books.get_mut(&ticket.minter) else {
            return Answer::Unknown;
        };
        let minted = (book.oldest..book.next).contains(&ticket.serial);
        if book.frozen || !minted {
            return Answer::Unknown;
        }
        if book.spent.insert(ticket.serial) {
            Answer::Granted
        } else {
            Answer::Spent
        }
    }

    /// Whether tickets of this minter are to be spent here.
    pub fn holds(&self, minter: Incarnation) -> bool {
        self.books.get(&minter).is_some_and(|book| !book.frozen)
    }

    /// Freezes everything and gives what the one successor needs.
    ///
    /// A book is given once: were it given again to a second successor, because the first one's word
    /// was lost, both would grant its tickets.
    pub fn hand_over(&mut self, now: Time) -> Vec<Estate> {
        self.expire(now);
        let mut estates = Vec::new();
        for (minter, book) in &mut self.books {
            if book.frozen {
                continue;
            }
            book.frozen = true;
            estates.push(Estate {
                minter: *minter,
                oldest: book.oldest,
                next: book.next,
                spent: book.spent.iter().copied().collect(),
            });
        }
        estates
    }

    /// Takes over an estate. A second delivery of the same estate changes nothing.
    ///
    /// An estate whose book was once held here is not taken again: a delayed copy would bring back
    /// tickets as unspent that were spent since.
    pub fn inherit(&mut self, now: Time, estate: Estate) {
        self.books.entry(estate.minter).or_insert_with(|| Book {
            oldest: estate.oldest,
            next: estate.next,
            spent: estate.spent.into_iter().collect(),
            frozen: false,
            until: Some(now + TICKET_LIFETIME),
        });
    }

    /// Minters whose tickets are spent here.
    pub fn minters(&self) -> impl Iterator<Item = Incarnation> + '_ {
        self.books
            .iter()
            .filter(|(_, book)| !book.frozen)
            .map(|(minter, _)| *minter)
    }

    /// Forgets what is older than [`TICKET_LIFETIME`].
    fn expire(&mut self, now: Time) {
        for book in self.books.values_mut() {
            if book.until.is_some_and(|until| until <= now) {
                book.frozen = true;
                book.spent.clear();
            }
        }
        let old = self
            .batches
            .iter()
            .take_while(|(time, _)| now.since(*time) > TICKET_LIFETIME)
            .count();
        if old == 0 {
            return;
        }
        self.batches.drain(..old);
        let Some(book) = self.books.get_mut(&self.own) else {
            return;
        };
        book.oldest = self.batches.first().map_or(book.next, |(_, first)| *first);
        book.spent = book.spent.split_off(&book.oldest);
    }
}
