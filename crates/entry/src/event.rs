//! The events that the reducer processes.

use config::message::Message;
use member::digest::Digest;
use policy::mix::Offer;
use policy::replica;
use request::id::Incarnation;
use request::ledger::Answer;
use request::ledger::Estate;
use request::ticket::Ticket;
use smol_str::SmolStr;

use crate::arrival::Arrival;
use crate::attempt::Report;
use crate::instance::CacheUpdate;
use crate::instance::Instance;
use crate::instance::Notice;

/// An input of the reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request was read in full.
    Arrived {
        /// Serial of the request at this entry, increasing by one.
        serial: u64,
        /// The request.
        arrival: Arrival,
    },
    /// The caller's connection was closed.
    CallerDisconnected {
        /// Serial of the request.
        serial: u64,
    },
    /// A caller asks to cancel a request.
    CancelRequested {
        /// Id of the call to answer.
        call: u64,
        /// Bearer key.
        key: Option<SmolStr>,
        /// Request id, as the caller gave it.
        request: SmolStr,
    },
    /// A caller asks for the addresses of entries.
    AddressesRequested {
        /// Id of the call to answer.
        call: u64,
        /// Bearer key.
        key: Option<SmolStr>,
        /// Prefix hash of the caller's next request.
        prefix: Option<u64>,
    },
    /// The shell reports on an attempt.
    Attempt {
        /// Serial of the request.
        serial: u64,
        /// Number of the attempt.
        attempt: u32,
        /// The report.
        report: Report,
    },
    /// The instance list was read.
    InstancesRead(Vec<Instance>),
    /// The instance list contains the instance that this entry runs on.
    OwnInstanceRead {
        /// Incarnation of the instance.
        incarnation: SmolStr,
        /// Whether the list marks it as leaving.
        leaving: bool,
    },
    /// Prices were read.
    PricesRead(Vec<Offer>),
    /// An event for the leader of a deployment's fleet.
    Fleet {
        /// Name of the deployment.
        deployment: SmolStr,
        /// The event.
        event: fleet::event::Event,
    },
    /// The instance list contains these entries, by the addresses that callers connect to.
    EntriesRead(Vec<SmolStr>),
    /// Reclaim notices were read.
    NoticesRead(Vec<Notice>),
    /// A backend server reported its load.
    LoadRead {
        /// Incarnation of the server.
        incarnation: SmolStr,
        /// The load report.
        report: replica::Report,
    },
    /// A model engine published changes of its prefix cache.
    CacheRead {
        /// Incarnation of the server.
        incarnation: SmolStr,
        /// The changes, in order.
        events: Vec<CacheUpdate>,
    },
    /// A call to the table service completed or failed.
    Store {
        /// Id of the call.
        id: store::call::Id,
        /// Outcome of the call.
        outcome: store::call::Outcome,
    },
    /// An operator's request was received.
    Operator {
        /// Id of the call to answer.
        call: u64,
        /// The request.
        request: ops::request::Request,
    },
    /// A peer asks to spend a ticket whose ledger this entry holds.
    SpendRequested {
        /// Id of the call to answer.
        call: u64,
        /// The ticket.
        ticket: Ticket,
    },
    /// A peer answered a request to spend a ticket, or the answer was lost.
    SpendAnswered {
        /// Serial of the request that needs the ticket.
        serial: u64,
        /// The answer, or none if it was lost.
        answer: Option<Answer>,
    },
    /// A leaving peer hands its ledgers over to this entry.
    EstatesOffered {
        /// Id of the call to answer.
        call: u64,
        /// The ledgers.
        estates: Vec<Estate>,
    },
    /// A peer took over this entry's ledgers, declined, or did not answer.
    EstatesAccepted {
        /// Incarnation of the peer that accepted, if any.
        heir: Option<Incarnation>,
    },
    /// A peer sent a digest.
    DigestReceived(Digest),
    /// A peer sent a configuration message.
    ConfigureReceived {
        /// Incarnation of the peer.
        from: Incarnation,
        /// The message.
        message: Message,
    },
    /// Time has passed.
    Tick,
    /// The process was asked to stop.
    StopRequested {
        /// Whether to stop without waiting for open requests.
        immediate: bool,
    },
}
