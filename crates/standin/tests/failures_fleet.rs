//! The entry that orders a deployment's engines is frozen past its lease.

#![allow(clippy::unwrap_used)]

mod harness;

use config::deployment::Deployment;
use config::deployment::Kind;
use harness::cluster::Cluster;
use harness::cluster::Size;
use harness::wait_for;
use ops::reply::Changed;
use ops::request::Edit;
use standin::engine::order::Status;
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
    let mut cluster = Cluster::start(&SIZE).await;
    for zone in ["a", "b", "c"].iter().cycle().take(ENGINES) {
        cluster.add_engine_with(zone, arguments).await;
    }
    cluster.deploy().await;
    wait_until_loaded(&cluster, "v1").await;
    let holder = lease_holder(&cluster).await;
    cluster.entries[holder].signal("STOP").await;
    let mut operator = cluster.operator((holder + 1) % SIZE.entries).await;
    let version = operator.version().await;
    let mut model = model_at_version("v2");
    model.checks_fencing = arguments.is_empty();
    let changed = operator
        .change("v2", version, Edit::ChangeDeployment(model))
        .await
        .unwrap();
    assert!(matches!(changed, Changed::Accepted { .. }), "{changed:?}");
    wait_until_loaded(&cluster, "v2").await;
    cluster.entries[holder].signal("CONT").await;
    cluster
        .wait_until_ready(&cluster.entries[holder], version + 1)
        .await;
    for index in 0..ENGINES {
        let status = engine_status(&cluster, index).await;
        assert_eq!(status.target.version, "v2", "engine {index}: {status:?}");
    }
}

fn model_at_version(name: &str) -> Deployment {
    let mut model = sample::model();
    if let Kind::Model { version, .. } = &mut model.kind {
        *version = name.into();
    }
    model
}

/// Returns the index of the entry that ordered the engines.
async fn lease_holder(cluster: &Cluster) -> usize {
    let ordered = |log: String| log.contains("event=engine_ordered");
    wait_for("an order", async || {
        cluster
            .entries
            .iter()
            .position(|entry| ordered(entry.log()))
    })
    .await
}

async fn wait_until_loaded(cluster: &Cluster, version: &str) {
    for index in 0..ENGINES {
        wait_for("a loaded version", async || {
            let status = engine_status(cluster, index).await;
            (status.loaded && status.target.version == version).then_some(())
        })
        .await;
    }
}

async fn engine_status(cluster: &Cluster, index: usize) -> Status {
    let address = cluster.engines[index].process.address("address");
    cluster.http.get(address, "/v1/state").await.unwrap()
}
