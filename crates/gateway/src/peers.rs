//! Exchange with other entries: membership, counts and the quarantine.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use lease::holder;
use line::Line;
use member::digest::Item;
use member::digest::Topic;
use member::event::Effect as MemberEffect;
use member::event::Event as MemberEvent;
use member::membership::Membership;
use member::row::Row;
use policy::rendezvous;
use policy::replica;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use watch::report::Echo;

use crate::bulletin::Bulletin;
use crate::configs::gateway::Settings;
use crate::effect::Effect;
use crate::effect::Lane;
use crate::gateway::Gateway;
use crate::hubs::LastMessage;
use crate::hubs::PAST_SEPARATOR;
use crate::hubs::SUM_SENDER;
use crate::identity::Identity;
use crate::store_calls::Waiter;
use crate::work;

/// Times after the start at which all members are read again. Entries that start together find only those
/// that registered earlier; gossip about the others takes long, and until then each group would choose hubs
/// of its own.
const MEMBER_READ_TIMES: [Span; 3] = [
    Span::from_millis(1_200),
    Span::from_millis(3_000),
    Span::from_millis(8_000),
];
/// Time between two publications of an unchanged quarantine.
const QUARANTINE_INTERVAL: Span = Span::from_seconds(10);
/// Time for which bulletins state that an accused part was found sound: several rounds.
const CLEARED_WINDOW: Span = Span::from_seconds(8);
/// Factor by which the bulletin interval grows when counts are exchanged by hubs.
const HUB_INTERVAL_FACTOR: u64 = 2;

/// The latest load that a peer reported, or the sum over several.
#[derive(Debug)]
pub(crate) struct PeerLoad {
    pub reported_at: Time,
    /// Entries that run requests.
    pub active: u32,
    /// Requests at each backend server, by the hash of its incarnation.
    pub running: BTreeMap<u64, u32>,
}

impl Gateway {
    /// Advances the membership, and publishes this entry's counts when they are due.
    pub(crate) fn peers_tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if let Some(at) = MEMBER_READ_TIMES
            .get(self.member_reads)
            .filter(|at| now >= Time::ZERO + **at)
        {
            let line = Line::debug("members_looked_up").with("at", at);
            effects.push(Effect::Log(line));
            self.member_reads += 1;
            self.step_membership(now, MemberEvent::ReadAll, effects);
        }
        if self.membership.next_wake() <= now {
            self.step_membership(now, MemberEvent::Wake, effects);
        }
        if now >= self.next_bulletin {
            if self.next_bulletin == Time::ZERO {
                let load = u8::MAX - self.settings.capacity;
                self.step_membership(now, MemberEvent::Load(load), effects);
            }
            self.membership.advance_beat(now);
            self.use_hubs_if_many(now, effects);
            self.failure_detector_tick(now, effects);
            self.assign_roles(now);
            self.limits_tick(now, effects);
            self.select_proxies(now, effects);
            self.next_bulletin = now + self.bulletin_interval();
            self.publish_bulletin(now, effects);
            self.speeds_tick(now, effects);
            self.plans_tick(now, effects);
            self.update_lagging(now);
        }

