//! Settings of the client, with their defaults.

use clock::Span;
use smol_str::SmolStr;

/// Settings of a client.
#[derive(Clone, Debug)]
pub struct Client {
    /// Addresses of known entries; one reachable entry is enough.
    pub entries: Vec<SmolStr>,
    /// Account key.
    pub key: SmolStr,
    /// Timeout for establishing a connection.
    pub connect_timeout: Span,
    /// Silence after which a connection counts as lost; must exceed the longest wait for a first token.
    pub idle_timeout: Span,
    /// Time after which a failing request isn't retried any more.
    pub retry_timeout: Span,
    /// Most consecutive attempts at a call, or at a stream without a new chunk.
    pub max_attempts: u32,
    /// Seed for jitter and the choice of entries; none takes a random one.
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
