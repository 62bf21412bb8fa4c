//! Checks the promises that hold under every fault.
//!
//! Each check works on the evidence of callers and replicas. A promise that holds only for targets without
//! faults is checked only where the ledger has no disturbance. An ordered stop of an entry is no disturbance.

use clock::Span;
use clock::Time;
use http::StatusCode;
use mirror::caller;

use crate::caller::Class;
use crate::ledger::Attempt;
use crate::ledger::End;
use crate::ledger::Ledger;
use crate::ledger::Run;
use crate::ledger::Target;

/// Most replicas that one attempt may reach.
const MOST_RUNS: usize = 2;
/// Number of attempts of one run whose work may outlast their callers.
const FORGOTTEN_ALLOWED: usize = 3;

/// Checks a replica's run when it begins.
pub fn check_run(ledger: &mut Ledger, index: usize) {
    let run = ledger.runs[index].clone();
    let Some(attempt) = ledger.attempts.get(&run.attempt).cloned() else {
        let detail = format!("replica {} ran {}", run.replica, run.attempt);
        return ledger.breach("nothing runs that nobody asked for", run.began, detail);
    };
    check_count(ledger, &attempt, run.began);
    check_refused(ledger, &attempt, run.began);
    check_leaving(ledger, &attempt, &run);
    check_configuration(ledger, &attempt, &run);
}

/// Checks an attempt when it ends.
pub fn check_end(ledger: &mut Ledger, attempt: &Attempt) {
    let Some((at, end)) = attempt.ended.clone() else {
        return;
    };
    check_refused(ledger, attempt, at);
    if let End::Wrong(what) = &end {
        let detail = format!("{} at entry {}: {what}", attempt.id, attempt.entry);
        ledger.breach("an answer is the replica's, whole and in order", at, detail);
    }
    check_held(ledger, attempt, at, &end);
    check_lost(ledger, attempt, at, &end);
}

/// Checks the promises that can be judged only at the end of a run; the last fault ended at `calm`.
pub fn check_all(ledger: &mut Ledger, calm: Time, now: Time) {
    check_forgotten(ledger, now);
    check_recovered(ledger, calm, now);
}

/// Checks that a call that must not be repeated runs once, and others reach no more replicas than allowed.
fn check_count(ledger: &mut Ledger, attempt: &Attempt, at: Time) {
    let runs = ledger.runs_of(&attempt.id).count();
    let (most, promise) = match attempt.class {
        Class::File => (1, "what must not be repeated runs once"),
        _ => (MOST_RUNS, "a request reaches no more replicas than allowed"),
    };
    if runs > most {
        let detail = format!("{} ran {runs} times", attempt.id);
        ledger.breach(promise, at, detail);
    }
}

/// Checks that an attempt refused with a "not run" status never runs, neither before nor after the refusal.
fn check_refused(ledger: &mut Ledger, attempt: &Attempt, at: Time) {
    let Some((_, End::Answered(status))) = &attempt.ended else {
        return;
    };
    let status = *status;
    let promised = StatusCode::from_u16(status).is_ok_and(caller::guarantees_not_run);
    let ran = ledger.runs_of(&attempt.id).next().is_some();
    if promised && ran {
        let detail = format!("{} was answered {status} and has run", attempt.id);
        ledger.breach("a refusal says the truth", at, detail);
    }
}

/// Checks that a final answer arrives in time.
fn check_held(ledger: &mut Ledger, attempt: &Attempt, at: Time, end: &End) {
    if *end == End::Left || *end == End::NotSent {
        return;
    }
    let due = attempt.sent + attempt.class.timeout() + ledger.bounds.late;
    let is_late = *end == End::Waited || at > due;
    if is_late && ledger.is_calm(Target::Entry(attempt.entry), attempt.sent, at) {
        let took = at.since(attempt.sent).as_millis();
        let detail = format!(
            "{} at entry {}: {took} ms, {end:?}",
            attempt.id, attempt.entry
        );
        ledger.breach("everybody gets a final answer in time", at, detail);
    }
}

/// Checks that no running answer is broken off by an entry's ordered stop or without any fault.
fn check_lost(ledger: &mut Ledger, attempt: &Attempt, at: Time, end: &End) {
    if *end != End::Broken || !ledger.is_calm(Target::Entry(attempt.entry), attempt.sent, at) {
        return;
    }
    let runs: Vec<Run> = ledger.runs_of(&attempt.id).cloned().collect();
    let calm = |run: &Run| ledger.is_calm(Target::Replica(run.replica), attempt.sent, at);
    if !runs.is_empty() && runs.iter().all(calm) {
        let detail = format!("{} at entry {}", attempt.id, attempt.entry);
        ledger.breach("no answer is broken off", at, detail);
    }
}

