//! The border to whoever answers peers.

use std::future::Future;
use std::pin::Pin;

use clock::Span;
use member::digest::Digest;
use request::id::Incarnation;
use request::ledger::Answer;
use request::ledger::Estate;
use smol_str::SmolStr;

/// An answer to come; none when it can't be given.
pub type Pending<T> = Pin<Box<dyn Future<Output = Option<T>>>>;

/// The answer to a charge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Charge {
    /// It was made.
    Granted {
        /// Names what was charged.
        bucket: u64,
    },
    /// The quota has no room.
    Exceeded {
        /// When to come back.
        retry_after: Span,
    },
}

/// Answers peers that have proved themselves.
pub trait Receiver {
    /// Spends a sealed ticket, if it may be.
    fn spend(&self, ticket: SmolStr) -> Pending<Answer>;

    /// Takes ledgers over; gives the incarnation that holds them from now on.
    fn inherit(&self, estates: Vec<Estate>) -> Pending<Incarnation>;

    /// Takes a digest.
    fn digest(&self, digest: Digest);

    /// Takes a message about the configuration.
    fn configure(&self, from: u64, message: Vec<u8>);

    /// Charges the quota of an account for all entries.
    fn charge(&self, account: u64, tokens: u64) -> Pending<Charge>;

    /// Takes back what [`Receiver::charge`] granted.
    fn refund(&self, bucket: u64, tokens: u64);
}
