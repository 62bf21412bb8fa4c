//! Inputs and outputs of a leader.

use clock::Time;
use lease::order::Target;
use policy::mix::Kind;
use policy::mix::Offer;
use smol_str::SmolStr;
use store::call;
use store::call::Call;
use store::call::Outcome;

/// Input of a leader.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Wake,
    /// A store call has completed.
    Store {
        /// Identifier of the call.
        id: call::Id,
        /// Outcome of the call.
        outcome: Outcome,
    },
    /// Assigns the deployment to this entry, or withdraws it.
    Assigned(Option<Assignment>),
    /// The instance list was read; leaving instances are omitted.
    Listed(Vec<Instance>),
    /// Prices were read.
    Priced(Vec<Offer>),
    /// The state of an engine was read.
    EngineRead {
        /// Incarnation of the engine.
        engine: SmolStr,
        /// What the engine serves.
        target: Target,
        /// Number of requests running on it.
        running: u32,
    },
    /// An engine refused an order because of its fencing number.
    EngineRefused {
        /// Incarnation of the engine.
        engine: SmolStr,
        /// Higher fencing number that the engine has seen.
        fence: u64,
    },
    /// An engine reported its load.
    LoadReported {
        /// Incarnation of the engine.
        engine: SmolStr,
        /// Number of requests running and queued there.
        requests: u32,
    },
    /// The cloud granted an instance.
    Granted {
        /// Token of the request.
        token: SmolStr,
    },
    /// The cloud has no instance of the requested kind.
    Refused {
        /// Token of the request.
        token: SmolStr,
    },
}

/// Duties of the leader.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// Target of the engines; `None` for plain services.
    pub target: Option<Target>,
    /// Whether engines refuse orders with an old fencing number.
    pub checks_fencing: bool,
    /// Limits on the number of instances; `None` if the pool is managed elsewhere.
    pub bounds: Option<Bounds>,
}

/// Limits on the number of instances in a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Requests that one instance can run concurrently within the targets.
    pub capacity: u32,
    /// Minimum number of instances.
    pub least: u32,
    /// Maximum number of instances.
    pub most: u32,
}

/// An instance of the pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Name by which the cloud knows the instance.
    pub id: SmolStr,
    /// Incarnation of the instance.
    pub incarnation: SmolStr,
    /// Zone, class and market of the instance.
    pub kind: Kind,
}

/// Action that the embedder must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Make a store call.
    Store {
        /// Identifier to return with the outcome.
        id: call::Id,
        /// Call to make.
        call: Call,
    },
    /// Send an order to an engine unless `until` has passed when it leaves.
    Order {
        /// Incarnation of the engine.
        engine: SmolStr,
        /// Fencing number of the order.
        fence: u64,
        /// What the engine is to serve.
        target: Target,
        /// Expiry of the lease.
        until: Time,
    },
    /// Read the state of an engine.
    Read(SmolStr),
    /// Request an instance from the cloud unless `until` has passed when the request leaves.
    Start {
        /// Idempotency token: a repeated request starts no second instance.
        token: SmolStr,
        /// Zone, class and market of the instance.
        kind: Kind,
        /// Expiry of the lease.
        until: Time,
    },
    /// Stop an instance gracefully: notify the entries that it leaves, then release it to the cloud.
    Stop {
        /// Name by which the cloud knows the instance.
        id: SmolStr,
        /// Incarnation of the instance.
        incarnation: SmolStr,
        /// Expiry of the lease.
        until: Time,
    },
    /// This entry now leads under this fencing number.
    Elected(u64),
    /// This entry no longer leads.
    Deposed,
}
