//! Backend servers by slot: model engines first, then plain services.

use clock::Span;
use clock::Time;
use entry::instance::Instance;
use policy::mix::Kind;
use policy::mix::Market;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::world::Occurrence;
use crate::world::World;
use crate::world::engine::Streams;
use crate::world::node::ZONES;

/// Pool of the model engines.
pub(crate) const MODEL_POOL: &str = "dossiers";

/// Pool of the plain services.
pub(crate) const SERVICE_POOL: &str = "records";

/// Delay after which the instance list shows a change.
pub(crate) const LIST_LAG: Span = Span::from_millis(2_000);

/// Time to start a new instance.
const START_TIME: Span = Span::from_millis(4_000);

/// One backend slot; its address stays, its instances change.
pub(crate) struct Backend {
    pub address: SmolStr,
    pub zone: &'static str,
    pub pool: &'static str,
    pub incarnation: SmolStr,
    starts: u32,
    pub alive: bool,
    pub started: Time,
    /// Times of the reclaim's announcement and of the reclaim itself.
    pub leaving: Option<(Time, Time)>,
    /// Ended instances, shown by the lagging list for a while.
    pub ended: Vec<(Time, Instance)>,
    pub streams: Streams,
}

impl World {
    /// Starts all backend servers.
    pub(crate) fn start_backends(&mut self) {
        let shape = self.shape;
        for slot in 0..shape.engines + shape.services {
            let pool = match slot < shape.engines {
                true => MODEL_POOL,
                false => SERVICE_POOL,
            };
            self.backends.push(Backend {
                address: format_smolstr!("backend:{slot}"),
                zone: ZONES[slot % ZONES.len()],
                pool,
                incarnation: format_smolstr!("i-{slot}.1"),
                starts: 1,
                alive: true,
                started: Time::ZERO,
                leaving: None,
                ended: Vec::new(),
                streams: Streams::new(),
            });
        }
    }

    /// Returns the slot of the live backend server at an address.
    pub(crate) fn backend_at(&self, address: &str) -> Option<usize> {
        self.backends
            .iter()
            .position(|backend| backend.alive && backend.address == address)
    }

    /// Ends a backend server, if it is still the given incarnation.
    pub(crate) fn end_backend(&mut self, slot: usize, incarnation: &str) {
        let now = self.now;
        let backend = &mut self.backends[slot];
        if !backend.alive || backend.incarnation != incarnation {
            return;
        }
        backend.alive = false;
        let last = instance_of(backend, true);
        backend.ended.push((now, last));
        self.end_streams(slot);
        self.after(START_TIME, Occurrence::BackendStarts(slot));
    }

    /// Starts a new instance in a slot, unless the cloud refuses.
    pub(crate) fn restart_backend(&mut self, slot: usize) {
        if self.refusing_instances {
            return self.after(START_TIME, Occurrence::BackendStarts(slot));
        }
        let now = self.now;
        let backend = &mut self.backends[slot];
        backend.starts += 1;
        backend.incarnation = format_smolstr!("i-{slot}.{}", backend.starts);
        backend.alive = true;
        backend.started = now;
        backend.leaving = None;
    }

    /// Returns the instance list as it is shown now; it lags.
    pub(crate) fn instance_list(&self, show_leaving: bool) -> Vec<Instance> {
        let mut list = Vec::new();
        for backend in &self.backends {
            let ended = backend.ended.iter();
            let still_listed = ended.filter(|(at, _)| self.now.since(*at) < LIST_LAG);
            list.extend(still_listed.map(|(_, instance)| instance.clone()));
            let first = backend.started == Time::ZERO;
            if backend.alive && (first || self.now.since(backend.started) >= LIST_LAG) {
                let listed = backend
                    .leaving
                    .is_some_and(|(at, _)| self.now.since(at) >= LIST_LAG);
                list.push(instance_of(backend, listed && show_leaving));
            }
        }
        list
    }
}

fn instance_of(backend: &Backend, leaving: bool) -> Instance {
    Instance {
        incarnation: backend.incarnation.clone(),
        address: backend.address.clone(),
        zone: SmolStr::new_static(backend.zone),
        pool: SmolStr::new_static(backend.pool),
        id: backend.incarnation.clone(),
        kind: Kind {
            zone: SmolStr::new_static(backend.zone),
            class: SmolStr::new_static("g4"),
            market: Market::Reclaimable,
        },
        hourly_micros: 0,
        leaving,
    }
}
