//! How much is started.

use clock::Span;

/// The size of one run.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Entries, each a process.
    pub entries: usize,
    /// Replicas that run streams.
    pub engines: usize,
    /// Replicas of each of the two plain services.
    pub apps: usize,
    /// Callers, each with one request at a time.
    pub callers: usize,
    /// How long faults are played.
    pub faults: Span,
    /// How many faults begin in that time.
    pub count: usize,
}

impl Size {
    /// A few processes: the usual size.
    pub fn small() -> Size {
        Size::default()
    }

    /// A few hundred processes, in about a sixth of the memory that a run may use (12 MB an entry).
    pub fn limit() -> Size {
        Size {
            entries: 200,
            engines: 40,
            apps: 8,
            callers: 150,
            count: 40,
            ..Size::default()
        }
    }
}

impl Default for Size {
    fn default() -> Self {
        Size {
            entries: 5,
            engines: 5,
            apps: 2,
            callers: 24,
            faults: Span::from_seconds(14),
            count: 9,
        }
    }
}
