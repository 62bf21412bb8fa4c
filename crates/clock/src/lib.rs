//! Monotonic time in milliseconds.
//!
//! State machines take the current [`Time`] as an argument, so that tests can run them in virtual time. Only
//! daemons and clients read a [`Clock`].

use std::fmt;
use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// A point in time: milliseconds since the start of the process or of the simulation.
///
/// Times of different processes are not comparable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(u64);

impl Time {
    /// The start of the process.
    pub const ZERO: Time = Time(0);

    /// Creates the time `millis` milliseconds after the start.
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis)
    }

    /// Returns the milliseconds since the start.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than this time.
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

impl Sub<Span> for Time {
    type Output = Time;

    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
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
    /// An empty span.
    pub const ZERO: Span = Span(0);

    /// Creates a span of `millis` milliseconds.
    pub const fn from_millis(millis: u64) -> Span {
        Span(millis)
    }

    /// Creates a span of `seconds` seconds.
    pub const fn from_seconds(seconds: u64) -> Span {
        Span(seconds * 1_000)
    }

    /// Returns the length in milliseconds.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the span multiplied by `factor`.
    pub const fn times(self, factor: u64) -> Span {
        Span(self.0.saturating_mul(factor))
    }

    /// Returns the span multiplied by `ratio`; a negative ratio counts as zero.
    pub fn scaled(self, ratio: f64) -> Span {
        Span((self.0 as f64 * ratio).max(0.0) as u64)
    }

    /// Converts the span for timers of the standard library and the runtime.
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

/// Monotonic clock of a process that also advances while the instance is suspended.
///
/// The standard library's `Instant` stops during a suspension. A lease measured by it would seem
/// valid after its term had passed, and two holders would act. The boot-time clock includes
/// suspensions.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Clock {
        Clock {
            start: since_boot(),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        Time(since_boot().saturating_sub(self.start).as_millis() as u64)
    }
}

/// Returns the time since boot, including suspensions.
fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec.unsigned_abs() as u32)
}
