//! Settings of [`crate::quarantine::parts`].

use clock::Span;
use clock::Time;

/// When a part of prompts counts as the cause of crashes, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Crashes without an answer in between after which a part is blocked.
    pub crash_threshold: usize,
    /// Time after a crash from which it counts: the other requests that ran there must be known, here and at peers.
    pub settle: Span,
    /// Time after an answer in which a crash isn't held against the parts of its prompt. Replicas that are lost together
    /// leave no time for another answer.
    pub answer_validity: Span,
    /// Age of an answer beyond which a crash isn't held against its prompt.
    pub answer_window: Span,
    /// Time for which a replica must survive an answer that proves its prompt sound. An answer that is delimited by the
    /// end of its connection may have been ended by a crash.
    pub confirm_delay: Span,
    /// How long a part is remembered to have been answered.
    pub answer_memory: Span,
    /// Maximum number of such parts.
    pub max_answered: usize,
    /// How long crashes are held against a part.
    pub crash_memory: Span,
    /// Maximum number of parts with crashes.
    pub max_records: usize,
    /// Maximum number of parts in one digest.
    pub max_digest_items: usize,
    /// Time after its last crash at which one request with a blocked part is tried; multiplied by `probe_factor` for each
    /// such request that crashed its replica.
    pub probe_delay: Span,
    /// See `probe_delay`.
    pub probe_factor: u64,
    /// Maximum of that time.
    pub max_probe_delay: Span,
    /// The same time for a part whose crashes another part or a loss of many replicas may explain. The request that is
    /// tried has no such other part.
    pub doubt_delay: Span,
    /// Time after the last crash from which such a request may have one, since the parts may never come apart.
    pub shared_probe_delay: Span,
    /// Time in which the number of entries doubles that may try a part which a loss of many replicas may explain.
    pub spread_interval: Span,
    /// All entries divided by the most of them that may try such a part.
    pub probing_divisor: usize,
    /// Time after which a request that was to be tried is given up for another one.
    pub probe_timeout: Span,
}

impl Config {
    /// Returns whether an answer speaks for a part at the time of a crash.
    pub fn is_refuted(&self, crash: Time, answered: Time) -> bool {
        crash < answered + self.answer_validity
    }
}

impl Default for Config {
    fn default() -> Config {
        Config {
            crash_threshold: 3,
            settle: Span::from_millis(200),
            answer_validity: Span::from_seconds(3),
            answer_window: Span::from_seconds(2),
            confirm_delay: Span::from_millis(500),
            answer_memory: Span::from_seconds(600),
            max_answered: 8_192,
            crash_memory: Span::from_seconds(172_800),
            max_records: 1_024,
            max_digest_items: 64,
            probe_delay: Span::from_seconds(60),
            probe_factor: 10,
            max_probe_delay: Span::from_seconds(86_400),
            doubt_delay: Span::from_seconds(1),
            shared_probe_delay: Span::from_seconds(5),
            spread_interval: Span::from_seconds(1),
            probing_divisor: 8,
            probe_timeout: Span::from_seconds(30),
        }
    }
}
