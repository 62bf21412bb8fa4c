//! Orders from a leaseholder to engines: what to load and serve.
//!
//! Guards against an order of a former holder, paused or delayed in the network, that takes effect after
//! its successor's. The engine then serves the wrong model or is unloaded while it works. Engines that
//! check fencing numbers refuse such an order. For engines that don't, three rules apply. An order names a
//! complete target state and is verified by reading it back. A new holder only reads until every order of a
//! former holder has arrived or is lost, so its own order comes last. An order that unloads a model waits
//! until the engine has been idle for a while; the caller must first stop sending it requests, else it
//! never becomes idle.

use std::collections::BTreeMap;

use clock::Time;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::configs::order::Settings;

/// Complete state that an engine is to reach.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Base model; empty for none.
    pub model: SmolStr,
    /// Adapter; empty for none.
    pub adapter: SmolStr,
    /// Version of the model and adapter together.
    pub version: SmolStr,
    /// Role in which the engine serves them.
    pub role: SmolStr,
}

impl Target {
    /// Returns whether both name the same model, adapter and version, whatever their roles.
    pub fn has_same_model(&self, other: &Target) -> bool {
        self.model == other.model && self.adapter == other.adapter && self.version == other.version
    }
}

/// Input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Wake,
    /// This process gained the lease under this fencing number.
    Gained(u64),
    /// This process lost the lease and sends no more orders.
    Lost,
    /// Sets the target of an engine.
    Want {
        /// Incarnation of the engine.
        engine: SmolStr,
        /// Whether it refuses orders with an old fencing number.
        checks_fencing: bool,
        /// State that it is to reach.
        target: Target,
    },
    /// An engine no longer exists.
    Gone(SmolStr),
    /// The state of an engine was read.
    Read {
        /// Incarnation of the engine.
        engine: SmolStr,
        /// State that it reports.
        target: Target,
        /// Number of requests running on it.
        running: u32,
    },
    /// An engine refused an order because it has seen a higher fencing number.
    Refused {
        /// Incarnation of the engine.
        engine: SmolStr,
        /// Fencing number that the engine has seen.
        fence: u64,
    },
}

/// Action that the embedder must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send an order if the lease is still valid when it leaves.
    Order {
        /// Incarnation of the engine.
        engine: SmolStr,
        /// Fencing number of the order.
        fence: u64,
        /// State that it is to reach.
        target: Target,
    },
    /// Read the state of an engine.
    Read(SmolStr),
    /// An engine has seen this higher fencing number, so another process holds the lease.
    Deposed(u64),
}

/// Brings engines to their targets while the lease is held.
#[derive(Clone, Debug)]
pub struct Orders {
    settings: Settings,
    /// Fencing number of the held lease and the time at which it was gained.
    lease: Option<(u64, Time)>,
    engines: BTreeMap<SmolStr, Engine>,
}

/// Target and last known state of one engine.
#[derive(Clone, Debug)]
struct Engine {
    checks_fencing: bool,
    wanted: Target,
    last_reading: Option<Reading>,
    next_read: Time,
    /// Time at which an order was sent that no read has confirmed yet.
    ordered_at: Option<Time>,
}

/// State of an engine at its last read.
#[derive(Clone, Debug)]
struct Reading {
    target: Target,
    /// Time of the read.
    read_at: Time,
    /// Start of an unbroken series of reads that showed it idle; `None` while requests run. Reads that are
    /// far apart break the series, because the engine may have worked in between.
    idle_since: Option<Time>,
}

impl Orders {
    /// Creates a state machine without a lease and without engines.
    pub fn new(settings: Settings) -> Orders {
        Orders {
            settings,
            lease: None,
            engines: BTreeMap::new(),
        }
    }

