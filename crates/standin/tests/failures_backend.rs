//! Backend servers that are reclaimed, killed or disconnected while they serve.

mod harness;

use std::time::Duration;

use client::call::Delivery;
use harness::caller::Reader;
use harness::caller::receipt;
use harness::caller::receipt_key;
use harness::cluster::Cluster;
use harness::cluster::Size;
use serde_json::json;
use verdict::Verdict;

const SIZE: Size = Size {
    entries: 3,
    engines: 6,
    services: 3,
    token_ms: 10,
};

/// Shorter than the streams of these tests, so that none can finish on the engine that started it.
const NOTICE_MS: u64 = 600;

/// Time within which every entry must stop using a leaving server.
const LEAVE_PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// An engine's instance is reclaimed with notice in mid-stream. The stream must be moved to another engine
/// complete and without recomputation, since KV can still be exported.
#[test]
fn reclaimed_engine_in_mid_stream() {
    harness::run(async {
        let mut cluster = Cluster::deployed(&SIZE).await;
        let mut reader = Reader::new(&cluster.caller(), "reclaimed engine", 150).await;
        reader.read(40).await;
        let index = cluster.wait_for_busy_engine().await;
        reclaim_and_kill(&mut cluster, &[index]).await;
        reader.finish().await;
        assert_eq!(reader.stream.reconnects(), 0);
        assert_eq!(recomputed_tokens_except(&cluster, &[index]).await, 0);
    });
}

/// An engine is reclaimed before the first token of a stream. The run goes on elsewhere from its KV cache; a run that began
/// anew there would compute the prompt a second time.
#[test]
fn reclaimed_engine_before_the_first_token() {
    harness::run(async {
        let slow = Size {
            token_ms: 1_500,
            ..SIZE
        };
        let mut cluster = Cluster::deployed(&slow).await;
        let mut reader = Reader::new(&cluster.caller(), "no token yet", 3).await;
        let index = cluster.wait_for_busy_engine().await;
        reclaim_and_kill(&mut cluster, &[index]).await;
        reader.finish().await;
        let mut computed = 0;
        for other in (0..cluster.engines.len()).filter(|other| *other != index) {
            computed += cluster.engine_counts(other).await.computed_tokens;
        }
        assert_eq!((reader.stream.reconnects(), computed), (0, 0));
    });
}

/// Without KV transfer the prompt and the tokens so far are recomputed on another engine.
#[test]
fn reclaimed_engine_without_transfer() {
    harness::run(async {
        let mut cluster = Cluster::deployed(&SIZE).await;
        for engine in &cluster.engines {
            cluster
                .backend_fault(&engine.process, json!({ "no_transfer": true }))
                .await;
        }
        let mut reader = Reader::new(&cluster.caller(), "no transfer", 150).await;
        reader.read(40).await;
        let index = cluster.wait_for_busy_engine().await;
        reclaim_and_kill(&mut cluster, &[index]).await;
        reader.finish().await;
        assert!(recomputed_tokens_except(&cluster, &[index]).await > 0);
    });
}

/// All engines, plain services and the entry of one zone are reclaimed together in mid-stream. Every stream
/// must end complete, and no receipt may be executed twice.
#[test]
fn reclaimed_zone_in_mid_stream() {
    harness::run(async {
        let mut cluster = Cluster::deployed(&SIZE).await;
        let caller = cluster.caller();
        let mut streams = Vec::new();
        for number in 0..12 {
            let mut reader = Reader::new(&caller, &format!("zone {number}"), 150).await;
            reader.read(5).await;
            streams.push(reader);
        }
        cluster
            .reclaim(json!({ "zone": "a", "deadline_ms": NOTICE_MS }))
            .await;
        cluster.entries[0].signal("TERM").await;
        let sending = async {
            for number in 0..10 {
                let body = format!("zone-{number}");
                caller
                    .call(&receipt(&body, Delivery::Ticket))
                    .await
                    .unwrap();
            }
        };
        let reading = futures::future::join_all(streams.iter_mut().map(Reader::finish));
        let killing = async {
            tokio::time::sleep(Duration::from_millis(NOTICE_MS)).await;
            cluster.engines[0].process.kill().await;
            cluster.engines[3].process.kill().await;
            cluster.services[0].process.kill().await;
        };
        tokio::join!(sending, reading, killing);
        for number in 0..10 {
            let key = receipt_key(&format!("zone-{number}"));
            let mut executions = 0;
            for service in 1..SIZE.services {
                let counts = cluster.service_counts(service).await;
                executions += counts.executions.get(&key).copied().unwrap_or(0);
            }
            assert!(executions <= 1, "{key}: {executions}");
        }
    });
}

