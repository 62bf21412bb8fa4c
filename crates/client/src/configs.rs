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
    pub connect_timeout: Span,
    /// Silence after which an answer counts as cut; longer than any wait for a first token.
    pub idle_timeout: Span,
    /// Time after which a request that is still refused is given up.
    pub retry_timeout: Span,
    /// Tries in a row without a new chunk, or tries of a call.
    pub max_attempts: u32,
    /// Seed of the jitter and of the choice among entries; none takes one from the system.
    pub seed: Option<u64>,
}

impl Default for Client {
    fn default() -> Client {
        Client {
            entries: Vec::new(),
            key: SmolStr::default(),
            connect_timeout: Span::from_seconds(2),
            idle_timeout: Span::from_seconds(20),
            retry_timeout: Span::from_seconds(60),
            max_attempts: 8,
            seed: None,
        }
    }
}
