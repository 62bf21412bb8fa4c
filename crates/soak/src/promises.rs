//! Checks the promises that hold under every fault.
//!
//! Each check works on the evidence of callers and replicas. A promise that holds only for targets without
//! faults is checked only where the ledger has no disturbance. An ordered stop of an entry is no disturbance. What
//! breaks a promise about times while the soak itself stands still is undecided.

use std::collections::BTreeSet;

use clock::Span;
use clock::Time;
use http::StatusCode;
use mirror::caller;
use smol_str::SmolStr;

use crate::caller::Class;
use crate::causes;
use crate::causes::Cause;
use crate::ledger::Attempt;
use crate::ledger::Cut;
use crate::ledger::End;
use crate::ledger::Harm;
use crate::ledger::Ledger;
use crate::ledger::Run;
use crate::ledger::Target;

/// Most replicas that one attempt may reach.
const MAX_RUNS: usize = 2;
/// Most times that an attempt may return to a replica.
const MAX_RETURNS: usize = 2;
/// Crashes on a part of prompts after which it must be known.
const MAX_PART_CRASHES: usize = 5;
/// Prompts with such a part that may reach replicas later.
const MAX_LATE_PARTS: usize = 3;
const RUNS_PROMISE: &str = "a request reaches no more replicas than allowed";
/// Number of attempts of one run whose work may outlast their callers.
const MAX_ABANDONED: usize = 3;

/// Checks a replica's run when it begins.
pub fn check_run(ledger: &mut Ledger, index: usize) {
    let run = ledger.runs[index].clone();
    let Some(attempt) = ledger.attempts.get(&run.attempt).cloned() else {
        let detail = format!("replica {} ran {}", run.replica, run.attempt);
        return ledger.record_breach("nothing runs that nobody asked for", run.began_at, detail);
    };
    check_run_count(ledger, &attempt, run.began_at);
    check_refusal(ledger, &attempt, run.began_at);
    check_leaving(ledger, &attempt, &run);
    check_configuration(ledger, &attempt, &run);
}

/// Checks an attempt when it ends.
pub fn check_end(ledger: &mut Ledger, attempt: &Attempt) {
    let Some((at, end)) = attempt.ended.clone() else {
        return;
    };
    check_refusal(ledger, attempt, at);
    if let End::Wrong(what) = &end {
        let detail = format!("{} at entry {}: {what}", attempt.id, attempt.entry);
        ledger.record_breach("an answer is the replica's, whole and in order", at, detail);
    }
    check_timeliness(ledger, attempt, at, &end);
    check_break_off(ledger, attempt, at, &end);
    check_unanswered(ledger, attempt, at);
}

/// Checks the promises that can be judged only when a run is over; its faults ended at `faults_ended_at`.
pub fn check_final(ledger: &mut Ledger, faults_ended_at: Time, now: Time) {
    check_abandoned(ledger, now);
    check_recovery(ledger, faults_ended_at, now);
    for cut in ledger.cuts.clone() {
        check_cut(ledger, cut);
    }
}

/// Checks that callers of an entry that was cut off from all replicas were served like those of the others.
fn check_cut(ledger: &mut Ledger, cut: Cut) {
    let from = cut.start + ledger.bounds.cut_reaction;
    let target = Target::Entry(cut.entry);
    if from >= cut.end || !ledger.is_undisturbed(target, from, cut.end) {
        return;
    }
    // Served and all attempts, at the entry and at the others.
    let mut here = (0, 0);
    let mut others = (0, 0);
    for attempt in ledger.attempts.values() {
        let Some((ended_at, end)) = &attempt.ended else {
            continue;
        };
        let target = Target::Entry(attempt.entry);
        let is_missed = *end != End::Left && !attempt.crashes;
        let judged = attempt.sent_at >= from && *ended_at <= cut.end && is_missed;
        if !judged || !ledger.is_undisturbed(target, attempt.sent_at, *ended_at) {
            continue;
        }
        let counts = match attempt.entry == cut.entry {
            true => &mut here,
            false => &mut others,
        };
        counts.0 += usize::from(matches!(end, End::Answered(200)));
        counts.1 += 1;
    }
    let failed = here.1 - here.0;
    let served_less = 3 * here.0 * others.1 < 2 * others.0 * here.1;
    if served_less && failed > 10 + here.1 / 50 {
        let detail = format!(
            "entry {} served {} of {}, the others {} of {}",
            cut.entry, here.0, here.1, others.0, others.1
        );
        let promise = "an entry that is cut off from all replicas serves like the others";
        ledger.record_slow(promise, cut.start, cut.end, detail);
    }
}

