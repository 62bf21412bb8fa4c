//! The lease under which one entry reports usage and orders replicas.

use std::collections::BTreeSet;

use clock::Span;
use clock::Time;
use lease::claim;
use lease::claim::Claim;
use lease::holder;
use line::Line;
use member::digest::Digest;
use member::digest::Item;
use member::digest::Topic;
use role::roster::HUB_COUNT;
use smol_str::SmolStr;
use store::call;

use crate::duty;
use crate::duty::Lease;
use crate::effect::Effect;
use crate::effect::Lane;
use crate::fleet::Fleet;
use crate::gateway::Gateway;
use crate::progress::Writer;
use crate::reports::Reports;
use crate::store_calls::Waiter;

/// Name of the duties' lease.
const LEASE: &str = "duties";
/// Time after which an entry that follows the list of servers knows all of them. While the whole system
/// starts, they announce themselves over several seconds.
const LIST_SETTLED: Span = Span::from_seconds(5);
/// How long an entry that replaced a predecessor tries for the lease: one read of the members and one of the
/// lease, with a retry of each.
const SUCCESSION_TIME: Span = Span::from_seconds(4);

/// State of the duties that the lease holder carries out.
pub(crate) struct Duties {
    claim: Claim,
    pub reports: Reports,
    pub fleet: Fleet,
    pub progress: Writer,
    /// Earlier incarnations of this entry.
    predecessors: BTreeSet<holder::Id>,
    /// Identifier of the latest platform call.
    next_call: u64,
    /// Whether the lease is wanted, as last passed to the claim.
    wanted: bool,
}

impl Duties {
    /// Creates the state of an entry that holds no lease.
    pub fn new(claim: Claim, fleet: Fleet) -> Duties {
        Duties {
            claim,
            reports: Reports::default(),
            fleet,
            progress: Writer::default(),
            predecessors: BTreeSet::new(),
            next_call: 0,
            wanted: false,
        }
    }

    /// Returns when the duties need the next tick.
    pub fn next_wake(&self, now: Time) -> Time {
        self.claim.next_wake(now)
    }
}

/// Creates a claim on the duties' lease.
pub(crate) fn new_claim(
    me: lease::holder::Id,
    settings: claim_settings::Settings,
    seed: u64,
) -> Claim {
    Claim::new(me, LEASE, settings, seed)
}

pub(crate) use lease::configs::claim as claim_settings;

