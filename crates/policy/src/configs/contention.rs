//! Settings of [`crate::contention`].

use clock::Span;

/// Which jobs leave part of the slots to others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Whether jobs give way; when off, all are alike.
    pub enabled: bool,
    /// Time constant of the offered rates. An entry of 301 sees about one request a second.
    pub averaging_time: Span,
    /// Multiple of the other accounts' mean rate by weight from which an account's jobs give way.
    pub excess: f64,
    /// Free slots that jobs which give way leave to others, as a multiple of the square root of the slots that their
    /// entry owns.
    pub reserve: f64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            enabled: true,
            averaging_time: Span::from_seconds(10),
            excess: 8.0,
            reserve: 1.0,
        }
    }
}
