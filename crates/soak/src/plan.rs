//! Draws a schedule of faults from a seed.

use std::ops::Range;

use clock::Span;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::configs::size::Size;
use crate::crowd::Misbehavior;
use crate::proxy::Mode;
use crate::replica::Behavior;
use crate::tables::Failure;

/// Share of faults that repeat shortly after.
const REPEAT_SHARE: f64 = 0.35;
/// Occurrences of a repeating fault.
const REPEAT_COUNT: Range<u32> = 2..4;
/// Time between two occurrences of a repeating fault, in milliseconds.
const REPEAT_GAP_MS: Range<u64> = 200..1_500;
/// Duration of a fault, in milliseconds.
const DURATION_MS: Range<u64> = 400..4_000;
/// Distinguishes the random sequence of notices from that of the other faults.
const NOTICE_SEED: u64 = 0x6e6f_7469_6365;
/// Distinguishes the random sequence of cuts.
const CUT_SEED: u64 = 0x63_7574;
/// Duration of a cut, in milliseconds: longer than entries have to notice it.
const CUT_DURATION_MS: Range<u64> = 5_000..9_000;
/// Distinguishes the random sequence of crashing parts.
const PART_SEED: u64 = 0x7061_7274;
/// Time for which prompts with such a part come, in milliseconds.
const PART_DURATION_MS: Range<u64> = 8_000..12_000;
/// Distinguishes the random sequence of answers without end.
const ENDLESS_SEED: u64 = 0x0065_6e64_6c65_7373;
/// Distinguishes the random sequence of answers that only the end of their connections marks.
const UNDELIMITED_SEED: u64 = 0x756e_6465_6c69;
/// Absence of a replica that is killed and comes back at once, in milliseconds.
const ABSENCE_MS: Range<u64> = 1..300;
/// Distinguishes the random sequence of crowds.
const CROWD_SEED: u64 = 0x0063_726f_7764;
/// Distinguishes the random sequence of releases.
const RELEASE_SEED: u64 = 0x7265_6c65_6173;
/// Time in which a release replaces all replicas, in milliseconds.
const RELEASE_DURATION_MS: Range<u64> = 3_000..50_000;
/// Distinguishes the random sequence of faults of several entries.
const TOGETHER_SEED: u64 = 0x746f_6765_7468;
/// Distinguishes the random sequence of faults around starts and stops of entries.
const STOP_SEED: u64 = 0x0073_746f_7073;
/// Time before the end of a stop from which the entry stands still, and for how long, in milliseconds.
const PAUSE_LEAD_MS: Range<u64> = 5..100;
const END_PAUSE_MS: Range<u64> = 60..1_500;
/// Time from an entry's first connection to the first signal, for half of the series, in milliseconds. The others begin
/// at once.
const SIGNAL_PAUSE_MS: Range<u64> = 0..40;
/// Time between two signals of a series, in milliseconds.
const SIGNAL_GAP_MS: Range<u64> = 0..10;
/// SIGHUPs of a series.
const RELOADS: Range<u32> = 1..4;
/// Time from SIGTERM to a reload amid the stop, in milliseconds.
const RELOAD_MS: Range<u64> = 0..4_000;
/// Delay of bytes or answers, in milliseconds.
const DELAY_MS: Range<u64> = 20..600;

/// Draws a fault.
type Draw = fn(&mut Pcg64, &Size) -> Fault;

/// A fault with its start and duration.
#[derive(Clone, Debug)]
pub struct Step {
    /// Start, counted from the start of the faults.
    pub start: Span,
    /// Duration; unused by faults that have none.
    pub duration: Span,
    /// The fault.
    pub fault: Fault,
}

