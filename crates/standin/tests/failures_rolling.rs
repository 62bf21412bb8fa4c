//! Rolling replacement of all entries.

mod harness;

use harness::caller::Asked;
use harness::caller::receipt_key;
use harness::load::Load;
use harness::wait_for;
use harness::world::Size;
use harness::world::World;

const SIZE: Size = Size {
    entries: 8,
    engines: 3,
    services: 1,
    token_ms: 10,
};

/// All 8 entries are replaced one after another under load. Nothing may be lost, duplicated or cut: each
/// entry is removed from the addresses, hands over its streams and exits with code 0.
#[test]
fn rolling_replacement_under_load() {
    harness::run(async {
        let mut world = World::deployed(&SIZE).await;
        let caller = world.caller();
        let load = Load::start(&caller);
        for at in 0..SIZE.entries {
            let added = world.add_entry(["a", "b", "c"][at % 3]).await;
            let version = world.operator(added).await.version().await;
            world.wait_until_ready(&world.entries[added], version).await;
            let before = load.finished.get();
            world.entries[at].signal("TERM").await;
            let entry = &mut world.entries[at];
            let code = wait_for("the end of an entry", async || entry.exit_code()).await;
            assert_eq!(code, 0);
            wait_for("requests after it", async || {
                (load.finished.get() > before).then_some(())
            })
            .await;
        }
        let filed = load.stop().await;
        for body in &filed {
            assert_eq!(world.executions(&receipt_key(body)).await, 1, "{body}");
        }
        assert!(filed.len() >= SIZE.entries);
    });
}

/// A long stream can't end within the grace of an entry that is stopped. The entry names another one in the
/// stream, which must continue there without a cut or recomputation.
#[test]
fn stopped_entry_passes_long_streams_on() {
    harness::run(async {
        let mut world = World::deployed(&Size { entries: 3, ..SIZE }).await;
        let mut asked = Asked::new(&world.caller(), "a long report", 300).await;
        asked.read(20).await;
        let at = world.entry_at(asked.stream.entry());
        world.entries[at].signal("TERM").await;
        asked.finish().await;
        assert_eq!(
            (asked.stream.redirects(), asked.stream.reconnects()),
            (1, 0)
        );
        let entry = &mut world.entries[at];
        let code = wait_for("the end of the entry", async || entry.exit_code()).await;
        assert_eq!(code, 0);
        let mut started = 0;
        for engine in 0..SIZE.engines {
            started += world.engine_counts(engine).await.started.len();
        }
        assert_eq!(started, 1);
    });
}
