//! Replicas that the holder of the duty orders, by the work that all entries see.

mod support;

use std::collections::BTreeMap;

use gateway::configs::gateway::Settings;
use support::World;
use support::order;

/// Tokens of a prompt, and the milliseconds until its answer begins: 40 tokens a millisecond.
const TOKENS: u32 = 2_000;
const TOOK: u64 = 60;

/// Replicas that stand once all orders of the run are carried out.
fn ordered(world: &World) -> u32 {
    let mut last = BTreeMap::new();
    for (zone, market, count) in world.made.iter().filter_map(order) {
        last.insert((zone, format!("{market:?}")), count);
    }
    last.values().sum()
}

#[test]
fn one_answer_that_came_too_soon_stops_no_replicas() {
    // All entries of a large system were killed. One of those that took their place had its first answer from a part
    // of the prompt that it took for unread, at fifty times the usual speed. The sum that all went by named the
    // quickest entry's speed as that of the replicas, and two thirds of the fleet were stopped under full load.
    let entries = 24;
    let settings = Settings {
        entries: entries as u32,
        order_replicas: true,
        ..Settings::default()
    };
    let mut world = World::with_settings(entries, settings);
    world.run(10_000);
    world.serve_prompt(5, 50 * TOKENS, TOOK);
    for number in 0..200 {
        world.serve_prompt(number % entries, 2 * TOKENS, 2 * TOOK);
    }

    let standing = ordered(&world);

    assert!(standing >= 3, "{standing}");
}
