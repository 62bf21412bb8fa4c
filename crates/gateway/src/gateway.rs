//! The state of one entry and the function that advances it by one event.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

use bytes::Bytes;
use clock::Time;
use lease::holder;
use line::Line;
use member::membership::Membership;
use policy::account;
use policy::charge::Charges;
use policy::decision::Decision;
use policy::pool;
use policy::proxy::Candidate;
use policy::quota::Quotas;
use policy::scheduler::Scheduler;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use role::roster::Roster;
use smol_str::SmolStr;
use store::call;
use store::health::Health;
use store::throttle::Throttle;
use watch::watch::Watch;

use crate::catalog::Catalog;
use crate::configs::gateway::Settings;
use crate::durations::Durations;
use crate::duties;
use crate::duties::Duties;
use crate::effect::Effect;
use crate::event::Event;
use crate::fleet::Fleet;
use crate::following::Following;
use crate::hubs::Hub;
use crate::identity::Identity;
use crate::lagging::Lagging;
use crate::limits::Limits;
use crate::notice::Pauses;
use crate::peers;
use crate::peers::PeerLoad;
use crate::plan::Plans;
use crate::releases::Releases;
use crate::request::Request;
use crate::restarts::Restarts;
use crate::rollouts::Rollouts;
use crate::route_shares;
use crate::servers::Servers;
use crate::speeds::Speeds;
use crate::stop::Stop;
use crate::store_calls::Waiter;
use crate::streams::Streams;
use crate::usage::Usage;
use crate::versions::Versions;
use crate::work::Demand;
use crate::work::Work;

/// The state of one entry.
pub struct Gateway {
    pub(crate) identity: Identity,
    pub(crate) settings: Settings,
    pub(crate) random: Pcg64Mcg,
    /// The newest configuration known to this process; its version never decreases.
    pub(crate) catalog: Option<Rc<Catalog>>,
    /// When the list of servers was first read.
    pub(crate) servers_known_since: Time,
    /// When `catalog` took effect.
    pub(crate) configured_since: Time,
    /// The document that `catalog` was parsed from.
    pub(crate) document: Bytes,
    pub(crate) scheduler: Scheduler,
    pub(crate) quotas: Quotas,
    /// Charges awaiting the decision of another entry.
    pub(crate) charges: Charges,
    /// The entries that act as hubs, readers of the server list and homes of quotas.
    pub(crate) roster: Roster,
    pub(crate) servers: Servers,
    /// Rate limits that backend servers set in their answers.
    pub(crate) limits: Limits,
    /// Pauses that backend servers asked for.
    pub(crate) pauses: Pauses,
    /// Since when this entry reaches no backend server.
    pub(crate) isolated_since: Option<Time>,
    /// Entries through which servers are reached that can't be reached directly.
    pub(crate) proxies: Vec<Candidate>,
    /// Connections to servers that this entry opened for peers.
    pub(crate) tunnels: usize,
    /// The scheduler pool of each backend server, by incarnation.
    pub(crate) replica_pools: BTreeMap<SmolStr, SmolStr>,
    pub(crate) rollouts: Rollouts,
    /// Software versions of the services' replicas.
    pub(crate) versions: Versions,
    /// What all entries know of them.
    pub(crate) releases: Releases,
    /// Which version began each stream.
    pub(crate) streams: Streams,
    /// The list of servers as rows, and the reports on it.
    pub(crate) watch: Watch,
    /// Whether this entry reads the list of servers itself.
    pub(crate) following: Following,
    /// How long answers took, by route.
    pub(crate) durations: Durations,
    /// Open requests by serial number.
    pub(crate) requests: BTreeMap<u64, Request>,
    /// Deadlines of all open requests.
    pub(crate) timeouts: BTreeSet<(Time, u64)>,
    /// The scheduler's keys of accounts by name; an account keeps its key across versions.
    pub(crate) accounts: BTreeMap<SmolStr, account::Key>,
    /// The scheduler's keys of pools by name.
    pub(crate) pools: BTreeMap<SmolStr, pool::Key>,
    pub(crate) membership: Membership,
    /// Number of full reads of the member list since the start.
    pub(crate) member_reads: usize,
    /// Peers whose configuration is older than this entry's.
    pub(crate) lagging: Lagging,
    /// Requests that started to run, by window and account.
    pub(crate) usage: Usage,
    /// Work that arrived at this entry, by service.
    pub(crate) work: BTreeMap<SmolStr, Work>,
    /// Work that arrived at peers. Lost peers are kept, so that the sum doesn't decrease.
    pub(crate) peer_work: BTreeMap<holder::Id, BTreeMap<SmolStr, Work>>,
    /// Published and logged speeds of the replicas.
    pub(crate) speeds: Speeds,
    /// Rates of offered work, and which part of it is admitted.
    pub(crate) plans: Plans,
    /// State of the exchange of counts by hubs.
    pub(crate) hub: Hub,
    /// Arrival rate of work over all entries.
    pub(crate) demand: Demand,
    /// The lease on the duties and what its holder does.
    pub(crate) duties: Duties,
    /// Running requests that peers report, by hash of the server's incarnation, and when they reported them.
    pub(crate) peer_loads: BTreeMap<holder::Id, PeerLoad>,
    /// When the next bulletin is sent.
    pub(crate) next_bulletin: Time,
    /// When the quarantine is next published even if it hasn't changed.
    pub(crate) next_quarantine: Time,
    /// Version of the last item sent; receivers order items by it.
    pub(crate) item_version: u64,
    /// The shutdown, once it was requested.
    pub(crate) stop: Option<Stop>,

