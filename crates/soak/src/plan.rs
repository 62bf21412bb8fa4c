//! Which faults come when, drawn from a seed.

use clock::Span;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::configs::size::Size;
use crate::proxy::Mode;
use crate::replica::Manner;
use crate::tables::Trouble;

/// Share of faults that come again shortly after.
const SERIES: f64 = 0.35;
/// Times that one of a series comes in all.
const TIMES: std::ops::Range<u32> = 2..4;
/// Time between two of a series, milliseconds.
const GAP_MS: std::ops::Range<u64> = 200..1_500;
/// How long a fault lasts, milliseconds.
const LASTS_MS: std::ops::Range<u64> = 400..4_000;
/// How long bytes are delayed, milliseconds.
const DELAY_MS: std::ops::Range<u64> = 20..600;

/// A fault, when it begins and how long it lasts.
#[derive(Clone, Debug)]
pub struct Step {
    /// From the start of the faults.
    pub at: Span,
    /// How long, where that makes sense.
    pub lasts: Span,
    /// What it is.
    pub fault: Fault,
}

/// What goes wrong, or is done on purpose.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// An entry is killed.
    Kill(usize),
    /// All entries are killed at once.
    KillAll,
    /// An entry is asked to stop.
    Stop(usize),
    /// Some entries are asked to stop, one after the other.
    StopInTurn,
    /// An entry stands still.
    Pause(usize),
    /// An entry is told to read its settings again.
    Reload(usize),
    /// The way from callers to an entry.
    Callers(usize, Mode),
    /// The way from other entries to an entry.
    Peers(usize, Mode),
    /// An entry's way to the table service.
    TablesWay(usize, Mode),
    /// The way to a replica.
    ReplicaWay(usize, Mode),
    /// The table service, for everyone.
    Tables(Trouble),
    /// The table service forgets what changed.
    Forget,
    /// A replica crashes, and comes back.
    Crash(usize),
    /// A replica leaves as it is meant to, and comes back.
    Leave(usize),
    /// A replica works badly.
    Works(usize, Manner),
    /// The operator changes the configuration.
    Configure,
}

/// The steps of a seed, in order.
pub fn draw(seed: u64, size: &Size) -> Vec<Step> {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut steps = Vec::new();
    while steps.len() < size.count {
        let fault = draw_fault(&mut random, size);
        let times = match random.random::<f64>() < SERIES {
            true => random.random_range(TIMES),
            false => 1,
        };
        let mut at = random.random_range(0..size.faults.as_millis());
        for _ in 0..times {
            steps.push(Step {
                at: Span::from_millis(at),
                lasts: Span::from_millis(random.random_range(LASTS_MS)),
                fault,
            });
            at += random.random_range(GAP_MS);
        }
    }
    steps.sort_by_key(|step| step.at);
    steps
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
        12 | 13 => Fault::Tables(draw_trouble(random)),
        14 => Fault::Forget,
        15 => Fault::Crash(replica),
        16 | 17 => Fault::Leave(replica),
        18 | 19 => Fault::Works(replica, draw_manner(random)),
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

fn draw_trouble(random: &mut Pcg64) -> Trouble {
    match random.random_range(0..5) {
        0 => Trouble::Refuses,
        1 => Trouble::Silent,
        2 => Trouble::Slow(Span::from_millis(random.random_range(DELAY_MS))),
        3 => Trouble::LosesAnswers,
        _ => Trouble::Late,
    }
}

fn draw_manner(random: &mut Pcg64) -> Manner {
    let share = random.random_range(0.05..0.6);
    match random.random_range(0..3) {
        0 => Manner::Fails(share),
        1 => Manner::LosesAnswers(share),
        _ => Manner::Slow,
    }
}
