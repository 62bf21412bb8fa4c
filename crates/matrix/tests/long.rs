//! Long or wide failures: an hour-long store outage, a reclaim of half of all instances, a rolling restart.

use clock::Span;
use matrix::check;
use matrix::fault::Fault;
use matrix::history::Fact;
use matrix::history::History;
use matrix::history::RequestId;
use matrix::world::Bug;
use matrix::world::Dedup;
use matrix::world::Shape;
use matrix::world::World;

/// Counts the requests of the list that were answered completely.
fn whole(history: &History, requests: &[RequestId]) -> usize {
    let facts = history.records.iter();
    facts
        .filter(|(_, fact)| {
            matches!(fact, Fact::Completed { request, .. } if requests.contains(request))
        })
        .count()
}

/// Answers and receipts by ticket must go on through an hour without the table service, in which leases
/// lapse and can't be renewed.
#[test]
fn requests_go_on_while_the_store_is_down_for_an_hour() {
    let hour = 3_600_000;
    let mut world = World::new(3, Shape::default(), Bug::None);
    world.schedule_fault(Span::ZERO, Fault::StoreDown(Span::from_millis(hour)));
    let mut requests = Vec::new();
    for at in (30_000..hour).step_by(60_000) {
        let after = Span::from_millis(at);
        requests.push(world.schedule_model(after, 30));
        requests.push(world.schedule_plain(after, true, Dedup::Ticket));
    }
    world.run_for(Span::from_millis(hour - 10_000));
    let before = whole(world.history(), &requests);
    let (history, _) = world.finish();
    assert_eq!(check::check(&history), vec![]);
    assert_eq!(before, requests.len());
}

/// Half of all backend servers are reclaimed at once, and the cloud starts no replacements for a while.
/// The streams that run there must complete elsewhere.
#[test]
fn streams_survive_a_wave_that_takes_half_of_the_instances() {
    let shape = Shape {
        entries: 4,
        engines: 12,
        services: 6,
    };
    let mut world = World::new(4, shape, Bug::None);
    let requests: Vec<RequestId> = (0..60)
        .map(|at| world.schedule_model(Span::from_millis(at * 50), 400))
        .collect();
    let wave = Span::from_seconds(4);
    world.schedule_fault(wave, Fault::RefuseInstances(Span::from_seconds(60)));
    for slot in (0..shape.engines + shape.services).step_by(2) {
        world.schedule_fault(wave, Fault::Reclaim(slot, Span::from_seconds(15)));
    }
    world.run_for(Span::from_seconds(20));
    let (history, _) = world.finish();
    assert_eq!(check::check(&history), vec![]);
    assert_eq!(whole(&history, &requests), requests.len());
}

/// All 8 entries are replaced one after another under load. No answer may be lost, duplicated or cut.
#[test]
fn all_entries_are_replaced_one_after_another() {
    let shape = Shape {
        entries: 8,
        ..Shape::default()
    };
    let mut world = World::new(5, shape, Bug::None);
    let mut requests = Vec::new();
    for at in (0..160_000).step_by(1_000) {
        let after = Span::from_millis(at);
        requests.push(world.schedule_model(after, 250));
        requests.push(world.schedule_plain(after, true, Dedup::Ticket));
        requests.push(world.schedule_plain(after, true, Dedup::Key));
    }
    for slot in 0..shape.entries {
        let after = Span::from_seconds(5 + 20 * slot as u64);
        world.schedule_fault(after, Fault::StopEntry(slot));
    }
    world.run_for(Span::from_seconds(170));
    let (history, _) = world.finish();
    assert_eq!(check::check(&history), vec![]);
    assert_eq!(whole(&history, &requests), requests.len());
}
