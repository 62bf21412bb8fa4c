//! Accepts callers' connections and answers their calls.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::rt::Executor;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto::Builder;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::answer;
use crate::answer::Payload;
use crate::configs::limit::Limit;
use crate::handler::Handler;
use crate::read;

/// Serves callers until the future is dropped. Runs within a `LocalSet`.
pub async fn serve(listener: TcpListener, limit: Limit, handler: Rc<dyn Handler>) {
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            // Out of file descriptors: let some connections end before the next try.
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            continue;
        };
        if open.get() >= limit.connections {
            log::warn!(event = "connection_refused", open = open.get(); "too many connections");
            continue;
        }
        let guard = Guard::enter(Rc::clone(&open));
        let handler = Rc::clone(&handler);
        tokio::task::spawn_local(async move {
            connection(socket, limit, handler).await;
            drop(guard);
        });
    }
}

/// Serves one connection to its end.
async fn connection(socket: TcpStream, limit: Limit, handler: Rc<dyn Handler>) {
    let _ = socket.set_nodelay(true);
    let service = service_fn(move |request| answer_one(request, limit, Rc::clone(&handler)));
    let mut builder = Builder::new(LocalExecutor);
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limit.head_time.as_duration())
        .max_buf_size(limit.head_bytes.max(8_192));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(limit.head_bytes).unwrap_or(u32::MAX));
    let served = builder
        .serve_connection(TokioIo::new(socket), service)
        .await;
    if let Err(error) = served {
        log::debug!(event = "connection_ended", error = error.to_string().as_str(); "caller's connection");
    }
}

/// Reads and answers one call.
async fn answer_one(
    request: Request<Incoming>,
    limit: Limit,
    handler: Rc<dyn Handler>,
) -> Result<Response<Payload>, Infallible> {
    let response = match read::read(request, &limit).await {
        Ok((credentials, call)) => handler.handle(credentials, call).await,
        Err(refusal) => answer::refused("", &refusal),
    };
    Ok(response)
}

/// Spawns the tasks of an HTTP/2 connection on the thread's own loop.
#[derive(Clone, Copy)]
struct LocalExecutor;

impl<F: Future<Output = ()> + 'static> Executor<F> for LocalExecutor {
    fn execute(&self, future: F) {
        tokio::task::spawn_local(future);
    }
}

/// Counts a connection for as long as it lives.
struct Guard {
    open: Rc<Cell<usize>>,
}

impl Guard {
    /// Counts one more.
    fn enter(open: Rc<Cell<usize>>) -> Guard {
        open.set(open.get() + 1);
        Guard { open }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}
