//! Settings of [`crate::cover`].

use clock::Span;

/// Target utilizations, and how long surplus replicas are kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Utilization of replicas in normal operation: low enough that prompts seldom wait behind long
    /// ones of others.
    pub target_utilization: f64,
    /// Utilization while reclaimable replicas are missing and the market has none.
    pub shortage_utilization: f64,
    /// Utilization in the two seconds between the end of a zone's reclaimable replicas and the
    /// start of those ordered at their notice: prompts may wait for that long, and on-demand
    /// replicas kept for it cost five times as much. Higher loses more requests after a reclaim
    /// than it saves, lower pays for idle replicas.
    pub failover_utilization: f64,
    /// How long surplus on-demand replicas are kept: the next reclaim often follows the last within
    /// seconds.
    pub on_demand_hold: Span,
    /// How long surplus reclaimable replicas are kept, which cost a fifth.
    pub reclaimable_hold: Span,
    /// How long a refusal of reclaimable replicas is assumed to last.
    pub refusal_hold: Span,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            target_utilization: 0.3,
            shortage_utilization: 0.6,
            failover_utilization: 0.8,
            on_demand_hold: Span::from_millis(2_500),
            reclaimable_hold: Span::from_seconds(8),
            refusal_hold: Span::from_millis(1_500),
        }
    }
}