    /// Handles one event and appends the resulting effects.
    pub fn step(&mut self, now: Time, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Wake => {}
            Event::Gained(fence) => self.handle_gain(now, fence),
            Event::Lost => self.lease = None,
            Event::Want {
                engine,
                checks_fencing,
                target,
            } => self.set_target(now, engine, checks_fencing, target),
            Event::Gone(engine) => {
                self.engines.remove(&engine);
            }
            Event::Read {
                engine,
                target,
                running,
            } => self.record_read(now, &engine, target, running),
            Event::Refused { fence, .. } => self.handle_refusal(fence, effects),
        }
        self.send_due(now, effects);
    }

    /// Returns when [`Event::Wake`] is due.
    pub fn next_wake(&self) -> Option<Time> {
        self.lease?;
        self.engines.values().map(|engine| engine.next_read).min()
    }

    /// Returns whether a read has confirmed that the engine reached its target.
    pub fn is_settled(&self, engine: &str) -> bool {
        self.engines.get(engine).is_some_and(Engine::is_settled)
    }

    /// Discards what was read under an earlier lease, since it may have changed, and reads all engines again.
    fn handle_gain(&mut self, now: Time, fence: u64) {
        self.lease = Some((fence, now));
        for engine in self.engines.values_mut() {
            engine.last_reading = None;
            engine.ordered_at = None;
            engine.next_read = now;
        }
    }

    fn set_target(&mut self, now: Time, engine: SmolStr, checks_fencing: bool, target: Target) {
        let engine = self.engines.entry(engine).or_insert(Engine {
            checks_fencing,
            wanted: Target::default(),
            last_reading: None,
            next_read: now,
            ordered_at: None,
        });
        engine.checks_fencing = checks_fencing;
        if engine.wanted != target {
            engine.wanted = target;
            engine.next_read = engine.next_read.min(now);
        }
    }

    fn record_read(&mut self, now: Time, engine: &str, target: Target, running: u32) {
        let Some(engine) = self.engines.get_mut(engine) else {
            return;
        };
        let idle_before = engine
            .last_reading
            .as_ref()
            .filter(|reading| now.since(reading.read_at) <= self.settings.max_read_gap())
            .and_then(|reading| reading.idle_since);
        let idle_since = (running == 0).then(|| idle_before.unwrap_or(now));
        engine.last_reading = Some(Reading {
            target,
            read_at: now,
            idle_since,
        });
        if engine.is_settled() {
            engine.ordered_at = None;
        }
    }

    fn handle_refusal(&mut self, fence: u64, effects: &mut Vec<Effect>) {
        if self.lease.is_some_and(|(own, _)| own < fence) {
            self.lease = None;
            effects.push(Effect::Deposed(fence));
        }
    }

    /// Sends the orders and reads that are due.
    fn send_due(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let Some((fence, gained_at)) = self.lease else {
            return;
        };
        for (name, engine) in &mut self.engines {
            let may_be_overwritten =
                !engine.checks_fencing && now < gained_at + self.settings.max_delivery_time;
            if !may_be_overwritten && engine.is_order_due(now, &self.settings) {
                engine.ordered_at = Some(now);
                engine.next_read = now + self.settings.read_interval;
                effects.push(Effect::Order {
                    engine: name.clone(),
                    fence,
                    target: engine.wanted.clone(),
                });
            }
            if now >= engine.next_read {
                let is_settled = engine.is_settled() && !may_be_overwritten;
                let wait = if is_settled {
                    self.settings.settled_read_interval
                } else {
                    self.settings.read_interval
                };
                engine.next_read = now + wait;
                effects.push(Effect::Read(name.clone()));
            }
        }
    }
}

impl Engine {
    fn is_settled(&self) -> bool {
        self.last_reading
            .as_ref()
            .is_some_and(|reading| reading.target == self.wanted)
    }

    /// Returns whether an order is due: the engine has not reached its target, no order is in flight, and no
    /// running request would be interrupted.
    fn is_order_due(&self, now: Time, settings: &Settings) -> bool {
        let Some(reading) = &self.last_reading else {
            return false;
        };
        if reading.target == self.wanted {
            return false;
        }
        if self
            .ordered_at
            .is_some_and(|sent| now < sent + settings.max_delivery_time)
        {
            return false;
        }
        // A change of role alone unloads nothing, so running requests continue.
        let is_destructive =
            !reading.target.model.is_empty() && !reading.target.has_same_model(&self.wanted);
        let is_recent = now.since(reading.read_at) <= settings.max_read_gap();
        let is_idle = reading
            .idle_since
            .is_some_and(|since| now >= since + settings.min_idle_time);
        !is_destructive || (is_recent && is_idle)
    }
}
