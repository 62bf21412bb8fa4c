//! Prints docs/FAULTS.md: `cargo run --release -p matrix --example faults > docs/FAULTS.md`.

use matrix::page;
use matrix::run;
use matrix::table;

fn main() {
    let cells = table::cells();
    let outcomes = run::run_all(&cells);
    print!("{}", page::render(&cells, &outcomes));
}
