//! What signals request.

use std::future::poll_fn;
use std::io;
use std::task::Poll;

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// What a signal requests of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// SIGTERM or SIGINT: a graceful stop, however often they come.
    Stop,
    /// SIGQUIT: a stop without a grace period.
    Quit,
    /// SIGHUP: a reload of the settings.
    Reload,
}

/// The requests by signals, from the installation of the handlers on. Signals of a kind that come together count as one.
#[derive(Debug)]
pub struct Requests {
    sources: [(Signal, Request); 4],
}

impl Requests {
    /// Installs the handlers. Must be called within a runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the system refuses a handler.
    pub fn install() -> io::Result<Requests> {
        let sources = [
            (signal(SignalKind::quit())?, Request::Quit),
            (signal(SignalKind::terminate())?, Request::Stop),
            (signal(SignalKind::interrupt())?, Request::Stop),
            (signal(SignalKind::hangup())?, Request::Reload),
        ];
        Ok(Requests { sources })
    }

    /// Returns whether a stop was requested so far, and takes that request; other requests are kept.
    pub async fn take_stop(&mut self) -> bool {
        // The runtime looks for signals between two turns.
        tokio::task::yield_now().await;
        poll_fn(|context| {
            let mut stopped = false;
            for (signal, request) in &mut self.sources {
                if *request != Request::Reload {
                    stopped |= signal.poll_recv(context).is_ready();
                }
            }
            Poll::Ready(stopped)
        })
        .await
    }

    /// Waits for the next request. Nothing is lost if the future is dropped.
    pub async fn next(&mut self) -> Request {
        poll_fn(|context| {
            for (signal, request) in &mut self.sources {
                if let Poll::Ready(Some(())) = signal.poll_recv(context) {
                    return Poll::Ready(*request);
                }
            }
            Poll::Pending
        })
        .await
    }
}
