//! The end of a stop: after a reload of the settings, and at an entry that handles its request late.

mod support;

use std::ops::RangeInclusive;

use clock::Span;
use gateway::configs::gateway::Settings;
use support::World;
use support::default_settings;

/// Grace period at the time of the stop.
const GRACE: Span = Span::from_millis(8_000);
/// Time before the end of the grace period at which an entry with open requests exits, with a margin for ticks.
const EXIT_WINDOW: RangeInclusive<u64> = 7_700..=8_000;

/// Asks an entry with an open request to stop, reloads `grace` a second later; returns after how long the entry exits.
fn exit_after_reload(grace: Span) -> u64 {
    let mut world = World::with_settings(1, settings(GRACE));
    world.run(5_000);
    world.arrive(0, "/filings/1", None);
    world.stop(0);
    world.run(1_000);
    world.reload(0, settings(grace));
    1_000 + run_to_exit(&mut world)
}

/// Returns after how long the entry exits.
fn run_to_exit(world: &mut World) -> u64 {
    let began = world.now;
    while world.log_count("stopped") == 0 {
        world.run(50);
        assert!(world.now < began + 60_000, "the entry never exits");
    }
    world.now - began
}

fn settings(grace: Span) -> Settings {
    Settings {
        grace,
        ..default_settings(1)
    }
}

/// Guards against cutting an answer because a reload shortens the grace period of a stop that has begun.
#[test]
fn a_reload_that_shortens_the_grace_period_does_not_end_a_stop_sooner() {
    for grace in [0, 500, 1_000, 3_000] {
        let exit = exit_after_reload(Span::from_millis(grace));
        assert!(EXIT_WINDOW.contains(&exit), "grace {grace}: {exit}");
    }
}

/// Guards against an entry that is killed amid its answers because a reload lengthens the grace period of its stop.
#[test]
fn a_reload_that_lengthens_the_grace_period_does_not_end_a_stop_later() {
    for grace in [8_500, 20_000] {
        let exit = exit_after_reload(Span::from_millis(grace));
        assert!(EXIT_WINDOW.contains(&exit), "grace {grace}: {exit}");
    }
}

/// Guards against an entry that is killed amid its answers, because it stood still while the stop was requested.
#[test]
fn a_stop_that_is_handled_late_ends_in_time() {
    for pending in [100, 1_500, 4_000] {
        let mut world = World::with_settings(1, settings(GRACE));
        world.run(5_000);
        world.arrive(0, "/filings/1", None);
        world.stop_pending(0, pending);
        let exit = pending + run_to_exit(&mut world);
        assert!(EXIT_WINDOW.contains(&exit), "pending {pending}: {exit}");
    }
}

/// Guards against leaving callers alone that got the address just before a stop which was handled late.
#[test]
fn a_stop_that_is_handled_late_waits_for_callers_with_a_cached_address() {
    let mut world = World::with_settings(1, settings(GRACE));
    world.run(5_000);
    world.stop_pending(0, 4_000);
    let ttl = settings(GRACE).address_ttl.as_millis();
    assert!(run_to_exit(&mut world) >= ttl);
}
