//! Sizes of a run.

use clock::Span;

/// The size of one run.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Entries, each a process.
    pub entries: usize,
    /// Replicas that serve streams.
    pub engines: usize,
    /// Software versions that the replicas of streams run side by side; each restart changes a replica's version.
    pub versions: usize,
    /// Replicas of each of the two plain services.
    pub apps: usize,
    /// Callers, each with one request at a time.
    pub callers: usize,
    /// Time within which faults start.
    pub fault_window: Span,
    /// Number of faults.
    pub fault_count: usize,
    /// Number of further faults in which replicas ask for pauses or announce leaves only in answers.
    pub notice_count: usize,
    /// Number of further faults in which entries lose all ways to replicas, or replicas are brittle.
    pub cut_count: usize,
    /// Number of further faults in which replicas crash on a part of prompts. Streams have prompts only if there are any.
    pub crash_part_count: usize,
    /// Number of further faults in which a replica answers without end.
    pub endless_count: usize,
    /// Number of further faults in which a replica answers with neither a length nor chunks and is killed. Some callers
    /// speak HTTP/1.0 if there are any.
    pub undelimited_count: usize,
    /// Number of further faults in which a crowd of callers that don't behave stays at an entry.
    pub crowd_count: usize,
    /// Number of further releases: the replicas of streams go one after the other and come back with another version. They
    /// all begin with the same one if there are any.
    pub release_count: usize,
    /// Number of further faults in which some entries are killed at once, or the table service refuses some entries.
    pub together_count: usize,
    /// Number of further faults around starts and stops of entries: pauses, slices of a core, signals in series.
    pub stop_count: usize,
    /// Time after its time limit by which a caller returns to a stream that it has left; zero if it doesn't return.
    pub return_time: Span,
}

impl Size {
    /// Returns the default size, a few processes.
    pub fn small() -> Size {
        Size::default()
    }

    /// Returns a size at which entries exchange what they know through a few of them, while versions are released.
    pub fn many() -> Size {
        Size {
            entries: 24,
            engines: 12,
            callers: 60,
            fault_count: 30,
            notice_count: 3,
            cut_count: 3,
            crash_part_count: 0,
            endless_count: 1,
            undelimited_count: 3,
            crowd_count: 0,
            ..Size::default()
        }
    }

    /// Returns a size for a day of minutes: releases go back and forth while callers return to their streams, at once and
    /// late.
    pub fn day() -> Size {
        Size {
            fault_window: Span::from_seconds(200),
            fault_count: 6,
            notice_count: 0,
            cut_count: 0,
            endless_count: 0,
            undelimited_count: 0,
            release_count: 8,
            together_count: 12,
            stop_count: 0,
            return_time: Span::from_seconds(50),
            ..Size::many()
        }
    }

    /// Returns a size for such a day in a minute.
    pub fn short_day() -> Size {
        Size {
            entries: 6,
            engines: 4,
            callers: 20,
            fault_window: Span::from_seconds(20),
            fault_count: 1,
            release_count: 2,
            together_count: 3,
            return_time: Span::from_seconds(10),
            ..Size::day()
        }
    }

    /// Returns a size with mostly stops, starts and pauses of entries.
    pub fn stops() -> Size {
        Size {
            fault_count: 2,
            notice_count: 0,
            cut_count: 0,
            crash_part_count: 0,
            endless_count: 0,
            undelimited_count: 0,
            crowd_count: 0,
            stop_count: 9,
            ..Size::default()
        }
    }

    /// Returns the number of replicas.
    pub fn replicas(&self) -> usize {
        self.engines + 2 * self.apps
    }

    /// Returns a size of a few hundred processes: at 12 MB an entry, about a sixth of a run's memory limit.
    pub fn limit() -> Size {
        Size {
            entries: 200,
            engines: 40,
            apps: 8,
            callers: 150,
            fault_count: 40,
            notice_count: 12,
            cut_count: 0,
            stop_count: 0,
            ..Size::default()
        }
    }
}

impl Default for Size {
    fn default() -> Self {
        Size {
            entries: 5,
            engines: 5,
            versions: 2,
            apps: 2,
            callers: 24,
            fault_window: Span::from_seconds(14),
            fault_count: 9,
            notice_count: 3,
            cut_count: 2,
            crash_part_count: 1,
            endless_count: 2,
            undelimited_count: 3,
            crowd_count: 2,
            release_count: 0,
            together_count: 0,
            stop_count: 3,
            return_time: Span::ZERO,
        }
    }
}
