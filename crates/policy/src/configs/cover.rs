//! Settings of [`crate::cover`].

use clock::Span;

/// How full replicas may be, and how soon what is too many is given back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Part of a replica's time that work fills while all is well: prompts then seldom wait behind long
    /// ones of others.
    pub target_utilization: f64,
    /// The same while reclaimable replicas are missing and none are to be had.
    pub shortage_utilization: f64,
    /// The same in the two seconds between the end of a zone's reclaimable replicas and the start of those that are
    /// ordered at their notice: prompts may wait for that long, and on-demand replicas kept for it cost five times as
    /// much. At 0.6 they cost 0.02 of what the served requests are worth, mean of 45 plays of days with faults; at 1.0
    /// fleets of nine lost more in the seconds after a reclaim than they saved (0.548 to 0.511 on a quiet day).
    pub failover_utilization: f64,
    /// On-demand replicas that are too many are kept for so long: the next reclaim often follows the last
    /// within seconds.
    pub on_demand_hold: Span,
    /// The same for reclaimable ones, which cost a fifth.
    pub reclaimable_hold: Span,
    /// How long a refusal of reclaimable replicas is taken as lasting.
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
