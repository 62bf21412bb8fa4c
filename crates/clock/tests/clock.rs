//! Saturating arithmetic of times and spans.

use clock::Span;
use clock::Time;

#[test]
fn time_saturates_at_both_ends() {
    let early = Time::from_millis(5);
    let late = Time::from_millis(9);
    assert_eq!(late.since(early), Span::from_millis(4));
    assert_eq!(early.since(late), Span::ZERO);
    assert_eq!(late - Span::from_millis(4), early);
    assert_eq!(early - Span::from_millis(9), Time::ZERO);
    assert_eq!(
        Time::from_millis(u64::MAX) + Span::from_millis(1),
        Time::from_millis(u64::MAX)
    );
    assert_eq!(Span::from_millis(100).scaled(-1.0), Span::ZERO);
}
