//! Runs every cell of the fault matrix.

use matrix::run;
use matrix::run::Outcome;
use matrix::table;

#[test]
fn cells_hold() {
    let cells = table::cells();
    let outcomes = run::run_all(&cells);
    let mut failed = 0;
    for (cell, outcome) in cells.iter().zip(&outcomes) {
        if let Outcome::NotProved(why) = outcome {
            failed += 1;
            println!("{cell:?} {why}");
        }
    }
    assert_eq!(failed, 0);
}
