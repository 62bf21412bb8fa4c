//! The report of a seed, for people.

use std::collections::BTreeMap;
use std::fmt;

use clock::Time;
use hdrhistogram::Histogram;
use smol_str::SmolStr;

use crate::caller::Class;
use crate::causes;
use crate::causes::Cause;
use crate::ledger::Breach;
use crate::ledger::End;
use crate::ledger::Ledger;
use crate::plan::Step;
use crate::stall::Stall;

/// Attempts of one cause that a report names.
const NAMED_ATTEMPTS: usize = 4;

/// Result of a seed.
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Broken promises.
    pub breaches: Vec<Breach>,
    /// Failed checks that prove nothing, since the soak itself stood still.
    pub undecided: Vec<Breach>,
    steps: Vec<Step>,
    stalls: Vec<Stall>,
    /// Number of windows whose usage was reported.
    usage_windows: usize,
    classes: BTreeMap<Class, Counts>,
    returns: Returns,
    /// Attempts that ended without a complete answer, by kind and cause.
    causes: BTreeMap<(&'static str, Cause), Vec<SmolStr>>,
}

/// Attempts that went on with a stream.
#[derive(Default)]
struct Returns {
    all: usize,
    /// Those that came after the stream's time limit, and those of them that were served.
    late: usize,
    late_served: usize,
}

/// Ends of the attempts of one class.
#[derive(Default)]
struct Counts {
    ends: BTreeMap<String, u32>,
    /// Latency of successful answers, in milliseconds.
    latency: Option<Histogram<u64>>,
}

impl Report {
    /// Summarizes a ledger.
    pub fn new(seed: u64, steps: Vec<Step>, ledger: &Ledger, usage_windows: usize) -> Report {
        let mut classes: BTreeMap<Class, Counts> = BTreeMap::new();
        let mut returns = Returns::default();
        let mut causes = BTreeMap::new();
        for attempt in ledger.attempts.values() {
            let Some((at, end)) = &attempt.ended else {
                continue;
            };
            if let Some(cause) = causes::find(ledger, attempt) {
                let attempts: &mut Vec<SmolStr> = causes.entry((kind_of(end), cause)).or_default();
                attempts.push(attempt.id.clone());
            }
            let counts = classes.entry(attempt.class).or_default();
            counts.record(attempt.sent_at, *at, end);
            if let Some(after) = attempt.returns_after {
                returns.record(after > attempt.class.timeout(), end);
            }
        }
        let all = ledger.breaches.iter().cloned();
        let (undecided, breaches) = all.partition(|breach| ledger.is_undecided(breach));
        Report {
            seed,
            breaches,
            undecided,
            steps,
            stalls: ledger.stalls.clone(),
            usage_windows,
            classes,
            returns,
            causes,
        }
    }

    /// Returns whether the soak never stood still and all promises were kept.
    pub fn is_kept(&self) -> bool {
        self.breaches.is_empty() && self.undecided.is_empty() && self.stalls.is_empty()
    }
}

/// Returns the name of an end without a complete answer.
const fn kind_of(end: &End) -> &'static str {
    match end {
        End::Unanswered => "unanswered",
        End::Broken => "broken off",
        _ => "answered 502",
    }
}

impl Returns {
    fn record(&mut self, is_late: bool, end: &End) {
        self.all += 1;
        self.late += usize::from(is_late);
        self.late_served += usize::from(is_late && *end == End::Answered(200));
    }
}

impl Counts {
    fn record(&mut self, sent: Time, at: Time, end: &End) {
        let name = match end {
            End::Answered(status) => format!("{status}"),
            End::Wrong(_) => String::from("wrong"),
            End::NotSent => String::from("not-sent"),
            End::Unanswered => String::from("unanswered"),
            End::Broken => String::from("broken"),
            End::Left => String::from("left"),
            End::Waited => String::from("waited"),
        };
        *self.ends.entry(name).or_default() += 1;
        if *end != End::Answered(200) {
            return;
        }
        if self.latency.is_none() {
            self.latency = Histogram::new(2).ok();
        }
        if let Some(latency) = &mut self.latency {
            *latency += at.since(sent).as_millis();
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = match self.breaches.len() {
            0 if self.is_kept() => String::from("kept"),
            0 => format!("undecided, {} checks failed", self.undecided.len()),
            broken => format!("{broken} BROKEN"),
        };
        writeln!(
            formatter,
            "seed {}: promises {verdict}; usage of {} windows reported",
            self.seed, self.usage_windows
        )?;
        for (class, counts) in &self.classes {
            write!(formatter, "  {:5}", class.name())?;
            for (end, count) in &counts.ends {
                write!(formatter, " {end}: {count}")?;
            }
            if let Some(latency) = &counts.latency {
                let quantile = |share| latency.value_at_quantile(share);
                write!(
                    formatter,
                    "; ms p50 {} p99 {}",
                    quantile(0.5),
                    quantile(0.99)
                )?;
            }
            writeln!(formatter)?;
        }
        let Returns {
            all,
            late,
            late_served,
        } = self.returns;
        writeln!(
            formatter,
            "  {all} attempts went on with streams, {late} after their time limits, {late_served} of these served"
        )?;
        for ((kind, cause), attempts) in &self.causes {
            let named = attempts[..attempts.len().min(NAMED_ATTEMPTS)].join(" ");
            writeln!(formatter, "  {kind}: {cause}: {} ({named})", attempts.len())?;
        }
        for stall in &self.stalls {
            writeln!(formatter, "  {stall}")?;
        }
        if self.breaches.is_empty() && self.undecided.is_empty() {
            return Ok(());
        }
        for step in &self.steps {
            let (start, duration) = (step.start.as_millis(), step.duration.as_millis());
            writeln!(
                formatter,
                "  fault at {start} ms for {duration} ms: {:?}",
                step.fault
            )?;
        }
        let broken = self.breaches.iter().map(|breach| ("BROKEN", breach));
        let undecided = self.undecided.iter().map(|breach| ("undecided", breach));
        for (verdict, breach) in broken.chain(undecided) {
            let at = breach.detected_at.as_millis();
            writeln!(
                formatter,
                "  {verdict} at {at} ms: {}: {}",
                breach.promise, breach.detail
            )?;
        }
        Ok(())
    }
}
