//! Handlers of the platform's readings: instances, notices, load and caches.

use clock::Time;
use policy::replica;
use policy::version;
use smol_str::SmolStr;

use crate::backends::Change;
use crate::backends::LISTED_LEAVE_TIME;
use crate::effect::Effect;
use crate::entry::Entry;
use crate::instance::CacheUpdate;
use crate::instance::Instance;
use crate::instance::Notice;
use crate::line::Line;

/// Assumed number of concurrent requests of a server until it reports its own.
pub(crate) const ASSUMED_SLOTS: u32 = 32;

impl Entry {
    /// Handles a reading of the instance list.
    pub(crate) fn instances_read(
        &mut self,
        now: Time,
        list: &[Instance],
        effects: &mut Vec<Effect>,
    ) {
        for change in self.backends.reconcile(now, list) {
            match change {
                Change::Joined(instance) => self.backend_joined(now, instance, effects),
                Change::Leaving(incarnation, deadline) => {
                    self.backend_leaving(now, &incarnation, deadline, effects);
                }
                Change::Lost(incarnation) => self.backend_lost(now, &incarnation, effects),
            }
        }
    }

    /// Handles reclaim notices; those of servers not listed yet are remembered as well.
    pub(crate) fn notices_read(
        &mut self,
        now: Time,
        notices: &[Notice],
        effects: &mut Vec<Effect>,
    ) {
        for notice in notices {
            let deadline = now + notice.time_left;
            if self.own_instance.as_ref() == Some(&notice.incarnation) {
                self.stop_by(now, deadline, effects);
                continue;
            }
            if self.backends.mark_leaving(notice.incarnation.clone()) {
                self.publish_leaving(now, &notice.incarnation, notice.time_left, effects);
            }
            // Repeated even if a peer or the list reported it first: they don't know the deadline.
            self.backend_leaving(now, &notice.incarnation, deadline, effects);
        }
        self.notices_refreshed(now, effects);
    }

    /// Handles the listing of this entry's own instance.
    pub(crate) fn own_instance_read(
        &mut self,
        now: Time,
        incarnation: SmolStr,
        leaving: bool,
        effects: &mut Vec<Effect>,
    ) {
        self.own_instance = Some(incarnation);
        if leaving {
            self.stop_by(now, now + LISTED_LEAVE_TIME, effects);
        }
    }

    /// Handles a server's load report.
    pub(crate) fn load_read(&mut self, now: Time, incarnation: &str, report: replica::Report) {
        if let Some(key) = self.backends.key_of(incarnation) {
            self.scheduler.replica_reported(now, key, report);
        }
    }

    /// Handles changes of an engine's prefix cache.
    pub(crate) fn cache_read(&mut self, now: Time, incarnation: &str, events: &[CacheUpdate]) {
        let Some(key) = self.backends.key_of(incarnation) else {
            return;
        };
        for event in events {
            self.scheduler.replica_cache_event(
                now,
                key,
                event.sequence,
                event.prefix,
                event.stored,
            );
        }
    }

    /// Adds a new server.
    fn backend_joined(&mut self, now: Time, instance: Instance, effects: &mut Vec<Effect>) {
        let spec = replica::Spec {
            incarnation: instance.incarnation.clone(),
            pool: self.catalog.intern_pool_key(&instance.pool),
            zone: instance.zone.clone(),
            version: version::Key::default(),
            slots: ASSUMED_SLOTS,
        };
        let line = Line::info("backend_joined")
            .with("replica", &instance.incarnation)
            .with("zone", &instance.zone)
            .with("pool", &instance.pool);
        effects.push(Effect::Log(line));
        // The resulting decisions need the server's address, so the server is added before they are
        // executed.
        let mut decisions = Vec::new();
        let key = self.scheduler.replica_joined(now, spec, &mut decisions);
        self.backends.add(key, instance);
        for decision in decisions {
            self.execute(now, decision, effects);
        }
    }

    /// Stops dispatching to a leaving server and moves its requests before the deadline.
    pub(crate) fn backend_leaving(
        &mut self,
        now: Time,
        incarnation: &str,
        deadline: Time,
        effects: &mut Vec<Effect>,
    ) {
        let Some(key) = self.backends.key_of(incarnation) else {
            return;
        };
        let line = Line::info("backend_leaving")
            .with("replica", incarnation)
            .with("left_ms", deadline.since(now).as_millis());
        effects.push(Effect::Log(line));
        self.with_scheduler(now, effects, |scheduler, out| {
            scheduler.replica_leaving(now, key, deadline, out);
        });
    }

    /// Removes a server that is no longer listed.
    fn backend_lost(&mut self, now: Time, incarnation: &str, effects: &mut Vec<Effect>) {
        if let Some(key) = self.backends.remove(incarnation) {
            let line = Line::info("backend_lost").with("replica", incarnation);
            effects.push(Effect::Log(line));
            self.scheduler.replica_lost(now, key);
        }
    }
}
