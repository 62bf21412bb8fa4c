//! Settings of [`crate::lead::Lead`].

use clock::Span;

/// Times and shares of one leader.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Its lease.
    pub claim: lease::configs::claim::Settings,
    /// Its orders.
    pub order: lease::configs::order::Settings,
    /// Its choice of instances.
    pub mix: policy::configs::mix::Config,
    /// Time between two plans of the mix.
    pub plan: Span,
    /// How long an instance that was asked for is waited for before it counts as never started.
    pub start_time: Span,
    /// How long a peak of demand is remembered: longer than an instance takes to load a model, so that
    /// a dip doesn't stop what the next minute needs again.
    pub memory: Span,
    /// Part of the engines, in thousandths, that a change of model takes out of use at once. A third
    /// is what the loss of one of three zones takes, which the mix carries anyway.
    pub out_per_mille: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            claim: lease::configs::claim::Settings::default(),
            order: lease::configs::order::Settings::default(),
            mix: policy::configs::mix::Config::default(),
            plan: Span::from_seconds(1),
            start_time: Span::from_seconds(120),
            memory: Span::from_seconds(600),
            out_per_mille: 334,
        }
    }
}
