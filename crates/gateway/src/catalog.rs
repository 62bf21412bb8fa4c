//! The configuration in force: routes, services, accounts and limits, with quick look-ups.

use std::collections::HashMap;

use clock::Span;
use smol_str::SmolStr;

/// One version of the configuration. Immutable once made.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Rises with each change, in uneven steps.
    pub version: u64,
    /// All services.
    pub services: Vec<Service>,
    /// All accounts; none means that every caller is served.
    pub accounts: Vec<Account>,
    /// What callers may send, and how slowly.
    pub limits: Limits,
    /// By host; the longest prefix first.
    routes: HashMap<SmolStr, Vec<Route>>,
    /// Places in `accounts`.
    accounts_by_key: HashMap<SmolStr, usize>,
}

/// Where requests of one prefix go and what they are promised.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: SmolStr,
    /// The host that callers ask for.
    pub host: SmolStr,
    /// Begins the path; begins and ends with a slash.
    pub prefix: SmolStr,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Longest time until the final answer.
    pub timeout: Span,
    /// Target for the whole answer, or a stream's first event.
    pub target: Span,
    /// Target for the pause between a stream's events.
    pub pause: Option<Span>,
    /// 0 goes first.
    pub rank: u8,
    /// Which services may run it, by weight.
    pub shares: Vec<Share>,
    /// Most replicas that one request may be handed to.
    pub attempts: u32,
    /// Whether it is served without a key.
    pub public: bool,
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Runs any number of times.
    Idempotent,
    /// Runs once at most.
    NonIdempotent,
    /// A stream that runs once at most, unless it may be resumed behind its last event.
    Stream {
        /// Whether another replica may go on.
        resumable: bool,
    },
}

impl Repeat {
    /// Whether a request may be handed to a second replica although the first may have run it.
    pub fn is_repeatable(self) -> bool {
        matches!(
            self,
            Repeat::Idempotent | Repeat::Stream { resumable: true }
        )
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Repeat::Stream { .. })
    }
}

/// A service's part of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// Which service.
    pub service: SmolStr,
    /// Against the other shares.
    pub weight: f64,
}

/// A set of equal replicas.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: SmolStr,
    /// Most connections that one replica takes from all entries.
    pub connections: u32,
    /// What its replicas are, if they generate tokens.
    pub engine: Option<Engine>,
    /// How many replicas may be ordered, and at which price.
    pub scaling: Option<Scaling>,
}

/// What a model engine can do.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// Sequences at once.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// Tokens of memory that move to another replica in a millisecond; none if they can't be moved.
    pub transfer_tokens_per_ms: Option<f64>,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
}

/// Bounds of orders for replicas, for each availability zone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scaling {
    /// Fewest in one zone, both markets together.
    pub least: u32,
    /// Most in one zone, both markets together.
    pub most: u32,
    /// From the order until the replica serves.
    pub boot: Span,
    /// Price of a reclaimable replica, as a share of the other's; none if there are none.
    pub reclaimable_price: Option<f64>,
    /// Price of a second, by zone.
    pub prices: Vec<(SmolStr, f64)>,
}

/// A client account.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Account {
    /// Its name.
    pub name: SmolStr,
    /// Keys that its callers show.
    pub keys: Vec<SmolStr>,
    /// 0 goes first; goes before the route's rank.
    pub priority: u8,
    /// Quota a second over all entries, in its unit; 0 for none.
    pub rate: u64,
    /// Quota that may be saved up.
    pub burst: u64,
    /// What one request counts as that doesn't say its tokens.
    pub plain_cost: u64,
    /// Whether the quota counts tokens, or requests.
    pub in_tokens: bool,
}

/// What callers may send, and how slowly.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most bytes of a request's head.
    pub head_bytes: usize,
    /// Most bytes of a body.
    pub body_bytes: usize,
    /// Longest time for a head.
    pub head_timeout: Span,
    /// How long a connection may be idle.
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
    /// A version with its look-ups.
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

    /// The route of a request: of those whose prefix begins the path, the longest.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// The account that a key belongs to.
    pub fn account(&self, key: &str) -> Option<&Account> {
        self.accounts.get(*self.accounts_by_key.get(key)?)
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}
