//! Replicas: load reports, cache events, faults, joining and leaving.

use clock::Span;
use clock::Time;
use policy::job;
use policy::pool;
use policy::replica;
use policy::version;
use rand::RngExt;

use crate::support::engine::CacheEvent;
use crate::support::engine::Engine;
use crate::support::engine::Health;
use crate::support::load::Fault;
use crate::support::world::Event;
use crate::support::world::World;

impl World {
    pub(super) fn send_reports(&mut self) {
        for place in 0..self.places.len() {
            let engine = self.places[place];
            if matches!(self.engines[engine].health, Health::Dead | Health::Frozen) {
                continue;
            }
            let (running, waiting) = self.engines[engine].load();
            for entry in 0..self.entries.len() {
                if self.random.random::<f64>() < self.pattern.reports.loss {
                    continue;
                }
                let report = replica::Report {
                    running: running as u32,
                    waiting: waiting as u32,
                    kv_used: running as f64 / self.pattern.shape.slots as f64,
                    age: Span::from_millis(self.pattern.reports.lag_ms),
                };
                self.schedule_after(
                    self.pattern.reports.lag_ms,
                    Event::Report(entry, engine, report),
                );
            }
        }
        self.schedule_after(self.pattern.reports.period_ms, Event::SendReports);
    }

    pub(super) fn deliver_report(&mut self, entry: usize, engine: usize, report: replica::Report) {
        let Some(key) = self.keys_by_engine[entry].get(&engine).copied() else {
            return;
        };
        self.call_policy(entry, |policy, now, _| {
            policy.handle_report(now, key, report)
        });
    }

    /// Sends the cache events to every entry, except those lost in transit.
    pub(super) fn send_cache_events(&mut self) {
        let Some(reports) = self.pattern.cache_events else {
            return;
        };
        for engine in 0..self.engines.len() {
            for event in self.engines[engine].take_events() {
                for entry in 0..self.entries.len() {
                    if self.cache_random.random::<f64>() >= reports.loss {
                        self.schedule_after(
                            reports.lag_ms,
                            Event::CacheUpdate(entry, engine, event),
                        );
                    }
                }
            }
        }
        self.schedule_after(reports.period_ms, Event::SendCacheEvents);
    }

    pub(super) fn deliver_cache_event(&mut self, entry: usize, engine: usize, event: CacheEvent) {
        let Some(key) = self.keys_by_engine[entry].get(&engine).copied() else {
            return;
        };
        self.call_policy(entry, |policy, now, _| {
            policy.handle_cache_event(now, key, &event)
        });
    }

    pub(super) fn apply_fault(&mut self, index: usize) {
        match self.pattern.faults[index].1.clone() {
            Fault::Health(place, health) => {
                let engine = self.places[place];
                self.engines[engine].health = health;
                self.begin_step(engine);
            }
            Fault::Kill(place) => self.kill(self.places[place]),
            Fault::Restart(place) => self.restart(place),
            Fault::ReclaimZone(zone, notice) => self.reclaim(zone, notice),
            Fault::LoseZone(zone) => {
                for place in self.in_zone(zone) {
                    self.kill(self.places[place]);
                }
            }
            Fault::EndEntries(entries, spread_ms) => self.end_entries(entries, spread_ms),
            Fault::ReturnZone(zone) => {
                for place in self.in_zone(zone) {
                    self.restart(place);
                }
            }
        }
    }

    pub(super) fn in_zone(&self, zone: usize) -> Vec<usize> {
        (0..self.places.len())
            .filter(|place| place % self.pattern.zones == zone)
            .collect()
    }

    pub(super) fn reclaim(&mut self, zone: usize, notice_ms: u64) {
        let deadline = Time::from_millis(self.now_ms + notice_ms);
        for place in self.in_zone(zone) {
            let engine = self.places[place];
            for entry in 0..self.entries.len() {
                let key = self.keys_by_engine[entry][&engine];
                self.call_policy(entry, |policy, now, out| {
                    policy.handle_notice(now, key, deadline, out)
                });
            }
            self.schedule_after(notice_ms, Event::Reclaimed(engine));
        }
    }

    pub(super) fn kill(&mut self, engine: usize) {
        if self.engines[engine].health == Health::Dead {
            return;
        }
        let lost = self.engines[engine].crash();
        if let Some(since) = self.live_since[engine].take() {
            self.record_lifetime(since);
        }
        for sequence in lost {
            self.record_lost(&sequence);
            self.schedule_after(
                1,
                Event::Ended(
                    sequence.entry,
                    sequence.id,
                    job::End::Crashed,
                    sequence.generated,
                ),
            );
        }
        for entry in 0..self.entries.len() {
            if let Some(key) = self.keys_by_engine[entry].remove(&engine) {
                self.call_policy(entry, |policy, now, _| policy.remove_replica(now, key));
            }
        }
        let Some(ms) = self.pattern.restart_ms else {
            return;
        };
        if let Some(place) = self.places.iter().position(|occupant| *occupant == engine) {
            self.schedule_after(ms, Event::Restart(place));
        }
    }

    pub(super) fn restart(&mut self, place: usize) {
        if self.engines[self.places[place]].health == Health::Dead {
            self.add_replica(place);
        }
    }

    pub(super) fn add_replica(&mut self, place: usize) {
        let engine = self.engines.len();
        let mut new_engine = Engine::new(self.pattern.shape.clone());
        new_engine.killers.insert(0);
        self.engines.push(new_engine);
        self.live_since.push(Some(self.now_ms));
        self.places[place] = engine;
        self.zones.push(place % self.pattern.zones);
        for entry in 0..self.entries.len() {
            let spec = replica::Spec {
                incarnation: format!("r{engine}").into(),
                pool: pool::Key(0),
                zone: format!("zone-{}", self.zones[engine]).into(),
                version: version::Key::default(),
                slots: self.pattern.shape.slots as u32,
            };
            let now = self.now();
            let mut out = Vec::new();
            let key = self.entries[entry].add_replica(now, spec, &mut out);
            self.keys_by_engine[entry].insert(engine, key);
            self.engines_by_key[entry].insert(key, engine);
            for decision in out {
                self.execute(entry, decision);
            }
            self.schedule_wake(entry);
        }
    }

    pub(super) fn record_lifetime(&mut self, since: u64) {
        let end = self.now_ms.min(self.pattern.seconds * 1_000);
        self.tally.replica_seconds += end.saturating_sub(since) as f64 / 1_000.0;
    }
}
