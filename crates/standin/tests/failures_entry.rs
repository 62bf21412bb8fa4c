//! Entries that are killed while they serve callers.

mod harness;

use harness::caller::Reader;
use harness::caller::receipt_at;
use harness::caller::receipt_key;
use harness::cluster::Cluster;
use harness::cluster::Size;
use harness::wait_for;

const SIZE: Size = Size {
    entries: 3,
    engines: 3,
    services: 1,
    token_ms: 10,
};

/// The entry that relays a stream is killed. The caller resumes at another entry with token and offset; the
/// engine still holds the stream, so it must continue without recomputation.
#[test]
fn killed_entry_in_mid_stream() {
    harness::run(async {
        let mut cluster = Cluster::deployed(&SIZE).await;
        let mut reader = Reader::new(&cluster.caller(), "killed entry", 150).await;
        reader.read(40).await;
        let index = cluster.entry_at(reader.stream.entry());
        cluster.entries[index].kill().await;
        reader.finish().await;
        assert_eq!(reader.stream.reconnects(), 1);
        assert_ne!(
            reader.stream.entry(),
            cluster.entries[index].address("callers")
        );
        let (mut started, mut recomputed) = (0, 0);
        for engine in 0..SIZE.engines {
            let counts = cluster.engine_counts(engine).await;
            started += counts.started.values().sum::<u32>();
            recomputed += counts.recomputed_tokens;
        }
        assert_eq!((started, recomputed), (1, 0));
    });
}

/// An entry is killed after it forwarded a receipt and before the response, and the caller retries. The retry
/// must be answered "may have run", and no other entry may execute the same key again.
#[test]
fn killed_entry_before_the_answer_of_a_non_idempotent_call() {
    harness::run(async {
        let mut cluster = Cluster::deployed(&SIZE).await;
        let slow = serde_json::json!({ "delay_ms": 3_000 });
        cluster
            .backend_fault(&cluster.services[0].process, slow)
            .await;
        let key = receipt_key("killed");
        let id_header = ("idempotency-key", "filing-1");
        let cut_response = {
            let killed_entry = &cluster.entries[0];
            let (cut_response, ()) =
                tokio::join!(receipt_at(killed_entry, "killed", id_header), async {
                    wait_for("the receipt at the service", async || {
                        (cluster.executions(&key).await == 1).then_some(())
                    })
                    .await;
                    killed_entry.signal("KILL").await;
                });
            cut_response
        };
        assert_eq!(cut_response.status, 0, "{cut_response:?}");
        wait_for("the end of the entry", async || {
            cluster.entries[0].has_ended().then_some(())
        })
        .await;
        for entry in &cluster.entries[1..] {
            let retry = receipt_at(entry, "killed", id_header).await;
            assert_eq!(retry.verdict(), "may-have-run");
            assert_eq!(retry.reason(), "repeated");
        }
        assert_eq!(cluster.executions(&key).await, 1);
    });
}