/// Checks that replicas that said they were brittle seldom had to turn too many requests away.
pub fn check_brittle(ledger: &mut Ledger, replicas: &[usize], start: Time, end: Time) {
    let within =
        |(replica, at): &&(usize, Time)| replicas.contains(replica) && (start..end).contains(at);
    let failures = ledger.brittle_failures.iter().filter(within).count();
    if failures > 2 + replicas.len() / 10 {
        let detail = format!("{failures} failures of {} replicas", replicas.len());
        ledger.record_slow("brittle replicas stay up", start, end, detail);
    }
}

/// Checks that prompts with a part on which replicas crash are stopped after some crashes.
pub fn check_part(ledger: &mut Ledger, part: &SmolStr, now: Time) {
    let crashes = ledger.part_crashes.iter().filter(|(of, _)| of == part);
    let crashes: Vec<Time> = crashes.map(|(_, at)| *at).collect();
    let Some(last_allowed) = crashes.get(MAX_PART_CRASHES - 1).copied() else {
        return;
    };
    let from = last_allowed + ledger.bounds.part_reaction;
    let is_late = |(of, entry, at): &&(SmolStr, usize, Time)| {
        let since = Time::ZERO + at.since(Time::ZERO + ledger.bounds.part_reaction);
        of == part && *at > from && ledger.is_undisturbed(Target::Entry(*entry), since, *at)
    };
    let late = ledger.part_arrivals.iter().filter(is_late).count();
    if late > MAX_LATE_PARTS {
        let detail = format!("{late} late, {} crashes", crashes.len());
        ledger.record_slow(
            "what crashes replicas is stopped",
            last_allowed,
            now,
            detail,
        );
    }
}

/// Checks that a call that must not be repeated runs once, and others reach no more replicas than allowed.
fn check_run_count(ledger: &mut Ledger, attempt: &Attempt, at: Time) {
    let runs = ledger.runs_of(&attempt.id).count();
    let replicas: BTreeSet<usize> = ledger.runs_of(&attempt.id).map(|run| run.replica).collect();
    // A request returns to a replica only after an interruption of the way there.
    let returns = ledger.was_way_interrupted(attempt.sent_at, at);
    let (most, promise) = match attempt.class {
        Class::NonIdempotent => (1, "what must not be repeated runs once"),
        _ if returns => (MAX_RUNS + MAX_RETURNS, RUNS_PROMISE),
        _ => (MAX_RUNS, RUNS_PROMISE),
    };
    if runs > most || replicas.len() > MAX_RUNS {
        let detail = format!("{} ran {runs} times", attempt.id);
        ledger.record_breach(promise, at, detail);
    }
}

/// Checks that an attempt refused with a "not run" status never runs, neither before nor after the refusal.
fn check_refusal(ledger: &mut Ledger, attempt: &Attempt, at: Time) {
    let Some((_, End::Answered(status))) = &attempt.ended else {
        return;
    };
    let status = *status;
    let promised = StatusCode::from_u16(status).is_ok_and(caller::guarantees_not_run);
    let ran = ledger.runs_of(&attempt.id).next().is_some();
    if promised && ran {
        let detail = format!("{} was answered {status} and has run", attempt.id);
        ledger.record_breach("a refusal says the truth", at, detail);
    }
}

