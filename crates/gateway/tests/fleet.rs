//! Replicas that the holder of the duty orders, by the work that all entries see.

mod support;

use std::collections::BTreeMap;

use gateway::configs::gateway::Settings;
use support::World;
use support::order;

/// Tokens of a prompt, and the milliseconds until its answer begins: 40 tokens a millisecond.
const PROMPT_TOKENS: u32 = 2_000;
const PREFILL_MILLIS: u64 = 60;

/// Replicas that stand once all orders of the run are carried out.
fn ordered(world: &World) -> u32 {
    let mut last = BTreeMap::new();
    for (zone, market, count) in world.made.iter().filter_map(order) {
        last.insert((zone, format!("{market:?}")), count);
    }
    last.values().sum()
}

#[test]
fn one_implausibly_fast_answer_stops_no_replicas() {
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
    world.serve_prompt(5, 50 * PROMPT_TOKENS, PREFILL_MILLIS);
    for number in 0..200 {
        world.serve_prompt(number % entries, 2 * PROMPT_TOKENS, 2 * PREFILL_MILLIS);
    }

    let ordered_replicas = ordered(&world);

    assert!(ordered_replicas >= 3, "{ordered_replicas}");
}

#[test]
fn restarted_entries_do_not_order_for_past_work() {
    // One entry after the other was stopped and started under a steady load, and 36 on-demand replicas were ordered
    // where 8 were needed, and kept for half a minute. The new ones heard the others' counts one by one, and took all
    // that those had counted since they started for fresh work.
    for entries in [4, 24] {
        let settings = Settings {
            entries: entries as u32,
            order_replicas: true,
            ..Settings::default()
        };
        let mut world = World::with_settings(entries, settings);
        world.run(10_000);
        let mut number = 0;
        let mut load = |world: &mut World, requests: usize| {
            for _ in 0..requests {
                number += 1;
                world.serve_prompt(number % entries, PROMPT_TOKENS, PREFILL_MILLIS);
            }
        };
        load(&mut world, 400);
        let initially = ordered(&world);
        world.made.clear();
        for entry in 0..entries {
            world.kill(entry);
            world.start(entry);
            load(&mut world, 60);
        }

        let largest_order = world.made.iter().filter_map(order).map(|one| one.2).max();

        assert!(
            largest_order.unwrap_or(0) <= initially,
            "{entries} entries: {largest_order:?} after {initially}"
        );
    }
}
