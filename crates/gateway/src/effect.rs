//! Effects of a gateway, as data; the shell carries them out.

use bytes::Bytes;
use clock::Span;
use lease::holder;
use line::Line;
use member::digest::Digest;
use policy::charge::Charge;
use policy::proxy::Candidate;
use smol_str::SmolStr;
use store::call;
use store::call::Call;
use verdict::Refusal;

use crate::attempt::Endpoint;
use crate::charging::Answer;
use crate::charging::Grant;
use crate::duty;

/// An effect.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a command to the task that holds a request.
    Flight {
        /// Request number.
        serial: u64,
        /// The command.
        command: Command,
    },
    /// Answer an address query.
    Addresses {
        /// Identifies the query.
        requester: u64,
        /// The answer; `None` while no entry is usable.
        answer: Option<Addresses>,
    },
    /// Call the table service.
    Store {
        /// Identifies the call in the answer.
        id: call::Id,
        /// The call.
        call: Call,
    },
    /// Make a call that only the holder of the duties may make, unless its lease has expired by then.
    Duty {
        /// Identifies the call in the answer.
        id: u64,
        /// The call.
        call: duty::Call,
        /// Lease under which it is made.
        lease: duty::Lease,
    },
    /// Send a digest to a peer; it may be lost.
    SendDigest {
        /// `host:port` of the peer.
        address: SmolStr,
        /// The digest.
        digest: Digest,
        /// Delivery class.
        lane: Lane,
    },
    /// Send a version of the configuration to a lagging peer.
    SendConfiguration {
        /// `host:port` of the peer.
        address: SmolStr,
        /// The document as it was read.
        document: Bytes,
    },
    /// Ask an account's home to charge a request.
    RequestCharge {
        /// Request number.
        serial: u64,
        /// The home, which decides for all entries.
        home: holder::Id,
        /// `host:port` of the home.
        address: SmolStr,
        /// The charge.
        charge: Charge,
    },
    /// Answer another entry's charge.
    ChargeAnswer {
        /// Identifies the charge.
        requester: u64,
        /// The answer; `None` while the quotas aren't known here.
        answer: Option<Answer>,
    },
    /// Return a grant to the entry that made it; if this is lost, it stays charged.
    Refund {
        /// `host:port` of that entry.
        address: SmolStr,
        /// The grant.
        grant: Grant,
    },
    /// Read the configuration again as soon as possible: there may be a newer version.
    ReadConfiguration,
    /// Follow the list of servers from now on, or stop until the next such effect.
    FollowServers {
        /// Minimum pause between two reads, zero for the pause of few entries; `None` to stop.
        pause: Option<Span>,
    },
    /// Read the list of servers again as soon as possible: changes may have been missed.
    ReadServers,
    /// Allow requests to a backend server, even if it was closed before.
    OpenServer {
        /// The server that joined.
        endpoint: Endpoint,
    },
    /// Send no more requests to a backend server; those already sent continue.
    CloseServer {
        /// Incarnation of the server that is leaving or gone.
        incarnation: SmolStr,
    },
    /// Send no request to a backend server for a time; those already sent continue.
    PauseServer {
        /// Incarnation of the server that asked for the pause.
        incarnation: SmolStr,
        /// Time from now on.
        pause: Span,
    },
    /// Reach servers that can't be reached directly through these entries from now on.
    Proxies(Vec<Candidate>),
    /// Write a log line.
    Log(Line),
    /// Exit the process: nothing is left to do.
    Exit,
}

/// Delivery class of a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    /// Sent at once.
    Immediate,
    /// Sent when the link has room; a newer digest to the same peer supersedes it.
    Coalesced,
}

/// Command to the task that holds a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send the request to a replica.
    Start(Start),
    /// Give the caller the final answer now: a replica's if one is kept, else this refusal.
    Refuse(Refusal),
    /// Move the run with its memory to another replica, if it has started; the attempt continues.
    Move(Endpoint),
    /// Deliver events of an attempt that waits for its version to be recorded.
    Recorded {
        /// Number of the attempt.
        attempt: u32,
    },
    /// Stop the current attempt; the request stays open.
    Stop,
}

/// An attempt to make.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// Number of the attempt.
    pub attempt: u32,
    /// Replica to send it to.
    pub endpoint: Endpoint,
    /// Account of the request; `None` on public routes.
    pub account: Option<SmolStr>,
    /// Time left until the final answer is due.
    pub time_left: Span,
    /// Silence of the replica after which the attempt is abandoned; `None` to wait indefinitely.
    pub silence_timeout: Option<Span>,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// Whether another replica may retry the request, or resume a broken stream.
    pub repeatable: bool,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// `host:port` of a replica that may cache the prompt's shared prefix, to fetch it from there.
    pub fetch_from: Option<SmolStr>,
    /// Whether a limit that the replica reported is in force; an answer without one lifts it.
    pub limited: bool,
    /// Longest wait of its first event for [`Command::Recorded`]; `None` if it needn't wait.
    pub record_timeout: Option<Span>,
    /// Whether the request may reach only the process that the list names, since its answer has to be of that one's
    /// software version.
    pub bound_to_process: bool,
    /// Whether an engine runs it, which can be asked for a report on itself.
    pub is_model_call: bool,
    /// Engine priority, 0 (most urgent) to 9; `None` for plain services.
    pub urgency: Option<u8>,
}

/// Entries that a caller may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// `host:port` of each entry.
    pub entries: Vec<SmolStr>,
    /// How long the answer may be cached.
    pub ttl: Span,
}
