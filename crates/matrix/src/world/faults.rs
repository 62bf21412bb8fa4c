//! Injects faults and recovers from them.

use clock::Span;
use store::fake::Fault as StoreFault;

use crate::fault::Fault;
use crate::history::Cause;
use crate::world::Bug;
use crate::world::Happening;
use crate::world::Healing;
use crate::world::World;
use crate::world::callers::CallerWord;
use crate::world::input::Input;

impl World {
    /// Injects a fault now.
    pub(crate) fn strike(&mut self, fault: Fault) {
        self.last_until(Span::ZERO);
        match fault {
            Fault::KillEntry(slot) => self.kill_entry(slot),
            Fault::Freeze(slot, span) => {
                if let Some(node) = self.slots.get(slot).copied() {
                    self.last_until(span);
                    self.freeze(node, span);
                }
            }
            Fault::CutPeers(from, to, span) => {
                self.cut.insert((from, to));
                self.heal_after(span, Healing::Link(from, to));
            }
            Fault::SlowPeers(slot, span) => {
                self.slow.insert(slot);
                self.heal_after(span, Healing::SlowPeers(slot));
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
                self.heal_after(span, Healing::StoreUp);
            }
            Fault::StoreSlow(span) => {
                self.store.slow = true;
                self.heal_after(span, Healing::StoreFast);
            }
            Fault::LoseStoreAnswers(count) => self.store_faults(count, StoreFault::LostAnswer),
            Fault::LoseStoreCalls(count) => self.store_faults(count, StoreFault::LostCall),
            Fault::Reclaim(slot, left) => {
                self.last_until(left);
                self.reclaim_backend(slot, left);
            }
            Fault::ReclaimZone(zone, left) => self.reclaim_zone(zone, left),
            Fault::ReclaimEntry(slot, left) => {
                self.last_until(left);
                self.reclaim_entry(slot, left);
            }
            Fault::StopEntry(slot) if self.bug == Bug::StopAtOnce => {
                if let Some(node) = self.slots.get(slot).copied() {
                    self.end_entry(node, Cause::Exit);
                    self.entry_replaced(slot);
                }
            }
            Fault::StopEntry(slot) => self.stop_entry(slot),
            Fault::KillBackend(slot) => {
                if let Some(backend) = self.backends.get(slot) {
                    let incarnation = backend.incarnation.clone();
                    self.backend_dies(slot, &incarnation);
                }
            }
            Fault::RefuseInstances(span) => {
                self.refusing_instances = true;
                self.heal_after(span, Healing::Instances);
            }
            Fault::RaceOperators => self.race_operators(),
            Fault::KillerRequest => self.add_killer(),
        }
    }

    /// Ends a lasting fault.
    pub(crate) fn heal(&mut self, healing: Healing) {
        match healing {
            Healing::Link(from, to) => {
                self.cut.remove(&(from, to));
            }
            Healing::SlowPeers(slot) => {
                self.slow.remove(&slot);
            }
            Healing::StoreUp => self.store.table.set_down(false),
            Healing::StoreFast => self.store.slow = false,
            Healing::Instances => self.refusing_instances = false,
        }
    }

    fn heal_after(&mut self, span: Span, healing: Healing) {
        self.last_until(span);
        self.after(span, Happening::Heal(healing));
    }

    /// Extends the time until which faults last.
    fn last_until(&mut self, span: Span) {
        self.calm_from = self.calm_from.max(self.now + span);
    }

    fn kill_entry(&mut self, slot: usize) {
        let Some(node) = self.slots.get(slot).copied() else {
            return;
        };
        if self.nodes[node].alive {
            self.end_entry(node, Cause::Kill);
            self.entry_replaced(slot);
        }
    }

    fn reclaim_zone(&mut self, zone: usize, left: Span) {
        self.last_until(left);
        let zones = crate::world::node::ZONES.len();
        for slot in (0..self.backends.len()).filter(|slot| slot % zones == zone) {
            self.reclaim_backend(slot, left);
        }
        for slot in (0..self.slots.len()).filter(|slot| slot % zones == zone) {
            self.reclaim_entry(slot, left);
        }
    }

    /// Breaks the callers' connections to an entry; the entry notices it a little later than they do.
    fn break_callers(&mut self, slot: usize) {
        let Some(node) = self.slots.get(slot).copied() else {
            return;
        };
        let flights = self.nodes[node].flights.values();
        let numbers: Vec<_> = flights.map(|flight| flight.number()).collect();
        for number in numbers {
            self.tell_caller(number, CallerWord::Cut(Cause::Link));
            let later = Span::from_millis(self.draw(300));
            self.after(later, Happening::Input(node, Input::Gone { number }));
        }
    }
}
