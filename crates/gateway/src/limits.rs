//! Limits that backend servers in need name in their answers.

use std::collections::BTreeMap;

use clock::Time;
use line::Line;
use policy::pace::Rate;
use smol_str::SmolStr;

use crate::effect::Effect;
use crate::gateway::Gateway;

/// What servers said last, by incarnation.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    named: BTreeMap<SmolStr, Rate>,
}

impl Gateway {
    /// A server said in an answer how many requests it takes from all entries together.
    pub(crate) fn limit_named(
        &mut self,
        _now: Time,
        incarnation: &SmolStr,
        rate: Option<Rate>,
        effects: &mut Vec<Effect>,
    ) {
        let before = match rate {
            Some(rate) => self.limits.named.insert(incarnation.clone(), rate),
            None => self.limits.named.remove(incarnation),
        };
        if before == rate {
            return;
        }
        let rate = rate.map_or_else(String::new, |rate| format!("{}", rate.in_seconds()));
        let line = Line::info("server_limit")
            .with("replica", incarnation)
            .with("per_second", rate);
        effects.push(Effect::Log(line));
    }
}
