//! Samples of the replicas' speed that entries send to a hub, and the speeds that it sends to all.

use std::collections::BTreeMap;

use policy::pool;
use policy::speed::Pace;

use crate::support::world::Event;
use crate::support::world::World;

/// Interval between messages of an entry, in milliseconds.
const PACES_PERIOD_MS: u64 = 500;
/// Interval between messages of the hub, in milliseconds.
const SPEEDS_PERIOD_MS: u64 = 2_000;
/// Transit time of a message, in milliseconds.
const TRANSIT_MS: u64 = 5;
/// Entry that acts as the hub.
const HUB: usize = 0;

impl World {
    /// Starts the exchange, if the pattern has one; ejections are recorded with it.
    pub(super) fn start_exchange(&mut self) {
        if self.pattern.shares_speeds {
            self.schedule(PACES_PERIOD_MS, Event::SendPaces);
            self.schedule(SPEEDS_PERIOD_MS, Event::SendSpeeds);
        }
    }

    /// Sends every entry's samples to the hub.
    pub(super) fn send_paces(&mut self) {
        for sender in 0..self.entries.len() {
            let scheduler = self.entries[sender].scheduler();
            let paces = scheduler.map(|scheduler| scheduler.take_paces());
            if let Some(paces) = paces.filter(|_| sender != HUB) {
                self.schedule_after(TRANSIT_MS, Event::Paces(paces));
            }
        }
        self.record_ejected();
        self.schedule_after(PACES_PERIOD_MS, Event::SendPaces);
    }

    pub(super) fn deliver_paces(&mut self, paces: &BTreeMap<u64, Pace>) {
        let now = self.now();
        if let Some(hub) = self.entries[HUB].scheduler() {
            hub.absorb_paces(now, paces);
        }
    }

    /// Sends the speeds from the samples of all entries to every entry.
    pub(super) fn send_speeds(&mut self) {
        let now = self.now();
        if let Some(hub) = self.entries[HUB].scheduler() {
            let speeds = hub.publish_speeds(now);
            self.schedule_after(TRANSIT_MS, Event::Speeds(speeds));
        }
        self.schedule_after(SPEEDS_PERIOD_MS, Event::SendSpeeds);
    }

    pub(super) fn deliver_speeds(&mut self, speeds: &BTreeMap<u64, u16>) {
        let now = self.now();
        for entry in (0..self.entries.len()).filter(|entry| *entry != HUB) {
            if let Some(scheduler) = self.entries[entry].scheduler() {
                scheduler.absorb_speeds(now, speeds);
            }
        }
    }

    /// Records how many replicas an entry has ejected at most.
    fn record_ejected(&mut self) {
        let now = self.now();
        for entry in 0..self.entries.len() {
            if let Some(scheduler) = self.entries[entry].scheduler() {
                let ejected = scheduler.snapshot(now, pool::Key(0)).ejected;
                self.tally.max_ejected = self.tally.max_ejected.max(ejected);
            }
        }
    }
}
