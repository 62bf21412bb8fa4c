//! Settings of [`crate::warmup`].

use clock::Span;

/// How fast a new replica gets its part.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Share of its slots that a new replica may use at once.
    pub start: f64,
    /// Time until it may use all of them; the table "Warm-up" in docs/MEASUREMENTS.md gives the
    /// time to first token by this figure.
    pub span: Span,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            start: 0.1,
            span: Span::from_seconds(30),
        }
    }
}
