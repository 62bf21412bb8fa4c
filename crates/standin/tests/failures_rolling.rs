//! Rolling replacement of all entries.

mod harness;

use harness::caller::Reader;
use harness::caller::receipt_key;
use harness::cluster::Cluster;
use harness::cluster::Size;
use harness::load::Load;
use harness::wait_for;

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
        let mut cluster = Cluster::deployed(&SIZE).await;
        let caller = cluster.caller();
        let load = Load::start(&caller);
        for index in 0..SIZE.entries {
            let added = cluster.add_entry(["a", "b", "c"][index % 3]).await;
            let version = cluster.operator(added).await.version().await;
            cluster
                .wait_until_ready(&cluster.entries[added], version)
                .await;
            let before = load.finished_streams.get();
            cluster.entries[index].signal("TERM").await;
            let entry = &mut cluster.entries[index];
            let code = wait_for("the end of an entry", async || entry.exit_code()).await;
            assert_eq!(code, 0);
            wait_for("requests after it", async || {
                (load.finished_streams.get() > before).then_some(())
            })
            .await;
        }
        let receipts = load.stop().await;
        for body in &receipts {
            assert_eq!(cluster.executions(&receipt_key(body)).await, 1, "{body}");
        }
        assert!(receipts.len() >= SIZE.entries);
    });
}

/// A long stream can't end within the grace of an entry that is stopped. The entry names another one in the
/// stream, which must continue there without a cut or recomputation.
#[test]
fn stopped_entry_passes_long_streams_on() {
    harness::run(async {
        let mut cluster = Cluster::deployed(&Size { entries: 3, ..SIZE }).await;
        let mut reader = Reader::new(&cluster.caller(), "a long report", 300).await;
        reader.read(20).await;
        let index = cluster.entry_at(reader.stream.entry());
        cluster.entries[index].signal("TERM").await;
        reader.finish().await;
        assert_eq!(
            (reader.stream.redirects(), reader.stream.reconnects()),
            (1, 0)
        );
        let entry = &mut cluster.entries[index];
        let code = wait_for("the end of the entry", async || entry.exit_code()).await;
        assert_eq!(code, 0);
        let mut started = 0;
        for engine in 0..SIZE.engines {
            started += cluster.engine_counts(engine).await.started.len();
        }
        assert_eq!(started, 1);
    });
}