    /// Whether the table service answers.
    pub(crate) store_health: Health,
    /// When a call of the table service last failed.
    pub(crate) store_failed_at: Option<Time>,
    /// Whether reading the list of servers has failed since the last successful read.
    pub(crate) list_unavailable: bool,
    /// Servers that may have been restarted meanwhile.
    pub(crate) restarts: Restarts,
    /// Shares of routes before the present ones.
    pub(crate) route_shares: route_shares::History,
    /// Newest known era of the table service.
    pub(crate) store_era: Option<u64>,
    /// Id of the next call of the table service.
    pub(crate) next_store_call: u64,
    /// Calls waiting for this entry's share of the table service's rate.
    pub(crate) throttle: Throttle<call::Id>,
    /// Calls rejected because the queue was full.
    pub(crate) store_rejected: Vec<call::Id>,
    /// Who awaits the outcome of each call of the table service.
    pub(crate) store_calls: BTreeMap<call::Id, Waiter>,
}

/// Snapshot of an entry's state for metrics and readiness checks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Open requests.
    pub open_requests: u64,
    /// Version of the configuration in force; 0 while there is none.
    pub version: u64,
    /// Known entries, including this one.
    pub members: u64,
    /// Known backend servers.
    pub servers: u64,
    /// Revision up to which the list of servers is known.
    pub list_revision: u64,
    /// Milliseconds since the table service confirmed that revision to this entry or a peer.
    pub list_age_ms: u64,
    /// Whether the entry accepts callers.
    pub ready: bool,
    /// Whether a stop was requested.
    pub stopping: bool,
    /// Milliseconds since the configuration took effect.
    pub version_age_ms: u64,
    /// Servers that are leaving but still present.
    pub leaving: u64,
    /// Servers whose rows are missing.
    pub missing: u64,
    /// Servers that asked this entry for a pause.
    pub paused: u64,
    /// Whether this entry reaches no server.
    pub isolated: bool,
    /// Queued requests.
    pub waiting: u64,
    /// Retries left in the budgets of all services.
    pub repeats_left: u64,
    /// Fencing number of the duties' lease; 0 unless this entry holds it.
    pub fence: u64,
    /// Servers slower than the median of their service.
    pub slow: u64,
    /// Servers of about its speed, or of unknown speed.
    pub median: u64,
    /// Servers faster than it.
    pub fast: u64,
    /// Milliseconds since a hub's speeds arrived or, without them, since the last sample.
    pub speeds_age_ms: u64,
    /// Work offered to all entries, in prompt tokens per second, of services with a known capacity.
    pub plan_offered: u64,
    /// Work that their replicas start in time, in prompt tokens per second.
    pub plan_room: u64,
    /// Milliseconds since the newest rates of other entries arrived.
    pub plan_age_ms: u64,
}

