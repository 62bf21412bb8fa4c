//! The state of one entry and its transition on each event.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use burn::collector::Collector;
use clock::Time;
use config::agreement::Agreement;
use lease::holder;
use member::membership::Membership;
use ops::Journal;
use policy::decision::Decision;
use policy::mix::Offer;
use policy::scheduler::Scheduler;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use request::ledger::Ledger;
use smol_str::SmolStr;
use store::throttle::Throttle;

use crate::accounting;
use crate::backends::Backends;
use crate::catalog::Catalog;
use crate::catch_up::CatchUp;
use crate::configs::entry::Settings;
use crate::configuration;
use crate::effect::Effect;
use crate::event::Event;
use crate::flight::Flight;
use crate::identity::Identity;
use crate::leaders::Leaders;
use crate::members;
use crate::permits::Signers;
use crate::stop::Stop;
use crate::store_calls::Waiter;

/// The reducer's state.
pub struct Entry {
    pub(crate) identity: Identity,
    pub(crate) settings: Settings,
    pub(crate) random: Pcg64Mcg,
    pub(crate) signers: Signers,
    pub(crate) catalog: Catalog,
    pub(crate) backends: Backends,
    pub(crate) scheduler: Scheduler,
    /// Open requests by serial.
    pub(crate) flights: BTreeMap<u64, Flight>,
    /// Requests that wait for a permit; may include requests that no longer do, until the next tick.
    pub(crate) awaiting_permit: BTreeSet<u64>,
    pub(crate) ledger: Ledger,
    pub(crate) agreement: Agreement,
    pub(crate) membership: Membership,
    /// Time of the next scheduler digest.
    pub(crate) next_digest: Time,
    /// Version of the last published scheduler digest.
    pub(crate) digest_version: u64,
    pub(crate) stop: Stop,
    pub(crate) catch_up: CatchUp,
    /// Incarnation of the instance that this entry runs on.
    pub(crate) own_instance: Option<SmolStr>,
    pub(crate) leaders: Leaders,
    /// Latest prices.
    pub(crate) offers: Vec<Offer>,
    pub(crate) collector: Collector,
    pub(crate) journal: Journal,
    /// Whether the last call to the table service was answered.
    pub(crate) store_available: bool,
    /// Id of the next call to the table service.
    pub(crate) next_store_call: u64,
    /// Queued calls to the table service, rate limited to this entry's share.
    pub(crate) throttle: Throttle<store::call::Id>,
    /// Calls rejected because the queue was full.
    pub(crate) rejected_store_calls: Vec<store::call::Id>,
    /// Recipients of the answers to pending calls to the table service.
    pub(crate) store_calls: BTreeMap<store::call::Id, Waiter>,
}

/// Gauges of an entry, for metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stats {
    /// Number of open requests.
    pub open_requests: u64,
    /// Configuration version in force.
    pub version: u64,
    /// Number of known entries, including this one.
    pub members: u64,
    /// Number of known backend servers.
    pub backends: u64,
    /// Whether requests are admitted.
    pub ready: bool,
    /// Whether the last call to the table service was answered.
    pub store_available: bool,
}

impl Entry {
    /// Returns an entry in its initial state.
    ///
    /// `shared_key` is the key that all entries share to sign tickets and resume tokens; `seed`
    /// seeds every random choice.
    pub fn new(identity: Identity, settings: Settings, shared_key: &str, seed: u64) -> Entry {
        let me = holder::Id(identity.incarnation.0);
        let seeds = settings.seeds.clone();
        let store_settings = settings.store;
        Entry {
            ledger: Ledger::new(identity.incarnation),
            agreement: configuration::agreement(me, settings.agreement, seed),
            membership: members::membership(&identity, seeds, settings.members, seed),
            leaders: Leaders::default(),
            offers: Vec::new(),
            collector: accounting::collector(&identity, settings.zero_unix_ms),
            journal: Journal::new(identity.name.clone()),
            store_available: true,
            next_digest: Time::ZERO,
            digest_version: 0,
            identity,
            settings,
            random: Pcg64Mcg::seed_from_u64(seed),
            signers: Signers::new(shared_key),
            catalog: Catalog::default(),
            backends: Backends::default(),
            scheduler: Scheduler::new(seed),
            flights: BTreeMap::new(),
            awaiting_permit: BTreeSet::new(),
            stop: Stop::default(),
            catch_up: CatchUp::default(),
            own_instance: None,
            next_store_call: 0,
            throttle: Throttle::new(store_settings),
            rejected_store_calls: Vec::new(),
            store_calls: BTreeMap::new(),
        }
    }

