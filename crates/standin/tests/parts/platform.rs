//! Tests of the platform.

use serde_json::Value;
use serde_json::json;
use standin::http::Http;
use standin::platform;
use standin::platform::Platform;

use crate::get;
use crate::post;
use crate::run;

async fn start() -> (Platform, String) {
    let platform = platform::spawn("127.0.0.1:0").await.unwrap();
    let address = platform.server.address().to_string();
    (platform, address)
}

/// Returns a transaction that writes one row if it has this revision, or is absent for `None`.
fn put(key: &str, revision: Option<u64>, value: Value) -> Value {
    json!({
        "token": "t",
        "checks": [{ "table": "rows", "key": key, "revision": revision }],
        "writes": [{ "table": "rows", "key": key, "value": value }],
    })
}

fn instance(zone: &str) -> Value {
    json!({ "zone": zone, "address": "127.0.0.1:1", "pool": "thesis", "kind": "engine" })
}

#[test]
fn transaction_is_conditional() {
    run(async {
        let (_platform, address) = start().await;
        assert_eq!(
            post(&address, "/transact", put("k", None, json!(1)))
                .await
                .1["revision"],
            1
        );
        let (status, answer) = post(&address, "/transact", put("k", None, json!(2))).await;
        assert_eq!(status, 409);
        assert_eq!(answer["failed"][0]["row"]["value"], 1);
        assert_eq!(
            post(&address, "/transact", put("k", Some(1), json!(3)))
                .await
                .0,
            200
        );
        assert_eq!(get(&address, "/tables/rows/rows/k").await["value"], 3);
        assert_eq!(
            post(&address, "/transact", put("k", Some(2), Value::Null))
                .await
                .0,
            200
        );
        let page = get(&address, "/tables/rows/rows").await;
        assert_eq!(page["rows"].as_array().unwrap().len(), 0);
    });
}

#[test]
fn scan_returns_pages_in_key_order() {
    run(async {
        let (_platform, address) = start().await;
        for key in ["b/2", "a/1", "b/1", "b/3"] {
            post(&address, "/transact", put(key, None, json!(key))).await;
        }
        let page = get(&address, "/tables/rows/rows?prefix=b%2F&limit=2").await;
        assert_eq!(page["rows"][0]["key"], "b/1");
        assert_eq!(page["more"], true);
        let rest = get(
            &address,
            "/tables/rows/rows?prefix=b%2F&after=b%2F2&limit=2",
        )
        .await;
        assert_eq!(rest["rows"][0]["key"], "b/3");
        assert_eq!(rest["more"], false);
    });
}

#[test]
fn lost_answer_comes_after_the_effect_and_an_outage_before_it() {
    run(async {
        let (_platform, address) = start().await;
        post(
            &address,
            "/control/fault",
            json!({ "part": "tables", "lose_answers": 1 }),
        )
        .await;
        let http = Http::default();
        let lost = http
            .post(&address, "/transact", &put("k", None, json!(1)))
            .await;
        assert!(lost.is_err());
        assert_eq!(get(&address, "/tables/rows/rows/k").await["value"], 1);
        assert_eq!(
            post(&address, "/transact", put("j", None, json!(1)))
                .await
                .0,
            200
        );
        post(
            &address,
            "/control/fault",
            json!({ "part": "tables", "down": true }),
        )
        .await;
        assert_eq!(
            post(&address, "/transact", put("k", Some(1), json!(2)))
                .await
                .0,
            503
        );
        post(&address, "/control/fault", json!({ "part": "tables" })).await;
        assert_eq!(get(&address, "/tables/rows/rows/k").await["value"], 1);
        assert_eq!(get(&address, "/control/counts").await["answers_lost"], 1);
    });
}

#[test]
fn notice_names_a_zone_and_the_list_lags() {
    run(async {
        let (_platform, address) = start().await;
        for zone in ["a", "b", "a"] {
            post(&address, "/control/instances", instance(zone)).await;
        }
        let lag = json!({ "part": "instances", "lag_ms": 60_000 });
        let reclaim = json!({ "zone": "a", "deadline_ms": 5_000 });
        let reclaimed = post(&address, "/control/notice", reclaim).await.1;
        assert_eq!(reclaimed["instances"].as_array().unwrap().len(), 2);
        let listed = get(&address, "/instances").await;
        assert_eq!(listed["instances"][0]["state"], "leaving");
        assert_eq!(listed["instances"][1]["state"], "live");
        post(&address, "/control/fault", lag).await;
        let listed = get(&address, "/instances").await;
        assert_eq!(listed["instances"].as_array().unwrap().len(), 0);
        let notices = get(&address, "/notices?after=1").await;
        assert_eq!(notices["notices"][0]["seq"], 2);
        assert!(notices["notices"][0]["deadline_ms"].as_u64().unwrap() <= 5_000);
    });
}

#[test]
fn ordered_instance_is_taken_from_spares_or_refused() {
    run(async {
        let (_platform, address) = start().await;
        let order = json!({ "token": "t", "zone": "a", "pool": "thesis" });
        assert_eq!(
            post(&address, "/cloud/instances", order.clone()).await.0,
            409
        );
        post(&address, "/control/spares", instance("a")).await;
        post(
            &address,
            "/control/fault",
            json!({ "part": "cloud", "refuse_start": true }),
        )
        .await;
        assert_eq!(
            post(&address, "/cloud/instances", order.clone()).await.0,
            409
        );
        post(&address, "/control/fault", json!({ "part": "cloud" })).await;
        assert_eq!(post(&address, "/cloud/instances", order).await.0, 201);
        let listed = get(&address, "/instances").await;
        assert_eq!(listed["instances"][0]["kind"], "engine");
    });
}
