//! Reports of the shell on an attempt to run a request.

use clock::Span;
use policy::decision::Transfer;
use policy::job::End;
use smol_str::SmolStr;

/// A report on the current attempt; reports on earlier attempts are ignored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Report {
    /// The backend server sent the head of its answer.
    Head,
    /// Tokens were relayed to the caller.
    Tokens {
        /// Number of tokens since the last report.
        tokens: u32,
        /// Longest gap between two of them.
        worst_gap: Span,
    },
    /// The backend server turned the attempt away and asked for a pause; the attempt's end follows.
    PauseRequested {
        /// Time for which the server accepts no request from this entry.
        pause: Span,
    },
    /// The attempt ended.
    Ended {
        /// How it ended.
        end: End,
        /// Relayed tokens that were not reported yet.
        tokens: u32,
    },
    /// The stream continues at the replica that it was moved to.
    Moved {
        /// Transfer method.
        transfer: Transfer,
        /// Number of tokens computed again for the move.
        recomputed: u32,
    },
    /// The stream to resume no longer exists.
    AttachFailed,
}

/// Address and incarnation of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// `host:port` of the server.
    pub address: SmolStr,
    /// Incarnation of the server.
    pub incarnation: SmolStr,
}
