//! The report of a seed, for people.

use std::collections::BTreeMap;
use std::fmt;

use clock::Time;
use hdrhistogram::Histogram;

use crate::caller::Class;
use crate::ledger::Breach;
use crate::ledger::End;
use crate::ledger::Ledger;
use crate::plan::Step;

/// Result of a seed.
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Broken promises.
    pub breaches: Vec<Breach>,
    steps: Vec<Step>,
    /// Number of windows whose usage was reported.
    windows: usize,
    classes: BTreeMap<Class, Counts>,
}

/// Ends of the attempts of one class.
#[derive(Default)]
struct Counts {
    ends: BTreeMap<String, u32>,
    /// Latency of successful answers, in milliseconds.
    answered: Option<Histogram<u64>>,
}

impl Report {
    /// Summarizes a ledger.
    pub fn new(seed: u64, steps: Vec<Step>, ledger: &Ledger, windows: usize) -> Report {
        let mut classes: BTreeMap<Class, Counts> = BTreeMap::new();
        for attempt in ledger.attempts.values() {
            let Some((at, end)) = &attempt.ended else {
                continue;
            };
            let counts = classes.entry(attempt.class).or_default();
            counts.note(attempt.sent, *at, end);
        }
        Report {
            seed,
            breaches: ledger.breaches.clone(),
            steps,
            windows,
            classes,
        }
    }
}

impl Counts {
    fn note(&mut self, sent: Time, at: Time, end: &End) {
        let name = match end {
            End::Answered(status) => format!("{status}"),
            End::Wrong(_) => String::from("wrong"),
            End::NotSent => String::from("not-sent"),
            End::Broken => String::from("broken"),
            End::Left => String::from("left"),
            End::Waited => String::from("waited"),
        };
        *self.ends.entry(name).or_default() += 1;
        if *end != End::Answered(200) {
            return;
        }
        if self.answered.is_none() {
            self.answered = Histogram::new(2).ok();
        }
        if let Some(answered) = &mut self.answered {
            *answered += at.since(sent).as_millis();
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = match self.breaches.len() {
            0 => String::from("kept"),
            broken => format!("{broken} BROKEN"),
        };
        writeln!(
            formatter,
            "seed {}: promises {verdict}; usage of {} windows reported",
            self.seed, self.windows
        )?;
        for (class, counts) in &self.classes {
            write!(formatter, "  {:5}", class.name())?;
            for (end, count) in &counts.ends {
                write!(formatter, " {end}: {count}")?;
            }
            if let Some(answered) = &counts.answered {
                let of = |share| answered.value_at_quantile(share);
                write!(formatter, "; ms p50 {} p99 {}", of(0.5), of(0.99))?;
            }
            writeln!(formatter)?;
        }
        if self.breaches.is_empty() {
            return Ok(());
        }
        for step in &self.steps {
            let (at, lasts) = (step.at.as_millis(), step.lasts.as_millis());
            writeln!(
                formatter,
                "  fault at {at} ms for {lasts} ms: {:?}",
                step.fault
            )?;
        }
        for breach in &self.breaches {
            let at = breach.at.as_millis();
            writeln!(
                formatter,
                "  BROKEN at {at} ms: {}: {}",
                breach.promise, breach.detail
            )?;
        }
        Ok(())
    }
}
