//! What the callers received, counted.

use std::collections::BTreeMap;

/// What became of one request, over all its comings back.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Index of the account's profile.
    pub account: usize,
    /// Whether the whole answer came.
    pub answered: bool,
    /// Whether it came within both targets, counted from the sending that was answered.
    pub in_target: bool,
    /// Milliseconds from that sending to the first token.
    pub first_token_ms: Option<u64>,
    /// Times it was sent.
    pub sends: u32,
    /// Refusals within 100 ms of the sending.
    pub refused_at_once: u32,
    /// Refusals later than that.
    pub refused_late: u32,
    /// Refusals more than 100 ms after an idle engine could not have met the target any more.
    pub refused_after_certain: u32,
    /// Refusals without a time to come back.
    pub refused_for_good: u32,
    /// Times the caller lost patience.
    pub given_up: u32,
    /// Prompt and output tokens it asks for, output weighted.
    pub cost: f64,
}

/// One run's figures.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Each request.
    pub outcomes: Vec<Outcome>,
    /// Weight of each account.
    pub weights: Vec<f64>,
    /// Seconds of load.
    pub seconds: f64,
    /// Seconds of live replicas in that time.
    pub replica_seconds: f64,
    /// Tokens computed in all.
    pub computed: u64,
    /// Tokens computed for sendings that were given up or refused.
    pub useless: u64,
    /// Tokens computed once more after a move or a crash.
    pub recomputed: u64,
    /// Replicas that died of a killer request.
    pub killed: u32,
    /// Refusals that said "not run" of something handed on.
    pub false_not_run: u32,
    /// Non-idempotent requests that ran twice.
    pub doubled: u32,
    /// Sendings without any end.
    pub forgotten: u32,
    /// Most requests of each account open at once, over all entries.
    pub most_open: BTreeMap<usize, u32>,
}

impl Tally {
    /// Requests of one account, or of all.
    pub fn of(&self, account: Option<usize>) -> impl Iterator<Item = &Outcome> {
        let wanted = move |outcome: &&Outcome| account.is_none_or(|key| key == outcome.account);
        self.outcomes.iter().filter(wanted)
    }

    /// Share of requests answered within target.
    pub fn share(&self, account: Option<usize>) -> f64 {
        let all = self.of(account).count();
        let good = self.of(account).filter(|outcome| outcome.in_target).count();
        if all == 0 {
            1.0
        } else {
            good as f64 / all as f64
        }
    }

    /// The worst account's share within target.
    pub fn worst_share(&self) -> f64 {
        let shares = (0..self.weights.len()).map(|account| self.share(Some(account)));
        shares.fold(1.0, f64::min)
    }

    /// Answers within target a second.
    pub fn goodput(&self) -> f64 {
        self.of(None).filter(|outcome| outcome.in_target).count() as f64 / self.seconds
    }

    /// Time to the first token that this share of the answers did not exceed.
    pub fn first_token(&self, quantile: f64) -> f64 {
        let mut times: Vec<u64> = self
            .of(None)
            .filter_map(|outcome| outcome.first_token_ms)
            .collect();
        times.sort_unstable();
        let rank = (times.len() as f64 * quantile).ceil() as usize;
        times
            .get(rank.saturating_sub(1))
            .map_or(f64::NAN, |ms| *ms as f64)
    }

    /// A sum over all requests.
    pub fn sum(&self, count: impl Fn(&Outcome) -> u32) -> f64 {
        self.of(None).map(|outcome| f64::from(count(outcome))).sum()
    }

    /// Replica-seconds for each answer within target.
    pub fn cost(&self) -> f64 {
        self.replica_seconds / (self.goodput() * self.seconds)
    }

    /// Share of the computed tokens that nobody got.
    pub fn useless_share(&self) -> f64 {
        self.useless as f64 / (self.computed as f64).max(1.0)
    }

    /// Jain's index over what each account got against its weighted max-min share of all work done.
    pub fn jain(&self) -> f64 {
        let accounts = self.weights.len();
        let mut demand = vec![0.0; accounts];
        let mut served = vec![0.0; accounts];
        for outcome in &self.outcomes {
            demand[outcome.account] += outcome.cost;
            if outcome.in_target {
                served[outcome.account] += outcome.cost;
            }
        }
        let entitled = max_min(&demand, &self.weights, served.iter().sum());
        let ratios: Vec<f64> = served
            .iter()
            .zip(&entitled)
            .filter(|(_, entitled)| **entitled > 0.0)
            .map(|(served, entitled)| served / entitled)
            .collect();
        let sum: f64 = ratios.iter().sum();
        let squares: f64 = ratios.iter().map(|ratio| ratio * ratio).sum();
        if squares == 0.0 {
            0.0
        } else {
            sum * sum / (ratios.len() as f64 * squares)
        }
    }
}

/// Divides `total` by weight, nobody getting more than its demand.
fn max_min(demand: &[f64], weights: &[f64], total: f64) -> Vec<f64> {
    let mut given = vec![0.0; demand.len()];
    let mut left = total;
    let mut open: Vec<usize> = (0..demand.len()).collect();
    while !open.is_empty() && left > 1e-9 {
        let weight: f64 = open.iter().map(|at| weights[*at]).sum();
        let level = left / weight;
        let full: Vec<usize> = open
            .iter()
            .copied()
            .filter(|at| demand[*at] <= level * weights[*at])
            .collect();
        if full.is_empty() {
            for at in &open {
                given[*at] = level * weights[*at];
            }
            return given;
        }
        for at in &full {
            given[*at] = demand[*at];
            left -= demand[*at];
        }
        open.retain(|at| !full.contains(at));
    }
    given
}
