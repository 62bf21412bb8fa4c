//! The border to whoever answers peers.

use std::future::Future;
use std::pin::Pin;

use member::digest::Digest;
use request::id::Incarnation;
use request::ledger::Answer;
use request::ledger::Estate;
use smol_str::SmolStr;

/// An answer to come; none when it can't be given.
pub type Pending<T> = Pin<Box<dyn Future<Output = Option<T>>>>;

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
}
