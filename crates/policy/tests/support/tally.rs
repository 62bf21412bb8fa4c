//! Results of a simulation, as seen by the callers.

use std::collections::BTreeMap;

/// Result of one request over all its submissions.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Index of the account's profile.
    pub account: usize,
    /// Whether the complete answer was received.
    pub answered: bool,
    /// Whether it met both targets, counted from the submission that was answered.
    pub in_target: bool,
    /// Milliseconds from that submission to the first token.
    pub first_token_ms: Option<u64>,
    /// Number of submissions.
    pub submissions: u32,
    /// Refusals within 100 ms of the submission.
    pub refused_immediately: u32,
    /// Refusals later than that.
    pub refused_late: u32,
    /// Refusals more than 100 ms after even an idle engine could no longer meet the target.
    pub refused_after_infeasible: u32,
    /// Refusals without a time to retry.
    pub refused_permanently: u32,
    /// Times that the caller gave up waiting.
    pub abandoned: u32,
    /// Prompt tokens plus weighted output tokens.
    pub cost: f64,
}

/// Results of one run.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Results by request.
    pub outcomes: Vec<Outcome>,
    /// Weight of each account.
    pub weights: Vec<f64>,
    /// Duration of the load in seconds.
    pub seconds: f64,
    /// Seconds of live replicas in that time.
    pub replica_seconds: f64,
    /// Tokens computed in total.
    pub computed: u64,
    /// Tokens computed for submissions that were given up or refused.
    pub wasted: u64,
    /// Tokens recomputed after a move or a crash.
    pub recomputed: u64,
    /// Replicas crashed by a killer request.
    pub killed: u32,
    /// Refusals with the verdict "not run" for requests that were handed to an engine.
    pub false_not_run: u32,
    /// Non-idempotent requests that ran twice.
    pub duplicated: u32,
    /// Maximum number of replicas that an entry had ejected; only in patterns that share speeds.
    pub max_ejected: usize,
    /// Submissions that never got an answer or a refusal.
    pub unanswered: u32,
    /// Attempts handed to engines.
    pub attempts: u64,
    /// Attempts that met no free slot at their engine.
    pub queued_inside: u64,
    /// Most attempts at one engine beyond its slots.
    pub max_surplus: usize,
    /// Maximum number of open requests of each account, over all entries.
    pub max_open: BTreeMap<usize, u32>,
}

impl Tally {
    /// Returns the requests of one account, or of all.
    pub fn requests(&self, account: Option<usize>) -> impl Iterator<Item = &Outcome> {
        let selected = move |outcome: &&Outcome| account.is_none_or(|key| key == outcome.account);
        self.outcomes.iter().filter(selected)
    }

    /// Returns the share of requests answered within target.
    pub fn share(&self, account: Option<usize>) -> f64 {
        let all = self.requests(account).count();
        let good = self
            .requests(account)
            .filter(|outcome| outcome.in_target)
            .count();
        if all == 0 {
            1.0
        } else {
            good as f64 / all as f64
        }
    }

    /// Returns the lowest share within target of any account.
    pub fn worst_share(&self) -> f64 {
        let shares = (0..self.weights.len()).map(|account| self.share(Some(account)));
        shares.fold(1.0, f64::min)
    }

    /// Returns the answers within target per second.
    pub fn goodput(&self) -> f64 {
        self.requests(None)
            .filter(|outcome| outcome.in_target)
            .count() as f64
            / self.seconds
    }

    /// Returns the quantile of the time to first token, in milliseconds.
    pub fn first_token_quantile(&self, quantile: f64) -> f64 {
        let mut times: Vec<u64> = self
            .requests(None)
            .filter_map(|outcome| outcome.first_token_ms)
            .collect();
        times.sort_unstable();
        let rank = (times.len() as f64 * quantile).ceil() as usize;
        times
            .get(rank.saturating_sub(1))
            .map_or(f64::NAN, |ms| *ms as f64)
    }

    /// Returns a sum over all requests.
    pub fn sum(&self, count: impl Fn(&Outcome) -> u32) -> f64 {
        self.requests(None)
            .map(|outcome| f64::from(count(outcome)))
            .sum()
    }

    /// Returns the replica-seconds per answer within target.
    pub fn replica_seconds_per_answer(&self) -> f64 {
        self.replica_seconds / (self.goodput() * self.seconds)
    }

    /// Returns the share of computed tokens that no caller received.
    pub fn wasted_share(&self) -> f64 {
        self.wasted as f64 / (self.computed as f64).max(1.0)
    }

    /// Returns the share of attempts that waited inside an engine.
    pub fn queued_share(&self) -> f64 {
        self.queued_inside as f64 / (self.attempts as f64).max(1.0)
    }

    /// Returns Jain's fairness index of the work served to each account relative to its weighted
    /// max-min share of all work done.
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

/// Divides `total` by weight without giving any account more than its demand.
fn max_min(demand: &[f64], weights: &[f64], total: f64) -> Vec<f64> {
    let mut shares = vec![0.0; demand.len()];
    let mut left = total;
    let mut unsatisfied: Vec<usize> = (0..demand.len()).collect();
    while !unsatisfied.is_empty() && left > 1e-9 {
        let weight: f64 = unsatisfied.iter().map(|account| weights[*account]).sum();
        let per_weight = left / weight;
        let satisfied: Vec<usize> = unsatisfied
            .iter()
            .copied()
            .filter(|account| demand[*account] <= per_weight * weights[*account])
            .collect();
        if satisfied.is_empty() {
            for account in &unsatisfied {
                shares[*account] = per_weight * weights[*account];
            }
            return shares;
        }
        for account in &satisfied {
            shares[*account] = demand[*account];
            left -= demand[*account];
        }
        unsatisfied.retain(|account| !satisfied.contains(account));
    }
    shares
}
