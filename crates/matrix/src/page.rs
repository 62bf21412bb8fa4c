//! Renders docs/FAULTS.md from the cells and their outcomes.

use std::fmt::Write;

use crate::cell::Cell;
use crate::cell::STEPS;
use crate::cell::Step;
use crate::cell::TROUBLES;
use crate::cell::Trouble;
use crate::process;
use crate::run::Outcome;
use crate::run::SEEDS;

/// Introduction of the page.
const INTRODUCTION: &str = "# The fault matrix

Drawn by `cargo run --release -p matrix --example faults`; `cargo test -p matrix` runs every cell and
compares. Each cell brings a step about in a world of 4 entries (the reducers that ship) and small
fakes in virtual time, lets the fault happen at that very moment, waits until all is calm, and has the
history judged by a checker that knows only what callers, backend servers, operators and the cloud saw.

`p` proved: the step was reached with every seed and nothing was breached. `-` impossible. `N` not
proved. `P` proved, and also by a test with real processes on real sockets.
";

/// Limits of the matrix, at the end of the page.
const LIMITS: &str = "
## What \"proved\" does not cover

- Orders to model engines (load, version, role) and their fencing: the reducers of this matrix give
  none; see the tests of the fleet's holder.
- \"not run\" speaks of the one sending that was refused. A repeat under a ticket or key that comes to a
  leaving entry is told \"not run\" of itself, though an earlier sending may have run; it is to be
  repeated under the same ticket or key.
- An entry reclaimed or stopped while it is the only one: nobody is there to hand streams to.
- A start that was handed to I/O in the very moment before its entry was frozen lands when it thaws,
  whatever was announced meanwhile.
- Real clocks, sockets and memory: the tests named below, and no others, run whole processes.
";

/// Renders the whole page.
pub fn render(cells: &[Cell], outcomes: &[Outcome]) -> String {
    let mut page = String::from(INTRODUCTION);
    let _ = writeln!(page, "\n{}\n", counts(outcomes));
    legend(&mut page);
    singles(&mut page, cells, outcomes);
    pairs(&mut page, cells, outcomes);
    impossible(&mut page, cells, outcomes);
    not_proved(&mut page, cells, outcomes);
    process_tests(&mut page);
    page.push_str(LIMITS);
    page
}

/// Renders the number of cells by outcome.
pub fn counts(outcomes: &[Outcome]) -> String {
    let count =
        |matches: fn(&Outcome) -> bool| outcomes.iter().filter(|outcome| matches(outcome)).count();
    let impossible = count(|outcome| matches!(outcome, Outcome::Impossible(_)));
    let proved = count(|outcome| *outcome == Outcome::Proved);
    let not_proved = outcomes.len() - impossible - proved;
    let run = outcomes.len() - impossible;
    format!(
        "Cells: {} in all, {run} run with {} seeds each, {proved} proved, {impossible} impossible, \
         {not_proved} not proved.",
        outcomes.len(),
        SEEDS.len()
    )
}

/// Appends the numbered legend of the columns.
fn legend(page: &mut String) {
    for (number, trouble) in TROUBLES.iter().enumerate() {
        let _ = writeln!(page, "{}. {}", number + 1, trouble_name(*trouble));
    }
}

/// Appends the table of single faults.
fn singles(page: &mut String, cells: &[Cell], outcomes: &[Outcome]) {
    let _ = write!(page, "\n| step |");
    for number in 1..=TROUBLES.len() {
        let _ = write!(page, " {number} |");
    }
    let _ = writeln!(page, "\n| --- |{}", " --- |".repeat(TROUBLES.len()));
    for step in STEPS {
        let _ = write!(page, "| {} |", step_name(step));
        for trouble in TROUBLES {
            let at = cells.iter().position(|cell| {
                cell.step == step && cell.first == trouble && cell.second.is_none()
            });
            let outcome = at.and_then(|at| outcomes.get(at));
            let _ = write!(page, " {} |", letter(step, trouble, outcome));
        }
        page.push('\n');
    }
}

fn letter(step: Step, trouble: Trouble, outcome: Option<&Outcome>) -> &'static str {
    match outcome {
        Some(Outcome::Proved) if process::has_test(step, trouble) => "P",
        Some(Outcome::Proved) => "p",
        Some(Outcome::Impossible(_)) => "-",
        Some(Outcome::NotProved(_)) | None => "N",
    }
}