impl Gateway {
    /// Creates an entry without any knowledge of its surroundings; `seed` feeds every random choice.
    pub fn new(identity: Identity, settings: Settings, seed: u64) -> Gateway {
        let scheduler = Scheduler::with_settings(seed, settings.scheduler);
        Gateway {
            membership: peers::membership(&identity, &settings, seed),
            quotas: Quotas::new(settings.quota, settings.entries),
            charges: Charges::new(settings.charge, identity.incarnation.0),
            roster: Roster::default(),
            throttle: Throttle::new(settings.store),
            servers: Servers::default(),
            limits: Limits::default(),
            pauses: Pauses::default(),
            isolated_since: None,
            proxies: Vec::new(),
            tunnels: 0,
            replica_pools: BTreeMap::new(),
            rollouts: Rollouts::default(),
            versions: Versions::default(),
            releases: Releases::default(),
            streams: Streams::default(),
            watch: Watch::new(settings.watch, identity.incarnation.0),
            following: Following::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            catalog: None,
            servers_known_since: Time::ZERO,
            configured_since: Time::ZERO,
            document: Bytes::new(),
            scheduler,
            durations: Durations::default(),
            requests: BTreeMap::new(),
            timeouts: BTreeSet::new(),
            accounts: BTreeMap::new(),
            pools: BTreeMap::new(),
            member_reads: 0,
            lagging: Lagging::default(),
            usage: Usage::new(settings.usage_window.as_millis(), settings.zero_unix_ms),
            work: BTreeMap::new(),
            peer_work: BTreeMap::new(),
            speeds: Speeds::default(),
            plans: Plans::default(),
            hub: Hub::default(),
            demand: Demand::default(),
            duties: Duties::new(
                duties::new_claim(identity.incarnation, settings.lease, seed),
                Fleet::new(settings.cover),
            ),
            peer_loads: BTreeMap::new(),
            next_bulletin: Time::ZERO,
            next_quarantine: Time::ZERO,
            item_version: 0,
            stop: None,
            store_health: Health::default(),
            store_failed_at: None,
            list_unavailable: false,
            restarts: Restarts::default(),
            route_shares: route_shares::History::default(),
            store_era: None,
            next_store_call: 0,
            store_rejected: Vec::new(),
            store_calls: BTreeMap::new(),
            identity,
            settings,
        }
    }

    /// Applies one event and appends the resulting effects.
    pub fn step(&mut self, now: Time, event: Event, effects: &mut Vec<Effect>) {
        self.dispatch(now, event, effects);
        self.write_records(now);
        self.dispatch_store_calls(now, effects);
    }

