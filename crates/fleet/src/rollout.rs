//! Rolls out a change of model over the engines, a limited number at a time.
//!
//! Guards against a change that cuts streams or takes the whole pool out of service. An engine first gets the
//! role `drain`: it refuses new requests, which entries send elsewhere, and finishes its streams. Once it
//! is idle it is ordered to load the new model and to serve.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use lease::order::Target;
use smol_str::SmolStr;

/// Role of an engine that accepts requests.
pub const SERVE_ROLE: &str = "serve";

/// Role of an engine that refuses new requests.
pub const DRAIN_ROLE: &str = "drain";

/// Progress of a rollout over the engines.
#[derive(Clone, Debug, Default)]
pub struct Rollout {
    /// Target and number of running requests of each engine at its last read.
    last_readings: BTreeMap<SmolStr, (Target, u32)>,
    /// Engines taken out of service by the rollout.
    unavailable: BTreeSet<SmolStr>,
}

impl Rollout {
    /// Records what an engine serves.
    pub fn record_engine(&mut self, engine: SmolStr, target: Target, running: u32) {
        self.last_readings.insert(engine, (target, running));
    }

    /// Removes engines that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.last_readings.retain(|engine, _| is_listed(engine));
        self.unavailable.retain(|engine| is_listed(engine));
    }

    /// Returns the next target of each engine towards `wanted`, with at most `max_unavailable` out of
    /// service.
    pub fn plan(&mut self, wanted: &Target, max_unavailable: usize) -> Vec<(SmolStr, Target)> {
        let readings = &self.last_readings;
        self.unavailable.retain(|engine| {
            readings
                .get(engine)
                .is_some_and(|(target, _)| target != wanted)
        });
        let waiting: Vec<SmolStr> = self
            .last_readings
            .iter()
            .filter(|(engine, (target, _))| {
                !self.unavailable.contains(*engine) && needs_unload(target, wanted)
            })
            .map(|(engine, _)| engine.clone())
            .collect();
        let available = max_unavailable
            .max(1)
            .saturating_sub(self.unavailable.len());
        self.unavailable.extend(waiting.into_iter().take(available));
        self.last_readings
            .iter()
            .map(|(engine, (target, running))| {
                let next = self.next_target(engine, target, *running, wanted);
                (engine.clone(), next)
            })
            .collect()
    }

    /// Returns the next target of one engine.
    fn next_target(&self, engine: &str, target: &Target, running: u32, wanted: &Target) -> Target {
        if target == wanted || !needs_unload(target, wanted) {
            return wanted.clone();
        }
        if !self.unavailable.contains(engine) {
            return target.clone();
        }
        if target.role == DRAIN_ROLE && running == 0 {
            return wanted.clone();
        }
        Target {
            role: SmolStr::new_static(DRAIN_ROLE),
            ..target.clone()
        }
    }
}

/// Returns whether `wanted` requires the engine to unload the model that it serves.
fn needs_unload(target: &Target, wanted: &Target) -> bool {
    !target.model.is_empty() && !target.has_same_model(wanted)
}
