//! The whole request path over real sockets, with each component in its own process.

mod harness;

use bytes::Bytes;
use client::call::Call;
use client::call::Delivery;
use harness::cluster::Cluster;
use harness::cluster::Size;
use http::Method;
use smol_str::SmolStr;
use standin::sample;
use standin::tokens::Chat;

const SIZE: Size = Size {
    entries: 2,
    engines: 3,
    services: 1,
    token_ms: 5,
};

/// An operator deploys through one entry. A caller of the other one requests addresses, streams a model's
/// answer and calls the plain service, which must be executed once.
#[test]
fn whole_path() {
    harness::run(async {
        let cluster = Cluster::deployed(&SIZE).await;
        let caller = cluster.caller_at(cluster.entries[1..].iter());
        harness::wait_for("an address answer that names every entry", async || {
            let answer = caller.refresh("").await.unwrap();
            (answer.addresses.len() == SIZE.entries).then_some(())
        })
        .await;

        let chat = Chat::question(sample::MODEL, "Why are there so few theses on moss?", 40);
        let body = serde_json::to_value(&chat).unwrap();
        let mut stream = caller.stream(body, "").await.unwrap();
        assert_eq!(stream.collect_text().await.unwrap(), chat.plan().answer());

        let receipt = Call {
            deployment: SmolStr::from(sample::SERVICE),
            method: Method::POST,
            path: SmolStr::from("/receipts/7?copy=1"),
            body: Bytes::from_static(b"one"),
            delivery: Delivery::Ticket,
        };
        let answer = caller.call(&receipt).await.unwrap();
        assert!(answer.status.is_success());
        let body = String::from_utf8(answer.body.to_vec()).unwrap();
        assert!(body.contains("\"path\":\"/receipts/7?copy=1\""), "{body}");
        assert_eq!(cluster.executions("POST /receipts/7?copy=1 one").await, 1);
    });
}
