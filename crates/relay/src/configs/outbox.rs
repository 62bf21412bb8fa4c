//! Settings of [`crate::outbox`].

/// How much of the entry's own link counts may fill.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Bytes that the link carries in a millisecond.
    pub bytes_per_ms: f64,
}

impl Config {
    /// For a link of so many megabits a second.
    pub fn of_link(megabits: f64) -> Config {
        const BYTES_PER_MS: f64 = 125.0;
        Config {
            bytes_per_ms: megabits * BYTES_PER_MS,
        }
    }
}

impl Default for Config {
    fn default() -> Config {
        Config::of_link(1_000.0)
    }
}
