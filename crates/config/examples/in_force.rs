//! Measures in virtual time how long a change takes to be in force everywhere and to be accepted.
//!
//! `cargo run --release -p config --example in_force`

#[path = "../tests/common/mod.rs"]
mod common;

use clock::Span;
use common::World;
use common::entries;
use config::change::Answer;

/// Number of independent changes in each case.
const CHANGES: u32 = 20;
/// Virtual time run after each change.
const CHANGE_INTERVAL: Span = Span::from_seconds(10);
/// Time limit of one change.
const TIME_LIMIT: Span = Span::from_seconds(60);

fn main() {
    println!(
        "entries  case                     in force ms: median most   accepted ms: median most"
    );
    for count in [8, 16, 32, 64] {
        measure(count, "no fault", |_| {});
        measure(count, "one frozen", |world| world.set_frozen(1, true));
        measure(count, "a third frozen", |world| {
            for index in (1..world.nodes.len()).step_by(3) {
                world.set_frozen(index, true);
            }
        });
        measure(count, "one cut off the service", |world| {
            world.nodes[1].store_cut = true;
            world.run(Span::from_seconds(20));
        });
    }
}

fn measure(count: usize, case: &str, inject_fault: impl Fn(&mut World)) {
    let mut in_force_times = Vec::new();
    let mut acceptance_times = Vec::new();
    for number in 0..CHANGES {
        let mut world = entries(count);
        world.run(Span::from_millis(u64::from(number) * 137));
        inject_fault(&mut world);
        let start = world.now;
        let operation = world.set_weight(0, &format!("c{number}"), "harrow", number);
        let in_force = world.run_until(TIME_LIMIT, |world| {
            (0..count).all(|index| world.nodes[index].frozen || world.version(index) == 1)
        });
        in_force_times.extend(in_force.map(Span::as_millis));
        let answer = world.answer(operation);
        if answer == (Answer::Accepted { version: 1 }) {
            acceptance_times.push(world.now.since(start).as_millis());
        }
        world.run(CHANGE_INTERVAL);
    }
    println!(
        "{count:7}  {case:24} {:>19} {:>19}",
        summary(in_force_times),
        summary(acceptance_times)
    );
}

/// Formats the median and the maximum, and the number of changes that did not complete.
fn summary(mut values: Vec<u64>) -> String {
    values.sort_unstable();
    let missing = CHANGES as usize - values.len();
    match (values.get(values.len() / 2), values.last()) {
        (Some(median), Some(most)) if missing == 0 => format!("{median} {most}"),
        (Some(median), Some(most)) => format!("{median} {most} ({missing} not)"),
        _ => String::from("never"),
    }
}
