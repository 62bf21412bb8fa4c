//! Everything that an entry does, as data; the shell carries it out.

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
        call: u64,
        /// The answer.
        answer: Addresses,
    },
    /// The answer to a wish to cancel.
    CancelAnswer {
        /// Who asked.
        call: u64,
        /// None when it was done.
        refusal: Option<Refusal>,
    },
    /// A call of the table service.
    Store {
        /// Names the call in the answer.
        id: store::call::Id,
        /// The call.
        call: store::call::Call,
    },
    /// The answer to an operator.
    Operator {
        /// Which call.
        call: u64,
        /// The answer.
        reply: Result<ops::reply::Reply, ops::fault::Fault>,
    },
    /// Ask a peer whether a ticket may be spent; its word, or its loss, comes back as an event.
    RequestSpend {
        /// Which request waits for it.
        serial: u64,
        /// `host:port` of the peer.
        address: SmolStr,
        /// The ticket.
        ticket: Ticket,
    },
    /// Tell a peer whether a ticket may be spent.
    SpendAnswer {
        /// Who asked.
        call: u64,
        /// Our word.
        answer: Answer,
    },
    /// Hand our ledger on to a peer.
    OfferEstates {
        /// `host:port` of the peer.
        address: SmolStr,
        /// What is handed on.
        estates: Vec<Estate>,
    },
    /// Tell a leaving peer that its ledger is held here now.
    EstatesAccepted {
        /// Who offered it.
        call: u64,
        /// Our incarnation, or none when we are leaving ourselves.
        heir: Option<Incarnation>,
    },
    /// Send a digest to a peer.
    SendDigest {
        /// `host:port` of the peer.
        address: SmolStr,
        /// The digest.
        digest: Digest,
    },
    /// Send a message about the configuration to a peer.
    SendConfigure {
        /// `host:port` of the peer.
        address: SmolStr,
        /// The message.
        message: Message,
    },
    /// Read what an engine serves; the answer comes back as a fleet event.
    ReadEngine {
        /// Whose leader asks.
        deployment: SmolStr,
        /// The engine's incarnation.
        engine: SmolStr,
        /// `host:port` of the engine.
        address: SmolStr,
    },
    /// Send an order to an engine, if it is not `until` yet when it leaves.
    OrderEngine {
        /// Whose leader orders.
        deployment: SmolStr,
        /// The engine's incarnation.
        engine: SmolStr,
        /// `host:port` of the engine.
        address: SmolStr,
        /// Fencing number.
        fence: u64,
        /// What it is to serve.
        target: Target,
        /// When the leader's lease ends.
        lease_end: Time,
    },
    /// Ask the cloud for an instance, if it is not `until` yet when the wish leaves.
    StartInstance {
        /// Whose leader asks.
        deployment: SmolStr,
        /// Names the wish.
        token: SmolStr,
        /// Where and as what.
        kind: Kind,
        /// For which pool.
        pool: SmolStr,
        /// When the leader's lease ends.
        lease_end: Time,
    },
    /// Give an instance back to the cloud after a while, if the lease was valid until then or the
    /// order was given while it was.
    StopInstance {
        /// Name of the machine.
        id: SmolStr,
        /// Time for its work to end or move.
        delay: Span,
        /// When the leader's lease ended as it was ordered.
        lease_end: Time,
    },
    /// One line of the log.
    Log(Line),
    /// Nothing is left to do: the process may end.
    Exit,
}

/// What the task that holds a request is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Give the caller its final answer now.
    Refuse(Refusal),
    /// Run it at this backend server; a model call goes on behind the tokens passed on so far.
    Start {
        /// The attempt's stream.
        stream: Stream,
        /// Where.
        endpoint: Endpoint,
        /// Priority for the engine: 0 goes first, 9 last.
        priority: u8,
        /// The resume word for the caller, still open; the shell seals it.
        account: SmolStr,
    },
    /// Go on reading a stream that an engine still holds.
    Attach {
        /// Our attempt's number.
        attempt: u32,
        /// The engine's stream.
        stream: Stream,
        /// Where.
        endpoint: Endpoint,
        /// The caller's offset of that stream's first token.
        base: u64,
        /// Whose it is.
        account: SmolStr,
    },
    /// Move the running stream.
    Move {
        /// The new attempt's stream.
        stream: Stream,
        /// Where to.
        endpoint: Endpoint,
        /// By which means.
        transfer: Transfer,
    },
    /// Stop the attempt that runs; the request stays open.
    Stop,
    /// Nobody waits for an answer any more: end without a word.
    Drop,
    /// End the stream here; the caller goes on at another entry.
    HandOff {
        /// `host:port` of that entry.
        address: SmolStr,
    },
}

/// Which entries a caller may use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Addresses {
    /// Entries, best first.
    pub entries: Vec<Address>,
    /// How long the answer may be kept.
    pub ttl: Span,
    /// Tickets, still open; the shell seals them.
    pub tickets: Vec<Ticket>,
}

/// One entry as told to callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Address {
    /// `host:port`.
    pub address: SmolStr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Share of new connections it should get, against the others'.
    pub weight: u32,
}