        // Each item travels to all entries, so it is published only on changes and once in a while.
        if now >= self.next_quarantine || self.scheduler.take_urgent() {
            self.next_quarantine = now + QUARANTINE_INTERVAL;
            self.publish_quarantine(now, effects);
        }
        self.send_configurations(now, effects);
    }

    /// Returns the time between two bulletins, which is longer with hubs, since they write to every entry.
    fn bulletin_interval(&self) -> Span {
        match self.uses_hubs() {
            true => self.settings.bulletin_interval.times(HUB_INTERVAL_FACTOR),
            false => self.settings.bulletin_interval,
        }
    }

    /// Returns after how long without a sign of life a member is taken for failed. Gossip among many members
    /// needs several rounds to reach everyone.
    pub(crate) fn failure_timeout(&self) -> Span {
        let members = self.membership.directory().address_count();
        let timeout = self.settings.members.heartbeat_timeout_for(members);
        match self.uses_hubs() {
            true => timeout.times(HUB_INTERVAL_FACTOR),
            false => timeout,
        }
    }

    /// Passes an event to the membership and applies the resulting effects.
    pub(crate) fn step_membership(
        &mut self,
        now: Time,
        event: MemberEvent,
        effects: &mut Vec<Effect>,
    ) {
        let mut membership_effects = Vec::new();
        self.membership.step(now, event, &mut membership_effects);
        for effect in membership_effects {
            self.apply_membership_effect(now, effect, effects);
        }
    }

    /// Publishes that a backend server is leaving.
    pub(crate) fn publish_leaving(
        &mut self,
        now: Time,
        incarnation: &SmolStr,
        effects: &mut Vec<Effect>,
    ) {
        self.publish_server_item(now, Topic::Leaving, incarnation, 1, effects);
    }

    /// Publishes that a backend server's row was removed at `revision` of the list.
    pub(crate) fn publish_ended(
        &mut self,
        now: Time,
        incarnation: &SmolStr,
        revision: u64,
        effects: &mut Vec<Effect>,
    ) {
        self.publish_server_item(now, Topic::Ended, incarnation, revision, effects);
    }

    /// Publishes an item on a backend server. If several entries publish the same version, one copy is
    /// gossiped.
    fn publish_server_item(
        &mut self,
        now: Time,
        topic: Topic,
        incarnation: &SmolStr,
        version: u64,
        effects: &mut Vec<Effect>,
    ) {
        let item = Item {
            topic,
            key: incarnation.clone(),
            version,
            age_ms: 0,
            payload: Vec::new(),
        };
        self.step_membership(now, MemberEvent::Publish(item), effects);
    }

    /// Applies one effect of the membership.
    fn apply_membership_effect(
        &mut self,
        now: Time,
        effect: MemberEffect,
        effects: &mut Vec<Effect>,
    ) {
        match effect {
            MemberEffect::Store { id, call } => self.call_store(Waiter::Membership(id), call),
            MemberEffect::Send { to, digest } => {
                if let Some(address) = self.membership.peer_address(to).cloned() {
                    effects.push(Effect::SendDigest {
                        address,
                        digest,
                        lane: Lane::Immediate,
                    });
                }
            }
            MemberEffect::Greet { address, digest } => {
                effects.push(Effect::SendDigest {
                    address,
                    digest,
                    lane: Lane::Immediate,
                });
            }
            MemberEffect::Item(item) => self.handle_item(now, &item, effects),
            MemberEffect::Peers(peers) => self.handle_peers_change(now, &peers, effects),
            MemberEffect::Applied { version, .. } => {
                let ours = self.catalog.as_ref().map_or(0, |catalog| catalog.version);
                if version > ours {
                    effects.push(Effect::ReadConfiguration);
                }
            }
            MemberEffect::Lease(_) | MemberEffect::View(_) | MemberEffect::Left => {}
        }
    }

    fn handle_peers_change(&mut self, now: Time, peers: &[holder::Id], effects: &mut Vec<Effect>) {
        self.releases.retain(peers);
        self.hub.retain_messages(peers);
        let members = peers.len() + 1;
        let entries = self.entry_count();
        self.scheduler.set_entries(entries);
        let own = self.identity.incarnation;
        let all = peers.iter().chain([&own]);
        self.scheduler
            .set_members(own.0, all.map(|member| member.0).collect());
        self.quotas
            .set_entries(now, entries.max(self.settings.entries));
        self.throttle.set_members(now, entries as usize);
        effects.push(Effect::Log(Line::info("members").with("count", members)));
    }

    /// Returns the number of entries, counting a restarted one once.
    pub(crate) fn entry_count(&self) -> u32 {
        u32::try_from(self.membership.directory().address_count().max(1)).unwrap_or(u32::MAX)
    }

    /// Handles an item from a peer.
    fn handle_item(&mut self, now: Time, item: &Item, effects: &mut Vec<Effect>) {
        match item.topic {
            Topic::Leaving => self.handle_leaving(now, &item.key, effects),
            Topic::Ended => self.handle_removal_report(now, &item.key, item.version, effects),
            Topic::Count => self.handle_bulletin(now, item, effects),
            Topic::Quarantine => self.handle_quarantine(now, item, effects),
            Topic::List => self.handle_list_report(now, item, effects),
            Topic::Rollout => self.handle_rollout_announcement(now, item, effects),
            Topic::Renewed => self.handle_renewal(now, item, effects),
            Topic::Resigned => self.handle_resignation(now, item, effects),
            Topic::Silent => self.handle_suspicion(now, item, effects),
            Topic::Heir | Topic::Demand => {}
        }
    }

    /// Publishes this entry's counts.
    fn publish_bulletin(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let mut running: BTreeMap<u64, u32> = BTreeMap::new();
        for request in self.requests.values() {
            let place = request
                .replica
                .and_then(|key| self.servers.incarnation_of(key));
            if let Some(incarnation) = place {
                *running
                    .entry(rendezvous::identity(&incarnation))
                    .or_default() += 1;
            }
        }
        let bulletin = Bulletin {
            sums: 0,
            active: None,
            without: None,
            past: false,
            charged: self.quotas.counts(),
            running,
            begun: self.usage.own_windows().clone(),
            unix_ms: self.usage.raw_unix_ms(now),
            sent_at_ms: now.as_millis(),
            awaits_statements: self.releases.has_waiting(),
            echoes: self.releases.take_echoes(now),
            work: self.work.clone(),
            tallies: self.rollouts.tallies.clone(),
            limits: self.limits.reports(now),
            cleared: self.cleared_parts(now),
            paces: self.scheduler.take_paces(),
            offered: self.plans.own_rates(now),
            versions: Some(self.statement(now)),
            versions_known_for: self.coverage_millis(now),
            default_revisions: self.default_revisions(),
            former_shares: self.route_shares.statement(now),
            ..Bulletin::default()
        };
        if self.uses_hubs() {
            return self.send_via_hubs(now, bulletin, effects);
        }
        match serde_json::to_vec(&bulletin) {
            Ok(payload) => self.publish(now, Topic::Count, payload, effects),
            Err(error) => {
                effects.push(Effect::Log(
                    Line::warn("bulletin_lost").with("error", error),
                ));
            }
        }
    }

    /// Publishes which requests this entry quarantines for crashing backend servers.
    fn publish_quarantine(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let digest = self.scheduler.digest(now);
        let quarantine = &digest.quarantine;
        if quarantine.items.is_empty()
            && quarantine.claims.is_empty()
            && quarantine.parts.is_empty()
        {
            return;
        }
        self.publish(
            now,
            Topic::Quarantine,
            wire::scheduler::encode(&digest),
            effects,
        );
    }

    /// Returns parts of prompts that were found sound a short time ago. Gossip of the whole evidence takes many seconds
    /// among many entries after a loss of many servers, while sound prompts are refused.
    fn cleared_parts(&self, now: Time) -> BTreeMap<u64, u64> {
        let cleared = self.scheduler.recently_cleared(now, CLEARED_WINDOW);
        let cleared = cleared.into_iter();
        cleared.map(|(part, age)| (part, age.as_millis())).collect()
    }

    fn handle_cleared_parts(
        &mut self,
        now: Time,
        cleared: &BTreeMap<u64, u64>,
        effects: &mut Vec<Effect>,
    ) {
        if cleared.is_empty() {
            return;
        }
        let cleared: Vec<(u64, Span)> = cleared
            .iter()
            .map(|(part, age)| (*part, Span::from_millis(*age)))
            .collect();
        self.with_scheduler(now, effects, |scheduler, out| {
            scheduler.absorb_cleared(now, &cleared, out);
        });
    }

    fn publish(&mut self, now: Time, topic: Topic, payload: Vec<u8>, effects: &mut Vec<Effect>) {
        self.item_version += 1;
        let item = Item {
            topic,
            key: format_smolstr!("{}", self.identity.incarnation),
            version: self.item_version,
            age_ms: 0,
            payload,
        };
        self.step_membership(now, MemberEvent::Publish(item), effects);
    }

    fn handle_bulletin(&mut self, now: Time, item: &Item, effects: &mut Vec<Effect>) {
        let mut bulletin: Bulletin = match serde_json::from_slice(&item.payload) {
            Ok(bulletin) => bulletin,
            Err(error) => {
                let line = Line::warn("bulletin_unreadable")
                    .with("peer", &item.key)
                    .with("error", error);
                return effects.push(Effect::Log(line));
            }
        };
        let name = item.key.split(PAST_SEPARATOR).next().unwrap_or_default();
        let Some(peer) = holder::Id::parse(name) else {
            return;
        };
        // A hub sends the counts of entries that have ended to other hubs only, and they bear no time.
        if bulletin.sums > 0 || bulletin.past {
            self.use_hubs(now, effects);
        }
        if bulletin.sums > 0 {
            // A sum for an earlier incarnation at this address contains our own counts: applied, they were
            // charged and reported twice for some seconds after each restart.
            if bulletin.without != Some(self.identity.incarnation.0) {
                return;
            }
        }
        let message = LastMessage {
            sent_at_ms: bulletin.sent_at_ms,
            received_at: now,
        };
        if self.uses_hubs() && !bulletin.past {
            self.hub.record_message(peer, message);
        }
        if bulletin.awaits_statements {
            self.releases.record_awaiting(peer, message);
        }
        self.handle_limit_reports(now, &bulletin.limits, effects);
        self.handle_cleared_parts(now, &bulletin.cleared, effects);
        self.absorb_paces(now, peer, &mut bulletin);
        self.route_shares.absorb(now, &bulletin.former_shares);
        self.handle_default_revisions(now, &bulletin.default_revisions);
        if bulletin.versions.is_some() {
            let age = Span::from_millis(item.age_ms);
            let me = self.identity.incarnation.0;
            let echo = bulletin.echoes.iter().find(|echo| echo.to == me);
            let made_after = echo.map(Echo::written_after);
            self.handle_statement(now, peer, age, made_after, &bulletin, effects);
        }
        match bulletin.sums {
            0 if self.uses_hubs() => self.handle_counts(now, peer, bulletin),
            0 => {
                self.quotas.absorb(now, peer.0, &bulletin.charged);
                self.usage.record_clock(now, peer, bulletin.unix_ms);
                self.apply_counts(now, peer, bulletin);
            }
            _ => self.handle_sum(now, peer, bulletin),
        }
    }

    /// Applies a hub's sum, which stands for all entries but this one and replaces their own reports.
    ///
    /// Only one hub is followed, the first on the roster while it sends. The sums of two hubs differ by what
    /// each hasn't received yet; applied alternately, they would charge that difference repeatedly.
    pub(crate) fn handle_sum(&mut self, now: Time, hub: holder::Id, mut sum: Bulletin) {
        // Usage is merged from both hubs: one may have received what the other has not.
        self.usage.absorb_sum(SUM_SENDER, &sum.begun);
        let first = self.roster.hubs().first() == Some(&hub);
        let (followed, last_sum_at) = self.hub.followed_hub.unwrap_or((hub, now));
        let is_silent = now.since(last_sum_at) >= self.settings.quota.peer_timeout;
        if followed != hub && !first && !is_silent {
            return;
        }
        let changed = self.hub.followed_hub.is_none() || followed != hub;
        if changed {
            // The first sum of another hub has no known relation to the last one of the hub followed before.
            self.peer_work.remove(&SUM_SENDER);
        }
        self.hub.followed_hub = Some((hub, now));
        self.hub.record_sum(sum.sums);
        self.absorb_speeds(now, hub, &mut sum);
        match changed {
            true => self
                .quotas
                .rebase(now, SUM_SENDER.0, &sum.charged, sum.sums),
            false => self
                .quotas
                .absorb_sum(now, SUM_SENDER.0, &sum.charged, sum.sums),
        }
        if hub != self.identity.incarnation {
            self.usage.follow_clock(now, sum.unix_ms);
        }
        self.apply_work(now, SUM_SENDER, sum);
    }

    fn apply_counts(&mut self, now: Time, peer: holder::Id, mut bulletin: Bulletin) {
        self.usage.absorb(peer, std::mem::take(&mut bulletin.begun));
        self.apply_work(now, peer, bulletin);
    }

    fn apply_work(&mut self, now: Time, peer: holder::Id, bulletin: Bulletin) {
        if let Some(before) = self.peer_work.get(&peer) {
            let reported_at = self.peer_loads.get(&peer).map(|load| load.reported_at);
            let elapsed =
                reported_at.map_or(self.failure_timeout(), |reported_at| now.since(reported_at));
            for (service, work) in &bulletin.work {
                let known = before.get(service).copied().unwrap_or_default();
                let rise = work.since(&known).net_tokens();
                self.demand.add_peer_tokens(service, rise, elapsed);
            }
        }
        let active = bulletin.active_entries();
        match bulletin.tallies.is_empty() {
            true => self.rollouts.peer_tallies.remove(&peer),
            false => self.rollouts.peer_tallies.insert(peer, bulletin.tallies),
        };
        self.peer_work.insert(peer, bulletin.work);
        self.plans.record(now, peer.0, bulletin.offered);
        let load = PeerLoad {
            reported_at: now,
            active,
            running: bulletin.running,
        };
        self.peer_loads.insert(peer, load);
        self.report_loads(now);
    }

    fn handle_quarantine(&mut self, now: Time, item: &Item, effects: &mut Vec<Effect>) {
        match wire::scheduler::decode(&item.payload) {
            Ok(digest) => {
                let peer = rendezvous::identity(&item.key);
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

    /// Returns the prompt speed of a service's replicas, as the median over all entries.
    pub(crate) fn replica_speed(&self, service: &SmolStr) -> f64 {
        let all = self.peer_work.values().chain([&self.work]);
        let speeds = all.filter_map(|work| Some(work.get(service)?.speed));
        // A sum holds the median of many entries, while the speed seen here alone may be far off.
        let summed = self
            .peer_work
            .get(&SUM_SENDER)
            .and_then(|work| work.get(service));
        let speed = summed.map(|work| work.speed).filter(|speed| *speed > 0.0);
        speed.unwrap_or_else(|| work::median_speed(speeds))
    }

    /// Returns the number of requests that all entries run at a backend server.
    pub(crate) fn running_requests(&self, key: replica::Key, incarnation: &str) -> u32 {
        let identity = rendezvous::identity(incarnation);
        let others = self.peer_loads.values();
        let others = others.filter_map(|load| load.running.get(&identity));
        let own = self
            .requests
            .values()
            .filter(|request| request.replica == Some(key));
        own.count() as u32 + others.sum::<u32>()
    }

    /// Reports the total load of each replica to the scheduler.
    fn report_loads(&mut self, now: Time) {
        let max_age = self.failure_timeout();
        self.peer_loads
            .retain(|_, load| now.since(load.reported_at) < max_age);
        let mut totals: BTreeMap<u64, u32> = BTreeMap::new();
        for load in self.peer_loads.values() {
            for (replica, count) in &load.running {
                *totals.entry(*replica).or_default() += count;
            }
        }
        for known in self.servers.iter() {
            let identity = rendezvous::identity(&known.server.incarnation);
            let others = totals.get(&identity).copied().unwrap_or(0);
            let own = self.requests.values();
            let own = own
                .filter(|request| request.replica == Some(known.key))
                .count() as u32;
            let report = replica::Report {
                running: (own + others).min(known.server.slots),
                waiting: (own + others).saturating_sub(known.server.slots),
                kv_used: 0.0,
                age: Span::ZERO,
            };
            self.scheduler.replica_reported(now, known.key, report);
        }
    }
}

/// Creates the membership state of an entry.
pub(crate) fn membership(identity: &Identity, settings: &Settings, seed: u64) -> Membership {
    let row = Row {
        id: identity.incarnation,
        zone: identity.zone.clone(),
        address: identity.caller_address.clone(),
        peer_address: identity.peer_address.clone(),
        ..Row::default()
    };
    Membership::new(row, settings.seeds.clone(), settings.members, seed)
}
