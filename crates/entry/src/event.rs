//! Everything that can happen to an entry.

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

/// One event.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request was read whole.
    Arrived {
        /// Its serial at this entry, rising by one.
        serial: u64,
        /// What it asks for.
        arrival: Arrival,
    },
    /// The caller's connection is gone.
    CallerDisconnected {
        /// Which request.
        serial: u64,
    },
    /// A caller asks to cancel a request.
    CancelRequested {
        /// Whom to answer.
        call: u64,
        /// The bearer key.
        key: Option<SmolStr>,
        /// The request's name, as given.
        request: SmolStr,
    },
    /// A caller asks which entries to use.
    AddressesRequested {
        /// Whom to answer.
        call: u64,
        /// The bearer key.
        key: Option<SmolStr>,
        /// Prefix hash of its next request.
        prefix: Option<u64>,
    },
    /// News of an attempt.
    Attempt {
        /// Which request.
        serial: u64,
        /// Which attempt.
        attempt: u32,
        /// What happened.
        report: Report,
    },
    /// The instance list was read.
    InstancesRead(Vec<Instance>),
    /// The instance list names the instance that this entry runs on.
    OwnInstanceRead {
        /// This life of the instance.
        incarnation: SmolStr,
        /// Whether the list says that it is leaving.
        leaving: bool,
    },
    /// Prices were read.
    PricesRead(Vec<Offer>),
    /// Something for the leader of a deployment: engines read, orders refused, wishes answered.
    Fleet {
        /// Which deployment.
        deployment: SmolStr,
        /// What happened.
        event: fleet::event::Event,
    },
    /// The instance list names these entries, by the addresses that callers connect to.
    EntriesRead(Vec<SmolStr>),
    /// Reclaim notices were read.
    NoticesRead(Vec<Notice>),
    /// A backend server reported its load.
    LoadRead {
        /// Which life of which server.
        incarnation: SmolStr,
        /// Its report.
        report: replica::Report,
    },
    /// A model engine published what its cache holds.
    CacheRead {
        /// Which life of which server.
        incarnation: SmolStr,
        /// Its events, in order.
        events: Vec<CacheUpdate>,
    },
    /// The table service answered, or did not.
    Store {
        /// Which call.
        id: store::call::Id,
        /// What became of it.
        outcome: store::call::Outcome,
    },
    /// An operator calls.
    Operator {
        /// Whom to answer.
        call: u64,
        /// What is asked.
        request: ops::request::Request,
    },
    /// A peer asks whether a ticket of ours may be spent.
    SpendRequested {
        /// Whom to answer.
        call: u64,
        /// The ticket.
        ticket: Ticket,
    },
    /// A peer answered whether a ticket may be spent; none when its word was lost.
    SpendAnswered {
        /// Which request.
        serial: u64,
        /// The peer's word.
        answer: Option<Answer>,
    },
    /// A leaving peer hands its ledger on to us.
    EstatesOffered {
        /// Whom to answer.
        call: u64,
        /// What it hands on.
        estates: Vec<Estate>,
    },
    /// A peer took over our ledger, or did not say so.
    EstatesAccepted {
        /// The peer, if it said so.
        heir: Option<Incarnation>,
    },
    /// A digest came from a peer.
    DigestReceived(Digest),
    /// A message about the configuration came from a peer.
    ConfigureReceived {
        /// The peer's incarnation.
        from: Incarnation,
        /// What it says.
        message: Message,
    },
    /// Time has passed.
    Tick,
    /// The process is asked to stop.
    StopRequested {
        /// Whether to stop without waiting for requests in progress.
        immediate: bool,
    },
}
