//! Room for requests and answers.

use bytes::Bytes;
use intake::budget::Budget;
use intake::budget::SMALL_BYTES;

const SIZE: usize = 1 << 20;

fn budget() -> Budget {
    Budget::new(SIZE, SIZE / 4)
}

/// Guards against large requests that leave no room for small ones.
#[test]
fn large_holds_leave_the_reserve_to_small_ones() {
    let budget = budget();
    let mut large = budget.hold();
    assert!(!large.try_grow(SIZE));
    assert!(large.try_grow(SIZE - SIZE / 4));
    assert!(!budget.hold().try_grow(SMALL_BYTES + 1));
    let mut small = budget.hold();
    assert!(small.try_grow(SMALL_BYTES));
    assert!(!budget.may_fit(SIZE));
    assert!(budget.may_fit(SIZE - SIZE / 4));
}

/// Guards against room that isn't given back, or given back while parts of a body are still in use.
#[test]
fn room_is_given_back_with_the_last_part_of_a_buffer() {
    let budget = budget();
    let mut hold = budget.hold();
    assert!(hold.try_grow(1_000));
    let body = hold.attach(Bytes::from(vec![0; 1_000]));
    let part = body.slice(10..20);
    drop(body);
    assert_eq!(budget.used(), 1_000);
    drop(part);
    assert_eq!(budget.used(), 0);
}
