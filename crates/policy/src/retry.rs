//! Retries of attempts, and when refused callers come back.
//!
//! Load pattern: an outage. Every attempt fails at once; tried again without bound, each request
//! becomes several and the first replica back is buried. The callers who were refused all come back
//! at the same moment and the outage begins anew.
//!
//! [`Budget`]: retries are a fraction of the whole answers given, so in an outage they run dry while a
//! single replica's death is hidden from its callers. The fraction of a tenth is what Google's SRE
//! book ("Handling Overload") names for client retries. [`Calendar`]: each refused caller is given the
//! next free appointment, so that they return at the rate at which work drains, not together.

use clock::Span;
use clock::Time;
use rand::RngExt;
use rand_pcg::Pcg64;

use crate::configs::retry::Config;
use crate::fair::Cost;

/// Retries that may still be made.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    left: f64,
}

impl Budget {
    /// A full budget.
    pub fn new(settings: &Config) -> Budget {
        Budget {
            left: settings.saved,
        }
    }

    /// A whole answer was given.
    pub fn earn(&mut self, settings: &Config) {
        self.left = (self.left + settings.fraction).min(settings.saved);
    }

    /// Takes one retry, if there is one.
    pub fn spend(&mut self, settings: &Config) -> bool {
        if !settings.enabled {
            return true;
        }
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}

/// Appointments of refused callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Calendar {
    /// Every moment before this one is taken.
    taken: f64,
}

impl Calendar {
    /// When a caller should come back who was refused `cost` of work; `rate` is cost a second and
    /// `backlog` the time that the present queue takes.
    pub fn appoint(
        &mut self,
        settings: &Config,
        now: Time,
        backlog: Span,
        cost: Cost,
        rate: Option<f64>,
        random: &mut Pcg64,
    ) -> Span {
        if !settings.enabled {
            return Span::from_millis(1);
        }
        let now = now.as_millis() as f64;
        let shortest = settings.shortest.as_millis() as f64;
        let longest = settings.longest.as_millis() as f64;
        let earliest = now + shortest.max(backlog.as_millis() as f64);
        let width = match rate {
            Some(rate) if rate > 0.0 => cost as f64 / (rate * settings.return_share) * 1_000.0,
            _ => shortest,
        };
        let begin = self.taken.max(earliest);
        if begin + width > now + longest {
            // Full: the rest is spread over the calendar's second half.
            return millis(longest * random.random_range(0.5..1.0));
        }
        self.taken = begin + width;
        millis(begin + width * random.random::<f64>() - now)
    }
}

fn millis(value: f64) -> Span {
    Span::from_millis(value.max(1.0) as u64)
}
