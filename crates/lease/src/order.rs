//! Orders from a leaseholder to engines: what to load and serve.
//!
//! Failure guarded against: an order of a former holder, paused or held up in the network, takes
//! effect after its successor's. It shows as an engine that serves the wrong model or is emptied in
//! the middle of its work. Engines that check fencing refuse it by its number. For engines that
//! ignore the number, orders name a whole target state and are read back; a new holder only reads
//! until every order of an old one has landed or is lost, so its own comes last; and an order that
//! takes away what an engine serves waits until the engine has been seen idle for a while. Whoever
//! wants that first stops sending it work, else it is never idle.

use std::collections::BTreeMap;

use clock::Time;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::configs::order::Settings;

/// What an engine is to serve, as a whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Base model; empty for nothing.
    pub model: SmolStr,
    /// Adapter; empty for none.
    pub adapter: SmolStr,
    /// Version of both together.
    pub version: SmolStr,
    /// What it does with them.
    pub role: SmolStr,
}

impl Target {
    /// Whether both hold the same model, adapter and version, whatever their role.
    pub fn has_same_model(&self, other: &Target) -> bool {
        self.model == other.model && self.adapter == other.adapter && self.version == other.version
    }
}

/// What happens to the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Wake,
    /// Our lease was gained under this fencing number.
    Gained(u64),
    /// Our lease is lost: no more orders.
    Lost,
    /// An engine is to serve this.
    Want {
        /// Its incarnation.
        engine: SmolStr,
        /// Whether it refuses orders with an old fencing number.
        checks_fencing: bool,
        /// What it is to serve.
        target: Target,
    },
    /// An engine is gone.
    Gone(SmolStr),
    /// An engine was read.
    Read {
        /// Its incarnation.
        engine: SmolStr,
        /// What it serves.
        target: Target,
        /// Requests running on it.
        running: u32,
    },
    /// An engine refused an order because it has seen a higher fencing number.
    Refused {
        /// Its incarnation.
        engine: SmolStr,
        /// The number it has seen.
        fence: u64,
    },
}

/// What the embedder is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send an order, if the lease is still valid as it leaves.
    Order {
        /// The engine's incarnation.
        engine: SmolStr,
        /// Our fencing number.
        fence: u64,
        /// What it is to serve.
        target: Target,
    },
    /// Read what an engine serves.
    Read(SmolStr),
    /// An engine has seen a higher number: our lease is not what we believe.
    Deposed(u64),
}

/// The state machine of one holder.
#[derive(Clone, Debug)]
pub struct Orders {
    settings: Settings,
    /// Our number and when we gained it.
    lease: Option<(u64, Time)>,
    engines: BTreeMap<SmolStr, Engine>,
}

/// One engine.
#[derive(Clone, Debug)]
struct Engine {
    checks_fencing: bool,
    wanted: Target,
    seen: Option<Seen>,
    next_read: Time,
    /// When an order was sent that was not yet read back.
    ordered: Option<Time>,
}

/// An engine as it was last read.
#[derive(Clone, Debug)]
struct Seen {
    target: Target,
    /// When that was.
    at: Time,
    /// Since when every read showed it idle, none of them long after the one before; none while it
    /// works. Between reads that lie far apart it may have worked.
    idle_since: Option<Time>,
}

impl Orders {
    /// No lease and no engines.
    pub fn new(settings: Settings) -> Orders {
        Orders {
            settings,
            lease: None,
            engines: BTreeMap::new(),
        }
    }

    /// Takes one event and appends what is to be done.
    pub fn step(&mut self, now: Time, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Wake => {}
            Event::Gained(fence) => self.gained(now, fence),
            Event::Lost => self.lease = None,
            Event::Want {
                engine,
                checks_fencing,
                target,
            } => self.want(now, engine, checks_fencing, target),
            Event::Gone(engine) => {
                self.engines.remove(&engine);
            }
            Event::Read {
                engine,
                target,
                running,
            } => self.was_read(now, &engine, target, running),
            Event::Refused { fence, .. } => self.refused(fence, effects),
        }
        self.act(now, effects);
    }

    /// When [`Event::Wake`] is wanted next.
    pub fn next_wake(&self) -> Option<Time> {
        self.lease?;
        self.engines.values().map(|engine| engine.next_read).min()
    }

    /// Whether an engine was read back as wanted.
    pub fn is_settled(&self, engine: &str) -> bool {
        self.engines.get(engine).is_some_and(Engine::is_as_wanted)
    }

    /// What was seen under an earlier lease may have been changed since: all engines are read anew.
    fn gained(&mut self, now: Time, fence: u64) {
        self.lease = Some((fence, now));
        for engine in self.engines.values_mut() {
            engine.seen = None;
            engine.ordered = None;
            engine.next_read = now;
        }
    }

    fn want(&mut self, now: Time, engine: SmolStr, checks_fencing: bool, target: Target) {
        let engine = self.engines.entry(engine).or_insert(Engine {
            checks_fencing,
            wanted: Target::default(),
            seen: None,
            next_read: now,
            ordered: None,
        });
        engine.checks_fencing = checks_fencing;
        if engine.wanted != target {
            engine.wanted = target;
            engine.next_read = engine.next_read.min(now);
        }
    }

    fn was_read(&mut self, now: Time, engine: &str, target: Target, running: u32) {
        let Some(engine) = self.engines.get_mut(engine) else {
            return;
        };
        let idle_before = engine
            .seen
            .as_ref()
            .filter(|seen| now.since(seen.at) <= self.settings.max_read_gap())
            .and_then(|seen| seen.idle_since);
        let idle_since = (running == 0).then(|| idle_before.unwrap_or(now));
        engine.seen = Some(Seen {
            target,
            at: now,
            idle_since,
        });
        if engine.is_as_wanted() {
            engine.ordered = None;
        }
    }

    fn refused(&mut self, fence: u64, effects: &mut Vec<Effect>) {
        if self.lease.is_some_and(|(ours, _)| ours < fence) {
            self.lease = None;
            effects.push(Effect::Deposed(fence));
        }
    }

    fn act(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let Some((fence, gained)) = self.lease else {
            return;
        };
        for (name, engine) in &mut self.engines {
            let foreign = !engine.checks_fencing && now < gained + self.settings.max_delivery_time;
            if !foreign && engine.may_order(now, &self.settings) {
                engine.ordered = Some(now);
                engine.next_read = now + self.settings.read_interval;
                effects.push(Effect::Order {
                    engine: name.clone(),
                    fence,
                    target: engine.wanted.clone(),
                });
            }
            if now >= engine.next_read {
                let settled = engine.is_as_wanted() && !foreign;
                let wait = if settled {
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
    fn is_as_wanted(&self) -> bool {
        self.seen
            .as_ref()
            .is_some_and(|seen| seen.target == self.wanted)
    }

    /// Whether an order is due: the engine is not as wanted, no order is on its way, and nothing in
    /// progress would be taken away.
    fn may_order(&self, now: Time, settings: &Settings) -> bool {
        let Some(seen) = &self.seen else {
            return false;
        };
        if seen.target == self.wanted {
            return false;
        }
        if self
            .ordered
            .is_some_and(|at| now < at + settings.max_delivery_time)
        {
            return false;
        }
        // A change of role alone takes nothing away: what runs goes on.
        let destructive =
            !seen.target.model.is_empty() && !seen.target.has_same_model(&self.wanted);
        let fresh = now.since(seen.at) <= settings.max_read_gap();
        let quiet = seen
            .idle_since
            .is_some_and(|since| now >= since + settings.min_idle_time);
        !destructive || (fresh && quiet)
    }
}
