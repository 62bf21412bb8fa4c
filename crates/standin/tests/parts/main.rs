//! The stand-ins follow their protocols, and injected faults have their effects.

#![allow(clippy::unwrap_used)]

mod engine;
mod platform;
mod service;

use std::future::Future;

use hyper::Method;
use hyper::StatusCode;
use serde_json::Value;
use standin::http::Http;

/// Runs a test on a single thread.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Posts JSON and returns the status and the response, null if it isn't JSON.
async fn post(address: &str, path: &str, value: Value) -> (StatusCode, Value) {
    let body = bytes::Bytes::from(value.to_string());
    let (status, bytes) = Http::default()
        .send(Method::POST, address, path, body)
        .await
        .unwrap();
    (status, serde_json::from_slice(&bytes).unwrap_or_default())
}

/// Returns the JSON at a path.
async fn get(address: &str, path: &str) -> Value {
    Http::default().get(address, path).await.unwrap()
}
