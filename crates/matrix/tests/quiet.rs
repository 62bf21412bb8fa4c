//! A run without faults breaches no guarantee.

use clock::Span;
use matrix::check;
use matrix::world::Bug;
use matrix::world::Dedup;
use matrix::world::Shape;
use matrix::world::World;

#[test]
fn nothing_is_found_in_a_quiet_run() {
    let mut world = World::new(1, Shape::default(), Bug::None);
    assert!(world.all_ready());
    for at in 0..20 {
        world.schedule_model(Span::from_millis(at * 100), 20);
        world.schedule_plain(Span::from_millis(at * 130), true, Dedup::Ticket);
        world.schedule_plain(Span::from_millis(at * 130), true, Dedup::Key);
        world.schedule_plain(Span::from_millis(at * 130), false, Dedup::None);
    }
    let (history, _) = world.finish();
    let whole = history.records.iter().filter(
        |(_, fact)| matches!(fact, matrix::history::Fact::Completed { request, .. } if request.0 < 80),
    );
    assert_eq!(check::check(&history), vec![]);
    assert_eq!(whole.count(), 80);
}