    /// Processes one event and appends the resulting effects.
    pub fn step(&mut self, now: Time, event: Event, effects: &mut Vec<Effect>) {
        let before = effects.len();
        self.detect_pause(now, effects);
        self.dispatch(now, event, effects);
        self.make_store_calls(now, effects);
        self.journal_lines(now, &effects[before..]);
    }

    /// Dispatches an event to its handlers.
    fn dispatch(&mut self, now: Time, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Arrived { serial, arrival } => {
                self.request_arrived(now, serial, arrival, effects)
            }
            Event::CallerDisconnected { serial } => self.caller_gone(now, serial, effects),
            Event::CancelRequested { call, key, request } => {
                self.cancel_requested(now, call, key, &request, effects)
            }
            Event::AddressesRequested { call, key, prefix } => {
                self.addresses_requested(now, call, key, prefix, effects);
            }
            Event::Attempt {
                serial,
                attempt,
                report,
            } => self.attempt_reported(now, serial, attempt, report, effects),
            Event::InstancesRead(list) => {
                self.instances_read(now, &list, effects);
                self.update_leader_instances(now, &list, effects);
            }
            Event::PricesRead(offers) => {
                self.update_leader_prices(now, &offers, effects);
                self.offers = offers;
            }
            Event::Fleet { deployment, event } => {
                self.step_leader(now, &deployment, event, effects);
            }
            Event::OwnInstanceRead {
                incarnation,
                leaving,
            } => self.own_instance_read(now, incarnation, leaving, effects),
            Event::EntriesRead(addresses) => {
                self.step_membership(
                    now,
                    member::event::Event::InstancesListed(addresses),
                    effects,
                );
            }
            Event::NoticesRead(notices) => self.notices_read(now, &notices, effects),
            Event::LoadRead {
                incarnation,
                report,
            } => {
                self.load_read(now, &incarnation, report);
                let requests = report.running + report.waiting;
                self.update_leader_load(now, &incarnation, requests, effects);
            }
            Event::CacheRead {
                incarnation,
                events,
            } => self.cache_read(now, &incarnation, &events),
            Event::Store { id, outcome } => self.store_answered(now, id, outcome, effects),
            Event::Operator { call, request } => self.operator_called(now, call, request, effects),
            Event::SpendRequested { call, ticket } => {
                self.spend_requested(now, call, &ticket, effects)
            }
            Event::SpendAnswered { serial, answer } => {
                self.spend_answered(now, serial, answer, effects);
            }
            Event::EstatesOffered { call, estates } => {
                self.estates_offered(now, call, estates, effects);
            }
            Event::EstatesAccepted { heir } => self.estates_accepted(now, heir, effects),
            Event::DigestReceived(digest) => {
                self.step_membership(now, member::event::Event::Digest(digest), effects);
            }
            Event::ConfigureReceived { from, message } => {
                self.configure_received(now, from.0, message, effects);
            }
            Event::Tick => self.tick(now, effects),
            Event::StopRequested { immediate } => self.stop_requested(now, immediate, effects),
        }
    }

    /// Returns whether this entry admits requests.
    pub fn is_ready(&self, now: Time) -> bool {
        self.agreement.admits(now) && !self.stop.is_stopping()
    }

    /// Returns the gauges for metrics.
    pub fn stats(&self, now: Time) -> Stats {
        Stats {
            open_requests: self.flights.len() as u64,
            version: self.catalog.version(),
            members: self.membership.directory().present_count() as u64,
            backends: self.backends.iter().count() as u64,
            ready: self.is_ready(now),
            store_available: self.store_available,
        }
    }

    /// Advances every component to `now`.
    fn tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.members_tick(now, effects);
        self.configuration_tick(now, effects);
        self.leaders_tick(now, effects);
        self.permits_tick(now, effects);
        self.catch_up_tick(now, effects);
        self.flights_tick(now, effects);
        self.with_scheduler(now, effects, |scheduler, out| scheduler.poll(now, out));
        self.accounting_tick(now, effects);
        self.stop_tick(now, effects);
    }

    /// Calls the scheduler and executes its decisions.
    pub(crate) fn with_scheduler<T>(
        &mut self,
        now: Time,
        effects: &mut Vec<Effect>,
        call: impl FnOnce(&mut Scheduler, &mut Vec<Decision>) -> T,
    ) -> T {
        let mut decisions = Vec::new();
        let result = call(&mut self.scheduler, &mut decisions);
        for decision in decisions {
            self.execute(now, decision, effects);
        }
        result
    }
}