/// A fault or a change by the operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// An entry is killed.
    Kill(usize),
    /// All entries are killed at once.
    KillAll,
    /// An entry is asked to stop by SIGTERM.
    Stop(usize),
    /// Several entries are asked to stop, one after the other.
    StopInTurn,
    /// An entry is paused by SIGSTOP.
    Pause(usize),
    /// An entry reloads its settings on SIGHUP.
    Reload(usize),
    /// The connections from callers to an entry misbehave.
    Callers(usize, Mode),
    /// The connections from other entries to an entry misbehave.
    Peers(usize, Mode),
    /// The connections from an entry to the table service misbehave.
    TablesWay(usize, Mode),
    /// The connections to a replica misbehave.
    ReplicaWay(usize, Mode),
    /// The table service misbehaves for everyone.
    Tables(Failure),
    /// The table service drops its history of changes.
    Forget,
    /// A replica crashes and later restarts.
    Crash(usize),
    /// A replica announces that it leaves, goes, and later restarts.
    Leave(usize),
    /// A replica announces that it leaves in its answers alone, goes, and later restarts.
    LeaveUnlisted(usize),
    /// A replica turns away this share of requests and asks for pauses.
    TurnAway(usize, f64),
    /// An entry loses all ways to replicas: new connections are refused, and open ones reset or left.
    CutOff(usize, Mode),
    /// All replicas of a service are brittle; named by the first of them.
    Brittle(usize),
    /// Replicas crash as they begin to answer a prompt with a certain part, and such prompts come.
    CrashPart(u64),
    /// A replica answers with neither a length nor chunks, and is killed amid such answers. It comes back after this
    /// absence as another process, or later, after its row was removed.
    Undelimited(usize, Option<Span>),
    /// A crowd of callers that don't behave stays at an entry.
    Crowd(usize, Misbehavior),
    /// The replicas of streams are replaced, one after the other, by ones of another version.
    Release,
    /// Entries are killed at once: the first of them, and how many.
    KillTogether(usize, usize),
    /// The table service refuses some entries: the first of them, and how many.
    TablesRefuse(usize, usize),
    /// A replica misbehaves.
    Works(usize, Behavior),
    /// The operator changes the configuration.
    Configure,
    /// An entry's process runs in short slices only.
    PartOfCore(usize),
    /// An entry is asked to stop and stands still from so long before the end of the stop, for so long.
    PauseAtEnd(usize, Span, Span),
    /// An entry is asked to stop, and gets signals as soon as its next process takes connections.
    SignalsAtStart(usize, Series),
    /// An entry is asked to stop, and so much later to reload.
    ReloadAmidStop(usize, Span),
}

/// Signals to a process that has just started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Series {
    /// Time from the first connection that it takes until the first signal.
    pub pause: Span,
    /// Number of SIGHUPs.
    pub reloads: u32,
    /// Time between two signals.
    pub gap: Span,
    /// Whether SIGTERM follows, and one more SIGHUP.
    pub stops: bool,
}

/// Draws the steps of a seed, in order of their start.
pub fn draw_steps(seed: u64, size: &Size) -> Vec<Step> {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut steps = Vec::new();
    while steps.len() < size.fault_count {
        let fault = draw_fault(&mut random, size);
        let count = match random.random::<f64>() < REPEAT_SHARE {
            true => random.random_range(REPEAT_COUNT),
            false => 1,
        };
        let mut start = random.random_range(0..size.fault_window.as_millis());
        for _ in 0..count {
            steps.push(Step {
                start: Span::from_millis(start),
                duration: Span::from_millis(random.random_range(DURATION_MS)),
                fault,
            });
            start += random.random_range(REPEAT_GAP_MS);
        }
    }
    // Sequences of their own keep the other faults of a seed as they are.
    let mut draw_further = |seed, count, durations: Range<u64>, draw: Draw| {
        let mut random = Pcg64::seed_from_u64(seed);
        for _ in 0..count {
            let start = random.random_range(0..size.fault_window.as_millis());
            steps.push(Step {
                start: Span::from_millis(start),
                duration: Span::from_millis(random.random_range(durations.clone())),
                fault: draw(&mut random, size),
            });
        }
    };
    draw_further(
        seed ^ NOTICE_SEED,
        size.notice_count,
        DURATION_MS,
        draw_notice,
    );
    draw_further(seed ^ CUT_SEED, size.cut_count, CUT_DURATION_MS, draw_cut);
    let draw_part: Draw = |random, _| Fault::CrashPart(random.random());
    draw_further(
        seed ^ PART_SEED,
        size.crash_part_count,
        PART_DURATION_MS,
        draw_part,
    );
    draw_further(
        seed ^ ENDLESS_SEED,
        size.endless_count,
        DURATION_MS,
        draw_endless,
    );
    draw_further(
        seed ^ UNDELIMITED_SEED,
        size.undelimited_count,
        DURATION_MS,
        draw_undelimited,
    );
    draw_further(seed ^ CROWD_SEED, size.crowd_count, DURATION_MS, draw_crowd);
    draw_further(
        seed ^ RELEASE_SEED,
        size.release_count,
        RELEASE_DURATION_MS,
        |_, _| Fault::Release,
    );
    draw_further(
        seed ^ TOGETHER_SEED,
        size.together_count,
        CUT_DURATION_MS,
        draw_together,
    );
    draw_further(seed ^ STOP_SEED, size.stop_count, DURATION_MS, draw_stop);
    steps.sort_by_key(|step| step.start);
    steps
}

