//! Everything that a gateway does, as data; the shell carries it out.

use bytes::Bytes;
use clock::Span;
use lease::holder;
use line::Line;
use member::digest::Digest;
use policy::charge::Charge;
use smol_str::SmolStr;
use store::call;
use store::call::Call;
use verdict::Refusal;

use crate::attempt::Endpoint;
use crate::charging::Answer;
use crate::charging::Grant;
use crate::duty;

/// One effect.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Something for the task that holds a request.
    Flight {
        /// Which request.
        serial: u64,
        /// What to do.
        command: Command,
    },
    /// The answer to a question for addresses.
    Addresses {
        /// Who asked.
        requester: u64,
        /// The answer; none while no entry can be named.
        answer: Option<Addresses>,
    },
    /// A call of the table service.
    Store {
        /// Names the call in the answer.
        id: call::Id,
        /// The call.
        call: Call,
    },
    /// Make a call that only the holder of a duty may make, unless its lease has ended when it leaves.
    Duty {
        /// Names the call in the answer.
        id: u64,
        /// The call.
        call: duty::Call,
        /// In whose name.
        lease: duty::Lease,
    },
    /// Send a digest to a peer; it may get lost.
    SendDigest {
        /// `host:port` of the peer.
        address: SmolStr,
        /// The digest.
        digest: Digest,
        /// How it is sent.
        lane: Lane,
    },
    /// Send a version of the configuration to a peer that lags behind.
    SendConfiguration {
        /// `host:port` of the peer.
        address: SmolStr,
        /// The document as it was read.
        document: Bytes,
    },
    /// Ask another entry to charge a request, for all entries.
    RequestCharge {
        /// Of which request.
        serial: u64,
        /// Who is asked.
        home: holder::Id,
        /// Its `host:port`.
        address: SmolStr,
        /// What is to be charged.
        charge: Charge,
    },
    /// The answer to another entry that asked for a charge.
    ChargeAnswer {
        /// Who asked.
        requester: u64,
        /// The answer; none while the quotas aren't known here.
        answer: Option<Answer>,
    },
    /// Give a grant back to the entry that made it; a loss leaves it charged.
    Refund {
        /// `host:port` of that entry.
        address: SmolStr,
        /// The grant.
        grant: Grant,
    },
    /// Read the configuration again as soon as may be: there may be a newer one.
    ReadConfiguration,
    /// Follow the list of servers from now on, or stop until the next such effect.
    FollowServers {
        /// Least pause between two reads, zero for that of few entries; none to stop.
        pause: Option<Span>,
    },
    /// Read the list of servers again as soon as may be: what it told meanwhile may be lost.
    ReadServers,
    /// A backend server may be handed requests, also if it was given up before.
    OpenServer {
        /// The life of the server that joined.
        incarnation: SmolStr,
    },
    /// Hand nothing more to a backend server; what was handed over goes on.
    CloseServer {
        /// The life of the server that leaves or is gone.
        incarnation: SmolStr,
    },
    /// One line of the log.
    Log(Line),
    /// Nothing is left to do: the process may end.
    Exit,
}

/// How a digest is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    /// At once.
    Immediate,
    /// As the entry's link has room: a newer one to the same peer says all that this one does, and takes its place.
    Coalesced,
}

/// What the task that holds a request is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Hand it to a replica.
    Start(Start),
    /// Give the caller its final answer now: that of a replica if one is kept, or this.
    Refuse(Refusal),
    /// Move the run with its memory to another replica, if it has begun; the attempt goes on.
    Move(Endpoint),
    /// Stop the attempt that runs; the request stays open.
    Stop,
}

/// An attempt to be made.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// Its number.
    pub attempt: u32,
    /// Where.
    pub endpoint: Endpoint,
    /// Whose request it is; none on public routes.
    pub account: Option<SmolStr>,
    /// What is left until its final answer is due.
    pub time_left: Span,
    /// The replica's silence after which the attempt is given up for another; none to wait on.
    pub silence_timeout: Option<Span>,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// Whether another replica may do it again, or go on where a stream broke off.
    pub repeatable: bool,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// `host:port` of a replica that may keep what the prompt shares with others, to be fetched from there.
    pub fetch_from: Option<SmolStr>,
    /// Whether a limit of the replica is in force: an answer without one lifts it.
    pub limited: bool,
    /// Priority for the engine: 0 goes first, 9 last; none for plain services.
    pub urgency: Option<u8>,
}

/// Which entries a caller may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// `host:port` of each.
    pub entries: Vec<SmolStr>,
    /// How long the answer may be kept.
    pub ttl: Span,
}