/// Checks that a final answer arrives in time.
fn check_timeliness(ledger: &mut Ledger, attempt: &Attempt, at: Time, end: &End) {
    if *end == End::Left || *end == End::NotSent {
        return;
    }
    let due = attempt.sent_at + attempt.class.timeout() + ledger.bounds.timeout_slack;
    let is_late = *end == End::Waited || at > due;
    if is_late && ledger.is_undisturbed(Target::Entry(attempt.entry), attempt.sent_at, at) {
        let took = at.since(attempt.sent_at).as_millis();
        let detail = format!(
            "{} at entry {}: {took} ms, {end:?}",
            attempt.id, attempt.entry
        );
        let promise = "everybody gets a final answer in time";
        ledger.record_slow(promise, attempt.sent_at, at, detail);
    }
}

/// Checks that no running answer is broken off by an entry's ordered stop or without any fault.
fn check_break_off(ledger: &mut Ledger, attempt: &Attempt, at: Time, end: &End) {
    if !matches!(end, End::Broken | End::Unanswered)
        || !ledger.is_undisturbed(Target::Entry(attempt.entry), attempt.sent_at, at)
    {
        return;
    }
    let runs: Vec<Run> = ledger.runs_of(&attempt.id).cloned().collect();
    let undisturbed =
        |run: &Run| ledger.is_undisturbed(Target::Replica(run.replica), attempt.sent_at, at);
    if !runs.is_empty() && runs.iter().all(undisturbed) {
        let detail = format!("{} at entry {}", attempt.id, attempt.entry);
        ledger.record_slow("no answer is broken off", attempt.sent_at, at, detail);
    }
}

/// Checks that no request that was sent whole ends with no byte of an answer, whether or not it reached a replica.
fn check_unanswered(ledger: &mut Ledger, attempt: &Attempt, at: Time) {
    let unanswered = matches!(attempt.ended, Some((_, End::Unanswered)));
    if !unanswered || causes::find(ledger, attempt) != Some(Cause::Unexplained) {
        return;
    }
    let passage = ledger.passages.get(&attempt.id).copied();
    let delivered_at = passage.and_then(|passage| passage.delivered_at);
    let detail = format!(
        "{} at entry {}: no answer {} ms after its last byte, {} connection",
        attempt.id,
        attempt.entry,
        at.since(delivered_at.unwrap_or(attempt.sent_at))
            .as_millis(),
        if attempt.reused { "kept" } else { "new" }
    );
    let promise = "every request that arrives is answered";
    ledger.record_slow(promise, attempt.sent_at, at, detail);
}

/// Checks that a replica that announced that it leaves gets no more requests.
fn check_leaving(ledger: &mut Ledger, attempt: &Attempt, run: &Run) {
    let Some(left_at) = ledger.leaving_since.get(&run.replica).copied() else {
        return;
    };
    let late = run.began_at.since(left_at) > ledger.bounds.drain_time;
    if late && is_up_to_date(ledger, attempt, left_at, run.began_at) {
        let after = run.began_at.since(left_at).as_millis();
        let detail = format!(
            "{} from entry {} reached replica {} {after} ms after it said that it leaves",
            attempt.id, attempt.entry, run.replica
        );
        let promise = "a replica that leaves gets nothing more";
        ledger.record_slow(promise, left_at, run.began_at, detail);
    }
}

/// Checks that a request ran where the newest applied configuration or a later one routes it.
fn check_configuration(ledger: &mut Ledger, attempt: &Attempt, run: &Run) {
    if attempt.class != Class::Rerouted {
        return;
    }
    let known = Time::ZERO + attempt.sent_at.since(Time::ZERO + ledger.bounds.apply_time);
    let newest = ledger
        .configured_services
        .iter()
        .rposition(|(at, _)| *at <= known);
    let mut allowed = ledger.configured_services[newest.unwrap_or(0)..].iter();
    let listed = allowed.any(|(_, service)| *service == run.service);
    if !listed && is_up_to_date(ledger, attempt, known, run.began_at) {
        let detail = format!(
            "{} from entry {} ran at {}",
            attempt.id, attempt.entry, run.service
        );
        let promise = "a new configuration holds everywhere";
        ledger.record_slow(promise, known, run.began_at, detail);
    }
}

