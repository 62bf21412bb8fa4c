//! Settings of the reducer.

use clock::Span;
use smol_str::SmolStr;

/// Timeouts and limits of one entry, and the settings of its components.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How long a caller may cache an address answer.
    pub address_ttl: Span,
    /// Number of tickets in each address answer.
    pub tickets_per_answer: u64,
    /// Time for requests to finish on a planned stop before they are handed to a peer.
    pub grace: Span,
    /// Rate limits of the table service, shared by all entries.
    pub store: store::configs::budget::Settings,
    /// Membership: leases, reads and digests.
    pub members: member::configs::membership::Settings,
    /// Agreement on configuration changes.
    pub agreement: config::configs::agreement::Settings,
    /// Peer addresses to contact while no members are known.
    pub seeds: Vec<SmolStr>,
    /// Wall clock at the process's time zero, Unix milliseconds; only used in reports.
    pub zero_unix_ms: u64,
    /// Longest time from a request's arrival to the end of its answer.
    pub request_timeout: Span,
    /// Longest time that a non-idempotent request waits for its permit.
    pub permit_timeout: Span,
    /// Time after which an unanswered ticket request is retried.
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