/// Appends the table of pairs of faults.
fn pairs(page: &mut String, cells: &[Cell], outcomes: &[Outcome]) {
    page.push_str("\n## Pairs\n\n| step | faults at once | |\n| --- | --- | --- |\n");
    for (cell, outcome) in cells.iter().zip(outcomes) {
        if let Some(second) = cell.second {
            let sign = letter(cell.step, cell.first, Some(outcome)).to_lowercase();
            let (first, second) = (trouble_name(cell.first), trouble_name(second));
            let step = step_name(cell.step);
            let _ = writeln!(page, "| {step} | {first}; {second} | {sign} |");
        }
    }
}

/// Appends the reasons why cells are impossible.
fn impossible(page: &mut String, cells: &[Cell], outcomes: &[Outcome]) {
    page.push_str("\n## Impossible\n\n");
    for (cell, outcome) in cells.iter().zip(outcomes) {
        if let Outcome::Impossible(reason) = outcome {
            let (step, first) = (step_name(cell.step), trouble_name(cell.first));
            let _ = writeln!(page, "- {step}, {first}: {reason}");
        }
    }
}

/// Appends the reasons why cells are not proved.
fn not_proved(page: &mut String, cells: &[Cell], outcomes: &[Outcome]) {
    page.push_str("\n## Not proved\n\n");
    let mut none = true;
    for (cell, outcome) in cells.iter().zip(outcomes) {
        if let Outcome::NotProved(reason) = outcome {
            none = false;
            let (step, first) = (step_name(cell.step), trouble_name(cell.first));
            let _ = writeln!(page, "- {step}, {first}: {reason}");
        }
    }
    if none {
        page.push_str("No cell.\n");
    }
}

/// Appends the table of tests with real processes.
fn process_tests(page: &mut String) {
    page.push_str("\n## With real processes\n\n");
    page.push_str("| step | fault | test in `crates/standin/tests/` |\n| --- | --- | --- |\n");
    for (step, trouble, test) in process::TESTS {
        let (step, trouble) = (step_name(*step), trouble_name(*trouble));
        let _ = writeln!(page, "| {step} | {trouble} | `{test}` |");
    }
}

fn step_name(step: Step) -> &'static str {
    match step {
        Step::Arrived => "arrived",
        Step::LeaveByTicket => "leave sought by ticket",
        Step::LeaveByRow => "leave sought by row",
        Step::Queued => "queued",
        Step::PlainRuns => "plain call runs",
        Step::Started => "started",
        Step::Head => "head given",
        Step::Streaming => "streaming",
        Step::Moved => "moved",
        Step::Ended => "last token given",
        Step::Resumed => "resumed",
        Step::HandedOff => "handed off",
        Step::Cancelled => "cancelled",
        Step::LeaseRenewal => "lease renewal",
        Step::ConfigCommit => "configuration commit",
        Step::ConfigApply => "configuration apply",
        Step::Drain => "drain",
        Step::LedgerHandover => "ledger handover",
        Step::InstanceLeave => "instance leave",
    }
}

fn trouble_name(trouble: Trouble) -> &'static str {
    match trouble {
        Trouble::KillEntry => "entry killed",
        Trouble::KillBackend => "backend server killed",
        Trouble::Freeze => "entry frozen for 3 s",
        Trouble::LeaseLapsed => "entry frozen until its lease lapsed (12 s)",
        Trouble::CutOut => "entry's words to peers lost",
        Trouble::CutIn => "peers' words to the entry lost",
        Trouble::CutCallers => "callers' connections cut",
        Trouble::CutEngines => "connections to model engines cut",
        Trouble::Slow => "peers slow",
        Trouble::LostAnswer => "answers of store and services lost after their effect",
        Trouble::StoreDown => "store down",
        Trouble::StoreSlow => "store slow",
        Trouble::ReclaimInstance => "backend server's instance reclaimed",
        Trouble::ReclaimZone => "zone reclaimed, entry included",
        Trouble::ReclaimEntry => "entry's instance reclaimed",
        Trouble::StopEntry => "entry asked to stop",
        Trouble::RefusedReplacement => "instance reclaimed and no other started",
        Trouble::OperatorsRace => "operators racing",
        Trouble::KillerRequest => "a request that crashes model engines",
    }
}
