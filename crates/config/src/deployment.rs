//! Deployments and client accounts.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// A deployment: a model or a plain service, served from a pool of backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Deployment {
    /// Name, unique within the configuration: `[a-z0-9-]{1,63}`.
    pub name: SmolStr,
    /// Model or service to serve.
    pub kind: Kind,
    /// Pool of the instance list whose backend servers serve it.
    pub pool: SmolStr,
    /// Accounts that may call it and the targets promised to each.
    #[serde(default)]
    pub grants: Vec<Grant>,
    /// Calls that must run at most once.
    #[serde(default)]
    pub non_idempotent: Vec<CallPattern>,
    /// Whether its engines refuse orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Bounds on the number of instances in its pool.
    #[serde(default)]
    pub fleet: Fleet,
}

/// Bounds of a pool that the system scales; all zero if the pool is managed elsewhere.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct Fleet {
    /// Requests that one instance can run concurrently within the targets.
    pub capacity: u32,
    /// Minimum number of instances.
    pub least: u32,
    /// Maximum number of instances; 0 if the system starts and stops none.
    pub most: u32,
}

/// Kind of a deployment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case", tag = "type")]
pub enum Kind {
    /// A language model.
    Model {
        /// Name of the base model.
        model: SmolStr,
        /// Name of the adapter, empty for none.
        #[serde(default)]
        adapter: SmolStr,
        /// Version of the model and adapter together.
        version: SmolStr,
    },
    /// A plain HTTP service.
    Service,
}

/// Targets that a deployment promises to one account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Grant {
    /// Name of the account.
    pub account: SmolStr,
    /// Target for the time to the first token, or to the whole answer of a plain service, in milliseconds.
    pub first_token_ms: u64,
    /// Target for the time between two tokens, in milliseconds.
    pub token_gap_ms: u64,
    /// Share of requests that must meet both targets, in thousandths.
    pub share_per_mille: u32,
}

/// Pattern of HTTP calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct CallPattern {
    /// HTTP method in upper case; empty for any.
    pub method: SmolStr,
    /// Prefix of the path.
    pub path_prefix: SmolStr,
}

impl CallPattern {
    /// Returns whether a call matches the pattern.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        (self.method.is_empty() || self.method == method)
            && path.starts_with(self.path_prefix.as_str())
    }
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Account {
    /// Name, unique within the configuration: `[a-z0-9-]{1,63}`.
    pub name: SmolStr,
    /// SHA-256 of each valid key, as lower-case hexadecimal.
    pub key_hashes: Vec<SmolStr>,
    /// Share of capacity relative to other accounts under contention; at least 1.
    pub weight: u32,
    /// Order in which requests are shed under overload: 9 first, 0 last.
    #[serde(default)]
    pub priority: u8,
    /// Limit on prompt and generated tokens per second over all entries; 0 for no limit.
    #[serde(default)]
    pub tokens_per_second: u64,
    /// Limit on open requests over all entries; 0 for no limit.
    #[serde(default)]
    pub concurrent: u32,
}
