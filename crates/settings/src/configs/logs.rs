//! Settings of the log.

use log::LevelFilter;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// The log: one line of key=value pairs per event on standard error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct Logs {
    /// Minimum severity of the events to log.
    pub level: Level,
}

/// Severity of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[schemars(extend("type" = "string"))]
pub enum Level {
    /// Failures that the entry could not recover from.
    Error,
    /// Failures that the entry recovered from.
    Warn,
    /// Starts, stops and changes.
    Info,
    /// Every request.
    Debug,
    /// Every effect.
    Trace,
}

impl Level {
    /// Returns the log's filter for this level.
    pub const fn filter(self) -> LevelFilter {
        match self {
            Level::Error => LevelFilter::Error,
            Level::Warn => LevelFilter::Warn,
            Level::Info => LevelFilter::Info,
            Level::Debug => LevelFilter::Debug,
            Level::Trace => LevelFilter::Trace,
        }
    }
}

impl Default for Logs {
    fn default() -> Self {
        Logs { level: Level::Info }
    }
}
