//! Measures the memory that a ledger takes for each pair of deployment and account with a day of traffic.
//!
//! `cargo run --release -p burn --example size -- PAIRS`

use std::env;
use std::error::Error;
use std::fs;
use std::time::Instant;

use burn::Cause;
use burn::Ledger;
use burn::Outcome;
use burn::Sample;
use clock::Span;
use clock::Time;
use smol_str::SmolStr;

/// Requests of each pair in each slice of five minutes.
const REQUESTS: u64 = 20;
/// Width of a slice, milliseconds.
const SLICE_MS: u64 = 300_000;
/// Slices in a day.
const SLICES: u64 = 288;

fn main() -> Result<(), Box<dyn Error>> {
    let pairs = env::args()
        .nth(1)
        .map_or(Ok(1_000), |pairs| pairs.parse())?;
    measure(pairs)
}

/// Measures one number of pairs. Each needs a process of its own, because freed memory is reused.
fn measure(pairs: u64) -> Result<(), Box<dyn Error>> {
    let before_bytes = resident_bytes()?;
    let mut ledger = Ledger::new("entry-1".into(), "entry-1.1".into(), 0);
    let mut sample = Sample {
        deployment: "thesis".into(),
        account: "".into(),
        first_token: None,
        worst_gap: Span::from_millis(40),
        outcome: Outcome::Answered,
        cause: Cause::Waiting,
        recomputed: 3,
        cost_micros: 250,
    };
    let accounts: Vec<_> = (0..pairs)
        .map(|pair| format!("account-{pair}").into())
        .collect();
    let started = Instant::now();
    for slice in 0..SLICES {
        let now = Time::from_millis(slice * SLICE_MS);
        for account in &accounts {
            sample.account = SmolStr::clone(account);
            for request in 0..REQUESTS {
                sample.first_token = Some(Span::from_millis(20 + 23 * request));
                ledger.record(now, &sample);
            }
        }
        if slice % 12 == 0 {
            ledger.trim(now);
        }
    }
    let records = SLICES * pairs * REQUESTS;
    let nanos = started.elapsed().as_nanos() as u64 / records;
    let kept = resident_bytes()?.saturating_sub(before_bytes) / pairs;
    let summary = ledger.summary(Time::from_millis(SLICES * SLICE_MS), false);
    let text = serde_json::to_string(&summary)?;
    let peak = resident_bytes()?.saturating_sub(before_bytes) / pairs;
    let bytes = text.len() as u64 / pairs;
    println!("{pairs} pairs; a pair: {kept} bytes kept, {peak} while a summary is written");
    println!("{bytes} bytes of the summary a pair, {nanos} ns a record");
    Ok(())
}

/// Returns the resident memory of this process, bytes.
fn resident_bytes() -> Result<u64, Box<dyn Error>> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line
        .and_then(|line| line.split_whitespace().nth(1))
        .unwrap_or("0");
    Ok(kib.parse::<u64>()? * 1_024)
}
