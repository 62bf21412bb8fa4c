//! Relative speeds of replicas, learned by all entries together.
//!
//! Load pattern: replicas of one service differ in speed up to three times. Given equal parts of the work, the slow
//! ones are overloaded while the others have capacity left. Each entry sees too few answers of a replica to tell its
//! speed from chance, so entries exchange their samples.

use serde::Deserialize;
use serde::Serialize;

/// Time that units of work took. Samples of several entries add up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "(u32, u32)", from = "(u32, u32)")]
pub struct Pace {
    /// Tokens after an answer's first event, or plain calls.
    pub units: u32,
    /// Time that they took, without the wait before their start.
    pub millis: u32,
}

impl Pace {
    /// Adds a sample.
    pub fn add(&mut self, other: Pace) {
        self.units = self.units.saturating_add(other.units);
        self.millis = self.millis.saturating_add(other.millis);
    }
}

impl From<(u32, u32)> for Pace {
    fn from((units, millis): (u32, u32)) -> Pace {
        Pace { units, millis }
    }
}

impl From<Pace> for (u32, u32) {
    fn from(pace: Pace) -> (u32, u32) {
        (pace.units, pace.millis)
    }
}
