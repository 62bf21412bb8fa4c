//! Settings of [`crate::leader::Leader`].

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
    pub plan_interval: Span,
    /// How long an instance that was asked for is waited for before it counts as never started.
    pub start_timeout: Span,
    /// How long a peak of demand is remembered: longer than an instance takes to load a model, so that
    /// a dip doesn't stop what the next minute needs again.
    pub peak_window: Span,
    /// Part of the engines, in thousandths, that a change of model takes out of use at once. A third
    /// is what the loss of one of three zones takes, which the mix carries anyway.
    pub max_unavailable_per_mille: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            claim: lease::configs::claim::Settings::default(),
            order: lease::configs::order::Settings::default(),
            mix: policy::configs::mix::Config::default(),
            plan_interval: Span::from_seconds(1),
            start_timeout: Span::from_seconds(120),
            peak_window: Span::from_seconds(600),
            max_unavailable_per_mille: 334,
        }
    }
}