impl Gateway {
    /// Advances the claim and, while the lease is held, the duties.
    pub(crate) fn duties_tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if !self.settings.report_usage && !self.settings.order_replicas {
            return;
        }
        self.report_predecessors(now, effects);
        let wanted = self.is_candidate(now);
        if wanted != self.duties.wanted {
            self.duties.wanted = wanted;
            self.claim_step(now, claim::Event::Want(wanted), effects);
        }
        if self.duties.claim.next_wake(now) <= now {
            self.claim_step(now, claim::Event::Wake, effects);
        }
        self.usage.expire(now);
        self.record_demand(now);
        if let Some(lease) = self.lease(now) {
            self.progress_tick(now);
            self.sweep_records(now);
            self.reports_tick(now, lease, effects);
            self.fleet_tick(now, lease, effects);
            self.rollouts_tick(now, lease, effects);
        }
    }

    /// Passes an answer of the table service to the claim.
    pub(crate) fn handle_claim_answer(
        &mut self,
        now: Time,
        id: call::Id,
        outcome: call::Outcome,
        effects: &mut Vec<Effect>,
    ) {
        self.claim_step(now, claim::Event::Store { id, outcome }, effects);
    }

    /// Returns the lease, if this entry holds it.
    pub(crate) fn lease(&self, now: Time) -> Option<Lease> {
        let fence = self.duties.claim.fence(now)?;
        let until = self.duties.claim.valid_until();
        Some(Lease { fence, until })
    }

    /// Calls the platform and returns the identifier that the outcome will carry.
    pub(crate) fn call_platform(
        &mut self,
        call: duty::Call,
        lease: Lease,
        effects: &mut Vec<Effect>,
    ) -> u64 {
        self.duties.next_call += 1;
        let id = self.duties.next_call;
        effects.push(Effect::Duty { id, call, lease });
        id
    }

    /// Handles the outcome of a platform call.
    pub(crate) fn handle_duty_answer(
        &mut self,
        now: Time,
        id: u64,
        outcome: duty::Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let line = Line::info("duty_answered")
            .with("call", id)
            .with("outcome", format!("{outcome:?}"));
        effects.push(Effect::Log(line));
        self.handle_report_answer(now, id, outcome);
        self.handle_order_answer(now, id, outcome);
    }

    /// Returns whether this entry should try to get or keep the lease.
    ///
    /// The holder keeps it as long as it can. Otherwise hubs are candidates, since they learn all counts
    /// first; among many entries every standby reader is one, so that duties pass on if the hubs lose the
    /// table service.
    fn is_candidate(&self, now: Time) -> bool {
        if !self.is_ready() {
            return false;
        }
        if self.duties.claim.fence(now).is_some() {
            return true;
        }
        // The predecessor may have been the holder; only its successor needn't wait for that lease to expire.
        let starting = now < Time::ZERO + SUCCESSION_TIME;
        if starting && !self.duties.predecessors.is_empty() {
            return true;
        }
        let max_claimants = match self.uses_hubs() {
            true => usize::MAX,
            false => HUB_COUNT,
        };
        let mut claimants = self.roster.readers().iter().take(max_claimants);
        claimants.any(|claimant| *claimant == self.identity.incarnation)
    }

    /// Handles the holder's announcement that it released the lease.
    pub(crate) fn handle_resignation(&mut self, now: Time, item: &Item, effects: &mut Vec<Effect>) {
        if item.key == LEASE {
            self.claim_step(now, claim::Event::Relinquished(item.version), effects);
        }
    }

    /// Handles the holder's announcement of a renewal.
    pub(crate) fn handle_renewal(&mut self, now: Time, item: &Item, effects: &mut Vec<Effect>) {
        let value = match serde_json::from_slice(&item.payload) {
            Ok(value) => value,
            Err(error) => {
                let line = Line::warn("renewal_unreadable").with("error", error);
                return effects.push(Effect::Log(line));
            }
        };
        let row = call::Row {
            key: item.key.clone(),
            value,
            revision: item.version,
        };
        self.claim_step(now, claim::Event::Renewed(row), effects);
    }

    /// Publishes a renewal to the other claimants, so that they needn't read the row.
    fn publish_renewed(&mut self, row: &call::Row, effects: &mut Vec<Effect>) {
        let item = Item {
            topic: Topic::Renewed,
            key: row.key.clone(),
            version: row.revision,
            age_ms: 0,
            payload: row.value.to_string().into_bytes(),
        };
        let digest = Digest {
            own: self.membership.beat(),
            items: vec![item],
            ..Digest::default()
        };
        for claimant in self.roster.readers() {
            if let Some(address) = self.membership.peer_address(*claimant).cloned() {
                let digest = digest.clone();
                effects.push(Effect::SendDigest {
                    address,
                    digest,
                    lane: Lane::Immediate,
                });
            }
        }
    }

    /// Announces that this entry released the lease, so that nobody waits for it to expire.
    fn publish_resigned(&mut self, now: Time, fence: u64, effects: &mut Vec<Effect>) {
        let item = Item {
            topic: Topic::Resigned,
            key: SmolStr::new_static(LEASE),
            version: fence,
            age_ms: 0,
            payload: Vec::new(),
        };
        self.step_membership(now, member::event::Event::Publish(item), effects);
    }

    /// Reports earlier incarnations of this entry as gone to the claim: this one has bound their port.
    fn report_predecessors(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let me = self.identity.incarnation;
        let address = &self.identity.peer_address;
        let known = self.membership.directory().iter();
        let gone: Vec<holder::Id> = known
            .filter(|(id, known)| *id != me && known.record.row.peer_address == *address)
            .map(|(id, _)| id)
            .filter(|id| !self.duties.predecessors.contains(id))
            .collect();
        for id in gone {
            self.duties.predecessors.insert(id);
            self.claim_step(now, claim::Event::Gone(id), effects);
        }
    }

    fn claim_step(&mut self, now: Time, event: claim::Event, effects: &mut Vec<Effect>) {
        let mut claim_effects = Vec::new();
        self.duties.claim.step(now, event, &mut claim_effects);
        for effect in claim_effects {
            match effect {
                claim::Effect::Store { id, call } => self.call_store(Waiter::Claim(id), call),
                claim::Effect::Gained(fence) => {
                    self.duties.reports = Reports::default();
                    self.duties.progress = Writer::default();
                    self.rollouts.reset_leaderships();
                    let settled = now.since(self.servers_known_since) > LIST_SETTLED;
                    self.duties.fleet.gained(now, settled);
                    effects.push(Effect::Log(Line::info("duty_gained").with("fence", fence)));
                }
                claim::Effect::Renewed(row) => self.publish_renewed(&row, effects),
                claim::Effect::Lost(fence) => {
                    effects.push(Effect::Log(Line::info("duty_lost").with("fence", fence)));
                    self.publish_resigned(now, fence, effects);
                }
            }
        }
    }
}
