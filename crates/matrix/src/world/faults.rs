//! Injects faults and recovers from them.

use clock::Span;
use store::fake::Fault as StoreFault;

use crate::fault::Fault;
use crate::history::Cause;
use crate::world::Bug;
use crate::world::Occurrence;
use crate::world::Recovery;
use crate::world::World;
use crate::world::callers::Response;
use crate::world::input::Input;

impl World {
    /// Injects a fault now.
    pub(crate) fn inject(&mut self, fault: Fault) {
        self.extend_faults(Span::ZERO);
        match fault {
            Fault::KillEntry(slot) => self.kill_entry(slot),
            Fault::Freeze(slot, span) => {
                if let Some(node) = self.slots.get(slot).copied() {
                    self.extend_faults(span);
                    self.freeze(node, span);
                }
            }
            Fault::CutPeers(from, to, span) => {
                self.lost_links.insert((from, to));
                self.recover_after(span, Recovery::Link(from, to));
            }
            Fault::SlowPeers(slot, span) => {
                self.slow_slots.insert(slot);
                self.recover_after(span, Recovery::SlowPeers(slot));
            }
            Fault::BreakEngines(slot) => {
                if let Some(node) = self.slots.get(slot).copied() {
                    self.break_readers_of(node);
                }
            }
            Fault::BreakCallers(slot) => self.break_callers(slot),
            Fault::LoseServiceAnswers(count) => self.lose_service_answers += count,
            Fault::RefuseStarts(count) => self.refuse_starts += count,
            Fault::StoreDown(span) => {
                self.store.table.set_down(true);
                self.recover_after(span, Recovery::StoreUp);
            }
            Fault::StoreSlow(span) => {
                self.store.slow = true;
                self.recover_after(span, Recovery::StoreFast);
            }
            Fault::LoseStoreAnswers(count) => self.push_store_faults(count, StoreFault::LostAnswer),
            Fault::LoseStoreCalls(count) => self.push_store_faults(count, StoreFault::LostCall),
            Fault::Reclaim(slot, time_left) => {
                self.extend_faults(time_left);
                self.reclaim_backend(slot, time_left);
            }
            Fault::ReclaimZone(zone, time_left) => self.reclaim_zone(zone, time_left),
            Fault::ReclaimEntry(slot, time_left) => {
                self.extend_faults(time_left);
                self.reclaim_entry(slot, time_left);
            }
            Fault::StopEntry(slot) if self.bug == Bug::StopImmediately => {
                if let Some(node) = self.slots.get(slot).copied() {
                    self.end_entry(node, Cause::Exit);
                    self.schedule_entry_start(slot);
                }
            }
            Fault::StopEntry(slot) => self.stop_entry(slot),
            Fault::KillBackend(slot) => {
                if let Some(backend) = self.backends.get(slot) {
                    let incarnation = backend.incarnation.clone();
                    self.end_backend(slot, &incarnation);
                }
            }
            Fault::RefuseInstances(span) => {
                self.refusing_instances = true;
                self.recover_after(span, Recovery::Instances);
            }
            Fault::RaceOperators => self.race_operators(),
            Fault::KillerRequest => self.send_killer_request(),
        }
    }

    /// Ends a lasting fault.
    pub(crate) fn recover(&mut self, recovery: Recovery) {
        match recovery {
            Recovery::Link(from, to) => {
                self.lost_links.remove(&(from, to));
            }
            Recovery::SlowPeers(slot) => {
                self.slow_slots.remove(&slot);
            }
            Recovery::StoreUp => self.store.table.set_down(false),
            Recovery::StoreFast => self.store.slow = false,
            Recovery::Instances => self.refusing_instances = false,
        }
    }

    fn recover_after(&mut self, span: Span, recovery: Recovery) {
        self.extend_faults(span);
        self.after(span, Occurrence::Recover(recovery));
    }

    /// Extends the time until which faults last.
    fn extend_faults(&mut self, span: Span) {
        self.faults_end = self.faults_end.max(self.now + span);
    }

    fn kill_entry(&mut self, slot: usize) {
        let Some(node) = self.slots.get(slot).copied() else {
            return;
        };
        if self.nodes[node].alive {
            self.end_entry(node, Cause::Kill);
            self.schedule_entry_start(slot);
        }
    }

    fn reclaim_zone(&mut self, zone: usize, time_left: Span) {
        self.extend_faults(time_left);
        let zones = crate::world::node::ZONES.len();
        for slot in (0..self.backends.len()).filter(|slot| slot % zones == zone) {
            self.reclaim_backend(slot, time_left);
        }
        for slot in (0..self.slots.len()).filter(|slot| slot % zones == zone) {
            self.reclaim_entry(slot, time_left);
        }
    }

    /// Breaks the callers' connections to an entry; the entry notices it a little later than they do.
    fn break_callers(&mut self, slot: usize) {
        let Some(node) = self.slots.get(slot).copied() else {
            return;
        };
        let flights = self.nodes[node].flights.values();
        let try_ids: Vec<_> = flights.map(|flight| flight.try_id()).collect();
        for try_id in try_ids {
            self.send_to_caller(try_id, Response::Disconnected(Cause::Link));
            let later = Span::from_millis(self.random_below(300));
            self.after(
                later,
                Occurrence::Input(node, Input::Disconnected { try_id }),
            );
        }
    }
}
