//! What is logged.

use log::LevelFilter;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// The log: one line of key=value pairs an event, on the standard error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct Logs {
    /// Least severity that is logged.
    pub level: Level,
}

/// Severity of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[schemars(extend("type" = "string"))]
pub enum Level {
    /// Something failed that the entry could not make good.
    Error,
    /// Something failed that the entry made good.
    Warn,
    /// Starts, stops and changes.
    Info,
    /// Each request.
    Debug,
    /// Each effect.
    Trace,
}

impl Level {
    /// The log's filter for this level.
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
