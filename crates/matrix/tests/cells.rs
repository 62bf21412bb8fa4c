//! Runs every cell of the fault matrix and compares the outcomes with docs/FAULTS.md.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::sync::OnceLock;

use matrix::cell::Cell;
use matrix::page;
use matrix::process;
use matrix::run;
use matrix::run::Outcome;
use matrix::table;

/// Returns every cell with its outcome; they run only once for all tests.
fn outcomes() -> &'static (Vec<Cell>, Vec<Outcome>) {
    static OUTCOMES: OnceLock<(Vec<Cell>, Vec<Outcome>)> = OnceLock::new();
    OUTCOMES.get_or_init(|| {
        let cells = table::cells();
        let outcomes = run::run_all(&cells);
        println!("{}", page::counts(&outcomes));
        (cells, outcomes)
    })
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

#[test]
fn every_cell_is_proved_or_impossible() {
    let (cells, outcomes) = outcomes();
    let unproved: Vec<String> = cells
        .iter()
        .zip(outcomes)
        .filter_map(|(cell, outcome)| match outcome {
            Outcome::NotProved(reason) => Some(format!("{cell:?} {reason}")),
            _ => None,
        })
        .collect();
    assert!(unproved.is_empty(), "{}", unproved.join("\n"));
}

#[test]
fn the_page_is_current() {
    let (cells, outcomes) = outcomes();
    let page = fs::read_to_string(root().join("docs/FAULTS.md")).unwrap();
    let rendered = page::render(cells, outcomes);
    assert!(
        page == rendered,
        "run: cargo run --release -p matrix --example faults > docs/FAULTS.md"
    );
}

#[test]
fn tests_that_the_page_names_are_there() {
    for (_, _, name) in process::TESTS {
        let (file, test) = name.split_once("::").unwrap();
        let path = root().join(format!("crates/standin/tests/{file}.rs"));
        let text = fs::read_to_string(path).unwrap();
        assert!(text.contains(&format!("fn {test}(")), "{name}");
    }
}
