//! Judges a canary version by a sequential probability ratio test against the version in use.
//!
//! An answer is bad if it failed, was cut off or was much slower than usual. Both versions answer the
//! same routes at the same time, so bursts, reclaims and slow replicas affect both; the test compares
//! their shares of bad answers.

use crate::configs::judge::Config;
use crate::tally::Count;
use crate::tally::Pair;
use crate::tally::Tally;

/// The result of the test.
#[derive(Clone, Debug, PartialEq)]
pub enum Finding {
    /// There are too few answers to decide.
    Open,
    /// Good overall, and no route looks worse, but some routes have too few answers to decide.
    Likely,
    /// As good as the version in use, on every route that has requests.
    Good,
    /// The version has more bad answers.
    Bad {
        /// The route on which it has; none if over all routes.
        route: Option<smol_str::SmolStr>,
        /// Share of bad answers expected from the version in use.
        usual: f64,
        /// The new version's own share.
        found: f64,
    },
}

/// Judges a version by the counts since its order.
pub fn judge(config: &Config, tally: &Tally) -> Finding {
    let total = tally.total();
    if rejects(config, total) {
        return bad_finding(config, None, total);
    }
    let (mut likely, mut good) = (true, true);
    for (route, pair) in &tally.routes {
        if rejects(config, *pair) {
            return bad_finding(config, Some(route.clone()), *pair);
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

fn bad_finding(config: &Config, route: Option<smol_str::SmolStr>, pair: Pair) -> Finding {
    Finding::Bad {
        route,
        usual: expected_share(config, pair.old),
        found: pair.new.bad as f64 / pair.new.answers.max(1) as f64,
    }
}

/// Returns the share of bad answers to expect from a version like the one in use.
fn expected_share(config: &Config, old: Count) -> f64 {
    let share = old.bad as f64 / old.answers.max(1) as f64;
    (share * config.tolerance).max(config.min_share)
}

/// Returns the log-likelihood ratio of a share that is higher by `effect` to the expected one.
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