    /// Passes an event to its handler.
    fn dispatch(&mut self, now: Time, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Arrived { serial, arrival } => {
                self.handle_arrival(now, serial, &arrival, effects)
            }
            Event::CallerDisconnected { serial } => self.handle_disconnect(now, serial, effects),
            Event::Attempt {
                serial,
                attempt,
                report,
            } => self.handle_attempt_report(now, serial, attempt, report, effects),
            Event::LimitReported { incarnation, limit } => {
                self.handle_limit(now, &incarnation, limit, effects);
            }
            Event::NoticeReceived {
                incarnation,
                notice,
            } => self.handle_notice(now, &incarnation, notice, effects),
            Event::IsolationChanged {
                isolated,
                unreachable,
            } => self.handle_isolation_change(now, isolated, unreachable, effects),
            Event::TunnelsChanged { open } => self.tunnels = open,
            Event::AddressesRequested { requester, zone } => {
                self.answer_addresses(now, requester, zone.as_deref(), effects);
            }
            Event::Configured {
                catalog,
                document,
                source,
            } => self.apply_configuration(now, catalog, document, source, effects),
            Event::RolloutOrdered(order) => self.handle_rollout_order(now, order, effects),
            Event::RolloutWithdrawn(service) => self.withdraw_rollout(now, &service, effects),
            Event::RolloutsKnown(services) => self.retain_rollouts(now, &services, effects),
            Event::Servers {
                reading,
                requested_at,
            } => self.handle_list_read(now, reading, requested_at, effects),
            Event::ServersLost => self.handle_list_failure(now, effects),
            Event::Store { id, outcome } => self.handle_store_outcome(now, id, outcome, effects),
            Event::DutyAnswered { id, outcome } => {
                self.handle_duty_answer(now, id, outcome, effects)
            }
            Event::ChargeRequested { requester, charge } => {
                self.handle_charge_request(now, requester, charge, effects);
            }
            Event::ChargeAnswered {
                serial,
                charge,
                home,
                answer,
            } => self.handle_charge_answer(now, serial, charge, home, answer, effects),
            Event::Refunded { bucket, cost } => self.quotas.refund(bucket, cost),
            Event::DigestReceived(digest) => {
                self.step_membership(now, member::event::Event::Digest(digest), effects);
            }
            Event::Tick => self.tick(now, effects),
            Event::SettingsRead(settings) => self.apply_settings(now, *settings, effects),
            Event::StopRequested { since } => self.begin_stop(now, since, effects),
        }
    }

    /// Whether the entry accepts callers.
    pub fn is_ready(&self) -> bool {
        self.catalog.is_some() && self.stop.is_none()
    }

    /// Returns the limits on the size and number of callers' requests.
    pub fn limits(&self) -> crate::catalog::Limits {
        let catalog = self.catalog.as_ref();
        catalog.map_or_else(Default::default, |catalog| catalog.limits.clone())
    }

    /// Returns a snapshot for metrics and readiness checks.
    pub fn status(&self, now: Time) -> Status {
        let pools = || self.pools.values();
        let waiting: usize = pools().map(|pool| self.scheduler.waiting(*pool)).sum();
        let repeats: f64 = pools().map(|pool| self.scheduler.retries_left(*pool)).sum();
        let speeds = self.speed_summary(now);
        let plan = self.plan_summary(now);
        Status {
            slow: speeds.slow,
            median: speeds.median,
            fast: speeds.fast,
            speeds_age_ms: speeds.age.as_millis(),
            plan_offered: plan.offered,
            plan_room: plan.room,
            plan_age_ms: plan.age.as_millis(),
            version_age_ms: now.since(self.configured_since).as_millis(),
            leaving: self.servers.leaving_count() as u64,
            missing: self.servers.missing().len() as u64,
            paused: self.pauses.active_count(now) as u64,
            isolated: self.isolated_since.is_some(),
            waiting: waiting as u64,
            repeats_left: repeats.max(0.0) as u64,
            fence: self.lease(now).map_or(0, |lease| lease.fence),
            open_requests: self.requests.len() as u64,
            version: self.catalog.as_ref().map_or(0, |catalog| catalog.version),
            members: self.membership.directory().present_count() as u64,
            servers: self.servers.count() as u64,
            list_revision: self.servers.position().revision,
            list_age_ms: now.since(self.servers.position().confirmed_at).as_millis(),
            ready: self.is_ready(),
            stopping: self.stop.is_some(),
        }
    }

    /// Returns when [`Event::Tick`] is next needed.
    pub fn next_wake(&self, now: Time) -> Time {
        let timeout = self.timeouts.first().map(|(at, _)| *at);
        let wakes = [
            Some(self.membership.next_wake()),
            Some(self.next_bulletin),
            Some(self.duties.next_wake(now)),
            self.scheduler.next_wake(),
            self.charges.next_wake(),
            timeout,
            self.lagging.next_wake(),
            self.servers.next_wake(),
            self.next_following_tick(),
            self.throttle.next_wake(now),
            self.streams.next_wake(),
            self.next_stop_wake(now),
        ];
        let first = wakes.into_iter().flatten().min();
        first.unwrap_or(now)
    }

    /// Applies those settings that may change at run time. Leases and membership keep their terms, which
    /// other entries rely on.
    fn apply_settings(&mut self, now: Time, settings: Settings, effects: &mut Vec<Effect>) {
        let line = Line::info("reloaded")
            .with("seeds", settings.seeds.len())
            .with("entries", settings.entries)
            .with("grace_ms", settings.grace.as_millis());
        effects.push(Effect::Log(line));
        self.membership.set_seeds(settings.seeds.clone());
        let known = self.entry_count();
        self.quotas.set_entries(now, settings.entries.max(known));
        self.settings.seeds = settings.seeds;
        self.settings.entries = settings.entries;
        self.settings.address_ttl = settings.address_ttl;
        self.settings.grace = settings.grace;
    }

    /// Advances all parts to the time `now`.
    fn tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.peers_tick(now, effects);
        self.remove_missing_if_trusted(now, effects);
        self.following_tick(now, effects);
        self.restarts_tick(now, effects);
        self.charges_tick(now, effects);
        self.versions_tick(now, effects);
        self.streams_tick(now, effects);
        self.timeouts_tick(now, effects);
        self.with_scheduler(now, effects, |scheduler, out| scheduler.poll(now, out));
        self.log_part_changes(effects);
        self.duties_tick(now, effects);
        self.stop_tick(now, effects);
    }

    /// Calls the scheduler and carries out its decisions.
    pub(crate) fn with_scheduler<T>(
        &mut self,
        now: Time,
        effects: &mut Vec<Effect>,
        call: impl FnOnce(&mut Scheduler, &mut Vec<Decision>) -> T,
    ) -> T {
        let mut decisions = Vec::new();
        let result = call(&mut self.scheduler, &mut decisions);
        for decision in decisions {
            self.apply_decision(now, decision, effects);
        }
        result
    }
}
