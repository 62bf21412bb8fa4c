//! Goals that the table is compared with.

use crate::support::load::Pattern;
use crate::support::patterns;
use crate::support::tally::Tally;
use crate::support::variant::Variant;
use crate::table;
use crate::table::Rows;

/// Prints each goal with its value and whether it is met.
pub fn print(rows: &Rows, seeds: u64) {
    println!("\n| goal | measured | reached |");
    println!("| --- | --- | --- |");
    baselines(rows);
    overload(rows, seeds);
    innocents(rows, "");
    innocents(rows, "/3");
    reclaim(rows);
    let scheduler: Vec<&Tally> = rows
        .iter()
        .filter(|row| row.policy == "ours")
        .flat_map(|row| &row.tallies)
        .collect();
    let wasted = scheduler
        .iter()
        .map(|tally| tally.wasted_share())
        .fold(0.0, f64::max);
    line(
        "useless work, worst run of any pattern, at most 0.1",
        &format!("{wasted:.3}"),
        wasted <= 0.1,
    );
    let killed = scheduler
        .iter()
        .map(|tally| tally.killed)
        .max()
        .unwrap_or(0);
    line(
        "replicas lost to a killer, worst run, at most 2",
        &killed.to_string(),
        killed <= 2,
    );
    let late_refusals: f64 = scheduler
        .iter()
        .map(|tally| tally.sum(|outcome| outcome.refused_after_infeasible))
        .sum();
    line(
        "refusals later than 100 ms after certainty, none",
        &late_refusals.to_string(),
        late_refusals == 0.0,
    );
    let lost_requests: u32 = scheduler
        .iter()
        .map(|tally| tally.unanswered + tally.duplicated)
        .sum();
    line(
        "requests forgotten or doubled, none",
        &lost_requests.to_string(),
        lost_requests == 0,
    );
    let false_verdicts: u32 = scheduler.iter().map(|tally| tally.false_not_run).sum();
    line(
        "false verdicts, none",
        &false_verdicts.to_string(),
        false_verdicts == 0,
    );
}

/// Compares the share within target with the best baseline, by pattern.
fn baselines(rows: &Rows) {
    for pattern in patterns::all() {
        // The baselines enforce no limits: they serve more than the account is entitled to.
        if pattern.name == "limited" {
            continue;
        }
        let share = |row: &table::Row| spread(&row.tallies, |tally| tally.share(None));
        let matching = |row: &&table::Row| row.pattern == pattern.name;
        let Some(scheduler) = rows
            .iter()
            .filter(matching)
            .find(|row| row.policy == "ours")
        else {
            continue;
        };
        let others = rows
            .iter()
            .filter(matching)
            .filter(|row| row.policy != "ours")
            .map(share);
        let Some(best) = others.max_by(|a, b| a.0.total_cmp(&b.0)) else {
            continue;
        };
        let scheduler_share = share(scheduler);
        let figure = format!(
            "{:.3} ± {:.3}, best baseline {:.3} ± {:.3}",
            scheduler_share.0, scheduler_share.1, best.0, best.1
        );
        let reached = scheduler_share.0 + scheduler_share.1 >= best.0 - best.1;
        line(
            &format!("{}: share not below the best baseline's", pattern.name),
            &figure,
            reached,
        );
    }
}

/// Compares goodput beyond capacity with goodput at capacity.
fn overload(rows: &Rows, seeds: u64) {
    let at_capacity = patterns::overload("capacity", 1.0);
    let goodput = |pattern: &Pattern| {
        let tallies = table::runs(&Variant::scheduler(), pattern, seeds);
        spread(&tallies, Tally::goodput).0
    };
    let (large, small) = (
        goodput(&at_capacity),
        goodput(&patterns::small(&at_capacity)),
    );
    for row in rows.iter().filter(|row| row.policy == "ours") {
        if !row.pattern.starts_with("overload") {
            continue;
        }
        let capacity = match row.pattern.ends_with("/3") {
            true => small,
            false => large,
        };
        let goodput = spread(&row.tallies, Tally::goodput).0;
        let figure = format!("{goodput:.1} of {capacity:.1}");
        let name = format!("{}: goodput at least 0.9 of that at capacity", row.pattern);
        line(&name, &figure, goodput >= 0.9 * capacity);
    }
}

/// Compares the other accounts beside a hot one with the same accounts alone.
fn innocents(rows: &Rows, size: &str) {
    let matching = |name: &str| {
        let name = format!("{name}{size}");
        rows.iter()
            .find(|row| row.policy == "ours" && row.pattern == name)
    };
    let (Some(hot), Some(alone)) = (matching("hot-caller"), matching("no-hot-caller")) else {
        return;
    };
    for account in [0, 1, 3, 4] {
        let share = |row: &table::Row| spread(&row.tallies, |tally| tally.share(Some(account))).0;
        let figure = format!("{:.3}, alone {:.3}", share(hot), share(alone));
        let name =
            format!("hot-caller{size}: account {account} at most 0.02 below its share alone");
        line(&name, &figure, share(hot) >= share(alone) - 0.02);
    }
}

/// Compares the tokens recomputed after the reclaim of a zone with the baselines.
fn reclaim(rows: &Rows) {
    let recomputed = |row: &table::Row| spread(&row.tallies, |tally| tally.recomputed as f64).0;
    let matching: Vec<&table::Row> = rows
        .iter()
        .filter(|row| row.pattern == "zone-reclaim")
        .collect();
    let Some(scheduler) = matching
        .iter()
        .find(|row| row.policy == "ours")
        .map(|row| recomputed(row))
    else {
        return;
    };
    let others = matching
        .iter()
        .filter(|row| row.policy != "ours")
        .map(|row| recomputed(row));
    let lowest = others.fold(f64::MAX, f64::min);
    let figure = format!("{scheduler:.0}, least baseline {lowest:.0}");
    line(
        "zone-reclaim: recomputed tokens at most a fifth",
        &figure,
        scheduler <= lowest / 5.0,
    );
}

fn line(goal: &str, figure: &str, reached: bool) {
    let answer = if reached { "yes" } else { "**no**" };
    println!("| {goal} | {figure} | {answer} |");
}

/// Returns the mean and standard deviation.
fn spread(tallies: &[Tally], figure: impl Fn(&Tally) -> f64) -> (f64, f64) {
    table::spread(&tallies.iter().map(figure).collect::<Vec<f64>>())
}
