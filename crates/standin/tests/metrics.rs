//! Metrics on an entry's admin port.

#![allow(clippy::unwrap_used)]

mod harness;

use harness::caller::Reader;
use harness::cluster::Cluster;
use harness::cluster::Size;
use harness::raw;
use harness::wait_for;

const SIZE: Size = Size {
    entries: 1,
    engines: 1,
    services: 1,
    token_ms: 2,
};

#[test]
fn answered_requests_show_in_the_metrics() {
    harness::run(async {
        let cluster = Cluster::deployed(&SIZE).await;
        Reader::new(&cluster.caller(), "counted", 5)
            .await
            .finish()
            .await;
        let admin = cluster.entries[0].address("admin").to_owned();
        let text = wait_for("the request among the metrics", async || {
            let answer = raw::exchange(
                &admin,
                b"GET /metrics HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
            )
            .await;
            answer
                .body
                .contains("event=\"request_done\"")
                .then_some(answer.body)
        })
        .await;
        for name in [
            "dogwoodspur_first_token_milliseconds_bucket",
            "dogwoodspur_configuration_version",
            "dogwoodspur_members",
            "dogwoodspur_reducer_busy_seconds_total",
        ] {
            assert!(text.contains(name), "{name} in\n{text}");
        }
    });
}
