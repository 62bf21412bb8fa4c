//! Settings of the client, with their defaults.

use clock::Span;
use smol_str::SmolStr;

/// How a client behaves.
#[derive(Clone, Debug)]
pub struct Client {
    /// Addresses of entries that are known beforehand; one that answers is enough.
    pub entries: Vec<SmolStr>,
    /// Key of the client account.
    pub key: SmolStr,
    /// Time to set up a connection.
    pub connect: Span,
    /// Silence after which an answer counts as cut; longer than any wait for a first token.
    pub silence: Span,
    /// Time after which a request that is still refused is given up.
    pub patience: Span,
    /// Tries in a row without a new chunk, or tries of a call.
    pub tries: u32,
    /// Seed of the jitter and of the choice among entries; none takes one from the system.
    pub seed: Option<u64>,
}

impl Default for Client {
    fn default() -> Client {
        Client {
            entries: Vec::new(),
            key: SmolStr::default(),
            connect: Span::from_seconds(2),
            silence: Span::from_seconds(20),
            patience: Span::from_seconds(60),
            tries: 8,
            seed: None,
        }
    }
}
