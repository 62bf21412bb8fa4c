//! Settings of [`crate::watch`].

use clock::Span;

/// How often the list is read, and when an entry reads for itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Time between two reads of the first reader; each further one waits so much longer before it stands in.
    pub pace: Span,
    /// Age of the list that the others see while the first reader is well.
    pub standby: Span,
    /// Age of the list from which on an entry that is no reader reads for itself.
    pub stale: Span,
    /// Such entries begin at times that are spread over this: all of them lack the same word at once.
    pub spread: Span,
    /// How long a list may differ from what reports say: the missing part may be under way by another hub.
    pub unequal: Span,
    /// Pause between two reads of an entry that reads for itself.
    pub alone: Span,
    /// Least time from one report to the next: changes that come together go in one.
    pub gap: Span,
    /// How long a change stays in the reports of the one who passes it on.
    pub repeat: Span,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            pace: Span::from_millis(350),
            standby: Span::from_millis(900),
            stale: Span::from_millis(1_800),
            spread: Span::from_millis(600),
            unequal: Span::from_millis(400),
            alone: Span::from_millis(700),
            gap: Span::from_millis(100),
            repeat: Span::from_millis(700),
        }
    }
}
