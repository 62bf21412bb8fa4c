//! The effects that the reducer emits for the shell to perform.

use clock::Span;
use clock::Time;
use config::message::Message;
use lease::order::Target;
use member::digest::Digest;
use policy::decision::Transfer;
use policy::mix::Kind;
use request::id::Incarnation;
use request::id::Stream;
use request::ledger::Answer;
use request::ledger::Estate;
use request::ticket::Ticket;
use smol_str::SmolStr;
use verdict::Refusal;

use crate::attempt::Endpoint;
use crate::line::Line;

/// An output of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Sends a command to the task that serves a request.
    Flight {
        /// Serial of the request.
        serial: u64,
        /// The command.
        command: Command,
    },
    /// Answers a request for addresses.
    Addresses {
        /// Id of the call.
        call: u64,
        /// The answer.
        answer: Addresses,
    },
    /// Answers a request to cancel.
    CancelAnswer {
        /// Id of the call.
        call: u64,
        /// Why the request was not cancelled; none on success.
        refusal: Option<Refusal>,
    },
    /// Calls the table service.
    Store {
        /// Id of the call, repeated in the answer.
        id: store::call::Id,
        /// The call.
        call: store::call::Call,
    },
    /// Answers an operator.
    Operator {
        /// Id of the call.
        call: u64,
        /// The answer.
        reply: Result<ops::reply::Reply, ops::fault::Fault>,
    },
    /// Asks a peer to spend a ticket; the answer or its loss is reported as an event.
    RequestSpend {
        /// Serial of the request that needs the ticket.
        serial: u64,
        /// `host:port` of the peer.
        address: SmolStr,
        /// The ticket.
        ticket: Ticket,
    },
    /// Answers a peer's request to spend a ticket.
    SpendAnswer {
        /// Id of the call.
        call: u64,
        /// The answer.
        answer: Answer,
    },
    /// Hands this entry's ledgers over to a peer.
    OfferEstates {
        /// `host:port` of the peer.
        address: SmolStr,
        /// The ledgers.
        estates: Vec<Estate>,
    },
    /// Tells a leaving peer whether this entry took over its ledgers.
    EstatesAccepted {
        /// Id of the call.
        call: u64,
        /// This entry's incarnation, or none if it is leaving itself.
        heir: Option<Incarnation>,
    },
    /// Sends a digest to a peer.
    SendDigest {
        /// `host:port` of the peer.
        address: SmolStr,
        /// The digest.
        digest: Digest,
    },
    /// Sends a configuration message to a peer.
    SendConfigure {
        /// `host:port` of the peer.
        address: SmolStr,
        /// The message.
        message: Message,
    },
    /// Reads which model an engine serves; the answer is reported as a fleet event.
    ReadEngine {
        /// Deployment whose leader needs the answer.
        deployment: SmolStr,
        /// Incarnation of the engine.
        engine: SmolStr,
        /// `host:port` of the engine.
        address: SmolStr,
    },
    /// Sends an order to an engine, unless the leader's lease has ended before it is sent.
    OrderEngine {
        /// Deployment whose leader gives the order.
        deployment: SmolStr,
        /// Incarnation of the engine.
        engine: SmolStr,
        /// `host:port` of the engine.
        address: SmolStr,
        /// Fencing token.
        fence: u64,
        /// Model, version and role to serve.
        target: Target,
        /// End of the leader's lease.
        lease_end: Time,
    },
    /// Requests an instance from the cloud, unless the leader's lease has ended before it is sent.
    StartInstance {
        /// Deployment whose leader requests the instance.
        deployment: SmolStr,
        /// Idempotency token of the request.
        token: SmolStr,
        /// Zone, class and market of the instance.
        kind: Kind,
        /// Pool that the instance joins.
        pool: SmolStr,
        /// End of the leader's lease.
        lease_end: Time,
    },
    /// Returns an instance to the cloud after a delay, unless the leader's lease had already ended
    /// when the order was received.
    StopInstance {
        /// Cloud id of the instance.
        id: SmolStr,
        /// Time for its requests to finish or move.
        delay: Span,
        /// End of the leader's lease, as of the order.
        lease_end: Time,
    },
    /// Writes a log line.
    Log(Line),
    /// Ends the process; nothing is left to do.
    Exit,
}

/// A command to the task that serves a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send the caller its final answer.
    Refuse(Refusal),
    /// Run the request at a backend server; a model call continues after the tokens already relayed.
    Start {
        /// Stream of the attempt.
        stream: Stream,
        /// The backend server.
        endpoint: Endpoint,
        /// Priority at the engine, from 0 (first) to 9 (last).
        priority: u8,
        /// Account for the resume token, which the shell signs.
        account: SmolStr,
    },
    /// Continue reading a stream that an engine still holds.
    Attach {
        /// Number of this entry's attempt.
        attempt: u32,
        /// Stream at the engine.
        stream: Stream,
        /// The engine's server.
        endpoint: Endpoint,
        /// Offset of the stream's first token in the caller's answer.
        base: u64,
        /// Account of the caller.
        account: SmolStr,
    },
    /// Move the running stream to another replica.
    Move {
        /// Stream of the new attempt.
        stream: Stream,
        /// The new server.
        endpoint: Endpoint,
        /// Transfer method.
        transfer: Transfer,
    },
    /// Stop the running attempt; the request stays open.
    Stop,
    /// End without an answer: the caller is gone.
    Drop,
    /// End the stream here and redirect the caller to another entry.
    HandOff {
        /// `host:port` of that entry.
        address: SmolStr,
    },
}

/// The entries that a caller may use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Addresses {
    /// Entries in order of preference.
    pub entries: Vec<Address>,
    /// How long the answer may be cached.
    pub ttl: Span,
    /// Unsigned tickets; the shell signs them.
    pub tickets: Vec<Ticket>,
}

/// An entry's address for callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Address {
    /// `host:port` that callers connect to.
    pub address: SmolStr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Relative share of new connections.
    pub weight: u32,
}
