//! Settings of an entry: loading, validation, schema and documentation.
//!
//! The structs in [`configs`] are the single source: the schema is generated from them, files are validated
//! against the schema, and the settings page is generated from it.

pub mod capacity;
pub mod check;
pub mod configs;
pub mod document;
pub mod expect;
pub mod explain;
pub mod fault;
pub mod load;
pub mod print;
pub mod rules;
pub mod schema;
pub mod secret;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

pub use crate::fault::Fault;
pub use crate::fault::Faults;
pub use crate::load::Loaded;
pub use crate::load::load;
pub use crate::load::read;
pub use crate::load::read_strict;
pub use crate::secret::Secret;

use crate::configs::admin::Admin;
use crate::configs::callers::Callers;
use crate::configs::gateway::Gateway;
use crate::configs::identity::Identity;
use crate::configs::leases::Leases;
use crate::configs::logs::Logs;
use crate::configs::machine::Machine;
use crate::configs::operators::Operators;
use crate::configs::peers::Peers;
use crate::configs::platform::Platform;
use crate::configs::shutdown::Shutdown;

/// All settings of one entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct Settings {
    /// Identity of this entry.
    pub identity: Identity,
    /// The port for callers.
    pub callers: Callers,
    /// The port for health checks and metrics.
    pub admin: Admin,
    /// The port for operators.
    pub operators: Operators,
    /// The port for other entries.
    pub peers: Peers,
    /// The platform's services.
    pub platform: Platform,
    /// Leases in the table service.
    pub leases: Leases,
    /// A planned stop.
    pub shutdown: Shutdown,
    /// The log.
    pub logs: Logs,
    /// The machine, from which limits on callers are derived.
    pub machine: Machine,
    /// Gateway mode.
    pub gateway: Gateway,
}
