//! Settings of the gateway mode.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Gateway mode: passes requests on unchanged, by routes in the platform's table service.
///
/// In this mode, the operators' port isn't opened: configuration is read from the table service alone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct Gateway {
    /// Whether requests are passed on by routes.
    pub enabled: bool,
    /// Address of the port on which callers ask which entries to use.
    #[schemars(extend("format" = "socket-address"))]
    pub directory_listen: SocketAddr,
    /// Address of the port for metrics; it isn't opened if absent.
    #[schemars(extend("format" = "socket-address"))]
    pub metrics_listen: Option<SocketAddr>,
    /// Processor cores of this entry, as a decimal number such as `0.25`. Entries with more cores are
    /// returned to more callers.
    pub processor: SmolStr,
    /// Bandwidth of this entry's link in megabits per second, as a decimal number such as `10`. Counts for
    /// other entries are sent only as fast as leaves the link free for requests.
    pub link_mbps: SmolStr,
    /// Expected number of entries; if fewer are known, the others count as unresponsive.
    #[schemars(range(min = 1, max = 100000))]
    pub entries: u32,
    /// Retries allowed per hundred requests, over all entries.
    #[schemars(range(min = 0, max = 1000))]
    pub repeats_percent: u32,
    /// Additional retries allowed per window, over all entries.
    #[schemars(range(min = 0, max = 1000000))]
    pub repeats_allowed: u32,
    /// Usage beyond an account's quota that the platform tolerates per window, in the quota's unit.
    pub quota_allowance: u64,
    /// Fraction of an account's quota that the platform tolerates in addition, as a decimal number
    /// such as `0.1`.
    pub quota_overrun: SmolStr,
    /// Minimum time for which the holder of a duty keeps it, in milliseconds.
    #[schemars(range(min = 500, max = 600000))]
    pub duty_term_ms: u64,
    /// Duties that one entry performs on behalf of all.
    pub duties: Vec<Duty>,
    /// Length of a usage window, in milliseconds.
    #[schemars(range(min = 1000, max = 3600000))]
    pub usage_window_ms: u64,
    /// Time after the end of a window by which its usage must be reported, in milliseconds.
    #[schemars(range(min = 1000, max = 3600000))]
    pub usage_delay_ms: u64,
}

/// A duty that one entry performs on behalf of all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[schemars(extend("type" = "string"))]
pub enum Duty {
    /// Reports how many requests of each account started.
    Usage,
    /// Orders replicas.
    Replicas,
}

impl Default for Gateway {
    fn default() -> Self {
        Gateway {
            enabled: false,
            directory_listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 8004)),
            metrics_listen: None,
            processor: SmolStr::new_static("1"),
            link_mbps: SmolStr::new_static("1000"),
            entries: 8,
            repeats_percent: 10,
            repeats_allowed: 20,
            quota_allowance: 0,
            quota_overrun: SmolStr::new_static("0"),
            duty_term_ms: 3_000,
            duties: Vec::new(),
            usage_window_ms: 5_000,
            usage_delay_ms: 10_000,
        }
    }
}
