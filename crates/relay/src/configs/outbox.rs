//! Settings of [`crate::outbox`].

use clock::Span;

/// How much of the entry's own link counts may fill.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Bytes that the link carries in a millisecond.
    pub bytes_per_ms: f64,
    /// As much may be under way as the link carries in this time: what else leaves the entry waits for it.
    pub drain_time: Span,
    /// Part of that room for peers that didn't answer in time.
    pub slow_share: f64,
    /// An answer that takes longer is overdue; its counts don't hold room any more.
    pub ack_timeout: Span,
    /// How long it is remembered that a peer was slow.
    pub slow_ttl: Span,
}

impl Config {
    /// For a link of so many megabits a second.
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

    /// Bytes that may be under way; the last digest may go beyond.
    pub fn window(&self) -> usize {
        (self.bytes_per_ms * self.drain_time.as_millis() as f64) as usize
    }

    /// Bytes of it to slow peers.
    pub fn slow_window(&self) -> usize {
        (self.window() as f64 * self.slow_share) as usize
    }
}

impl Default for Config {
    fn default() -> Config {
        Config::for_link(1_000.0)
    }
}