/// An engine is killed without notice. The prompt and the tokens so far must be recomputed on another engine,
/// without an interruption that the reader notices.
#[test]
fn killed_engine_in_mid_stream() {
    harness::run(async {
        let mut cluster = Cluster::deployed(&SIZE).await;
        let mut reader = Reader::new(&cluster.caller(), "killed engine", 150).await;
        reader.read(40).await;
        let index = cluster.wait_for_busy_engine().await;
        cluster.engines[index].process.kill().await;
        reader.finish().await;
        assert_eq!(reader.stream.reconnects(), 0);
    });
}

/// The connection to a live engine is cut. The engine keeps the stream, so it must be resumed there without
/// recomputation.
#[test]
fn cut_connection_to_an_engine() {
    harness::run(async {
        let cluster = Cluster::deployed(&SIZE).await;
        for engine in &cluster.engines {
            cluster
                .backend_fault(&engine.process, json!({ "cut_at": 30 }))
                .await;
        }
        let mut reader = Reader::new(&cluster.caller(), "cut connection", 100).await;
        reader.finish().await;
        let mut started = 0;
        for engine in 0..SIZE.engines {
            started += cluster.engine_counts(engine).await.started.len();
        }
        assert_eq!(started, 1);
    });
}

/// The instance list is stale and still shows a reclaimed server as live. The notice alone must keep new
/// requests away from this incarnation for good.
#[test]
fn leaving_engine_gets_no_new_work() {
    harness::run(async {
        let cluster = Cluster::deployed(&SIZE).await;
        let leaving = &cluster.engines[0];
        cluster
            .reclaim(json!({ "id": leaving.instance.id, "deadline_ms": 120_000 }))
            .await;
        cluster.set_state(&leaving.instance.id, "live").await;
        tokio::time::sleep(LEAVE_PROPAGATION_TIME).await;
        let before = cluster.engine_counts(0).await.started.len();
        let caller = cluster.caller();
        for number in 0..24 {
            let mut reader = Reader::new(&caller, &format!("new work {number}"), 2).await;
            reader.finish().await;
        }
        assert_eq!(cluster.engine_counts(0).await.started.len(), before);
    });
}

/// A service executes a non-idempotent call and its response is lost. The verdict must be "may have run", and
/// the call must not be executed again.
#[test]
fn lost_answer_of_a_service() {
    harness::run(async {
        let cluster = Cluster::deployed(&SIZE).await;
        for service in &cluster.services {
            cluster
                .backend_fault(&service.process, json!({ "lose_answer": true }))
                .await;
        }
        let call = receipt("lost", Delivery::Ticket);
        let error = cluster.caller().call(&call).await.unwrap_err();
        assert_eq!(error.verdict, Verdict::MayHaveRun);
        assert_eq!(cluster.executions(&receipt_key("lost")).await, 1);
    });
}

/// Every service answers that it did not start the call: the verdict must be "not run".
#[test]
fn refusing_services_are_not_run() {
    harness::run(async {
        let cluster = Cluster::deployed(&SIZE).await;
        for service in &cluster.services {
            cluster
                .backend_fault(&service.process, json!({ "refuse": true }))
                .await;
        }
        let caller = cluster.caller_with_two_tries();
        let error = caller
            .call(&receipt("refused", Delivery::Ticket))
            .await
            .unwrap_err();
        assert_eq!(error.verdict, Verdict::NotRun);
        assert_eq!(cluster.executions(&receipt_key("refused")).await, 0);
    });
}

/// A service turns calls away and asks for a pause. Without it each entry would choose the service again, since
/// it has nothing to do.
#[test]
fn a_service_that_asks_for_a_pause_gets_one_call_of_each_entry() {
    harness::run(async {
        let cluster = Cluster::deployed(&SIZE).await;
        let fault = json!({ "refuse": true, "pause_ms": 600_000 });
        cluster
            .backend_fault(&cluster.services[0].process, fault)
            .await;
        let caller = cluster.caller_with_two_tries();
        for number in 0..40 {
            let call = receipt(&format!("paused-{number}"), Delivery::Ticket);
            caller.call(&call).await.unwrap();
        }
        let refused = cluster.service_counts(0).await.refused;
        assert!((1..=SIZE.entries as u32).contains(&refused), "{refused}");
    });
}

/// Sends reclaim notices to engines and kills them at the deadline.
async fn reclaim_and_kill(cluster: &mut Cluster, engines: &[usize]) {
    for index in engines {
        let id = cluster.engines[*index].instance.id.clone();
        cluster
            .reclaim(json!({ "id": id, "deadline_ms": NOTICE_MS }))
            .await;
    }
    tokio::time::sleep(Duration::from_millis(NOTICE_MS)).await;
    for index in engines {
        cluster.engines[*index].process.kill().await;
    }
}

/// Returns the recomputed tokens of all engines but the excluded ones.
async fn recomputed_tokens_except(cluster: &Cluster, excluded: &[usize]) -> u64 {
    let mut recomputed = 0;
    for index in 0..cluster.engines.len() {
        if !excluded.contains(&index) {
            recomputed += cluster.engine_counts(index).await.recomputed_tokens;
        }
    }
    recomputed
}
