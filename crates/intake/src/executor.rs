//! Executor of the tasks of HTTP/2 connections.

use std::future::Future;

use hyper::rt::Executor;

/// Spawns tasks on the local thread, within a `LocalSet`.
#[derive(Clone, Copy, Debug)]
pub struct LocalExecutor;

impl<F: Future<Output = ()> + 'static> Executor<F> for LocalExecutor {
    fn execute(&self, future: F) {
        tokio::task::spawn_local(future);
    }
}
