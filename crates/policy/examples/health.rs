//! Wrong ejections, and the delay of right ones, by slow factor and gap smoothing.
//!
//! `cargo run --release -p policy --example health`

use clock::Span;
use clock::Time;
use policy::configs::health::Config;
use policy::health::Allowance;
use policy::health::Monitor;
use policy::job::End;
use policy::replica::Key;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg32;

const REPLICAS: u32 = 9;
const SEEDS: u64 = 10;
const HOUR_MS: u64 = 3_600_000;
/// When the slow replica becomes slow.
const ONSET_MS: u64 = 30_000;
/// Delay after which a slow replica that isn't ejected counts as missed.
const MISSED_MS: u64 = 180_000;
/// Short prompts: uncached tokens, and arrivals per second at one replica.
const SHORT: (u32, f64) = (200, 3.0);
/// Long prompts.
const BUNDLE: (u32, f64) = (12_000, 0.05);
/// Maximum number of prompt tokens in a step.
const CHUNK: u32 = 512;

fn main() {
    println!("factor  weight  wrong ejections/hour  delay of x3, x5, x10 (s; - for missed)");
    for slow_factor in [2.0, 2.5, 3.0, 4.0] {
        for gap_smoothing in [0.025, 0.05, 0.1, 1.0] {
            let config = Config {
                slow_factor,
                gap_smoothing,
                ..Config::default()
            };
            let wrong: u32 = (0..SEEDS).map(|seed| wrong_ejections(config, seed)).sum();
            let delays: Vec<String> = [3.0, 5.0, 10.0]
                .iter()
                .map(|factor| delays(config, *factor))
                .collect();
            println!(
                "{slow_factor:6.1}  {gap_smoothing:6.3}  {:20.1}  {}",
                f64::from(wrong) / SEEDS as f64,
                delays.join("  ")
            );
        }
    }
}

/// Returns the ejections in an hour without any fault.
fn wrong_ejections(config: Config, seed: u64) -> u32 {
    let mut pool = Pool::new(config, seed);
    let mut count = 0;
    let mut was_ejected = vec![false; REPLICAS as usize];
    while pool.millis < HOUR_MS {
        pool.step(1.0);
        for key in 0..REPLICAS {
            let is_ejected = pool.is_ejected(key);
            count += u32::from(is_ejected && !was_ejected[key as usize]);
            was_ejected[key as usize] = is_ejected;
        }
    }
    count
}

/// Formats the mean delay until a replica slower by the factor is ejected.
fn delays(config: Config, factor: f64) -> String {
    let (mut sum, mut ejected) = (0.0, 0);
    for seed in 0..SEEDS {
        let mut pool = Pool::new(config, seed);
        while pool.millis < ONSET_MS + MISSED_MS {
            pool.step(if pool.millis > ONSET_MS { factor } else { 1.0 });
            if pool.millis > ONSET_MS && pool.is_ejected(0) {
                sum += (pool.millis - ONSET_MS) as f64 / 1_000.0;
                ejected += 1;
                break;
            }
        }
    }
    let missed = SEEDS - ejected;
    let mean = sum / ejected.max(1) as f64;
    if missed == 0 {
        format!("{mean:.1}")
    } else {
        format!("{mean:.1} ({missed} missed)")
    }
}

/// Engines whose steps hold some streams and at most one chunk of prompts.
struct Pool {
    monitor: Monitor,
    random: Pcg32,
    millis: u64,
    /// Streams, prompt tokens to compute and end of the step, by replica.
    engines: Vec<(f64, u32, f64)>,
}

impl Pool {
    fn new(config: Config, seed: u64) -> Pool {
        let mut monitor = Monitor::new(config);
        for key in 0..REPLICAS {
            monitor.add(Time::ZERO, Key(key));
            monitor.record_start(Time::ZERO, Key(key));
        }
        Pool {
            monitor,
            random: Pcg32::seed_from_u64(seed),
            millis: 0,
            engines: vec![(8.0, 0, 0.0); REPLICAS as usize],
        }
    }

    fn is_ejected(&self, key: u32) -> bool {
        self.monitor.allowance(Key(key)) == Allowance::None
    }

    /// Simulates one millisecond; replica 0 is slower by the factor.
    fn step(&mut self, slower: f64) {
        self.millis += 1;
        let now = Time::ZERO + Span::from_millis(self.millis);
        for key in 0..REPLICAS {
            let factor = if key == 0 { slower } else { 1.0 };
            self.run(now, key, factor);
        }
        self.monitor.tick(now);
    }

    fn run(&mut self, now: Time, key: u32, factor: f64) {
        let (mut streams, mut prompt, mut end) = self.engines[key as usize];
        for (tokens, rate) in [SHORT, BUNDLE] {
            if self.random.random_bool(rate / 1_000.0) {
                prompt += tokens;
            }
        }
        if end <= self.millis as f64 {
            let chunk = prompt.min(CHUNK);
            let takes = factor * (10.0 + 0.6 * streams + 0.1 * f64::from(chunk));
            prompt -= chunk;
            end = self.millis as f64 + takes;
            streams = (streams + self.random.random_range(-1.0..1.0)).clamp(1.0, 16.0);
            if !self.is_ejected(key) {
                self.monitor.record_progress(now, Key(key), Some(takes));
                if self.random.random_bool(0.1) {
                    self.monitor.record_end(now, Key(key), End::Finished);
                    self.monitor.record_start(now, Key(key));
                }
            }
        }
        self.engines[key as usize] = (streams, prompt, end);
    }
}
