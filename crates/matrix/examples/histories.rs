//! Runs and checks random histories: `cargo run --release -p matrix --example histories -- --seeds 10000`.

use std::collections::BTreeMap;

use argh::FromArgs;
use matrix::check::Point;
use matrix::history::Fact;
use matrix::plan::Plan;
use matrix::world::Bug;

/// Runs random histories over the reducer and checks them.
#[derive(FromArgs)]
struct Arguments {
    /// how many seeds to run
    #[argh(option, default = "1000")]
    seeds: u64,
    /// the first seed
    #[argh(option, default = "0")]
    first: u64,
    /// threads
    #[argh(option, default = "4")]
    threads: u64,
    /// print one seed's history with the fewest faults
    #[argh(option)]
    shrink: Option<u64>,
}

fn main() -> anyhow::Result<()> {
    let arguments: Arguments = argh::from_env();
    if let Some(seed) = arguments.shrink {
        return shrink(seed);
    }
    let mut handles = Vec::new();
    for thread in 0..arguments.threads {
        let (first, end) = (arguments.first, arguments.first + arguments.seeds);
        let step = arguments.threads as usize;
        handles.push(std::thread::spawn(move || {
            let seeds = (first + thread..end).step_by(step);
            seeds.map(run).collect::<Vec<Outcome>>()
        }));
    }
    let mut outcomes = Vec::new();
    for handle in handles {
        outcomes.extend(handle.join().unwrap_or_default());
    }
    report(&outcomes)
}

/// Result of one seed.
struct Outcome {
    seed: u64,
    steps: u64,
    points: Vec<Point>,
    first: Option<String>,
}

fn run(seed: u64) -> Outcome {
    let run = Plan::new(seed).run(Bug::None);
    let (breaches, steps) = (run.breaches, run.steps);
    let mut points: Vec<Point> = breaches.iter().map(|breach| breach.point).collect();
    points.sort();
    points.dedup();
    Outcome {
        seed,
        steps,
        points,
        first: breaches.first().map(|breach| breach.what.clone()),
    }
}

fn report(outcomes: &[Outcome]) -> anyhow::Result<()> {
    let mut by_point: BTreeMap<Point, Vec<&Outcome>> = BTreeMap::new();
    for outcome in outcomes {
        for point in &outcome.points {
            by_point.entry(*point).or_default().push(outcome);
        }
    }
    let steps: u64 = outcomes.iter().map(|outcome| outcome.steps).sum();
    println!("histories={} steps={steps}", outcomes.len());
    for (point, failed) in &by_point {
        println!("point={point:?} failed={}", failed.len());
        for outcome in failed.iter().take(200) {
            let first = outcome.first.as_deref().unwrap_or_default();
            println!("  seed={} {first}", outcome.seed);
        }
    }
    anyhow::ensure!(by_point.is_empty(), "some histories breach a point");
    Ok(())
}

fn shrink(seed: u64) -> anyhow::Result<()> {
    let plan = Plan::new(seed).shrink(Bug::None);
    println!("{plan:#?}");
    let run = plan.run(Bug::None);
    for (at, fact) in &run.history.records {
        if !matches!(fact, Fact::Chunk { .. }) {
            println!("{at} {fact:?}");
        }
    }
    for breach in run.breaches {
        println!("{breach:?}");
    }
    Ok(())
}
