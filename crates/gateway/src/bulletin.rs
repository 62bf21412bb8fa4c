//! The counts that entries exchange several times a second.

use std::collections::BTreeMap;

use clock::Span;
use policy::demand::Offered;
use policy::quota::Counts;
use policy::speed::Pace;
use rollout::tally::Tally;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use watch::report::Echo;

use crate::limits;
use crate::limits::Reports;
use crate::releases;
use crate::releases::Statement;
use crate::route_shares;
use crate::usage::Windows;
use crate::work::Work;

/// Counts of one entry since it started, or the sum over several entries.
///
/// Each bulletin replaces the previous one, so loss and duplication are harmless.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Bulletin {
    /// Number of entries summed up; 0 for the sender's own counts.
    #[serde(skip_serializing_if = "is_zero")]
    pub sums: u32,
    /// Number of entries summed up that run requests; `None` from an entry that doesn't count them.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub active: Option<u32>,
    /// Entry whose counts the sum leaves out: the receiver. Invariant: set in each sum that is sent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub without: Option<u64>,
    /// Whether these are the counts of an entry that has ended, relayed by another one.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub past: bool,
    /// Cost charged to each account.
    pub charged: Counts,
    /// Attempts in flight at each backend server, by the hash of its incarnation.
    pub running: BTreeMap<u64, u32>,
    /// Requests that started to run, by usage window and account; newest windows only.
    pub begun: Windows,
    /// The sender's clock when the bulletin was written, in Unix milliseconds.
    pub unix_ms: u64,
    /// The same in milliseconds since the sender's start, which no change of the time of day moves.
    pub sent_at_ms: u64,
    /// Whether requests wait at the sender for statements that are newer than this bulletin.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub awaits_statements: bool,
    /// What shows each entry that awaits a statement that this one is newer.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub echoes: Vec<Echo>,
    /// Arrived work by service. A sum holds the total tokens and the median of the entries' speeds.
    pub work: BTreeMap<SmolStr, Work>,
    /// Answers since each roll-out was ordered, by service.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub tallies: BTreeMap<SmolStr, Tally>,
    /// Limits that servers reported.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub limits: Reports,
    /// Parts of prompts that were accused of crashes and found sound a short time ago, with the milliseconds since.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub cleared: BTreeMap<u64, u64>,
    /// Rates of the work that callers offer, by service.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub offered: Offered,
    /// Software versions that the sender knows; `None` from an entry that doesn't state them.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub versions: Option<Statement>,
    /// Time before now for which `versions` names all that served, by service, milliseconds.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub versions_known_for: BTreeMap<SmolStr, u64>,
    /// Revisions of the default versions that have replaced others, by service.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub default_revisions: BTreeMap<SmolStr, u64>,
    /// Shares of routes that were in force before the present ones.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub former_shares: route_shares::Statement,
    /// Samples of the servers' speed since the sender's last bulletin, by the hash of the incarnation; none in a sum.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub paces: BTreeMap<u64, Pace>,
    /// Speeds in percent of the median of the service, of the servers that differ from it, by the hash of the
    /// incarnation; only in some of the sums.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub speeds: Option<BTreeMap<u64, u16>>,
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}

impl Bulletin {
    /// Returns whether the entry runs requests.
    fn has_requests(&self) -> bool {
        self.running.values().any(|count| *count > 0)
    }

    /// Returns how many of the entries that it covers run requests.
    pub fn active_entries(&self) -> u32 {
        match self.sums {
            0 => u32::from(self.has_requests()),
            sums => self.active.unwrap_or(sums),
        }
    }

    /// Returns the part that stays valid after the entry has ended.
    pub fn past(&self) -> Bulletin {
        Bulletin {
            past: true,
            begun: self.begun.clone(),
            ..Bulletin::default()
        }
    }

    /// Adds an entry's own counts, received `held` ago; its attempts in flight only if the entry is `fresh`.
    pub fn add(&mut self, one: &Bulletin, held: Span, fresh: bool) {
        self.sums += u32::from(fresh);
        let active = u32::from(fresh && one.has_requests());
        self.active = Some(self.active.unwrap_or(0) + active);
        for (account, tokens) in &one.charged {
            *self.charged.entry(*account).or_default() += tokens;
        }
        for (replica, count) in one.running.iter().filter(|_| fresh) {
            *self.running.entry(*replica).or_default() += count;
        }
        for (window, counts) in &one.begun {
            let into = self.begun.entry(*window).or_default();
            for (account, count) in counts {
                *into.entry(account.clone()).or_default() += count;
            }
        }
        for (service, work) in &one.work {
            let into = self.work.entry(service.clone()).or_default();
            into.add(work);
        }
        for (service, tally) in &one.tallies {
            self.tallies.entry(service.clone()).or_default().add(tally);
        }
        for (part, age) in one.cleared.iter().filter(|_| fresh) {
            let known = self.cleared.entry(*part).or_insert(*age);
            *known = (*known).min(*age);
        }
        for (service, rates) in one.offered.iter().filter(|_| fresh) {
            let into = self.offered.entry(service.clone()).or_default();
            into.merge(rates);
        }
        if let Some(versions) = &one.versions {
            releases::merge(self.versions.get_or_insert_default(), versions);
        }
        // All entries follow one list, so that the longest memory holds for the sum.
        for (service, millis) in &one.versions_known_for {
            let into = self.versions_known_for.entry(service.clone()).or_default();
            *into = (*into).max(*millis);
        }
        for (service, revision) in &one.default_revisions {
            let into = self.default_revisions.entry(service.clone()).or_default();
            *into = (*into).max(*revision);
        }
        route_shares::merge(&mut self.former_shares, &one.former_shares);
        // Those of an ended entry would stay the newest ones.
        if fresh {
            limits::merge_newest(&mut self.limits, &one.limits, held);
        }
    }

    /// Returns this sum without one entry's own counts.
    pub fn without(&self, one: &Bulletin) -> Bulletin {
        let mut rest = self.clone();
        rest.sums = rest.sums.saturating_sub(1);
        let active = u32::from(one.has_requests());
        rest.active = rest.active.map(|known| known.saturating_sub(active));
        for (account, tokens) in &one.charged {
            subtract(&mut rest.charged, account, *tokens);
        }
        for (replica, count) in &one.running {
            if let Some(into) = rest.running.get_mut(replica) {
                *into = into.saturating_sub(*count);
            }
        }
        for (window, counts) in &one.begun {
            if let Some(into) = rest.begun.get_mut(window) {
                for (account, count) in counts {
                    subtract(into, account, *count);
                }
            }
        }
        for (service, work) in &one.work {
            if let Some(into) = rest.work.get_mut(service) {
                *into = into.since(work);
            }
        }
        for (service, tally) in &one.tallies {
            if let Some(into) = rest.tallies.get_mut(service) {
                into.subtract(tally);
            }
        }
        for (service, rates) in &one.offered {
            if let Some(into) = rest.offered.get_mut(service) {
                *into = into.without(rates);
            }
        }
        rest.offered.retain(|_, rates| !rates.is_empty());
        rest
    }
}

fn subtract<K: Ord>(counts: &mut BTreeMap<K, u64>, key: &K, count: u64) {
    if let Some(into) = counts.get_mut(key) {
        *into = into.saturating_sub(count);
    }
}
