//! The life of one request: its identifier, its stream position, and the tokens for retries and resumption.

pub mod id;
pub mod ledger;
pub mod resume;
pub mod sequencer;
pub mod signer;
pub mod ticket;
