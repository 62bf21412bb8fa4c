//! Engines that freeze, are reclaimed together, or leave according to the instance list only.

mod harness;

use std::time::Duration;

use harness::caller::Asked;
use harness::wait_for;
use harness::world::Size;
use harness::world::World;
use serde_json::json;

const SIZE: Size = Size {
    entries: 3,
    engines: 6,
    services: 0,
    token_ms: 10,
};

/// An engine's process freezes in mid-stream while its connections stay open. The rest of the stream must
/// come from another engine.
#[test]
fn frozen_engine_in_mid_stream() {
    harness::run(async {
        let world = World::deployed(&SIZE).await;
        let mut asked = Asked::new(&world.caller(), "frozen engine", 150).await;
        asked.read(40).await;
        let at = world.busy_engine().await;
        world.engines[at].process.signal("STOP").await;
        asked.finish().await;
        world.engines[at].process.signal("CONT").await;
    });
}

/// Half of the engines, in all zones, are reclaimed together, and one dies long before its deadline. Every
/// stream must end complete.
#[test]
fn wave_of_reclaims_with_one_early_death() {
    harness::run(async {
        let mut world = World::deployed(&SIZE).await;
        let caller = world.caller();
        let mut streams = Vec::new();
        for number in 0..12 {
            let mut asked = Asked::new(&caller, &format!("wave {number}"), 200).await;
            asked.read(5).await;
            streams.push(asked);
        }
        for at in [0, 1, 2] {
            let id = world.engines[at].instance.id.clone();
            world.reclaim(json!({ "id": id, "deadline_ms": 800 })).await;
        }
        world.engines[1].process.kill().await;
        let reading = futures::future::join_all(streams.iter_mut().map(Asked::finish));
        let taking = async {
            tokio::time::sleep(Duration::from_millis(800)).await;
            world.engines[0].process.kill().await;
            world.engines[2].process.kill().await;
        };
        tokio::join!(reading, taking);
    });
}

/// An engine that the instance list shows as leaving, without a notice, must get no new requests.
#[test]
fn engine_leaving_by_the_list_alone() {
    harness::run(async {
        let world = World::deployed(&SIZE).await;
        world
            .set_state(&world.engines[0].instance.id, "leaving")
            .await;
        wait_until_known_as_leaving(&world, &world.engines[0].instance.incarnation).await;
        let before = world.engine_counts(0).await.started.len();
        let caller = world.caller();
        for number in 0..24 {
            let mut asked = Asked::new(&caller, &format!("by the list {number}"), 2).await;
            asked.finish().await;
        }
        assert_eq!(world.engine_counts(0).await.started.len(), before);
    });
}

/// Waits until no entry shows the backend server as live.
async fn wait_until_known_as_leaving(world: &World, incarnation: &str) {
    for entry in 0..world.entries.len() {
        let mut operator = world.operator(entry).await;
        wait_for("a leaving engine", async || {
            let status = operator.status().await;
            let live = status.backends.iter().any(|backend| {
                backend.incarnation == incarnation
                    && backend.state == ops::reply::BackendState::Live
            });
            (!live).then_some(())
        })
        .await;
    }
}
