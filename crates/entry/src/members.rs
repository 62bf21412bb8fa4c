//! Connects the membership protocol to the entry: passes it events and performs its effects.

use clock::Span;
use clock::Time;
use lease::holder;
use member::configs::membership::Settings;
use member::digest::Item;
use member::digest::Topic;
use member::event::Effect as MemberEffect;
use member::event::Event as MemberEvent;
use member::membership::Membership;
use member::row::Row;
use member::row::State;
use request::id::Incarnation;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::backends::LISTED_LEAVE_TIME;
use crate::effect::Effect;
use crate::entry::Entry;
use crate::identity::Identity;
use crate::line::Line;
use crate::store_calls::Waiter;

/// Time between two scheduler digests.
const DIGEST_INTERVAL: Span = Span::from_seconds(1);

impl Entry {
    /// Wakes the membership protocol when it is due and publishes scheduler digests.
    pub(crate) fn members_tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.membership.next_wake() <= now {
            self.step_membership(now, MemberEvent::Wake, effects);
        }
        let due = now >= self.next_digest;
        if due || self.scheduler.take_urgent() {
            self.next_digest = now + DIGEST_INTERVAL;
            self.publish_scheduler_digest(now, effects);
        }
    }

    /// Passes an event to the membership protocol and performs its effects.
    pub(crate) fn step_membership(
        &mut self,
        now: Time,
        event: MemberEvent,
        effects: &mut Vec<Effect>,
    ) {
        let mut outputs = Vec::new();
        self.membership.step(now, event, &mut outputs);
        for effect in outputs {
            self.perform_membership_effect(now, effect, effects);
        }
    }

    /// Performs an effect of the membership protocol.
    fn perform_membership_effect(
        &mut self,
        now: Time,
        effect: MemberEffect,
        effects: &mut Vec<Effect>,
    ) {
        match effect {
            MemberEffect::Store { id, call } => {
                self.queue_store_call(Waiter::Membership(id), call);
            }
            MemberEffect::Send { to, digest } => {
                if let Some(address) = self.membership.peer_address(to).cloned() {
                    effects.push(Effect::SendDigest { address, digest });
                }
            }
            MemberEffect::Greet { address, digest } => {
                effects.push(Effect::SendDigest { address, digest });
            }
            MemberEffect::Lease(holding) => self.lease_changed(now, holding, effects),
            MemberEffect::View(view) => self.members_read(now, view, effects),
            MemberEffect::Applied { member, version } => {
                let event = config::event::Event::Applied { member, version };
                self.step_agreement(now, event, effects);
            }
            MemberEffect::Item(item) => self.item_received(now, &item, effects),
            MemberEffect::Peers(peers) => {
                let entries = u32::try_from(peers.len() + 1).unwrap_or(u32::MAX);
                self.scheduler.set_entries(entries);
                let own = self.identity.incarnation.0;
                let members = peers.iter().map(|peer| peer.0).chain([own]);
                self.scheduler.set_members(own, members.collect());
                self.throttle.set_members(now, peers.len() + 1);
                self.step_agreement(now, config::event::Event::Peers(peers), effects);
            }
            MemberEffect::Left => self.leave_recorded(now, effects),
        }
    }

    /// Requests a full reading of the members.
    pub(crate) fn refresh_members(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.step_membership(now, MemberEvent::ReadAll, effects);
    }

    /// Announces the applied configuration version to other entries.
    pub(crate) fn announce_applied(&mut self, now: Time, version: u64, effects: &mut Vec<Effect>) {
        self.step_membership(now, MemberEvent::Applied(version), effects);
    }

    /// Announces to all entries that a backend server is leaving.
    pub(crate) fn publish_leaving(
        &mut self,
        now: Time,
        incarnation: &SmolStr,
        time_left: Span,
        effects: &mut Vec<Effect>,
    ) {
        let item = Item {
            topic: Topic::Leaving,
            key: incarnation.clone(),
            version: 1,
            age_ms: 0,
            payload: time_left.as_millis().to_le_bytes().to_vec(),
        };
        self.step_membership(now, MemberEvent::Publish(item), effects);
    }

    /// Returns the peer address of the entry that holds a minter's ledger, or none if it is lost.
    ///
    /// Follows heirs of heirs; a chain longer than the directory must be a cycle.
    pub(crate) fn ledger_holder(&self, now: Time, minter: Incarnation) -> Option<SmolStr> {
        let mut holder = holder::Id(minter.0);
        for _ in 0..=self.membership.directory().iter().count() {
            match self.membership.heir(now, holder) {
                Some(heir) => holder = heir,
                None => return self.membership.peer_address(holder).cloned(),
            }
        }
        None
    }

    /// Returns the live member that takes over this entry's ledgers and streams: the next by id, so
    /// that many entries leaving at once choose different successors.
    pub(crate) fn successor(&self) -> Option<Row> {
        let me = self.identity.incarnation.0;
        let mut live: Vec<&Row> = self
            .membership
            .directory()
            .present()
            .map(|(_, member)| &member.record.row)
            .filter(|row| row.id.0 != me && row.state == State::Live)
            .collect();
        live.sort_by_key(|row| row.id.0.wrapping_sub(me));
        live.first().map(|row| (*row).clone())
    }

    /// Handles an item gossiped by another entry.
    fn item_received(&mut self, now: Time, item: &Item, effects: &mut Vec<Effect>) {
        match item.topic {
            Topic::Leaving => {
                if self.backends.mark_leaving(item.key.clone()) {
                    self.backend_leaving(now, &item.key, now + time_left(item), effects);
                }
            }
            Topic::Demand | Topic::Quarantine => self.scheduler_digest_received(now, item, effects),
            Topic::Heir
            | Topic::Count
            | Topic::Ended
            | Topic::List
            | Topic::Resigned
            | Topic::Renewed
            | Topic::Rollout
            | Topic::Silent => {}
        }
    }

    /// Passes another entry's scheduler digest to the scheduler.
    fn scheduler_digest_received(&mut self, now: Time, item: &Item, effects: &mut Vec<Effect>) {
        let peer = holder::Id::parse(&item.key).map_or(0, |id| id.0);
        if peer == self.identity.incarnation.0 {
            return;
        }
        match wire::scheduler::decode(&item.payload) {
            Ok(mut digest) => {
                digest.quarantine = digest.quarantine.aged(Span::from_millis(item.age_ms));
                self.with_scheduler(now, effects, |scheduler, out| {
                    scheduler.absorb(now, peer, &digest, out);
                });
            }
            Err(error) => {
                let line = Line::warn("news_unreadable").with("error", error);
                effects.push(Effect::Log(line));
            }
        }
    }

    /// Publishes the scheduler's digest to all entries.
    fn publish_scheduler_digest(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let digest = self.scheduler.digest(now);
        let urgent = !digest.quarantine.items.is_empty() || !digest.quarantine.claims.is_empty();
        if !urgent && digest.limit.claims.is_empty() {
            return;
        }
        self.digest_version += 1;
        let item = Item {
            topic: if urgent {
                Topic::Quarantine
            } else {
                Topic::Demand
            },
            key: format_smolstr!("{}", self.identity.incarnation),
            version: self.digest_version,
            age_ms: 0,
            payload: wire::scheduler::encode(&digest),
        };
        self.step_membership(now, MemberEvent::Publish(item), effects);
    }
}

/// Returns the time left to a leaving server by a peer's item, less the item's age.
fn time_left(item: &Item) -> Span {
    match <[u8; 8]>::try_from(item.payload.as_slice()) {
        Ok(bytes) => Span::from_millis(u64::from_le_bytes(bytes)) - Span::from_millis(item.age_ms),
        Err(_) => LISTED_LEAVE_TIME,
    }
}

/// Returns an entry's new membership.
pub(crate) fn membership(
    identity: &Identity,
    seeds: Vec<SmolStr>,
    settings: Settings,
    seed: u64,
) -> Membership {
    let row = Row {
        id: holder::Id(identity.incarnation.0),
        zone: identity.zone.clone(),
        address: identity.caller_address.clone(),
        peer_address: identity.peer_address.clone(),
        ..Row::default()
    };
    Membership::new(row, seeds, settings, seed)
}
