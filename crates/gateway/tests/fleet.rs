//! Replicas ordered by the holder of the duties, by the work that all entries see.

mod support;

use std::collections::BTreeMap;

use gateway::configs::gateway::Settings;
use support::World;
use support::order;

/// Tokens of a prompt and milliseconds until its answer starts: 40 tokens per millisecond.
const PROMPT_TOKENS: u32 = 2_000;
const PREFILL_MILLIS: u64 = 60;

/// Returns the number of replicas once all orders of the run have taken effect.
fn ordered(world: &World) -> u32 {
    let mut last = BTreeMap::new();
    for (zone, market, count) in world.duty_calls.iter().filter_map(order) {
        last.insert((zone, format!("{market:?}")), count);
    }
    last.values().sum()
}

#[test]
fn one_implausibly_fast_answer_stops_no_replicas() {
    // After all entries were killed, a new one took cached parts of its first prompt for uncached and
    // estimated fifty times the usual speed. The hubs' sum used the fastest entry's speed, and two thirds
    // of the fleet were stopped under full load.
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
    // Entries were restarted one after the other under a steady load, and 36 on-demand replicas were
    // ordered where 8 sufficed. The new entries took all work that the others had counted since their start
    // for new work.
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
        world.duty_calls.clear();
        for entry in 0..entries {
            world.kill(entry);
            world.start(entry);
            load(&mut world, 60);
        }

        let largest_order = world
            .duty_calls
            .iter()
            .filter_map(order)
            .map(|one| one.2)
            .max();

        assert!(
            largest_order.unwrap_or(0) <= initially,
            "{entries} entries: {largest_order:?} after {initially}"
        );
    }
}
