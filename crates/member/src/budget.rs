//! Keeps urgent rounds within a number of bytes a second.
//!
//! Without it, a wave that takes thousands of backend servers keeps every entry at its urgent pace
//! for minutes, at many times the bytes that control may cost.

use clock::Time;

use crate::configs::membership::Settings;

/// Seconds' worth of bytes that may be saved up: enough for a wave that takes a thousand backend
/// servers, a few times a year.
const MAX_BALANCE_SECONDS: i64 = 300;
/// Seconds' worth of bytes that regular rounds may go into debt.
const MAX_DEBT_SECONDS: i64 = 4;

/// Seconds' worth of bytes that larger digests leave, so that a new version still gets its urgent
/// rounds while a wave is told.
const RESERVE_SECONDS: i64 = 10;

/// Bytes saved up; regular rounds may take it below zero.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    balance: i64,
    refilled_at: Time,
}

impl Budget {
    /// Notes bytes that were sent.
    pub fn spend(&mut self, bytes: usize) {
        self.balance -= bytes as i64;
    }

    /// Bytes that larger digests may spend.
    pub fn spare_bytes(&self, settings: &Settings) -> usize {
        let reserve = settings.gossip_bytes_per_second as i64 * RESERVE_SECONDS;
        usize::try_from(self.balance - reserve).unwrap_or(0)
    }

    /// Whether an urgent round may be sent.
    pub fn can_spend(&mut self, now: Time, settings: &Settings) -> bool {
        let rate = settings.gossip_bytes_per_second as i64;
        let millis = now.since(self.refilled_at).as_millis() as i64;
        let refilled = self.balance + rate.saturating_mul(millis) / 1_000;
        self.balance = refilled.clamp(-rate * MAX_DEBT_SECONDS, rate * MAX_BALANCE_SECONDS);
        self.refilled_at = now;
        self.balance >= 0
    }
}