/// Returns whether neither the attempt's entry nor the table service was disturbed in that time.
fn is_up_to_date(ledger: &Ledger, attempt: &Attempt, since: Time, now: Time) -> bool {
    ledger.is_undisturbed(Target::Entry(attempt.entry), since, now)
        && ledger.is_undisturbed(Target::Tables, since, now)
}

/// Checks that work stops when its caller has left.
fn check_abandoned(ledger: &mut Ledger, now: Time) {
    let slack = ledger.bounds.abandon_slack;
    let outlasts = |attempt: &Attempt, left: Time| {
        ledger.runs_of(&attempt.id).any(|run| {
            let until = run.ended_at.unwrap_or(now);
            let undisturbed =
                ledger.is_undisturbed(Target::Replica(run.replica), attempt.sent_at, until);
            undisturbed && until > left + slack
        })
    };
    let left = ledger.attempts.values().filter_map(|attempt| {
        let (at, end) = attempt.ended.as_ref()?;
        let undisturbed =
            ledger.is_undisturbed(Target::Entry(attempt.entry), attempt.sent_at, *at + slack);
        (*end == End::Left && undisturbed && attempt.class != Class::NonIdempotent)
            .then_some((attempt, *at))
    });
    let (abandoned, others): (Vec<_>, Vec<_>) =
        left.partition(|(attempt, at)| outlasts(attempt, *at));
    if abandoned.len() > MAX_ABANDONED && abandoned.len() * 4 > abandoned.len() + others.len() {
        let detail = format!("{} of {}", abandoned.len(), abandoned.len() + others.len());
        let sent = abandoned.iter().map(|(attempt, _)| attempt.sent_at);
        let from = sent.min().unwrap_or(now);
        ledger.record_slow("work stops when its caller has left", from, now, detail);
    }
}

/// Checks that callers are served as before after the faults are over.
fn check_recovery(ledger: &mut Ledger, faults_ended_at: Time, now: Time) {
    let from = faults_ended_at + ledger.bounds.recovery_time;
    let sent = ledger.attempts.values().filter(|attempt| {
        let ended = attempt.ended.as_ref();
        let is_judged = attempt.sent_at >= from && !ledger.is_version_gone(attempt);
        is_judged && ended.is_some_and(|(_, end)| *end != End::Left)
    });
    let (mut all, mut served) = (0_usize, 0_usize);
    for attempt in sent {
        all += 1;
        let end = attempt.ended.as_ref().map(|(_, end)| end);
        served += usize::from(end == Some(&End::Answered(200)));
    }
    if all == 0 || (served as f64) < all as f64 * ledger.bounds.min_served_share {
        let detail = format!("{served} of {all} were served");
        let promise = "all is well again once faults are over";
        ledger.record_slow(promise, faults_ended_at, now, detail);
    }
}

/// Records a process that ended without a signal from this run.
pub fn report_unexpected_exit(ledger: &mut Ledger, entry: usize, at: Time, status: &str) {
    let detail = format!("entry {entry}: {status}");
    ledger.record_breach("no process ends by itself", at, detail);
}

/// Records a process that took more memory than its machine has.
pub fn report_memory(ledger: &mut Ledger, entry: usize, at: Time, bytes: usize) {
    let detail = format!("entry {entry}: {} MiB", bytes >> 20);
    ledger.record_breach("a process stays within its memory", at, detail);
}

/// Records a process that still runs after its grace period, unless it was disturbed.
pub fn report_slow_stop(ledger: &mut Ledger, entry: usize, at: Time, took: Span) {
    // The pauses of a process are counted out of that time.
    let harms = [
        Harm::Killed,
        Harm::CallersWay,
        Harm::OtherWay,
        Harm::Failing,
    ];
    let settle_time = ledger.bounds.settle_time;
    let harm = ledger.find_harm(Target::Entry(entry), &harms, (at, at), settle_time);
    if harm.is_none() {
        let detail = format!("entry {entry} after {} ms", took.as_millis());
        ledger.record_slow(
            "a process that is asked to stop does",
            at,
            at + took,
            detail,
        );
    }
}
