//! Settings of [`crate::leader::Leader`].

use clock::Span;

/// Intervals, timeouts and limits of a leader.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Settings of the lease.
    pub claim: lease::configs::claim::Settings,
    /// Settings of orders to engines.
    pub order: lease::configs::order::Settings,
    /// Settings of the choice of instances.
    pub mix: policy::configs::mix::Config,
    /// Time between two plans of the instance mix.
    pub plan_interval: Span,
    /// Time after which a requested instance that hasn't appeared counts as failed.
    pub start_timeout: Span,
    /// Time over which the peak of demand is taken. It exceeds the time that an instance takes to load a
    /// model, so that a short dip doesn't stop instances that are needed again soon.
    pub peak_window: Span,
    /// Share of the engines, in thousandths, that a rollout may take out of service at a time. The loss of
    /// one of three zones takes as many, and the mix has capacity for that.
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
