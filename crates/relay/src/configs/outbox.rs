//! Configuration of [`crate::outbox`].

use clock::Span;

/// Limits on the share of the entry's own link that counts may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Bytes that the link carries in a millisecond.
    pub bytes_per_ms: f64,
    /// Time in which the link drains a full window; other traffic waits behind it for as long.
    pub drain_time: Span,
    /// Fraction of the window for peers that didn't answer in time.
    pub slow_share: f64,
    /// Time after which an answer is overdue and its digest no longer counts against the window.
    pub ack_timeout: Span,
    /// Time for which a peer counts as slow.
    pub slow_ttl: Span,
}

impl Config {
    /// Returns the limits for a link of this many megabits a second.
    pub fn for_link(megabits: f64) -> Config {
        const BYTES_PER_MS: f64 = 125.0;
        Config {
            bytes_per_ms: megabits * BYTES_PER_MS,
            drain_time: Span::from_millis(40),
            slow_share: 0.25,
            ack_timeout: Span::from_millis(250),
            slow_ttl: Span::from_seconds(10),
        }
    }

    /// Returns the window, bytes in flight; the last digest may exceed it.
    pub fn window(&self) -> usize {
        (self.bytes_per_ms * self.drain_time.as_millis() as f64) as usize
    }

    /// Returns the part of the window for slow peers, bytes.
    pub fn slow_window(&self) -> usize {
        (self.window() as f64 * self.slow_share) as usize
    }
}

impl Default for Config {
    fn default() -> Config {
        Config::for_link(1_000.0)
    }
}
