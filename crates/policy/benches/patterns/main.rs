//! Prints tables of results by load pattern and policy, and with each module off in turn.
//!
//! `cargo bench -p policy --bench patterns -- [table|ablation|slopes] [pattern]`; without an
//! argument it prints all. Everything but the slopes runs in virtual time, with seeds 1 to
//! [`SEEDS`] for every policy.

mod ablation;
mod goals;
mod slopes;
#[path = "../../tests/support/mod.rs"]
mod support;
mod table;

#[global_allocator]
static ALLOCATOR: slopes::Counting = slopes::Counting;

/// Runs of each pattern under each policy.
const SEEDS: u64 = 10;

fn main() {
    let mut arguments = std::env::args()
        .skip(1)
        .filter(|argument| !argument.starts_with('-'));
    let section = arguments.next().unwrap_or_default();
    let pattern = arguments.next().unwrap_or_default();
    if section.is_empty() || section == "table" {
        let rows = table::print(SEEDS, &pattern);
        goals::print(&rows, SEEDS);
    }
    if section.is_empty() || section == "ablation" {
        ablation::print(SEEDS, &pattern);
    }
    if section.is_empty() || section == "slopes" {
        slopes::print();
    }
}