fn draw_stop(random: &mut Pcg64, size: &Size) -> Fault {
    let entry = random.random_range(0..size.entries);
    let mut draw = |range| Span::from_millis(random.random_range(range));
    match draw(0..5).as_millis() {
        0 => Fault::PartOfCore(entry),
        1 => Fault::ReloadAmidStop(entry, draw(RELOAD_MS)),
        2 => Fault::PauseAtEnd(entry, draw(PAUSE_LEAD_MS), draw(END_PAUSE_MS)),
        _ => Fault::SignalsAtStart(entry, draw_series(random)),
    }
}

fn draw_series(random: &mut Pcg64) -> Series {
    let pause = random.random_range(SIGNAL_PAUSE_MS);
    let begins_at_once = random.random::<bool>();
    Series {
        pause: Span::from_millis(if begins_at_once { 0 } else { pause }),
        reloads: random.random_range(RELOADS),
        gap: Span::from_millis(random.random_range(SIGNAL_GAP_MS)),
        stops: random.random(),
    }
}

fn draw_together(random: &mut Pcg64, size: &Size) -> Fault {
    let first = random.random_range(0..size.entries);
    let count = random.random_range(2..=size.entries);
    match random.random::<bool>() {
        true => Fault::KillTogether(first, count),
        false => Fault::TablesRefuse(first, count),
    }
}

fn draw_notice(random: &mut Pcg64, size: &Size) -> Fault {
    let replica = random.random_range(0..size.replicas());
    match random.random_range(0..3) {
        0 => Fault::LeaveUnlisted(replica),
        _ => Fault::TurnAway(replica, random.random_range(0.3..1.0)),
    }
}

fn draw_cut(random: &mut Pcg64, size: &Size) -> Fault {
    match random.random_range(0..3) {
        0 => Fault::Brittle(random.random_range(0..size.replicas())),
        kind => {
            let mode = if kind == 1 { Mode::Reset } else { Mode::Pass };
            Fault::CutOff(random.random_range(0..size.entries), mode)
        }
    }
}

fn draw_endless(random: &mut Pcg64, size: &Size) -> Fault {
    let replica = random.random_range(0..size.replicas());
    Fault::Works(replica, Behavior::Endless(random.random_range(0.3..1.0)))
}

fn draw_undelimited(random: &mut Pcg64, size: &Size) -> Fault {
    let replica = random.random_range(0..size.replicas());
    let absence = random.random_range(ABSENCE_MS);
    let returns = random.random::<bool>();
    Fault::Undelimited(replica, returns.then(|| Span::from_millis(absence)))
}

fn draw_crowd(random: &mut Pcg64, size: &Size) -> Fault {
    let entry = random.random_range(0..size.entries);
    let kind = random.random_range(0..Misbehavior::ALL.len());
    Fault::Crowd(entry, Misbehavior::ALL[kind])
}

fn draw_fault(random: &mut Pcg64, size: &Size) -> Fault {
    let entry = random.random_range(0..size.entries);
    let replica = random.random_range(0..size.engines + 2 * size.apps);
    match random.random_range(0..22) {
        0 | 1 => Fault::Kill(entry),
        2 => Fault::KillAll,
        3 | 4 => Fault::Stop(entry),
        5 => Fault::StopInTurn,
        6 => Fault::Pause(entry),
        7 => Fault::Reload(entry),
        8 => Fault::Callers(entry, draw_mode(random)),
        9 => Fault::Peers(entry, draw_mode(random)),
        10 => Fault::TablesWay(entry, draw_mode(random)),
        11 => Fault::ReplicaWay(replica, draw_mode(random)),
        12 | 13 => Fault::Tables(draw_failure(random)),
        14 => Fault::Forget,
        15 => Fault::Crash(replica),
        16 | 17 => Fault::Leave(replica),
        18 | 19 => Fault::Works(replica, draw_behavior(random)),
        _ => Fault::Configure,
    }
}

fn draw_mode(random: &mut Pcg64) -> Mode {
    match random.random_range(0..4) {
        0 => Mode::Delay(Span::from_millis(random.random_range(DELAY_MS))),
        1 => Mode::Silence,
        2 => Mode::AnswersHeld,
        _ => Mode::Reset,
    }
}

fn draw_failure(random: &mut Pcg64) -> Failure {
    match random.random_range(0..5) {
        0 => Failure::Refuses,
        1 => Failure::Silent,
        2 => Failure::Slow(Span::from_millis(random.random_range(DELAY_MS))),
        3 => Failure::LosesAnswers,
        _ => Failure::Late,
    }
}

fn draw_behavior(random: &mut Pcg64) -> Behavior {
    let share = random.random_range(0.05..0.6);
    match random.random_range(0..3) {
        0 => Behavior::Fails(share),
        1 => Behavior::LosesAnswers(share),
        _ => Behavior::Slow,
    }
}
