//! What an operator deploys, and for whom.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// One deployment: a model or a plain service, served from a pool of backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Deployment {
    /// Its name, unique within the configuration: `[a-z0-9-]{1,63}`.
    pub name: SmolStr,
    /// What it serves.
    pub kind: Kind,
    /// The pool of the instance list whose backend servers serve it.
    pub pool: SmolStr,
    /// The accounts that may call it, and what each was promised.
    #[serde(default)]
    pub grants: Vec<Grant>,
    /// Calls that must run at most once.
    #[serde(default)]
    pub non_idempotent: Vec<CallPattern>,
    /// Whether its engines refuse an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// How many instances its pool may have.
    #[serde(default)]
    pub fleet: Fleet,
}

/// Bounds of a pool that the system looks after; all zero where others do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct Fleet {
    /// Requests that one instance runs at once within the targets.
    pub capacity: u32,
    /// Fewest instances.
    pub least: u32,
    /// Most instances; 0 if the system starts and stops none.
    pub most: u32,
}

/// What a deployment serves.
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
        /// Version of model and adapter together.
        version: SmolStr,
    },
    /// A plain HTTP service.
    Service,
}

/// What one account was promised by one deployment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Grant {
    /// The account's name.
    pub account: SmolStr,
    /// Target for the time to the first token (or the whole plain answer), milliseconds.
    pub first_token_ms: u64,
    /// Target for the time between two tokens, milliseconds.
    pub token_gap_ms: u64,
    /// Share of requests that must meet both targets, in thousandths.
    pub share_per_mille: u32,
}

/// Which calls a rule speaks of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct CallPattern {
    /// The HTTP method, upper case; empty for any.
    pub method: SmolStr,
    /// The path's beginning.
    pub path_prefix: SmolStr,
}

impl CallPattern {
    /// Whether a call falls under this rule.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        (self.method.is_empty() || self.method == method)
            && path.starts_with(self.path_prefix.as_str())
    }
}

/// One client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Account {
    /// Its name, unique within the configuration: `[a-z0-9-]{1,63}`.
    pub name: SmolStr,
    /// SHA-256 of each valid key, lower-case hexadecimal.
    pub key_hashes: Vec<SmolStr>,
    /// Its share against other accounts when there isn't enough for all; at least 1.
    pub weight: u32,
    /// Who is shed first under overload: 0 goes last, 9 first.
    #[serde(default)]
    pub priority: u8,
    /// Tokens (prompt and generated) a second over all entries; 0 for no limit.
    #[serde(default)]
    pub tokens_per_second: u64,
    /// Requests open at once over all entries; 0 for no limit.
    #[serde(default)]
    pub concurrent: u32,
}
