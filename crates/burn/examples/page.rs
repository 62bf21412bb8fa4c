//! Simulates a day of two accounts and writes its report as text and as an HTML page.
//!
//! `cargo run -p burn --example page -- burn.html`

use std::env;
use std::error::Error;
use std::fs;

use burn::Cause;
use burn::Ledger;
use burn::Outcome;
use burn::Report;
use burn::Sample;
use burn::report::Target;
use clock::Span;
use clock::Time;

/// Milliseconds in an hour.
const HOUR_MS: u64 = 3_600_000;
/// Requests per account and hour.
const REQUESTS: u64 = 200;

fn main() -> Result<(), Box<dyn Error>> {
    let file = env::args().nth(1).unwrap_or_else(|| "burn.html".to_owned());
    let mut ledger = Ledger::new("entry-1".into(), "entry-1.1".into(), 0);
    let target = Target {
        first_token_ms: 480,
        token_gap_ms: 61,
        share_per_mille: 950,
    };
    let pairs = ["branches", "students"].map(|name| ("thesis".into(), name.into()));
    ledger.set_targets(Time::ZERO, pairs.map(|pair| (pair, target)));
    for hour in 0..24 {
        for request in 0..REQUESTS {
            let now = Time::from_millis(hour * HOUR_MS + request * 1_000);
            ledger.record(now, &sample("branches", 200 + request, Cause::Waiting));
            let reclaimed = if hour % 8 == 7 { 150 } else { 0 };
            let late = sample("students", 300 + request + reclaimed, Cause::Reclaim);
            ledger.record(now, &late);
        }
    }
    let end = Time::from_millis(24 * HOUR_MS - 1);
    let summary = ledger.summary(end, false);
    let report = Report::from_summaries(ledger.unix_ms(end), vec![summary]);
    print!("{}", report.to_text());
    fs::write(&file, report.to_html())?;
    println!("written to {file}");
    Ok(())
}

/// Creates an ended request.
fn sample(account: &str, first_token_ms: u64, cause: Cause) -> Sample {
    Sample {
        deployment: "thesis".into(),
        account: account.into(),
        first_token: Some(Span::from_millis(first_token_ms)),
        worst_gap: Span::from_millis(45),
        outcome: Outcome::Answered,
        cause,
        recomputed: u64::from(cause == Cause::Reclaim) * 12,
        cost_micros: 900,
    }
}
