//! The life of one request: its name, its stream position, and the words that let a caller come back.

pub mod id;
pub mod ledger;
pub mod resume;
pub mod sequencer;
pub mod signer;
pub mod ticket;
