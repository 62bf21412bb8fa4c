//! Settings of [`crate::watch`].

use clock::Span;

/// Intervals and timeouts of reads and reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Time between two reads of the first reader; also each further rank's extra delay before it takes
    /// over.
    pub reader_interval: Span,
    /// Age of the list after which standby readers take over, in order of rank.
    pub reader_timeout: Span,
    /// Age of the list after which a follower reads it itself.
    pub follower_timeout: Span,
    /// Age up to which a follower's list is certain after which it reads the list itself, although reports arrive: their
    /// senders may not say when they wrote them.
    pub certainty_timeout: Span,
    /// Most random delay of a follower's first read: all followers lose the reports at the same time.
    pub follower_jitter: Span,
    /// How long a digest may differ from the reports': the missing change may be in flight from another
    /// hub.
    pub mismatch_timeout: Span,
    /// Time between two reads of a follower that reads for itself.
    pub follower_interval: Span,
    /// Shortest time between two reports, so that a burst of changes shares one report.
    pub min_report_interval: Span,
    /// How long a change is repeated in regular reports by the entry that relays it.
    pub retransmission_time: Span,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            reader_interval: Span::from_millis(350),
            reader_timeout: Span::from_millis(900),
            follower_timeout: Span::from_millis(1_800),
            certainty_timeout: Span::from_seconds(10),
            follower_jitter: Span::from_millis(600),
            mismatch_timeout: Span::from_millis(400),
            follower_interval: Span::from_millis(700),
            min_report_interval: Span::from_millis(100),
            retransmission_time: Span::from_millis(700),
        }
    }
}
