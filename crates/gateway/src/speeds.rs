//! Exchange of the replicas' relative speeds ([`policy::speed`]) among entries.
//!
//! Each bulletin holds the sender's samples since its last one. Entries that exchange counts directly merge the
//! samples of all others. With hubs, the hubs merge them and add the resulting speeds to some of their sums: one
//! entry of many sees too few answers of a replica to tell its speed.
//!
//! A lost message loses samples of all replicas alike. Duplicates are dropped by the version of the item. If no hub
//! sends speeds, the last ones expire, and the entry uses what its own samples tell.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use clock::Span;
use clock::Time;
use lease::holder;
use line::Line;
use policy::rendezvous;
use policy::speed::MEDIAN;
use smol_str::SmolStr;

use crate::bulletin::Bulletin;
use crate::effect::Effect;
use crate::gateway::Gateway;

/// Time between two sums with speeds: 93 speeds are 2.5 KB.
const PUBLICATION_INTERVAL: Span = Span::from_millis(2_000);
/// The same while a speed differs from the published one: all entries must know a speed within 2 s of the answer
/// that shows it, and samples take up to half a second to the hub.
const CHANGE_INTERVAL: Span = Span::from_millis(1_000);
/// Difference between speeds, in parts of the lower one, that is a change.
const CHANGE: f64 = 0.15;
/// How long a hub goes on to send that no replica differs from the median. Then it omits the speeds.
const EVEN_PUBLICATIONS: Span = Span::from_seconds(10);
/// Least time between two log lines on one replica, whose speed may change between two classes often.
const LOG_INTERVAL: Span = Span::from_seconds(10);
/// Speed of a replica that isn't listed, in percent.
const MEDIAN_PERCENT: u16 = 100;

/// What this entry published and logged.
#[derive(Debug, Default)]
pub(crate) struct Speeds {
    /// The speeds in the last sum that held any, and when it was sent.
    published: Option<(Time, BTreeMap<u64, u16>)>,
    /// When a replica last differed from the median.
    uneven_at: Option<Time>,
    /// Logged class of each replica, and when it was logged.
    classes: BTreeMap<u64, (Class, Time)>,
}

/// Class of a replica's speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Class {
    Slow,
    Median,
    Fast,
}

impl Class {
    fn of(speed: f64) -> Class {
        match speed {
            speed if speed < MEDIAN => Class::Slow,
            speed if speed > MEDIAN => Class::Fast,
            _ => Class::Median,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Class::Slow => "slow",
            Class::Median => "median",
            Class::Fast => "fast",
        }
    }
}

/// Number of replicas by class of their speed, and the age of the speeds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Summary {
    pub slow: u64,
    pub median: u64,
    pub fast: u64,
    /// Time since a hub's speeds arrived or, without them, since the last sample.
    pub age: Span,
}

impl Gateway {
    /// Returns the speed of a backend server relative to the median of its service; 1 while it isn't known.
    pub fn relative_speed(&self, incarnation: &str) -> f64 {
        let identity = rendezvous::identity(incarnation);
        self.scheduler.speeds().relative(identity)
    }

    /// Merges the samples that another entry sent.
    pub(crate) fn absorb_paces(&mut self, now: Time, from: holder::Id, bulletin: &mut Bulletin) {
        let paces = std::mem::take(&mut bulletin.paces);
        if from != self.identity.incarnation {
            self.scheduler.absorb_paces(now, &paces);
        }
    }

    /// Applies the speeds of the hub that this entry follows.
    ///
    /// Hubs merge the samples of all entries themselves. If they used each other's speeds, a speed without samples
    /// would return from hub to hub and never expire.
    pub(crate) fn absorb_speeds(&mut self, now: Time, hub: holder::Id, sum: &mut Bulletin) {
        let me = self.identity.incarnation;
        if let Some(speeds) = sum.speeds.take()
            && hub != me
            && !self.hub.is_hub(me)
        {
            self.scheduler.absorb_speeds(now, &speeds);
        }
    }

    /// Returns the speeds for this entry's sums, as a hub, if they are due.
    pub(crate) fn due_speeds(&mut self, now: Time) -> Option<BTreeMap<u64, u16>> {
        let speeds = self.scheduler.publish_speeds(now);
        if !speeds.is_empty() {
            self.speeds.uneven_at = Some(now);
        }
        let uneven_at = self.speeds.uneven_at?;
        if now.since(uneven_at) > EVEN_PUBLICATIONS {
            return None;
        }
        if let Some((at, before)) = &self.speeds.published {
            let interval = match has_changed(before, &speeds) {
                true => CHANGE_INTERVAL,
                false => PUBLICATION_INTERVAL,
            };
            if now.since(*at) < interval {
                return None;
            }
        }
        self.speeds.published = Some((now, speeds.clone()));
        Some(speeds)
    }

    /// Logs the replicas whose class of speed changed.
    pub(crate) fn speeds_tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let table = self.scheduler.speeds();
        let known: BTreeMap<u64, f64> = table.speeds().collect();
        self.speeds
            .classes
            .retain(|identity, _| known.contains_key(identity));
        for (identity, speed) in known {
            let class = Class::of(speed);
            let (logged, may_log) = match self.speeds.classes.get(&identity) {
                Some((logged, at)) => (*logged, now.since(*at) >= LOG_INTERVAL),
                None => (Class::Median, true),
            };
            if class == logged || !may_log {
                continue;
            }
            self.speeds.classes.insert(identity, (class, now));
            let replica = self.servers.incarnation_of_hash(identity);
            let line = Line::info("replica_speeds")
                .with("replica", replica.unwrap_or_default())
                .with("class", SmolStr::new_static(class.name()))
                .with("speed", format!("{speed:.2}"))
                .with("samples", table.answers(identity));
            effects.push(Effect::Log(line));
        }
    }

    /// Summarizes the speeds of the replicas for metrics.
    pub(crate) fn speed_summary(&self, now: Time) -> Summary {
        let table = self.scheduler.speeds();
        let known_at = table.published_at().or(table.sampled_at());
        let mut summary = Summary {
            age: known_at.map_or(Span::ZERO, |at| now.since(at)),
            ..Summary::default()
        };
        for (_, speed) in table.speeds() {
            let count = match Class::of(speed) {
                Class::Slow => &mut summary.slow,
                Class::Median => &mut summary.median,
                Class::Fast => &mut summary.fast,
            };
            *count += 1;
        }
        summary
    }
}

/// Returns whether a speed differs from the one published before.
fn has_changed(before: &BTreeMap<u64, u16>, speeds: &BTreeMap<u64, u16>) -> bool {
    let all: BTreeSet<&u64> = before.keys().chain(speeds.keys()).collect();
    all.into_iter().any(|identity| {
        let percent = |of: &BTreeMap<u64, u16>| {
            f64::from(of.get(identity).copied().unwrap_or(MEDIAN_PERCENT).max(1))
        };
        let (one, other) = (percent(before), percent(speeds));
        one.max(other) / one.min(other) > 1.0 + CHANGE
    })
}
