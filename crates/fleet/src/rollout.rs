//! Takes a change of model over the engines, a part of them at a time.
//!
//! Guards against a change that cuts streams or takes the whole pool out at once. An engine first gets
//! the role `drain`: it refuses new requests in its protocol, which entries take elsewhere, and goes
//! on with its streams. Once it is seen idle it is ordered to load the new target and to serve.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use lease::order::Target;
use smol_str::SmolStr;

/// Role of an engine that takes requests.
pub const SERVE_ROLE: &str = "serve";

/// Role of an engine that takes no new requests.
pub const DRAIN_ROLE: &str = "drain";

/// Which engines are where in a change.
#[derive(Clone, Debug, Default)]
pub struct Rollout {
    /// What each engine was last seen to serve, and what runs there.
    seen: BTreeMap<SmolStr, (Target, u32)>,
    /// Engines taken out of use for the change.
    out: BTreeSet<SmolStr>,
}

impl Rollout {
    /// Notes what an engine serves.
    pub fn record_engine(&mut self, engine: SmolStr, target: Target, running: u32) {
        self.seen.insert(engine, (target, running));
    }

    /// Forgets engines that are no longer listed.
    pub fn retain(&mut self, listed: impl Fn(&str) -> bool) {
        self.seen.retain(|engine, _| listed(engine));
        self.out.retain(|engine| listed(engine));
    }

    /// What each engine is to be now on the way to `wanted`; at most `most_out` are out of use.
    pub fn plan(&mut self, wanted: &Target, most_out: usize) -> Vec<(SmolStr, Target)> {
        let seen = &self.seen;
        self.out
            .retain(|engine| seen.get(engine).is_some_and(|(target, _)| target != wanted));
        let waiting: Vec<SmolStr> = self
            .seen
            .iter()
            .filter(|(engine, (target, _))| {
                !self.out.contains(*engine) && is_in_the_way(target, wanted)
            })
            .map(|(engine, _)| engine.clone())
            .collect();
        let free = most_out.max(1).saturating_sub(self.out.len());
        self.out.extend(waiting.into_iter().take(free));
        self.seen
            .iter()
            .map(|(engine, (target, running))| {
                let step = self.step(engine, target, *running, wanted);
                (engine.clone(), step)
            })
            .collect()
    }

    /// What one engine is to be next.
    fn step(&self, engine: &str, target: &Target, running: u32, wanted: &Target) -> Target {
        if target == wanted || !is_in_the_way(target, wanted) {
            return wanted.clone();
        }
        if !self.out.contains(engine) {
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

/// Whether the engine serves something else, so that a change takes away what it has.
fn is_in_the_way(target: &Target, wanted: &Target) -> bool {
    !target.model.is_empty() && !target.has_same_model(wanted)
}
