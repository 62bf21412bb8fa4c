//! Interface that the server calls on behalf of peers.

use std::future::Future;
use std::pin::Pin;

use clock::Span;
use member::digest::Digest;
use request::id::Incarnation;
use request::ledger::Answer;
use request::ledger::Estate;
use smol_str::SmolStr;

use crate::tunnel;

/// A future answer; `None` if it can't be given.
pub type Pending<T> = Pin<Box<dyn Future<Output = Option<T>>>>;

/// Answer to a quota charge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Charge {
    /// The tokens were charged.
    Granted {
        /// Identifies the bucket that was charged.
        bucket: u64,
    },
    /// The quota is exhausted.
    Exceeded {
        /// Time after which a retry may succeed.
        retry_after: Span,
    },
}

/// Handles calls from authenticated peers.
pub trait Receiver {
    /// Spends a signed ticket if it is unspent.
    fn spend(&self, ticket: SmolStr) -> Pending<Answer>;

    /// Accepts ledgers; returns the incarnation that holds them from now on.
    fn inherit(&self, estates: Vec<Estate>) -> Pending<Incarnation>;

    /// Handles a gossip digest.
    fn digest(&self, digest: Digest);

    /// Handles a message of the configuration protocol.
    fn configure(&self, from: u64, message: Vec<u8>);

    /// Charges an account's fleet-wide quota.
    fn charge(&self, account: u64, tokens: u64) -> Pending<Charge>;

    /// Returns tokens that [`Receiver::charge`] granted.
    fn refund(&self, bucket: u64, tokens: u64);

    /// Opens a connection to the backend server of this incarnation.
    fn connect(&self, server: SmolStr) -> Pending<tunnel::Connection>;
}
