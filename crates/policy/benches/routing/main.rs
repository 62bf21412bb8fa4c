//! Prints the results that the settings of affinity, load estimates, warm-up and quarantine depend
//! on.
//!
//! `cargo bench -p policy --bench routing -- [affinity|warmup|killers]`; without an argument it
//! prints all. Runs in virtual time, with the same seeds for every row.

#[path = "../../tests/support/mod.rs"]
mod support;

use clock::Span;
use policy::configs::scheduler::Settings;

use support::load::Fault;
use support::load::Killer;
use support::load::Pattern;
use support::patterns;
use support::tally::Tally;
use support::variant::Variant;

/// Runs of each pattern.
const SEEDS: u64 = 10;
/// Runs of each killer pattern; more, because lost replicas are rare.
const KILLER_SEEDS: u64 = 30;

fn main() {
    let mut arguments = std::env::args()
        .skip(1)
        .filter(|argument| !argument.starts_with('-'));
    let section = arguments.next().unwrap_or_default();
    if section.is_empty() || section == "affinity" {
        print_affinity();
    }
    if section.is_empty() || section == "warmup" {
        print_warmup();
    }
    if section.is_empty() || section == "killers" {
        print_killers();
    }
}

/// Prints the share within target by affinity slack and herd factor.
fn print_affinity() {
    let patterns = [
        patterns::burst(),
        patterns::hot_key(),
        patterns::long_among_short(),
        patterns::zone_loss(),
        patterns::stale_reports(),
    ];
    print!("slack  herd");
    patterns
        .iter()
        .for_each(|pattern| print!("  {:>16}", pattern.name));
    println!("  30 ms apart, third replica lost");
    for slack in [1.0, 2.0, 4.0, 8.0] {
        for herd in [0.5, 0.75, 1.0] {
            let mut settings = Settings::default();
            settings.affinity.slack = slack;
            settings.concurrency.herd = herd;
            print!("{slack:5.0}  {herd:4.2}");
            for pattern in &patterns {
                print!("  {:>16.3}", share(settings, pattern));
            }
            let lost: usize = [0.5, 0.75, 0.95]
                .iter()
                .map(|load| third_lost(settings, &killers(*load, 9, 30)))
                .sum();
            println!("  {lost} of {}", 3 * KILLER_SEEDS);
        }
    }
}

/// Prints the share within target and the time to first token when a lost zone comes back cold.
fn print_warmup() {
    println!("warm-up  share  p99 first token (ms)  from 15 s to 25 s: share");
    for seconds in [0, 2, 5, 10, 30, 60] {
        let mut settings = Settings::default();
        settings.placement.warmup = seconds > 0;
        settings.warmup.duration = Span::from_seconds(seconds);
        let pattern = returning_zone();
        let tallies = run(settings, &pattern, SEEDS);
        let mean =
            |of: &dyn Fn(&Tally) -> f64| tallies.iter().map(of).sum::<f64>() / tallies.len() as f64;
        let after: Vec<f64> = tallies
            .iter()
            .zip(1..)
            .map(|(tally, seed)| share_after(&pattern, tally, seed))
            .collect();
        println!(
            "{seconds:5} s  {:.3}  {:20.0}  {:.3}",
            mean(&|tally| tally.share(None)),
            mean(&|tally| tally.first_token_quantile(0.99)),
            after.iter().sum::<f64>() / after.len() as f64,
        );
    }
}

/// Prints the replicas lost to copies of one killer, by the time between them.
fn print_killers() {
    println!("replicas  load  ms apart  runs that lost 0, 1, 2, 3, 4, ...");
    for replicas in [9, 3] {
        for load in [0.5, 0.75, 0.95] {
            for gap_ms in [1_500, 30, 0] {
                let mut runs = vec![0; replicas + 1];
                for tally in run(
                    Settings::default(),
                    &killers(load, replicas, gap_ms),
                    KILLER_SEEDS,
                ) {
                    runs[(tally.killed as usize).min(replicas)] += 1;
                }
                println!("{replicas:8}  {load:4.2}  {gap_ms:8}  {runs:?}");
            }
        }
    }
}

fn run(settings: Settings, pattern: &Pattern, seeds: u64) -> Vec<Tally> {
    let variant = Variant::Scheduler(Box::new(settings));
    (1..=seeds).map(|seed| variant.run(pattern, seed)).collect()
}

fn share(settings: Settings, pattern: &Pattern) -> f64 {
    let tallies = run(settings, pattern, SEEDS);
    tallies.iter().map(|tally| tally.share(None)).sum::<f64>() / tallies.len() as f64
}

fn third_lost(settings: Settings, pattern: &Pattern) -> usize {
    let tallies = run(settings, pattern, KILLER_SEEDS);
    tallies.iter().filter(|tally| tally.killed > 2).count()
}

/// Sends one killer through each of the eight entries.
fn killers(load: f64, replicas: usize, gap_ms: u64) -> Pattern {
    let share = replicas as f64 / 9.0;
    let mut pattern = Pattern::new("killers", patterns::accounts(load)).scaled(share);
    pattern.replicas = replicas;
    let killer = |entry: usize| Killer {
        at_ms: 5_000 + entry as u64 * gap_ms,
        entry,
    };
    pattern.killers = (0..8).map(killer).collect();
    pattern
}

/// A zone is lost at 10 s and comes back with cold caches at 15 s, under a load that needs it.
fn returning_zone() -> Pattern {
    let mut pattern = patterns::hot_key();
    pattern.restart_ms = Some(5_000);
    pattern.fault(10_000, Fault::LoseZone(1))
}

/// Returns the share within target of requests first sent in the ten seconds after the zone's
/// return.
fn share_after(pattern: &Pattern, tally: &Tally, seed: u64) -> f64 {
    let arrivals = pattern.arrivals(seed);
    let sent = arrivals.iter().zip(&tally.outcomes);
    let after: Vec<bool> = sent
        .filter(|(arrival, _)| (15_000..25_000).contains(&arrival.at_ms))
        .map(|(_, outcome)| outcome.in_target)
        .collect();
    let good = after.iter().filter(|in_target| **in_target).count();
    good as f64 / after.len().max(1) as f64
}
