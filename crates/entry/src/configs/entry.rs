//! Times and shares of one entry.

use clock::Span;
use smol_str::SmolStr;

/// What the reducer needs of the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How long a caller may keep an address answer.
    pub address_ttl: Span,
    /// Tickets given out with each address answer.
    pub tickets_per_answer: u64,
    /// Time in which requests may finish before they are handed to a peer, on a planned stop.
    pub grace: Span,
    /// What the table service takes from all entries together.
    pub store: store::configs::budget::Settings,
    /// Leases, reads and digests of members.
    pub members: member::configs::membership::Settings,
    /// How changes of the configuration are agreed.
    pub agreement: config::configs::agreement::Settings,
    /// Peer addresses to try while no members are known.
    pub seeds: Vec<SmolStr>,
    /// Wall clock at the process's time zero, milliseconds since 1970; only for reports to people.
    pub zero_unix_ms: u64,
    /// Longest time from a request's arrival to the end of its answer.
    pub request_timeout: Span,
    /// Longest wait of a non-idempotent request for its leave to run before it is given up.
    pub permit_timeout: Span,
    /// Time after which a ticket is asked for again, if no word came.
    pub ticket_retry_interval: Span,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            address_ttl: Span::from_seconds(10),
            tickets_per_answer: 4,
            grace: Span::from_seconds(20),
            store: store::configs::budget::Settings::default(),
            members: member::configs::membership::Settings::default(),
            agreement: config::configs::agreement::Settings::default(),
            seeds: Vec::new(),
            zero_unix_ms: 0,
            request_timeout: Span::from_seconds(600),
            permit_timeout: Span::from_seconds(2),
            ticket_retry_interval: Span::from_millis(300),
        }
    }
}
