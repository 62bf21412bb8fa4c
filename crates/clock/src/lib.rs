//! Monotonic time in milliseconds.
//!
//! Every state machine of the workspace takes the time as an argument of type [`Time`], so that
//! tests drive it in virtual time. Only the daemons and clients hold a [`Clock`].

use std::fmt;
use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// A point in time: milliseconds since the start of the process (or of the virtual run).
///
/// Points of two processes are never compared with each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(u64);

impl Time {
    /// The start of the process.
    pub const ZERO: Time = Time(0);

    /// The point `millis` milliseconds after the start.
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis)
    }

    /// Milliseconds since the start.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The time passed since `earlier`, or zero if `earlier` lies in the future.
    pub const fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Span> for Time {
    type Output = Time;

    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// A length of time in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(u64);

impl Span {
    /// No time at all.
    pub const ZERO: Span = Span(0);

    /// A span of `millis` milliseconds.
    pub const fn from_millis(millis: u64) -> Span {
        Span(millis)
    }

    /// A span of `seconds` seconds.
    pub const fn from_seconds(seconds: u64) -> Span {
        Span(seconds * 1_000)
    }

    /// Its length in milliseconds.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// This span taken `factor` times.
    pub const fn times(self, factor: u64) -> Span {
        Span(self.0.saturating_mul(factor))
    }

    /// This span multiplied by a ratio; negative ratios count as zero.
    pub fn scaled(self, ratio: f64) -> Span {
        Span((self.0 as f64 * ratio).max(0.0) as u64)
    }

    /// The standard library's form, for timers of the shell.
    pub const fn as_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl Add for Span {
    type Output = Span;

    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl Sub for Span {
    type Output = Span;

    fn sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl fmt::Display for Span {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}ms", self.0)
    }
}

/// The monotonic clock of one process. It goes on while the instance is suspended.
///
/// The standard library's `Instant` stands still then: a lease counted by it seems to hold after a
/// suspension that outlasted its term, and two holders act. The boot clock counts the suspended time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// A clock that reads zero now.
    pub fn start() -> Clock {
        Clock {
            start: since_boot(),
        }
    }

    /// The present time.
    pub fn now(&self) -> Time {
        Time(since_boot().saturating_sub(self.start).as_millis() as u64)
    }
}

/// Time since the instance was booted, suspensions included.
fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec.unsigned_abs() as u32)
}
