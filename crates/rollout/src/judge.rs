//! Whether a canary version is good, by a sequential probability ratio test against the version in use.
//!
//! An answer is bad if it failed, was cut or came far slower than usual. Both versions answer the same routes at the
//! same time, so bursts, reclaims and slow replicas spoil answers of both; what counts is how many more the new one spoils.

use crate::configs::judge::Config;
use crate::tally::Count;
use crate::tally::Pair;
use crate::tally::Tally;

/// What the counts say.
#[derive(Clone, Debug, PartialEq)]
pub enum Finding {
    /// Too little is known.
    Open,
    /// Good over all, and on no route does it look worse; some routes have too few answers to tell.
    Likely,
    /// It answers like the version in use, on every route that has requests.
    Good,
    /// It spoils more.
    Bad {
        /// On which route; none if over all.
        route: Option<smol_str::SmolStr>,
        /// Share of bad answers of the version in use.
        usual: f64,
        /// Its own.
        found: f64,
    },
}

/// Judges the counts since an order.
pub fn judge(config: &Config, tally: &Tally) -> Finding {
    let total = tally.total();
    if rejects(config, total) {
        return bad(config, None, total);
    }
    let (mut likely, mut good) = (true, true);
    for (route, pair) in &tally.routes {
        if rejects(config, *pair) {
            return bad(config, Some(route.clone()), *pair);
        }
        likely &= log_likelihood_ratio(config, *pair) < 0.0;
        good &= accepts(config, *pair, config.wrong_acceptance);
    }
    match accepts(config, total, config.wrong_acceptance_over_all) {
        true if good => Finding::Good,
        true if likely => Finding::Likely,
        _ => Finding::Open,
    }
}

fn bad(config: &Config, route: Option<smol_str::SmolStr>, pair: Pair) -> Finding {
    Finding::Bad {
        route,
        usual: expected_share(config, pair.old),
        found: pair.new.bad as f64 / pair.new.answers.max(1) as f64,
    }
}

/// Share of bad answers that a version like the one in use may show.
fn expected_share(config: &Config, old: Count) -> f64 {
    let share = old.bad as f64 / old.answers.max(1) as f64;
    (share * config.tolerance).max(config.min_share)
}

/// Logarithm of the likelihood that the version spoils `effect` more, against that it doesn't.
fn log_likelihood_ratio(config: &Config, pair: Pair) -> f64 {
    let same = expected_share(config, pair.old).min(1.0 - 2.0 * config.effect);
    let worse = same + config.effect;
    let bad = pair.new.bad as f64;
    let whole = pair.new.answers as f64 - bad;
    bad * (worse / same).ln() + whole * ((1.0 - worse) / (1.0 - same)).ln()
}

fn rejects(config: &Config, pair: Pair) -> bool {
    let bound = ((1.0 - config.wrong_acceptance) / config.wrong_rejection).ln();
    log_likelihood_ratio(config, pair) >= bound
}

fn accepts(config: &Config, pair: Pair, wrong_acceptance: f64) -> bool {
    log_likelihood_ratio(config, pair) <= (wrong_acceptance / (1.0 - config.wrong_rejection)).ln()
}
