//! Choice of the entry through which replicas are reached.

use clock::Span;
use clock::Time;
use policy::proxy::Candidate;
use policy::proxy::Table;
use smol_str::SmolStr;

const NOW: Time = Time::from_millis(5_000);

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
        let chosen = table.choose(NOW, &[]).expect("a candidate");
        table.record_opened(&chosen);
        let number: usize = chosen["entry-".len()..].parse().expect("a number");
        counts[number] += 1;
    }
    assert_eq!(counts, [10, 20, 10]);
}

#[test]
fn ended_connections_make_room() {
    let mut table = table(&[100, 100]);
    let first = table.choose(NOW, &[]).expect("a candidate");
    table.record_opened(&first);
    let second = table.choose(NOW, &[]).expect("a candidate");
    assert_ne!(first, second);
    table.record_opened(&second);
    table.record_closed(&second);
    assert_eq!(table.choose(NOW, &[]), Some(second));
}

/// Guards against asking an entry again that has just failed to connect.
#[test]
fn candidates_that_were_tried_are_not_chosen() {
    let table = table(&[100, 200]);
    let first = table.choose(NOW, &[]).expect("a candidate");
    let second = table
        .choose(NOW, std::slice::from_ref(&first))
        .expect("another one");
    assert_eq!(table.choose(NOW, &[first, second]), None);
}

/// Guards against blaming an entry for one silent server behind it, and against taking a silent entry for alive.
#[test]
fn a_candidate_is_active_while_bytes_come_through_it() {
    let mut table = table(&[100, 100]);
    let one = table.choose(NOW, &[]).expect("a candidate");
    assert!(!table.was_active(NOW, &one, Span::from_millis(500)));
    table.record_activity(NOW, &one);
    let soon = NOW + Span::from_millis(400);
    assert!(table.was_active(soon, &one, Span::from_millis(500)));
    assert!(!table.was_active(soon, &one, Span::from_millis(300)));
}

/// Guards against choosing a frozen entry each time because it has no connections.
#[test]
fn a_candidate_that_does_not_answer_is_avoided_for_a_while() {
    let mut table = table(&[200, 100]);
    let frozen = table.choose(NOW, &[]).expect("a candidate");
    table.record_failure(NOW, &frozen);
    let other = table.choose(NOW, &[]).expect("another one");
    assert_ne!(other, frozen);
    // It is better than none.
    assert_eq!(
        table.choose(NOW, std::slice::from_ref(&other)),
        Some(frozen.clone())
    );
    let later = NOW + Span::from_millis(1_000);
    assert_eq!(table.choose(later, &[]), Some(frozen));
}
