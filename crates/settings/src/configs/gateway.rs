//! Requests passed on as they come, by routes that the platform's operator keeps.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Requests passed on as they come, by routes in the platform's table service.
///
/// With it on, the operators' port isn't opened: configuration is read from the table service alone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct Gateway {
    /// Whether requests are passed on by routes.
    pub enabled: bool,
    /// Address of the port on which callers ask which entries to use.
    #[schemars(extend("format" = "socket-address"))]
    pub directory_listen: SocketAddr,
    /// Address of the port on which metrics are read; none while absent.
    #[schemars(extend("format" = "socket-address"))]
    pub metrics_listen: Option<SocketAddr>,
    /// Processor cores that this entry has, as a decimal number such as `0.25`. Entries with more are named to
    /// more callers.
    pub processor: SmolStr,
    /// Megabits a second that this entry's own link carries, as a decimal number such as `10`. Counts for other
    /// entries leave only as fast as keeps the link free for requests.
    pub link_mbps: SmolStr,
    /// Entries that are expected to run; fewer known ones are taken for silent.
    #[schemars(range(min = 1, max = 100000))]
    pub entries: u32,
    /// Repeats allowed for each hundred requests, over all entries.
    #[schemars(range(min = 0, max = 1000))]
    pub repeats_percent: u32,
    /// Repeats allowed besides in one window, over all entries.
    #[schemars(range(min = 0, max = 1000000))]
    pub repeats_allowed: u32,
    /// What the platform lets pass beyond an account's quota in one window, in the quota's unit.
    pub quota_allowance: u64,
    /// Part of an account's quota that the platform lets pass besides, as a decimal number such as `0.1`.
    pub quota_overrun: SmolStr,
    /// Least time for which the holder of a duty must stay the holder, milliseconds.
    #[schemars(range(min = 500, max = 600000))]
    pub duty_term_ms: u64,
    /// Calls of the platform that one entry makes for all.
    pub duties: Vec<Duty>,
    /// Length of a window of usage, milliseconds.
    #[schemars(range(min = 1000, max = 3600000))]
    pub usage_window_ms: u64,
    /// Time after a window's end by which its usage must be reported, milliseconds.
    #[schemars(range(min = 1000, max = 3600000))]
    pub usage_delay_ms: u64,
}

/// What one entry does for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[schemars(extend("type" = "string"))]
pub enum Duty {
    /// Reports how many requests of each account began to run.
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
