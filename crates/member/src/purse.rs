//! Keeps urgent rounds within a number of bytes a second.
//!
//! Without it, a wave that takes thousands of backend servers keeps every entry at its urgent pace
//! for minutes, at many times the bytes that control may cost.

use clock::Time;

use crate::configs::membership::Settings;

/// Seconds' worth of bytes that may be saved up: enough for a wave that takes a thousand backend
/// servers, a few times a year.
const SAVED_SECONDS: i64 = 300;
/// Seconds' worth of bytes that regular rounds may go into debt.
const DEBT_SECONDS: i64 = 4;

/// Bytes saved up; regular rounds may take it below zero.
#[derive(Clone, Copy, Debug, Default)]
pub struct Purse {
    saved: i64,
    filled: Time,
}

impl Purse {
    /// Notes bytes that were sent.
    pub fn spend(&mut self, bytes: usize) {
        self.saved -= bytes as i64;
    }

    /// Bytes saved up.
    pub fn saved(&self) -> usize {
        usize::try_from(self.saved).unwrap_or(0)
    }

    /// Whether an urgent round may be sent.
    pub fn affords(&mut self, now: Time, settings: &Settings) -> bool {
        let rate = settings.gossip_bytes_per_second as i64;
        let millis = now.since(self.filled).as_millis() as i64;
        let filled = self.saved + rate.saturating_mul(millis) / 1_000;
        self.saved = filled.clamp(-rate * DEBT_SECONDS, rate * SAVED_SECONDS);
        self.filled = now;
        self.saved >= 0
    }
}
