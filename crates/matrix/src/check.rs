//! Checks a history for breaches of the system's guarantees, independently of the reducer.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use clock::Span;
use clock::Time;
use smol_str::SmolStr;
use verdict::Verdict;

use crate::history::Cause;
use crate::history::Fact;
use crate::history::History;
use crate::history::Kind;
use crate::history::RequestId;
use crate::history::TryId;

/// Time after a reclaim notice within which no entry may send new work to the leaving server any more.
pub const LEAVE_LIMIT: Span = Span::from_seconds(5);

/// Guarantee of the system to its callers and operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Point {
    /// An accepted request is answered completely.
    Survives,
    /// Each caller gets its own complete answer, each token exactly once and in order.
    OwnAnswer,
    /// A request refused as "not run" did not run.
    NotRunIsTrue,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A leaving backend server gets no new work.
    LeavesAlone,
    /// A planned stop cuts no connection.
    StopsGracefully,
    /// An accepted configuration is never reverted, and no entry admits under an older one.
    NeverReverts,
    /// A change comes into force everywhere once all faults are over.
    InForce,
}

/// Breach of a guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// The breached guarantee.
    pub point: Point,
    /// Time of the observation.
    pub at: Time,
    /// Description of the observation.
    pub what: String,
}

/// Returns all breaches in a history that ran to completion, by time.
pub fn check(history: &History) -> Vec<Breach> {
    let mut breaches = Vec::new();
    survives(history, &mut breaches);
    own_answer(history, &mut breaches);
    not_run_is_true(history, &mut breaches);
    at_most_once(history, &mut breaches);
    leaves_alone(history, &mut breaches);
    stops_gracefully(history, &mut breaches);
    never_reverts(history, &mut breaches);
    breaches.sort_by_key(|breach| breach.at);
    breaches
}

fn breach(breaches: &mut Vec<Breach>, point: Point, at: Time, what: String) {
    breaches.push(Breach { point, at, what });
}

/// Checks that every request with a head is answered completely, unless its caller disconnected or it
/// crashes engines, and that every other try gets a final response.
fn survives(history: &History, breaches: &mut Vec<Breach>) {
    let mut headed = BTreeMap::new();
    let mut excused = BTreeSet::new();
    let mut unanswered: BTreeMap<RequestId, Time> = BTreeMap::new();
    let mut last_reason = BTreeMap::new();
    for (at, fact) in &history.records {
        match fact {
            Fact::Requested {
                request,
                killer: true,
                ..
            }
            | Fact::Abandoned { request } => {
                excused.insert(*request);
                unanswered.remove(request);
            }
            Fact::Sent { request, .. } => {
                unanswered.insert(*request, *at);
            }
            Fact::Head { request } => {
                headed.insert(*request, *at);
            }
            Fact::Completed { request, .. } => {
                headed.remove(request);
                unanswered.remove(request);
            }
            Fact::Refused {
                request, reason, ..
            } => {
                unanswered.remove(request);
                last_reason.insert(*request, reason.as_str());
            }
            Fact::Disconnected { request, .. } | Fact::Redirected { request } => {
                unanswered.remove(request);
            }
            _ => {}
        }
    }
    for (request, at) in headed {
        if !excused.contains(&request) {
            let reason = last_reason.get(&request).unwrap_or(&"nothing");
            let what =
                format!("{request:?} was accepted and never answered whole; last heard: {reason}");
            breach(breaches, Point::Survives, at, what);
        }
    }
    for (request, at) in unanswered {
        let what = format!("{request:?} has no last word");
        breach(breaches, Point::Survives, at, what);
    }
}

/// Checks that the tokens of each try are the caller's own and come in order from the wanted offset.
fn own_answer(history: &History, breaches: &mut Vec<Breach>) {
    let mut kinds = BTreeMap::new();
    let mut next: BTreeMap<TryId, u64> = BTreeMap::new();
    for (at, fact) in &history.records {
        match fact {
            Fact::Requested { request, kind, .. } => {
                kinds.insert(*request, *kind);
            }
            Fact::Sent { try_id, offset, .. } => {
                next.insert(*try_id, *offset);
            }
            Fact::Chunk {
                request,
                try_id,
                offset,
                owner,
                index,
            } => {
                let wanted = next.get(try_id).copied().unwrap_or(0);
                if *offset != wanted || *index != wanted || owner != request {
                    let what = format!(
                        "{request:?} got offset {offset} (token {index} of {owner:?}) and not {wanted}"
                    );
                    breach(breaches, Point::OwnAnswer, *at, what);
                }
                next.insert(*try_id, wanted + 1);
            }
            Fact::Completed {
                request,
                try_id,
                owner,
            } => {
                let got = next.get(try_id).copied().unwrap_or(0);
                let whole = match kinds.get(request) {
                    Some(Kind::Model { tokens }) => got == *tokens,
                    _ => true,
                };
                if !whole || owner != request {
                    let what = format!("{request:?} ended at {got} with the end of {owner:?}");
                    breach(breaches, Point::OwnAnswer, *at, what);
                }
            }
            _ => {}
        }
    }
}

