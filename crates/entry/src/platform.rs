//! What the platform says of backend servers.

use clock::Time;
use policy::replica;
use smol_str::SmolStr;

use crate::backends::Change;
use crate::backends::LISTED_LEAVE_TIME;
use crate::effect::Effect;
use crate::entry::Entry;
use crate::instance::CacheUpdate;
use crate::instance::Instance;
use crate::instance::Notice;
use crate::line::Line;

/// Requests that a server is taken to run at once until its own reports say more.
pub(crate) const ASSUMED_SLOTS: u32 = 32;

impl Entry {
    /// Takes in a reading of the instance list.
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

    /// Takes in reclaim notices. A notice of a server not seen yet is remembered as well.
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
            // Told again even if a peer or the list said so before: they don't know the deadline.
            self.backend_leaving(now, &notice.incarnation, deadline, effects);
        }
        self.notices_refreshed(now, effects);
    }

    /// Takes in what the list says of our own instance.
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

    /// Takes in a load report.
    pub(crate) fn load_read(&mut self, now: Time, incarnation: &str, report: replica::Report) {
        if let Some(key) = self.backends.key_of(incarnation) {
            self.scheduler.replica_reported(now, key, report);
        }
    }

    /// Takes in what an engine's cache holds.
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

    /// A new server may be used.
    fn backend_joined(&mut self, now: Time, instance: Instance, effects: &mut Vec<Effect>) {
        let spec = replica::Spec {
            incarnation: instance.incarnation.clone(),
            pool: self.catalog.intern_pool_key(&instance.pool),
            zone: instance.zone.clone(),
            slots: ASSUMED_SLOTS,
        };
        let line = Line::info("backend_joined")
            .with("replica", &instance.incarnation)
            .with("zone", &instance.zone)
            .with("pool", &instance.pool);
        effects.push(Effect::Log(line));
        // The decisions that follow from the new server need its address, so they are carried out
        // after it is known here.
        let mut decisions = Vec::new();
        let key = self.scheduler.replica_joined(now, spec, &mut decisions);
        self.backends.add(key, instance);
        for decision in decisions {
            self.execute(now, decision, effects);
        }
    }

    /// A server gets no new work; what runs there is moved in time.
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

    /// A server is gone from the list.
    fn backend_lost(&mut self, now: Time, incarnation: &str, effects: &mut Vec<Effect>) {
        if let Some(key) = self.backends.remove(incarnation) {
            let line = Line::info("backend_lost").with("replica", incarnation);
            effects.push(Effect::Log(line));
            self.scheduler.replica_lost(now, key);
        }
    }
}
