//! A small sample installation: two deployments, one account and the settings of its entries.

use clock::Span;
use config::deployment::Account;
use config::deployment::CallPattern;
use config::deployment::Deployment;
use config::deployment::Fleet;
use config::deployment::Grant;
use config::deployment::Kind;
use config::snapshot::hash_key;
use smol_str::SmolStr;

use crate::platform::fleet::Instance;

/// Key for the operators' API.
pub const OPERATORS_KEY: &str = "operators-of-the-sample";
/// Shared key for connections between entries.
pub const PEER_KEY: &str = "peers-of-the-sample-0123";
/// Caller key of the account [`ACCOUNT`].
pub const ACCOUNT_KEY: &str = "key-of-the-librarians";
/// Name of the client account.
pub const ACCOUNT: &str = "librarians";
/// Name of the model deployment and of its pool.
pub const MODEL: &str = "thesis";
/// Name of the plain service's deployment and of its pool.
pub const SERVICE: &str = "records";

/// Maximum time to wait for a change to take effect at all entries.
pub const CHANGE_WAIT: Span = Span::from_seconds(10);

/// Returns the client account.
pub fn account() -> Account {
    Account {
        name: SmolStr::from(ACCOUNT),
        key_hashes: vec![hash_key(ACCOUNT_KEY)],
        weight: 1,
        priority: 5,
        tokens_per_second: 0,
        concurrent: 0,
    }
}

/// Returns the model deployment.
pub fn model() -> Deployment {
    Deployment {
        name: SmolStr::from(MODEL),
        kind: Kind::Model {
            model: SmolStr::from("summariser"),
            adapter: SmolStr::default(),
            version: SmolStr::from("v1"),
        },
        pool: SmolStr::from(MODEL),
        grants: vec![grant()],
        non_idempotent: Vec::new(),
        checks_fencing: true,
        fleet: Fleet::default(),
    }
}

/// Returns the plain service's deployment; its receipts are non-idempotent.
pub fn service() -> Deployment {
    Deployment {
        name: SmolStr::from(SERVICE),
        kind: Kind::Service,
        pool: SmolStr::from(SERVICE),
        grants: vec![grant()],
        non_idempotent: vec![CallPattern {
            method: SmolStr::from("POST"),
            path_prefix: SmolStr::from("/receipts"),
        }],
        checks_fencing: false,
        fleet: Fleet::default(),
    }
}

fn grant() -> Grant {
    Grant {
        account: SmolStr::from(ACCOUNT),
        first_token_ms: 10_000,
        token_gap_ms: 1_000,
        share_per_mille: 950,
    }
}

/// Returns an instance as the platform lists it.
pub fn instance(kind: &str, pool: &str, zone: &str, address: &str) -> Instance {
    Instance {
        address: SmolStr::from(address),
        zone: SmolStr::from(zone),
        class: SmolStr::from("g4"),
        market: SmolStr::from("reclaimable"),
        pool: SmolStr::from(pool),
        kind: SmolStr::from(kind),
        ..Instance::default()
    }
}

/// Loopback address on a port that the system chooses.
pub const ANY_PORT: &str = "127.0.0.1:0";

/// Values that differ between the settings of two entries.
#[derive(Clone, Copy, Debug)]
pub struct Entry<'a> {
    /// Name of the entry.
    pub name: &'a str,
    /// Availability zone of the entry.
    pub zone: &'a str,
    /// Address of the platform.
    pub platform: &'a str,
    /// Listen address for callers.
    pub callers: &'a str,
    /// Peer addresses of entries that are already running.
    pub seeds: &'a [String],
}

/// Returns the settings of an entry; all ports but the callers' are chosen by the system.
pub fn settings(entry: &Entry<'_>) -> String {
    let Entry {
        name,
        zone,
        platform,
        callers,
        seeds,
    } = entry;
    format!(
        r#"{{
  // An entry of the sample.
  "identity": {{ "name": "{name}", "zone": "{zone}" }},
  "callers": {{
    "listen": "{callers}",
    "address_ttl_ms": 1000,
    "max_body_bytes": 1048576,
    "header_timeout_ms": 2000,
    "body_timeout_ms": 2000
  }},
  "admin": {{ "listen": "127.0.0.1:0" }},
  "operators": {{ "listen": "127.0.0.1:0", "key": "{OPERATORS_KEY}" }},
  "peers": {{ "listen": "127.0.0.1:0", "key": "{PEER_KEY}", "seeds": {seeds:?} }},
  "platform": {{
    "table_service": "http://{platform}",
    "cloud": "http://{platform}",
    "instances_interval_ms": 200
  }},
  "leases": {{ "term_ms": 3000, "margin_ms": 500, "renew_interval_ms": 800 }},
  "shutdown": {{ "grace_ms": 500 }}
}}
"#
    )
}
