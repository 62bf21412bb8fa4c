//! The runtime of a process that handles signals.

use std::io;

use tokio::runtime::Builder;
use tokio::task::LocalSet;

use crate::request::Requests;

/// A runtime on one thread. From its start on signals are kept.
#[derive(Debug)]
pub struct Runtime {
    runtime: tokio::runtime::Runtime,
    requests: Requests,
}

impl Runtime {
    /// Starts the runtime and installs the handlers of signals.
    ///
    /// # Errors
    ///
    /// Returns an error if the system refuses a handler or a descriptor.
    pub fn start() -> io::Result<Runtime> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let requests = {
            let _entered = runtime.enter();
            Requests::install()?
        };
        Ok(Runtime { runtime, requests })
    }

    /// Runs `main` to its end on a `LocalSet`, with the requests of all signals since the start.
    pub fn block_on<T>(self, main: impl AsyncFnOnce(Requests) -> T) -> T {
        LocalSet::new().block_on(&self.runtime, main(self.requests))
    }
}
