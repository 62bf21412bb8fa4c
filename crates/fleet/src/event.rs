//! What a leader is told and what it asks for.

use clock::Time;
use lease::order::Target;
use policy::mix::Kind;
use policy::mix::Offer;
use smol_str::SmolStr;
use store::call;
use store::call::Call;
use store::call::Outcome;

/// What happens to a leader.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Wake,
    /// A store call has ended.
    Store {
        /// Which.
        id: call::Id,
        /// How.
        outcome: Outcome,
    },
    /// Whether this entry should lead, and what.
    Assigned(Option<Assignment>),
    /// The instance list was read; leaving instances are left out.
    Listed(Vec<Instance>),
    /// Prices were read.
    Priced(Vec<Offer>),
    /// An engine was read.
    EngineRead {
        /// Its incarnation.
        engine: SmolStr,
        /// What it serves.
        target: Target,
        /// Requests running on it.
        running: u32,
    },
    /// An engine refused an order for its fencing number.
    EngineRefused {
        /// Its incarnation.
        engine: SmolStr,
        /// The higher number that it has seen.
        fence: u64,
    },
    /// An engine's own report: what it has to do.
    LoadReported {
        /// Its incarnation.
        engine: SmolStr,
        /// Requests running and waiting there.
        requests: u32,
    },
    /// The cloud granted an instance.
    Granted {
        /// The token of the wish.
        token: SmolStr,
    },
    /// The cloud has none of that kind now.
    Refused {
        /// The token of the wish.
        token: SmolStr,
    },
}

/// What a leader has to see to.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// What engines shall serve; none for plain services.
    pub target: Option<Target>,
    /// Whether engines refuse orders with an old fencing number.
    pub checks_fencing: bool,
    /// How many instances there may be; none where others look after that.
    pub bounds: Option<Bounds>,
}

/// Bounds of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Requests that one instance runs at once within the targets.
    pub capacity: u32,
    /// Fewest instances.
    pub least: u32,
    /// Most instances.
    pub most: u32,
}

/// One instance of the pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Name of the machine, for the cloud.
    pub id: SmolStr,
    /// This life of it.
    pub incarnation: SmolStr,
    /// Where and as what it is had.
    pub kind: Kind,
}

/// What the embedder is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Make a store call.
    Store {
        /// Given back with its outcome.
        id: call::Id,
        /// The call.
        call: Call,
    },
    /// Send an order to an engine, if it is not `until` yet when it leaves.
    Order {
        /// The engine's incarnation.
        engine: SmolStr,
        /// Our fencing number.
        fence: u64,
        /// What it is to serve.
        target: Target,
        /// When our lease ends.
        until: Time,
    },
    /// Read what an engine serves.
    Read(SmolStr),
    /// Ask the cloud for an instance, if it is not `until` yet when the wish leaves.
    Start {
        /// Names the wish: a repeat starts nothing more.
        token: SmolStr,
        /// Where and as what.
        kind: Kind,
        /// When our lease ends.
        until: Time,
    },
    /// Give an instance back, gracefully: entries are told that it leaves, then the cloud.
    Stop {
        /// Name of the machine.
        id: SmolStr,
        /// This life of it.
        incarnation: SmolStr,
        /// When our lease ends.
        until: Time,
    },
    /// This entry leads from now on, under this fencing number.
    Elected(u64),
    /// This entry leads no longer.
    Deposed,
}
