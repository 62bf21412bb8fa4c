//! Balance of 8 entries over 9 replicas with stale reports, by the share of an entry's own additions
//! that it assumes of the others.
//!
//! `cargo run --release -p policy --example reports`

use clock::Span;
use clock::Time;
use policy::concurrency::Load;
use policy::configs::concurrency::Config;
use policy::replica::Report;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg32;

const ENTRIES: usize = 8;
const REPLICAS: usize = 9;
const SLOTS: u32 = 32;
const SEEDS: u64 = 10;
/// Mean duration of a job, in milliseconds.
const JOB: u64 = 4_000;
/// Arrivals per second over all entries: 70% of the slots.
const RATE: f64 = 0.7 * (REPLICAS as f64) * (SLOTS as f64) / (JOB as f64 / 1_000.0);
const REPORT_PERIOD: u64 = 1_000;
const REPORT_AGE: Span = Span::from_millis(500);
const LENGTH: u64 = 120_000;

/// How an entry selects a replica.
#[derive(Clone, Copy)]
enum Pick {
    Least,
    TwoRandom,
}

fn main() {
    println!("pick of    herd  worst over mean  p99 over mean  over slots");
    for (name, pick) in [("least", Pick::Least), ("two", Pick::TwoRandom)] {
        for herd in [0.0, 0.125, 0.25, 0.5, 1.0] {
            let runs: Vec<[f64; 3]> = (0..SEEDS).map(|seed| run(pick, herd, seed)).collect();
            let mean =
                |index: usize| runs.iter().map(|run| run[index]).sum::<f64>() / runs.len() as f64;
            println!(
                "{name:8} {herd:6.3}  {:15.2}  {:13.2}  {:9.2}%",
                mean(0),
                mean(1),
                100.0 * mean(2),
            );
        }
    }
}

/// Returns the maximum and 99th percentile of the fullest replica's load over the mean, and the
/// share of time in which replicas are over their slots.
fn run(pick: Pick, herd: f64, seed: u64) -> [f64; 3] {
    let config = Config {
        herd,
        ..Config::default()
    };
    let mut random = Pcg32::seed_from_u64(seed);
    let mut loads = vec![vec![Load::new(config, SLOTS); REPLICAS]; ENTRIES];
    let mut ends: Vec<(u64, usize, usize)> = Vec::new();
    let mut stale = vec![0; REPLICAS];
    let mut peaks = Vec::new();
    for millis in 0..LENGTH {
        let now = Time::from_millis(millis);
        ends.retain(|(end, entry, replica)| {
            if *end == millis {
                loads[*entry][*replica].ended(now, 0);
            }
            *end > millis
        });
        if random.random_bool(RATE / 1_000.0) {
            let entry = random.random_range(0..ENTRIES);
            let replica = choose(&loads[entry], now, pick, &mut random);
            loads[entry][replica].started(now, 1);
            ends.push((
                millis + JOB / 2 + random.random_range(0..JOB),
                entry,
                replica,
            ));
        }
        let running_jobs = count(&loads);
        if millis % REPORT_PERIOD == REPORT_PERIOD - REPORT_AGE.as_millis() {
            stale.clone_from(&running_jobs);
        }
        if millis % REPORT_PERIOD == 0 {
            send_reports(&mut loads, now, &stale);
        }
        if millis > 3 * JOB && millis % 10 == 0 {
            let mean = running_jobs.iter().sum::<u32>() as f64 / REPLICAS as f64;
            let max = f64::from(running_jobs.iter().copied().max().unwrap_or(0));
            let overloaded = running_jobs.iter().filter(|jobs| **jobs > SLOTS).count();
            peaks.push((max / mean, overloaded as f64 / REPLICAS as f64));
        }
    }
    peaks.sort_by(|one, other| one.0.total_cmp(&other.0));
    let overloaded =
        peaks.iter().map(|(_, overloaded)| overloaded).sum::<f64>() / peaks.len() as f64;
    [
        peaks[peaks.len() - 1].0,
        peaks[peaks.len() * 99 / 100].0,
        overloaded,
    ]
}

fn choose(loads: &[Load], now: Time, pick: Pick, random: &mut Pcg32) -> usize {
    let mean_own = loads
        .iter()
        .map(|load| f64::from(load.own_jobs()))
        .sum::<f64>()
        / REPLICAS as f64;
    let jobs = |replica: &usize| loads[*replica].jobs(now, mean_own);
    let candidates: Vec<usize> = match pick {
        Pick::Least => (0..REPLICAS).collect(),
        Pick::TwoRandom => (0..2).map(|_| random.random_range(0..REPLICAS)).collect(),
    };
    let best = candidates
        .iter()
        .min_by(|one, other| jobs(one).total_cmp(&jobs(other)));
    best.copied().unwrap_or(0)
}

fn count(loads: &[Vec<Load>]) -> Vec<u32> {
    let running = |replica: usize| loads.iter().map(|entry| entry[replica].own_jobs()).sum();
    (0..REPLICAS).map(running).collect()
}

fn send_reports(loads: &mut [Vec<Load>], now: Time, stale: &[u32]) {
    for entry in loads {
        for (load, running) in entry.iter_mut().zip(stale) {
            let report = Report {
                running: *running,
                waiting: 0,
                kv_used: 0.0,
                age: REPORT_AGE,
            };
            load.reported(now, &report);
        }
    }
}
