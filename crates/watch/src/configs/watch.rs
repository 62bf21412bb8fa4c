//! Settings of [`crate::watch`].

use clock::Span;

/// How often the list is read, and when an entry reads for itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Time between two reads of the first reader; each further one waits so much longer before it stands in.
    pub reader_interval: Span,
    /// Age of the list that the others see while the first reader is well.
    pub reader_timeout: Span,
    /// Age of the list from which on an entry that is no reader reads for itself.
    pub follower_timeout: Span,
    /// Such entries begin at times that are spread over this: all of them lack the same word at once.
    pub follower_jitter: Span,
    /// How long a list may differ from what reports say: the missing part may be under way by another hub.
    pub mismatch_timeout: Span,
    /// Pause between two reads of an entry that reads for itself.
    pub follower_interval: Span,
    /// Least time from one report to the next: changes that come together go in one.
    pub min_report_interval: Span,
    /// How long a change stays in the reports of the one who passes it on.
    pub retransmission_time: Span,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            reader_interval: Span::from_millis(350),
            reader_timeout: Span::from_millis(900),
            follower_timeout: Span::from_millis(1_800),
            follower_jitter: Span::from_millis(600),
            mismatch_timeout: Span::from_millis(400),
            follower_interval: Span::from_millis(700),
            min_report_interval: Span::from_millis(100),
            retransmission_time: Span::from_millis(700),
        }
    }
}
