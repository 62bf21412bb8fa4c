//! Choice of the entry through which replicas are reached.

use policy::proxy::Candidate;
use policy::proxy::Table;
use smol_str::SmolStr;

fn table(capacities: &[u8]) -> Table {
    let candidate = |(number, capacity): (usize, &u8)| Candidate {
        address: SmolStr::from(format!("entry-{number}")),
        capacity: *capacity,
    };
    let mut table = Table::default();
    table.set(capacities.iter().enumerate().map(candidate).collect());
    table
}

/// Guards against one entry that carries all connections of those that are cut off.
#[test]
fn connections_are_spread_by_capacity() {
    let mut table = table(&[50, 100, 50]);
    let mut counts = [0; 3];
    for _ in 0..40 {
        let chosen = table.choose(&[]).expect("a candidate");
        table.record_opened(&chosen);
        let number: usize = chosen["entry-".len()..].parse().expect("a number");
        counts[number] += 1;
    }
    assert_eq!(counts, [10, 20, 10]);
}

#[test]
fn ended_connections_make_room() {
    let mut table = table(&[100, 100]);
    let first = table.choose(&[]).expect("a candidate");
    table.record_opened(&first);
    let second = table.choose(&[]).expect("a candidate");
    assert_ne!(first, second);
    table.record_opened(&second);
    table.record_closed(&second);
    assert_eq!(table.choose(&[]), Some(second));
}

/// Guards against asking an entry again that has just failed to connect.
#[test]
fn candidates_that_were_tried_are_not_chosen() {
    let table = table(&[100, 200]);
    let first = table.choose(&[]).expect("a candidate");
    let second = table
        .choose(std::slice::from_ref(&first))
        .expect("another one");
    assert_eq!(table.choose(&[first, second]), None);
}
