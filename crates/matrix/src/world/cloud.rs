//! The cloud: reclaim notices, and ends and starts of instances.

use clock::Span;
use clock::Time;
use entry::event::Event;
use entry::instance::Notice;
use smol_str::SmolStr;

use crate::history::Cause;
use crate::history::Fact;
use crate::world::Occurrence;
use crate::world::World;
use crate::world::backend::LIST_LAG;

/// Time to start a new process of an entry.
const ENTRY_START_TIME: Span = Span::from_millis(3_000);

impl World {
    /// Returns all reclaim notices in force.
    pub(crate) fn notices(&self) -> Vec<Notice> {
        let mut notices = Vec::new();
        for backend in self.backends.iter().filter(|backend| backend.alive) {
            if let Some((_, end)) = backend.leaving {
                notices.push(Notice {
                    incarnation: backend.incarnation.clone(),
                    time_left: end.since(self.now),
                });
            }
        }
        for node in self.nodes.iter().filter(|node| node.alive) {
            if let Some(end) = node.leaving {
                notices.push(Notice {
                    incarnation: node.instance.clone(),
                    time_left: end.since(self.now),
                });
            }
        }
        notices
    }

    /// Returns the addresses of the entries in the instance list, which lags.
    pub(crate) fn entry_list(&self) -> Vec<SmolStr> {
        let listed = self.nodes.iter().filter(|node| {
            let since = node.ended.unwrap_or(self.now);
            let first = node.started == Time::ZERO;
            let appeared = first || self.now.since(node.started) >= LIST_LAG;
            appeared && self.now.since(since) < LIST_LAG
        });
        listed
            .map(|node| node.identity.caller_address.clone())
            .collect()
    }

    /// Announces the reclaim of a backend server's instance.
    pub(crate) fn reclaim_backend(&mut self, slot: usize, time_left: Span) {
        let now = self.now;
        let Some(backend) = self.backends.get_mut(slot) else {
            return;
        };
        if !backend.alive || backend.leaving.is_some() {
            return;
        }
        backend.leaving = Some((now, now + time_left));
        let server = backend.incarnation.clone();
        self.record(Fact::ReclaimAnnounced {
            server: server.clone(),
        });
        self.after(time_left, Occurrence::BackendEnds(slot, server));
    }

    /// Announces the reclaim of an entry's instance.
    pub(crate) fn reclaim_entry(&mut self, slot: usize, time_left: Span) {
        let Some(node) = self.slots.get(slot).copied() else {
            return;
        };
        let end = self.now + time_left;
        let process = &mut self.nodes[node];
        if !process.alive || process.leaving.is_some() {
            return;
        }
        process.leaving = Some(end);
        process.stopping = true;
        self.after(time_left, Occurrence::EntryReclaimed(node));
    }

    /// Takes an entry's instance away at the end of its notice.
    pub(crate) fn end_reclaimed_entry(&mut self, node: usize) {
        if !self.nodes[node].alive {
            return;
        }
        self.end_entry(node, Cause::Reclaim);
        self.schedule_entry_start(self.nodes[node].slot);
    }

    /// Schedules the start of a new process in an entry slot.
    pub(crate) fn schedule_entry_start(&mut self, slot: usize) {
        self.after(ENTRY_START_TIME, Occurrence::EntryStarts(slot));
    }

    /// Starts a new process of an entry, unless one runs or the cloud refuses.
    pub(crate) fn restart_entry(&mut self, slot: usize) {
        if self.nodes[self.slots[slot]].alive {
            return;
        }
        if self.refusing_instances {
            return self.schedule_entry_start(slot);
        }
        self.start_entry(slot);
    }

    /// Asks an entry to stop.
    pub(crate) fn stop_entry(&mut self, slot: usize) {
        let Some(node) = self.slots.get(slot).copied() else {
            return;
        };
        if self.nodes[node].alive {
            self.nodes[node].stopping = true;
            self.send_event(node, Event::StopRequested { immediate: false });
        }
    }
}
