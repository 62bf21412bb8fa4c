//! Entries that are killed while they serve callers.

mod harness;

use harness::caller::Asked;
use harness::caller::receipt_at;
use harness::caller::receipt_key;
use harness::wait_for;
use harness::world::Size;
use harness::world::World;

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
        let mut world = World::deployed(&SIZE).await;
        let mut asked = Asked::new(&world.caller(), "killed entry", 150).await;
        asked.read(40).await;
        let at = world.entry_at(asked.stream.entry());
        world.entries[at].kill().await;
        asked.finish().await;
        assert_eq!(asked.stream.reconnects(), 1);
        assert_ne!(asked.stream.entry(), world.entries[at].address("callers"));
        let (mut started, mut recomputed) = (0, 0);
        for engine in 0..SIZE.engines {
            let counts = world.engine_counts(engine).await;
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
        let mut world = World::deployed(&SIZE).await;
        let slow = serde_json::json!({ "delay_ms": 3_000 });
        world.fault(&world.services[0].process, slow).await;
        let key = receipt_key("killed");
        let name = ("idempotency-key", "filing-1");
        let cut = {
            let killed = &world.entries[0];
            let (cut, ()) = tokio::join!(receipt_at(killed, "killed", name), async {
                wait_for("the receipt at the service", async || {
                    (world.executions(&key).await == 1).then_some(())
                })
                .await;
                killed.signal("KILL").await;
            });
            cut
        };
        assert_eq!(cut.status, 0, "{cut:?}");
        wait_for("its end", async || {
            world.entries[0].has_ended().then_some(())
        })
        .await;
        for entry in &world.entries[1..] {
            let again = receipt_at(entry, "killed", name).await;
            assert_eq!(again.verdict(), "may-have-run");
            assert_eq!(again.reason(), "repeated");
        }
        assert_eq!(world.executions(&key).await, 1);
    });
}
