//! Table of results by pattern and policy.

use crate::support::load::Pattern;
use crate::support::patterns;
use crate::support::tally::Tally;
use crate::support::variant::Variant;

/// One column of the table.
pub struct Column {
    /// Heading.
    pub head: &'static str,
    /// Digits after the decimal point.
    pub digits: usize,
    /// Value for one run.
    pub figure: fn(&Tally) -> f64,
}

/// Heading of the column with the mean share of each account in turn.
const BY_ACCOUNT: &str = "by account";

/// Columns of every table.
pub const COLUMNS: &[Column] = &[
    column("share", 3, |tally| tally.share(None)),
    column("worst account", 3, Tally::worst_share),
    column(BY_ACCOUNT, 0, |_| 0.0),
    column("goodput/s", 1, Tally::goodput),
    column("p50 ms", 0, |tally| tally.first_token_quantile(0.5)),
    column("p95 ms", 0, |tally| tally.first_token_quantile(0.95)),
    column("p99 ms", 0, |tally| tally.first_token_quantile(0.99)),
    column("refused at once", 0, |tally| {
        tally.sum(|outcome| outcome.refused_immediately)
    }),
    column("refused late", 0, |tally| {
        tally.sum(|outcome| outcome.refused_late)
    }),
    column("after certain", 0, |tally| {
        tally.sum(|outcome| outcome.refused_after_infeasible)
    }),
    column("jain", 3, Tally::jain),
    column("replica s/answer", 3, Tally::replica_seconds_per_answer),
    column("recomputed", 0, |tally| tally.recomputed as f64),
    column("useless", 3, Tally::wasted_share),
    column("killed", 0, |tally| f64::from(tally.killed)),
    column("forgotten", 0, |tally| f64::from(tally.unanswered)),
    column("false verdicts", 0, |tally| f64::from(tally.false_not_run)),
];

const fn column(head: &'static str, digits: usize, figure: fn(&Tally) -> f64) -> Column {
    Column {
        head,
        digits,
        figure,
    }
}

/// The runs of one row.
pub struct Row {
    /// Name of the pattern.
    pub pattern: &'static str,
    /// Name of the policy.
    pub policy: &'static str,
    /// Results by seed.
    pub tallies: Vec<Tally>,
}

/// All rows of a table.
pub type Rows = Vec<Row>;

/// Prints the table of all patterns whose name starts with `wanted`.
pub fn print(seeds: u64, prefix: &str) -> Rows {
    println!("\nEach figure: mean ± standard deviation over seeds 1 to {seeds}.\n");
    head("pattern", "policy");
    let mut rows = Rows::new();
    for pattern in patterns::all() {
        if !pattern.name.starts_with(prefix) {
            continue;
        }
        for variant in Variant::all() {
            let tallies = runs(&variant, &pattern, seeds);
            row(pattern.name, variant.name(), &tallies);
            rows.push(Row {
                pattern: pattern.name,
                policy: variant.name(),
                tallies,
            });
        }
    }
    rows
}

/// Runs a pattern once per seed.
pub fn runs(variant: &Variant, pattern: &Pattern, seeds: u64) -> Vec<Tally> {
    (1..=seeds).map(|seed| variant.run(pattern, seed)).collect()
}

/// Prints a table's heading.
pub fn head(first: &str, second: &str) {
    let heads: Vec<&str> = COLUMNS.iter().map(|column| column.head).collect();
    println!("| {first} | {second} | {} |", heads.join(" | "));
    println!("|{}", " --- |".repeat(COLUMNS.len() + 2));
}

/// Prints one row.
pub fn row(first: &str, second: &str, tallies: &[Tally]) {
    let cells: Vec<String> = COLUMNS.iter().map(|column| cell(column, tallies)).collect();
    println!("| {first} | {second} | {} |", cells.join(" | "));
}

fn cell(column: &Column, tallies: &[Tally]) -> String {
    if column.head == BY_ACCOUNT {
        return by_account(tallies);
    }
    let figures: Vec<f64> = tallies.iter().map(column.figure).collect();
    let (mean, deviation) = spread(&figures);
    let digits = column.digits;
    if deviation == 0.0 {
        return format!("{mean:.digits$}");
    }
    format!("{mean:.digits$} ± {deviation:.digits$}")
}

fn by_account(tallies: &[Tally]) -> String {
    let accounts = tallies.first().map_or(0, |tally| tally.weights.len());
    let mean = |account: usize| {
        let shares = tallies.iter().map(|tally| tally.share(Some(account)));
        shares.sum::<f64>() / tallies.len() as f64
    };
    let shares: Vec<String> = (0..accounts)
        .map(|account| format!("{:.3}", mean(account)))
        .collect();
    shares.join(" ")
}

/// Returns the mean and standard deviation.
pub fn spread(figures: &[f64]) -> (f64, f64) {
    let count = figures.len() as f64;
    let mean = figures.iter().sum::<f64>() / count;
    let squares = figures
        .iter()
        .map(|figure| (figure - mean).powi(2))
        .sum::<f64>();
    (mean, (squares / (count - 1.0).max(1.0)).sqrt())
}
