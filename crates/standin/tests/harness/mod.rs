//! Starts components and entries as separate processes, and waits for conditions.

#![allow(dead_code, clippy::unwrap_used)]

pub mod caller;
pub mod cluster;
pub mod load;
pub mod operator;
pub mod process;
pub mod raw;

use std::future::Future;
use std::time::Duration;

/// Maximum wait for a condition, far longer than any of them takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

/// Runs a test on a single thread.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Waits until `condition` returns a value.
pub async fn wait_for<T>(description: &str, mut condition: impl AsyncFnMut() -> Option<T>) -> T {
    let begin = tokio::time::Instant::now();
    loop {
        if let Some(value) = condition().await {
            return value;
        }
        assert!(
            begin.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for {description}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
