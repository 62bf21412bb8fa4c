//! The configuration in force: routes, services, accounts and limits, indexed for lookup.

use std::collections::HashMap;

use clock::Span;
use smol_str::SmolStr;

/// One immutable version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Version number; rises with each change, not necessarily by one.
    pub version: u64,
    /// All services.
    pub services: Vec<Service>,
    /// All accounts; if there are none, every caller is served.
    pub accounts: Vec<Account>,
    /// Limits on what callers may send, and how slowly.
    pub limits: Limits,
    /// Routes by host, longest prefix first.
    routes: HashMap<SmolStr, Vec<Route>>,
    /// Indices into `accounts` by API key.
    accounts_by_key: HashMap<SmolStr, usize>,
}

/// Destination of requests under one path prefix, and their targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Route name.
    pub name: SmolStr,
    /// Host that callers request.
    pub host: SmolStr,
    /// Path prefix; starts and ends with a slash.
    pub prefix: SmolStr,
    /// Whether requests may be retried.
    pub repeat: Repeat,
    /// Maximum time until the final answer.
    pub timeout: Span,
    /// Latency target for the whole answer, or for a stream's first event.
    pub target: Span,
    /// Target for the pause between a stream's events.
    pub pause: Option<Span>,
    /// Priority rank; 0 is the most urgent.
    pub rank: u8,
    /// Services that may run the requests, by weight.
    pub shares: Vec<Share>,
    /// Maximum number of replicas that one request is sent to.
    pub attempts: u32,
    /// Whether requests are served without a key.
    pub public: bool,
}

/// Whether a request may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// A stream that runs at most once, unless it can be resumed after its last event.
    Stream {
        /// Whether another replica can resume it.
        resumable: bool,
    },
}

impl Repeat {
    /// Returns whether a second replica may get the request although the first may have run it.
    pub fn is_repeatable(self) -> bool {
        matches!(
            self,
            Repeat::Idempotent | Repeat::Stream { resumable: true }
        )
    }

    /// Returns whether the answer is a stream that its caller may take up again.
    pub fn is_resumable(self) -> bool {
        self == Repeat::Stream { resumable: true }
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Repeat::Stream { .. })
    }
}

/// A service's share of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// Service name.
    pub service: SmolStr,
    /// Weight relative to the other shares.
    pub weight: f64,
}

/// A set of interchangeable replicas.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Service name.
    pub name: SmolStr,
    /// Maximum connections to one replica, over all entries.
    pub connections: u32,
    /// Capabilities of the replicas' engine, if they generate tokens.
    pub engine: Option<Engine>,
    /// Bounds and prices of ordered replicas, if they can be ordered.
    pub scaling: Option<Scaling>,
}

/// Capabilities of a model engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// Sequences that run concurrently.
    pub slots: u32,
    /// Tokens that fit in its memory.
    pub memory_tokens: u64,
    /// Tokens of cached memory that move to another replica in a millisecond; `None` if they can't be moved.
    pub transfer_tokens_per_ms: Option<f64>,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
}

/// Bounds on the number of replicas in each availability zone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scaling {
    /// Minimum per zone, both markets together.
    pub least: u32,
    /// Maximum per zone, both markets together.
    pub most: u32,
    /// Time from the order until the replica serves.
    pub boot: Span,
    /// Price of a reclaimable replica relative to an on-demand one; `None` if there are none.
    pub reclaimable_price: Option<f64>,
    /// Price per second, by zone.
    pub prices: Vec<(SmolStr, f64)>,
}

/// A client account.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Account {
    /// Account name.
    pub name: SmolStr,
    /// API keys of the account's callers.
    pub keys: Vec<SmolStr>,
    /// Priority; 0 is the most urgent. Takes precedence over the route's rank.
    pub priority: u8,
    /// Quota per second over all entries, in the quota's unit; 0 for none.
    pub rate: u64,
    /// Unused quota that may accumulate.
    pub burst: u64,
    /// Cost of a request that doesn't state its tokens.
    pub plain_cost: u64,
    /// Whether the quota counts tokens rather than requests.
    pub in_tokens: bool,
}

/// Limits on what callers may send, and how slowly.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's head.
    pub head_bytes: usize,
    /// Maximum size of a body.
    pub body_bytes: usize,
    /// Maximum time to receive a request's head.
    pub head_timeout: Span,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: Span,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Span::from_seconds(3),
            idle_timeout: Span::from_seconds(15),
        }
    }
}

impl Catalog {
    /// Creates a version and its indices.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        accounts: Vec<Account>,
        limits: Limits,
    ) -> Catalog {
        let mut by_host: HashMap<SmolStr, Vec<Route>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let keys = accounts.iter().enumerate();
        let accounts_by_key = keys
            .flat_map(|(index, account)| account.keys.iter().map(move |key| (key.clone(), index)))
            .collect();
        Catalog {
            version,
            services,
            accounts,
            limits,
            routes: by_host,
            accounts_by_key,
        }
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values().flatten()
    }

    /// Returns the route with the longest prefix that matches the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns the account that a key belongs to.
    pub fn account(&self, key: &str) -> Option<&Account> {
        self.accounts.get(*self.accounts_by_key.get(key)?)
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}
