//! The cloud: reclaim notices, and ends and starts of instances.

use clock::Span;
use clock::Time;
use entry::event::Event;
use entry::instance::Notice;
use smol_str::SmolStr;

use crate::history::Cause;
use crate::history::Fact;
use crate::world::Happening;
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
        let shown = self.nodes.iter().filter(|node| {
            let since = node.ended.unwrap_or(self.now);
            let first = node.born == Time::ZERO;
            let appeared = first || self.now.since(node.born) >= LIST_LAG;
            appeared && self.now.since(since) < LIST_LAG
        });
        shown
            .map(|node| node.identity.caller_address.clone())
            .collect()
    }

    /// Announces the reclaim of a backend server's instance.
    pub(crate) fn reclaim_backend(&mut self, slot: usize, left: Span) {
        let now = self.now;
        let Some(backend) = self.backends.get_mut(slot) else {
            return;
        };
        if !backend.alive || backend.leaving.is_some() {
            return;
        }
        backend.leaving = Some((now, now + left));
        let server = backend.incarnation.clone();
        self.note(Fact::Noticed {
            server: server.clone(),
        });
        self.after(left, Happening::BackendDies(slot, server));
    }

    /// Announces the reclaim of an entry's instance.
    pub(crate) fn reclaim_entry(&mut self, slot: usize, left: Span) {
        let Some(node) = self.slots.get(slot).copied() else {
            return;
        };
        let end = self.now + left;
        let life = &mut self.nodes[node];
        if !life.alive || life.leaving.is_some() {
            return;
        }
        life.leaving = Some(end);
        life.stopping = true;
        self.after(left, Happening::EntryDies(node));
    }

    /// Takes an entry's instance away at the end of its notice.
    pub(crate) fn entry_dies(&mut self, node: usize) {
        if !self.nodes[node].alive {
            return;
        }
        self.end_entry(node, Cause::Reclaim);
        self.entry_replaced(self.nodes[node].slot);
    }

    /// Schedules the start of a new process in an entry slot.
    pub(crate) fn entry_replaced(&mut self, slot: usize) {
        self.after(ENTRY_START_TIME, Happening::EntryBorn(slot));
    }

    /// Starts a new process of an entry, unless one runs or the cloud refuses.
    pub(crate) fn entry_born(&mut self, slot: usize) {
        if self.nodes[self.slots[slot]].alive {
            return;
        }
        if self.refusing_instances {
            return self.entry_replaced(slot);
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
            self.tell(node, Event::StopRequested { immediate: false });
        }
    }
}
