//! What replicas stated in their answers, and whether entries respect it.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;

use crate::ledger::Attempt;
use crate::ledger::Ledger;
use crate::ledger::Target;

/// Notices of replicas by the entry that received them. A process that was started anew or paused since may
/// have missed or forgotten them.
#[derive(Debug, Default)]
pub struct Notices {
    /// Time by which an entry passed on an answer that announces the replica's leave.
    leaves: BTreeMap<(usize, usize), Time>,
    pauses: Vec<Pause>,
}

/// A pause that a replica asked an entry for.
#[derive(Clone, Debug)]
struct Pause {
    entry: usize,
    replica: usize,
    start: Time,
    end: Time,
    /// Requests from the entry that the replica received in the part of the pause that is judged.
    arrivals: usize,
}

impl Notices {
    /// Records an entry's answer in which a replica announced its leave.
    pub fn record_leave(&mut self, entry: usize, replica: usize, at: Time) {
        self.leaves.entry((entry, replica)).or_insert(at);
    }

    /// Records that a replica asked an entry for a pause.
    pub fn record_pause(&mut self, entry: usize, replica: usize, start: Time, pause: Span) {
        self.pauses.push(Pause {
            entry,
            replica,
            start,
            end: start + pause,
            arrivals: 0,
        });
    }

    /// Drops the notices that an entry received.
    pub fn forget_entry(&mut self, entry: usize) {
        self.leaves.retain(|(other, _), _| *other != entry);
        self.pauses.retain(|pause| pause.entry != entry);
    }

    /// Drops the notices of a replica's last incarnation.
    pub fn forget_replica(&mut self, replica: usize) {
        self.leaves.retain(|(_, other), _| *other != replica);
        self.pauses.retain(|pause| pause.replica != replica);
    }
}

/// Checks a request that reaches a replica.
pub fn check_arrival(ledger: &mut Ledger, attempt: &Attempt, replica: usize, at: Time) {
    check_announced_leave(ledger, attempt, replica, at);
    check_pauses(ledger, attempt, replica, at);
}

/// Checks that a replica gets nothing more through an entry that passed on its announcement.
fn check_announced_leave(ledger: &mut Ledger, attempt: &Attempt, replica: usize, at: Time) {
    let announced = ledger.notices.leaves.get(&(attempt.entry, replica));
    let Some(announced) = announced.copied() else {
        return;
    };
    if attempt.sent_at > announced + ledger.bounds.drain_time {
        let after = at.since(announced).as_millis();
        let detail = format!(
            "{} from entry {} reached replica {replica} {after} ms after its announcement",
            attempt.id, attempt.entry
        );
        let promise = "a replica that announces its leave gets nothing more";
        ledger.record_slow(promise, announced, at, detail);
    }
}

/// Checks that a replica gets next to nothing during the pause that it asked an entry for.
fn check_pauses(ledger: &mut Ledger, attempt: &Attempt, replica: usize, at: Time) {
    let bounds = ledger.bounds;
    let is_within = |pause: &&mut Pause| {
        let judged_from = pause.start + bounds.pause_reaction;
        pause.entry == attempt.entry
            && pause.replica == replica
            && (judged_from..pause.end).contains(&at)
    };
    let mut exceeded = Vec::new();
    for pause in ledger.notices.pauses.iter_mut().filter(is_within) {
        pause.arrivals += 1;
        if pause.arrivals == bounds.max_during_pause + 1 {
            exceeded.push(pause.clone());
        }
    }
    for pause in exceeded {
        let targets = [Target::Entry(attempt.entry), Target::Replica(replica)];
        let undisturbed = |target| ledger.is_undisturbed(target, pause.start, at);
        if targets.into_iter().all(undisturbed) {
            let detail = format!(
                "{} from entry {} reached replica {replica} {} ms after it asked for {} ms",
                attempt.id,
                attempt.entry,
                at.since(pause.start).as_millis(),
                pause.end.since(pause.start).as_millis()
            );
            let promise = "a replica gets the pause that it asks for";
            ledger.record_slow(promise, pause.start, at, detail);
        }
    }
}
