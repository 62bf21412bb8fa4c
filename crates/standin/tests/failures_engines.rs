//! Engines that freeze, are reclaimed together, or leave according to the instance list only.

mod harness;

use std::time::Duration;

use harness::caller::Reader;
use harness::cluster::Cluster;
use harness::cluster::Size;
use harness::wait_for;
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
        let cluster = Cluster::deployed(&SIZE).await;
        let mut reader = Reader::new(&cluster.caller(), "frozen engine", 150).await;
        reader.read(40).await;
        let index = cluster.wait_for_busy_engine().await;
        cluster.engines[index].process.signal("STOP").await;
        reader.finish().await;
        cluster.engines[index].process.signal("CONT").await;
    });
}

/// Half of the engines, in all zones, are reclaimed together, and one dies long before its deadline. Every
/// stream must end complete.
#[test]
fn wave_of_reclaims_with_one_early_death() {
    harness::run(async {
        let mut cluster = Cluster::deployed(&SIZE).await;
        let caller = cluster.caller();
        let mut streams = Vec::new();
        for number in 0..12 {
            let mut reader = Reader::new(&caller, &format!("wave {number}"), 200).await;
            reader.read(5).await;
            streams.push(reader);
        }
        for index in [0, 1, 2] {
            let id = cluster.engines[index].instance.id.clone();
            cluster
                .reclaim(json!({ "id": id, "deadline_ms": 800 }))
                .await;
        }
        cluster.engines[1].process.kill().await;
        let reading = futures::future::join_all(streams.iter_mut().map(Reader::finish));
        let killing = async {
            tokio::time::sleep(Duration::from_millis(800)).await;
            cluster.engines[0].process.kill().await;
            cluster.engines[2].process.kill().await;
        };
        tokio::join!(reading, killing);
    });
}

/// An engine that the instance list shows as leaving, without a notice, must get no new requests.
#[test]
fn engine_leaving_by_the_list_alone() {
    harness::run(async {
        let cluster = Cluster::deployed(&SIZE).await;
        cluster
            .set_state(&cluster.engines[0].instance.id, "leaving")
            .await;
        wait_until_not_live(&cluster, &cluster.engines[0].instance.incarnation).await;
        let before = cluster.engine_counts(0).await.started.len();
        let caller = cluster.caller();
        for number in 0..24 {
            let mut reader = Reader::new(&caller, &format!("by the list {number}"), 2).await;
            reader.finish().await;
        }
        assert_eq!(cluster.engine_counts(0).await.started.len(), before);
    });
}

/// Waits until no entry shows the backend server as live.
async fn wait_until_not_live(cluster: &Cluster, incarnation: &str) {
    for entry in 0..cluster.entries.len() {
        let mut operator = cluster.operator(entry).await;
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
