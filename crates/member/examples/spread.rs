//! Prints what membership costs per node as their number grows, and how long items take to reach all nodes.
//!
//! `cargo run --release -p member --example spread`

use std::time::Instant;

use clock::Span;
use member::configs::membership::Settings;
use member::digest::Item;
use member::digest::Topic;
use member::event::Event;
use member::fake::Fleet;

/// Time that members have to discover each other.
const WARM_UP: Span = Span::from_seconds(120);
/// Time over which costs are sampled.
const MEASUREMENT: Span = Span::from_seconds(60);
/// Longest time for one item to reach all nodes.
const PROPAGATION_LIMIT: Span = Span::from_seconds(120);
/// Longest time for a wave of items to reach all nodes.
const WAVE_LIMIT: Span = Span::from_seconds(600);

fn main() {
    println!(
        "nodes zones | sent B/s  received B/s  rows read B/s | steps/s  us/step  core% | reads/s  writes/s (all) | leaving  version (ms, a third frozen)"
    );
    for (nodes, zones) in [(8, 3), (16, 3), (32, 3), (64, 3), (840, 17)] {
        measure(nodes, zones);
    }
    println!("a wave: nodes, leaving backend servers, ms until all know all, bytes sent a node");
    for (nodes, items) in [(8, 12), (64, 100), (64, 1_000)] {
        wave(nodes, items);
    }
}

/// Publishes many leaving backend servers at one member, and prints how long they take to reach all.
fn wave(nodes: usize, items: usize) {
    let mut fleet = Fleet::default();
    for index in 0..nodes {
        fleet.start(&format!("zone-{}", index % 3), Settings::default());
    }
    fleet.run(WARM_UP.times(3));
    for node in &mut fleet.nodes {
        node.sent_bytes = 0;
    }
    let names: Vec<String> = (0..items).map(|number| format!("i-{number}.1")).collect();
    for name in &names {
        fleet.feed(0, Event::Publish(leaving(name)));
    }
    let took = fleet.run_until(WAVE_LIMIT, |fleet| {
        let mut members = fleet.nodes.iter().map(|node| &node.membership);
        members.all(|member| names.iter().all(|name| member.is_leaving(name)))
    });
    let sent: u64 = fleet.nodes.iter().map(|node| node.sent_bytes).sum();
    match took {
        Some(took) => println!(
            "{nodes:5} {items:6} {:8} {:8}",
            took.as_millis(),
            sent / nodes as u64
        ),
        None => println!("{nodes:5} {items:6} not within {WAVE_LIMIT}"),
    }
}

/// Returns the item of a leaving backend server.
fn leaving(name: &str) -> Item {
    Item {
        topic: Topic::Leaving,
        key: name.into(),
        version: 1,
        age_ms: 0,
        payload: Vec::new(),
    }
}

fn measure(nodes: usize, zones: usize) {
    let mut fleet = Fleet::default();
    fleet.apply_versions = true;
    for index in 0..nodes {
        fleet.start(&format!("zone-{}", index % zones), Settings::default());
        fleet.run(Span::from_millis(20));
    }
    fleet.run(WARM_UP);
    for node in &mut fleet.nodes {
        node.sent_bytes = 0;
        node.received_bytes = 0;
        node.read_bytes = 0;
        node.steps = 0;
    }
    let served = fleet.table.served();
    let start = Instant::now();
    fleet.run(MEASUREMENT);
    let took = start.elapsed();
    let seconds = MEASUREMENT.as_millis() as f64 / 1_000.0;
    let each = |total: u64| total as f64 / nodes as f64 / seconds;
    let sum = |value: fn(&member::fake::Node) -> u64| fleet.nodes.iter().map(value).sum::<u64>();
    let steps = sum(|node| node.steps);
    let micros = took.as_secs_f64() * 1e6 / steps as f64;
    let (sent, received) = (sum(|node| node.sent_bytes), sum(|node| node.received_bytes));
    let rows = sum(|node| node.read_bytes);
    let (reads, writes) = fleet.table.served();
    let all = |now: u64, before: u64| (now - before) as f64 / seconds;
    print!(
        "{nodes:5} {zones:5} | {:8.0} {:13.0} {:14.0} | {:7.1} {micros:8.1} {:6.3} | {:7.1} {:9.1}       |",
        each(sent),
        each(received),
        each(rows),
        each(steps),
        each(steps) * micros / 1e4,
        all(reads, served.0),
        all(writes, served.1),
    );
    println!("{}", propagation(&mut fleet));
}

/// Freezes a third of the nodes, then publishes a leaving backend server and a new version at another one.
fn propagation(fleet: &mut Fleet) -> String {
    let nodes = fleet.nodes.len();
    for index in (1..nodes).step_by(3) {
        fleet.set_frozen(index, true);
    }
    let item = leaving("i-7.1");
    fleet.feed(0, Event::Publish(item));
    let leaving = fleet.run_until(PROPAGATION_LIMIT, |fleet| {
        let mut thawed = fleet.nodes.iter().filter(|node| !node.frozen);
        thawed.all(|node| node.membership.is_leaving("i-7.1"))
    });
    fleet.feed(0, Event::Applied(1));
    let version = fleet.run_until(PROPAGATION_LIMIT, |fleet| {
        let mut thawed = fleet.nodes.iter().filter(|node| !node.frozen);
        thawed.all(|node| node.membership.applied_version() == 1)
    });
    let text = |span: Option<Span>| match span {
        Some(span) => format!("{:8}", span.as_millis()),
        None => String::from("  failed"),
    };
    format!("{} {}", text(leaving), text(version))
}