/// Checks that a replica that announced that it leaves gets no more requests.
fn check_leaving(ledger: &mut Ledger, attempt: &Attempt, run: &Run) {
    let Some(left) = ledger.leaving.get(&run.replica).copied() else {
        return;
    };
    let late = run.began.since(left) > ledger.bounds.drain;
    if late && knows_all(ledger, attempt, left, run.began) {
        let after = run.began.since(left).as_millis();
        let detail = format!(
            "{} from entry {} reached replica {} {after} ms after it said that it leaves",
            attempt.id, attempt.entry, run.replica
        );
        ledger.breach("a replica that leaves gets nothing more", run.began, detail);
    }
}

/// Checks that a request ran where the newest applied configuration or a later one routes it.
fn check_configuration(ledger: &mut Ledger, attempt: &Attempt, run: &Run) {
    if attempt.class != Class::Move {
        return;
    }
    let known = Time::ZERO + attempt.sent.since(Time::ZERO + ledger.bounds.apply);
    let newest = ledger.configured.iter().rposition(|(at, _)| *at <= known);
    let mut allowed = ledger.configured[newest.unwrap_or(0)..].iter();
    let listed = allowed.any(|(_, service)| *service == run.service);
    if !listed && knows_all(ledger, attempt, known, run.began) {
        let detail = format!(
            "{} from entry {} ran at {}",
            attempt.id, attempt.entry, run.service
        );
        ledger.breach("a new configuration holds everywhere", run.began, detail);
    }
}

/// Returns whether neither the attempt's entry nor the table service was disturbed in that time.
fn knows_all(ledger: &Ledger, attempt: &Attempt, since: Time, now: Time) -> bool {
    ledger.is_calm(Target::Entry(attempt.entry), since, now)
        && ledger.is_calm(Target::Tables, since, now)
}

/// Checks that work stops when its caller has left.
fn check_forgotten(ledger: &mut Ledger, now: Time) {
    let slack = ledger.bounds.leave;
    let goes_on = |attempt: &Attempt, left: Time| {
        ledger.runs_of(&attempt.id).any(|run| {
            let until = run.ended.unwrap_or(now);
            let calm = ledger.is_calm(Target::Replica(run.replica), attempt.sent, until);
            calm && until > left + slack
        })
    };
    let left = ledger.attempts.values().filter_map(|attempt| {
        let (at, end) = attempt.ended.as_ref()?;
        let calm = ledger.is_calm(Target::Entry(attempt.entry), attempt.sent, *at + slack);
        (*end == End::Left && calm && attempt.class != Class::File).then_some((attempt, *at))
    });
    let (behind, others): (Vec<_>, Vec<_>) = left.partition(|(attempt, at)| goes_on(attempt, *at));
    if behind.len() > FORGOTTEN_ALLOWED && behind.len() * 4 > behind.len() + others.len() {
        let detail = format!("{} of {}", behind.len(), behind.len() + others.len());
        ledger.breach("work stops when its caller has left", now, detail);
    }
}

/// Checks that callers are served as before after the faults are over.
fn check_recovered(ledger: &mut Ledger, calm: Time, now: Time) {
    let from = calm + ledger.bounds.recover;
    let sent = ledger.attempts.values().filter(|attempt| {
        let over = attempt.ended.as_ref();
        attempt.sent >= from && over.is_some_and(|(_, end)| *end != End::Left)
    });
    let (mut all, mut served) = (0_usize, 0_usize);
    for attempt in sent {
        all += 1;
        let good = attempt.ended.as_ref().map(|(_, end)| end);
        served += usize::from(good == Some(&End::Answered(200)));
    }
    if all == 0 || (served as f64) < all as f64 * ledger.bounds.served {
        let detail = format!("{served} of {all} were served");
        ledger.breach("all is well again once faults are over", now, detail);
    }
}

/// Records a process that ended without a signal from this run.
pub fn ended_by_itself(ledger: &mut Ledger, entry: usize, at: Time, how: &str) {
    let detail = format!("entry {entry}: {how}");
    ledger.breach("no process ends by itself", at, detail);
}

/// Records a process that still runs after its grace period, unless it was disturbed.
pub fn stops_too_slowly(ledger: &mut Ledger, entry: usize, at: Time, took: Span) {
    if ledger.is_calm(Target::Entry(entry), at, at) {
        let detail = format!("entry {entry} after {} ms", took.as_millis());
        ledger.breach("a process that is asked to stop does", at, detail);
    }
}
