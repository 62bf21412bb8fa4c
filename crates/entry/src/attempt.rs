//! What the shell reports of one attempt to run a request.

use clock::Span;
use policy::decision::Transfer;
use policy::job::End;
use smol_str::SmolStr;

/// A report on the attempt that is running now; reports of older attempts are dropped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Report {
    /// The backend server began to answer.
    Head,
    /// Tokens were passed on.
    Tokens {
        /// How many since the last report.
        tokens: u32,
        /// Longest time between two of them.
        worst_gap: Span,
    },
    /// The attempt is over.
    Ended {
        /// How.
        end: End,
        /// Tokens passed on that weren't reported yet.
        tokens: u32,
    },
    /// The engine's stream goes on at the replica it was moved to.
    Moved {
        /// By which means.
        transfer: Transfer,
        /// Tokens that were computed a second time for it.
        recomputed: u32,
    },
    /// The stream to be continued is no longer there.
    AttachFailed,
}

/// Where the shell finds a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// `host:port`.
    pub address: SmolStr,
    /// This life of the server.
    pub incarnation: SmolStr,
}
