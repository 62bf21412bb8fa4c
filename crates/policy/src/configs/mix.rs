//! Settings of [`crate::mix`].

use clock::Span;

/// Response of the mix to prices, refusals and surplus.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Discount on existing instances, as a fraction of their price.
    ///
    /// A price must fall by more than this before work moves to it, so smaller swings move nothing. A lower
    /// value starts more instances at about the same cost.
    pub hysteresis: f64,
    /// Time for which a refused kind is excluded before it is requested again.
    pub refusal_backoff: Span,
    /// Time for which surplus instances are kept: starting one again costs its loading time, during which it
    /// is paid for and serves nobody.
    pub surplus_delay: Span,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            hysteresis: 0.2,
            refusal_backoff: Span::from_seconds(60),
            surplus_delay: Span::from_seconds(300),
        }
    }
}
