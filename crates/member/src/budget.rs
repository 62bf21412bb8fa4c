//! A token bucket that limits the bytes per second of urgent gossip rounds.
//!
//! Without it, a wave that takes thousands of backend servers would keep every entry at its urgent
//! interval for minutes, at many times the bytes that control traffic may cost.

use clock::Time;

use crate::configs::membership::Settings;

/// Size of the bucket, in seconds of its rate: enough for a wave that takes a thousand backend servers,
/// which happens a few times a year.
const MAX_BALANCE_SECONDS: i64 = 300;
/// Most debt that regular rounds can cause, in seconds of the rate.
const MAX_DEBT_SECONDS: i64 = 4;

/// Balance that larger digests leave, in seconds of the rate, so that a new version still gets urgent
/// rounds during a wave.
const RESERVE_SECONDS: i64 = 10;

/// The bucket's balance in bytes; regular rounds may take it below zero.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    balance: i64,
    refilled_at: Time,
}

impl Budget {
    /// Subtracts bytes that were sent.
    pub fn spend(&mut self, bytes: usize) {
        self.balance -= bytes as i64;
    }

    /// Returns the bytes that larger digests may use.
    pub fn spare_bytes(&self, settings: &Settings) -> usize {
        let reserve = settings.gossip_bytes_per_second as i64 * RESERVE_SECONDS;
        usize::try_from(self.balance - reserve).unwrap_or(0)
    }

    /// Refills the bucket and returns whether an urgent round may be sent.
    pub fn can_spend(&mut self, now: Time, settings: &Settings) -> bool {
        let rate = settings.gossip_bytes_per_second as i64;
        let millis = now.since(self.refilled_at).as_millis() as i64;
        let refilled = self.balance + rate.saturating_mul(millis) / 1_000;
        self.balance = refilled.clamp(-rate * MAX_DEBT_SECONDS, rate * MAX_BALANCE_SECONDS);
        self.refilled_at = now;
        self.balance >= 0
    }
}
