//! Tests of the plain service.

use serde_json::json;
use standin::configs;
use standin::http::Http;
use standin::service;

use crate::get;
use crate::post;
use crate::run;

#[test]
fn call_is_echoed_and_counted_even_if_its_answer_is_lost() {
    run(async {
        let service = service::spawn(configs::service::Service::default())
            .await
            .unwrap();
        let address = service.server.address().to_string();
        let answer = post(&address, "/receipts?x=1", json!("b")).await.1;
        assert_eq!(answer["path"], "/receipts?x=1");
        post(&address, "/control/fault", json!({ "lose_answer": true })).await;
        let lost = Http::default()
            .post(&address, "/receipts?x=1", &json!("b"))
            .await;
        assert!(lost.is_err());
        post(&address, "/control/fault", json!({ "refuse": true })).await;
        assert_eq!(post(&address, "/receipts?x=1", json!("b")).await.0, 503);
        let counts = get(&address, "/control/counts").await;
        assert_eq!(counts["executions"]["POST /receipts?x=1 \"b\""], 2);
    });
}
