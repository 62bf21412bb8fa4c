//! Command line of `soak`: plays seeds and reports broken promises.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use anyhow::bail;
use argh::FromArgs;
use soak::configs::size::Size;
use soak::run;

/// Plays seeded faults against real entries and checks their promises.
#[derive(FromArgs)]
struct Arguments {
    /// number of seeds to play (10)
    #[argh(option, default = "10")]
    seeds: u64,
    /// first seed; by default the current time in milliseconds
    #[argh(option)]
    from: Option<u64>,
    /// start no further seeds after this many minutes
    #[argh(option)]
    minutes: Option<u64>,
    /// size of each run: small, many (24 entries), day (24 entries, up to five minutes), short-day, stops (mostly stops
    /// and starts of entries) or limit (200 entries) (small)
    #[argh(option, default = "String::from(\"small\")")]
    size: String,
    /// seeds played at once (4)
    #[argh(option, default = "4")]
    jobs: usize,
    /// path of the entry binary; by default `dogwoodspur-platform` beside this one
    #[argh(option)]
    program: Option<PathBuf>,
    /// keep the logs of all seeds
    #[argh(switch)]
    keep_logs: bool,
    /// folder that keeps the logs of seeds that didn't keep all promises
    #[argh(option, default = "PathBuf::from(\"target/soak\")")]
    logs: PathBuf,
}

fn main() -> ExitCode {
    match play(&argh::from_env()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Plays all seeds and returns whether every promise was kept and the soak stood still at no time.
fn play(arguments: &Arguments) -> Result<bool> {
    let size = match arguments.size.as_str() {
        "small" => Size::small(),
        "many" => Size::many(),
        "day" => Size::day(),
        "short-day" => Size::short_day(),
        "stops" => Size::stops(),
        "limit" => Size::limit(),
        other => {
            bail!("unknown size {other}: expected small, many, day, short-day, stops or limit")
        }
    };
    let binary = match &arguments.program {
        Some(program) => program.clone(),
        None => run::find_entry_binary()?,
    };
    let first = arguments.from.unwrap_or_else(soak::environment::unix_ms);
    let next = AtomicU64::new(first);
    let until = arguments
        .minutes
        .map(|minutes| Instant::now() + Duration::from_secs(60 * minutes));
    let failed = Mutex::new(Vec::new());
    let undecided = Mutex::new(Vec::new());
    let unplayed = Mutex::new(Vec::new());
    std::thread::scope(|threads| {
        for _ in 0..arguments.jobs.max(1) {
            threads.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    let late = until.is_some_and(|until| Instant::now() > until);
                    if seed >= first + arguments.seeds || late {
                        return;
                    }
                    let folder = arguments.logs.join(format!("seed-{seed}"));
                    let list = match run::play(seed, size, &binary, folder.clone()) {
                        Ok(report) => {
                            print!("{report}");
                            if report.is_kept() {
                                if !arguments.keep_logs {
                                    let _ = std::fs::remove_dir_all(&folder);
                                }
                                continue;
                            }
                            match report.breaches.is_empty() {
                                true => &undecided,
                                false => &failed,
                            }
                        }
                        Err(error) => {
                            println!("seed {seed}: not played: {error:#}");
                            &unplayed
                        }
                    };
                    if let Ok(mut list) = list.lock() {
                        list.push(seed);
                    }
                }
            });
        }
    });
    let sorted = |seeds: Mutex<Vec<u64>>| {
        let mut seeds = seeds.into_inner().unwrap_or_default();
        seeds.sort_unstable();
        seeds
    };
    let (failed, undecided) = (sorted(failed), sorted(undecided));
    let unplayed = sorted(unplayed);
    let begun = next.load(Ordering::Relaxed).min(first + arguments.seeds) - first;
    println!(
        "{begun} seeds from {first}: broken promises {failed:?}, undecided {undecided:?}, not played {unplayed:?}"
    );
    Ok(failed.is_empty() && undecided.is_empty() && unplayed.is_empty())
}