/// Checks that no try refused as "not run" ran, before or after, and that no request whose caller had
/// received the head of its answer was refused so.
fn not_run_is_true(history: &History, breaches: &mut Vec<Breach>) {
    let mut ran = BTreeSet::new();
    for (_, fact) in &history.records {
        if let Fact::Started { try_id, .. } = fact {
            ran.insert(*try_id);
        }
    }
    let mut headed = BTreeSet::new();
    for (at, fact) in &history.records {
        if let Fact::Head { request } = fact {
            headed.insert(*request);
        }
        if let Fact::Refused {
            request,
            try_id,
            verdict: Verdict::NotRun,
            reason,
        } = fact
            && (ran.contains(try_id) || headed.contains(request))
        {
            let what = format!("{request:?} was refused as not run ({reason}) and ran");
            breach(breaches, Point::NotRunIsTrue, *at, what);
        }
    }
}

/// Checks that a non-idempotent request starts at most once across all its tries.
fn at_most_once(history: &History, breaches: &mut Vec<Breach>) {
    let mut non_idempotent = BTreeSet::new();
    let mut ran = BTreeSet::new();
    for (at, fact) in &history.records {
        match fact {
            Fact::Requested {
                request,
                kind: Kind::Plain {
                    non_idempotent: true,
                },
                ..
            } => {
                non_idempotent.insert(*request);
            }
            Fact::Started {
                request, server, ..
            } if non_idempotent.contains(request) && !ran.insert(*request) => {
                let what = format!("{request:?} ran again, at {server}");
                breach(breaches, Point::AtMostOnce, *at, what);
            }
            _ => {}
        }
    }
}

/// Checks that no server starts new work later than the limit after its reclaim notice.
fn leaves_alone(history: &History, breaches: &mut Vec<Breach>) {
    let mut announced: BTreeMap<&SmolStr, Time> = BTreeMap::new();
    for (at, fact) in &history.records {
        match fact {
            Fact::ReclaimAnnounced { server } => {
                announced.insert(server, *at);
            }
            Fact::Started {
                request, server, ..
            } => {
                let late = announced
                    .get(server)
                    .is_some_and(|announced_at| at.since(*announced_at) > LEAVE_LIMIT);
                if late {
                    let what = format!("{request:?} was begun at {server}, which is leaving");
                    breach(breaches, Point::LeavesAlone, *at, what);
                }
            }
            _ => {}
        }
    }
}

/// Checks that no planned stop of an entry cuts a connection.
///
/// A reclaim of an entry that was frozen at any time before is exempt: it may not have had the time to
/// drain.
fn stops_gracefully(history: &History, breaches: &mut Vec<Breach>) {
    let mut paused = BTreeSet::new();
    for (at, fact) in &history.records {
        match fact {
            Fact::Paused { process, .. } => {
                paused.insert(*process);
            }
            Fact::Disconnected {
                request,
                process,
                cause,
            } => {
                let planned = match cause {
                    Cause::Exit => true,
                    Cause::Reclaim => !paused.contains(process),
                    Cause::Kill | Cause::Link | Cause::Timeout => false,
                };
                if planned {
                    let what = format!("{request:?} was cut by the planned stop of {process:?}");
                    breach(breaches, Point::StopsGracefully, *at, what);
                }
            }
            _ => {}
        }
    }
}

/// Checks that the versions reported by an entry only rise, that no key admits a request sent after an
/// accepted change replaced the key, and that the last change is accepted.
fn never_reverts(history: &History, breaches: &mut Vec<Breach>) {
    let mut newest = BTreeMap::new();
    let mut version_by_key: BTreeMap<&SmolStr, u64> = BTreeMap::new();
    let mut accepted: Vec<(Time, &SmolStr, u64)> = Vec::new();
    for (_, fact) in &history.records {
        if let Fact::Accepted { key, version, .. } | Fact::Committed { key, version, .. } = fact {
            version_by_key.insert(key, *version);
        }
    }
    for (at, fact) in &history.records {
        match fact {
            Fact::VersionReported { process, version } => {
                let before = newest.insert(*process, *version).unwrap_or(0);
                if *version < before {
                    let what = format!("{process:?} went back from {before} to {version}");
                    breach(breaches, Point::NeverReverts, *at, what);
                }
            }
            Fact::Accepted {
                account, version, ..
            } => accepted.push((*at, account, *version)),
            Fact::Admitted { account, key, sent } => {
                let version = version_by_key.get(key).copied();
                let newer = accepted.iter().find(|(accepted_at, changed, newer)| {
                    accepted_at < sent
                        && *changed == account
                        && version.is_some_and(|old| *newer > old)
                });
                if let Some((_, _, newer)) = newer {
                    let what = format!("{key} admitted though version {newer} replaced it");
                    breach(breaches, Point::NeverReverts, *at, what);
                }
            }
            Fact::LastChange { accepted: false } => {
                let what = "the last change was not accepted".to_owned();
                breach(breaches, Point::InForce, *at, what);
            }
            _ => {}
        }
    }
}
