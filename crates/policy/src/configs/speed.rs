//! Settings of [`crate::speed`].

use clock::Span;

/// How relative speeds are estimated and for how long they hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Whether speeds are learned and used; when off, every replica counts as equally fast.
    pub enabled: bool,
    /// Answers after which the speed of a replica is used; fewer count towards the median in proportion.
    pub min_answers: u32,
    /// Weight of the moving average of a replica, in answers; at least `min_answers`. With 20, a change to twice the
    /// speed shows within 42 answers, 6 s at 7 answers a second. With 40 its speed was still 0.75 then.
    pub memory_answers: u32,
    /// Time without an answer after which the samples of a replica are dropped.
    pub sample_ttl: Span,
    /// Time after which speeds published by another entry no longer apply.
    pub published_ttl: Span,
    /// Lowest and highest relative speed.
    pub range: (f64, f64),
    /// Difference from the median that counts as none.
    pub tolerance: f64,
    /// Time constant with which the speed that a replica has persistently follows the present one. A replica
    /// that fails slowly must be found before its speed is taken for that of its type.
    pub settling_time: Span,
    /// Time in which a new replica isn't ejected for its time per token while its speed isn't known. On cold replicas
    /// that compute prompts all the time, those of a slower type had more than four times the median.
    pub learning_time: Span,
    /// Least time between two calculations of the relative speeds.
    pub refresh_interval: Span,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            enabled: true,
            min_answers: 20,
            memory_answers: 20,
            sample_ttl: Span::from_seconds(60),
            published_ttl: Span::from_seconds(10),
            range: (0.25, 4.0),
            tolerance: 0.15,
            settling_time: Span::from_seconds(60),
            learning_time: Span::from_seconds(8),
            refresh_interval: Span::from_millis(100),
        }
    }
}
