//! Records which tickets of a minter have been spent.
//!
//! Guards against running a non-idempotent request twice. The same ticket may arrive again: at the same
//! entry after a lost connection, at another entry, or after its minter was paused or replaced. A ticket is
//! spent in exactly one place, its minter's ledger, before any byte is sent to a backend server. A ledger
//! is frozen before it is handed over and never grants again, so minter and heir can't both grant a ticket.
//! A lost ledger grants nothing: its tickets are answered with "may have run" for ever. The guard depends
//! on no clock and no lease, so a pause can't break it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use clock::Span;
use clock::Time;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::id::Incarnation;
use crate::ticket::Ticket;

/// Time for which a ticket can be spent after it was minted; the ledger forgets it afterwards.
///
/// It bounds the ledger: 43 non-idempotent requests a second (36,000 over 840 nodes, if all requests are
/// non-idempotent) take 26,000 serials.
pub const TICKET_LIFETIME: Span = Span::from_seconds(600);

/// Answer to an attempt to spend a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The ticket was unspent and is now spent; only this caller may run the request.
    Granted,
    /// The ticket was spent before; an earlier request with it may have run.
    Spent,
    /// The ticket is expired or belongs to a ledger not held here; an earlier request with it may have run.
    Unknown,
}

/// Part of a ledger that is handed over to a successor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Estate {
    /// Minter of the tickets.
    pub minter: Incarnation,
    /// Lowest serial that has not expired.
    pub oldest: u64,
    /// Serial of the next ticket to be minted.
    pub next: u64,
    /// Spent serials from `oldest` on.
    pub spent: Vec<u64>,
}

/// Ledger of one entry with its own tickets and those that it inherited.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ledger {
    own_minter: Incarnation,
    books: BTreeMap<Incarnation, Book>,
    /// Time and first serial of each batch of minted tickets, in order.
    batches: Vec<(Time, u64)>,
}

/// Spent serials of one minter.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Book {
    oldest: u64,
    next: u64,
    spent: BTreeSet<u64>,
    /// Whether this ledger no longer grants these tickets; never reset.
    frozen: bool,
    /// Time at which an inherited book expires.
    expires_at: Option<Time>,
}

impl Ledger {
    /// Creates the empty ledger of a new incarnation.
    pub fn new(own: Incarnation) -> Ledger {
        Ledger {
            own_minter: own,
            books: BTreeMap::from([(own, Book::default())]),
            batches: Vec::new(),
        }
    }

    /// Mints `count` tickets for an account; none after the ledger was handed over.
    pub fn mint(&mut self, now: Time, account: &SmolStr, count: u64) -> Vec<Ticket> {
        self.expire(now);
        let Some(book) = self.books.get_mut(&self.own_minter) else {
            return Vec::new();
        };
        if book.frozen {
            return Vec::new();
        }
        let first = book.next;
        book.next += count;
        if self
            .batches
            .last()
            .is_none_or(|(minted_at, _)| *minted_at != now)
        {
            self.batches.push((now, first));
        }
        (first..first + count)
            .map(|serial| Ticket {
                minter: self.own_minter,
                serial,
                account: account.clone(),
            })
            .collect()
    }

    /// Spends a ticket if this ledger holds its book and the ticket is unspent.
    pub fn spend(&mut self, now: Time, ticket: &Ticket) -> Answer {
        self.expire(now);
        let Some(book) = self.books.get_mut(&ticket.minter) else {
            return Answer::Unknown;
        };
        let is_known = (book.oldest..book.next).contains(&ticket.serial);
        if book.frozen || !is_known {
            return Answer::Unknown;
        }
        if book.spent.insert(ticket.serial) {
            Answer::Granted
        } else {
            Answer::Spent
        }
    }

    /// Returns whether this ledger spends the tickets of a minter.
    pub fn holds(&self, minter: Incarnation) -> bool {
        self.books.get(&minter).is_some_and(|book| !book.frozen)
    }

    /// Freezes all books and returns those that the successor needs.
    ///
    /// Each book is handed over once. If the answer of a first successor is lost and a second one received
    /// the same book, both would grant its tickets.
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

    /// Takes over a book; a repeated delivery has no effect.
    ///
    /// A book that was held here before is not taken again, because a delayed copy would restore tickets that
    /// were spent since.
    pub fn inherit(&mut self, now: Time, estate: Estate) {
        self.books.entry(estate.minter).or_insert_with(|| Book {
            oldest: estate.oldest,
            next: estate.next,
            spent: estate.spent.into_iter().collect(),
            frozen: false,
            expires_at: Some(now + TICKET_LIFETIME),
        });
    }

    /// Returns the minters whose tickets this ledger spends.
    pub fn minters(&self) -> impl Iterator<Item = Incarnation> + '_ {
        self.books
            .iter()
            .filter(|(_, book)| !book.frozen)
            .map(|(minter, _)| *minter)
    }

    /// Removes what is older than [`TICKET_LIFETIME`].
    fn expire(&mut self, now: Time) {
        for book in self.books.values_mut() {
            if book.expires_at.is_some_and(|expires_at| expires_at <= now) {
                book.frozen = true;
                book.spent.clear();
            }
        }
        let expired = self
            .batches
            .iter()
            .take_while(|(minted_at, _)| now.since(*minted_at) > TICKET_LIFETIME)
            .count();
        if expired == 0 {
            return;
        }
        self.batches.drain(..expired);
        let Some(book) = self.books.get_mut(&self.own_minter) else {
            return;
        };
        book.oldest = self.batches.first().map_or(book.next, |(_, first)| *first);
        book.spent = book.spent.split_off(&book.oldest);
    }
}
