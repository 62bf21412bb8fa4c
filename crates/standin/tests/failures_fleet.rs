//! The entry that orders a deployment's engines is frozen past its lease.

#![allow(clippy::unwrap_used)]

mod harness;

use config::deployment::Deployment;
use config::deployment::Kind;
use harness::wait_for;
use harness::world::Size;
use harness::world::World;
use ops::reply::Changed;
use ops::request::Edit;
use standin::engine::order::Standing;
use standin::sample;

const SIZE: Size = Size {
    entries: 3,
    engines: 0,
    services: 1,
    token_ms: 5,
};

const ENGINES: usize = 3;

/// The lease holder is frozen, another entry takes over and orders a newer model version, then the old holder
/// resumes. Its stale fencing number must be refused, and it must notice that its lease has expired.
#[test]
fn frozen_holder_and_engines_that_check_fencing() {
    harness::run(frozen_holder(&[]));
}

/// Engines accept every order, so only the old holder itself can prevent stale orders.
#[test]
fn frozen_holder_and_engines_that_ignore_fencing() {
    harness::run(frozen_holder(&["--ignores-fencing"]));
}

async fn frozen_holder(arguments: &[&str]) {
    let mut world = World::start(&SIZE).await;
    for zone in ["a", "b", "c"].iter().cycle().take(ENGINES) {
        world.add_engine_with(zone, arguments).await;
    }
    world.deploy().await;
    wait_until_loaded(&world, "v1").await;
    let holder = holder(&world).await;
    world.entries[holder].signal("STOP").await;
    let mut operator = world.operator((holder + 1) % SIZE.entries).await;
    let version = operator.version().await;
    let mut model = at_version("v2");
    model.checks_fencing = arguments.is_empty();
    let changed = operator
        .change("v2", version, Edit::ChangeDeployment(model))
        .await
        .unwrap();
    assert!(matches!(changed, Changed::Accepted { .. }), "{changed:?}");
    wait_until_loaded(&world, "v2").await;
    world.entries[holder].signal("CONT").await;
    world
        .wait_until_ready(&world.entries[holder], version + 1)
        .await;
    for at in 0..ENGINES {
        let standing = standing(&world, at).await;
        assert_eq!(standing.target.version, "v2", "engine {at}: {standing:?}");
    }
}

fn at_version(name: &str) -> Deployment {
    let mut model = sample::model();
    if let Kind::Model { version, .. } = &mut model.kind {
        *version = name.into();
    }
    model
}

/// Returns the index of the entry that ordered the engines.
async fn holder(world: &World) -> usize {
    let ordered = |log: String| log.contains("event=engine_ordered");
    wait_for("an order", async || {
        world.entries.iter().position(|entry| ordered(entry.log()))
    })
    .await
}

async fn wait_until_loaded(world: &World, version: &str) {
    for at in 0..ENGINES {
        wait_for("a loaded version", async || {
            let standing = standing(world, at).await;
            (standing.loaded && standing.target.version == version).then_some(())
        })
        .await;
    }
}

async fn standing(world: &World, at: usize) -> Standing {
    let address = world.engines[at].process.address("address");
    world.http.get(address, "/v1/state").await.unwrap()
}
