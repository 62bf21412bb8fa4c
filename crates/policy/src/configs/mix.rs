//! Settings of [`crate::mix`].

use clock::Span;

/// How eagerly the mix follows prices.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Part of its price that an instance which exists is thought cheaper by.
    ///
    /// A price must fall by more than this before work moves to it, so prices that swing less than
    /// this move nothing. In the table "Mix" of docs/MEASUREMENTS.md cost is least from 0.15 to 0.2,
    /// within the spread of the seeds; of the two 0.2 starts a third fewer instances.
    pub stay: f64,
    /// How long a refusal of the cloud is taken as lasting, before it is asked again.
    pub refusal: Span,
    /// Instances beyond what is wanted are stopped only after being so for this long: starting one
    /// anew costs its loading time, during which it is paid for and serves nobody.
    pub linger: Span,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            stay: 0.2,
            refusal: Span::from_seconds(60),
            linger: Span::from_seconds(300),
        }
    }
}
