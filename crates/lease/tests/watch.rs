//! Conditions under which another process's lease counts as lapsed.

use clock::Span;
use clock::Time;
use lease::watch::Watch;

const TERM: Span = Span::from_seconds(6);
const MARGIN: Span = Span::from_seconds(1);

/// The answer to a read is delayed for longer than a term, and the holder has renewed since. The read
/// shows the row as of when it was sent; counting from its arrival would take the lease from a live holder.
#[test]
fn a_read_counts_from_when_it_was_asked() {
    let start = Time::from_millis(1_000);
    let late = start + TERM + MARGIN;
    let mut watch = Watch::new(4, start);
    watch.observe(4, start + Span::from_millis(10), late);
    assert!(!watch.has_lapsed(TERM, MARGIN));
    watch.observe(4, late, late);
    assert!(watch.has_lapsed(TERM, MARGIN));
}

/// Answers arrive out of order. An older revision must not replace a newer one.
#[test]
fn an_older_revision_changes_nothing() {
    let start = Time::from_millis(1_000);
    let mut watch = Watch::new(5, start);
    watch.observe(4, start + TERM + MARGIN, start + TERM + MARGIN);
    assert_eq!(watch.revision(), 5);
    assert!(!watch.has_lapsed(TERM, MARGIN));
}
