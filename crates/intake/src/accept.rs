//! Accepts connections of a port within its limits.

use std::fmt::Display;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::configs::limits::Times;
use crate::connections::Connections;
use crate::guard::Guard;
use crate::intake::Intake;
use crate::request::Session;
use crate::socket::Socket;
use crate::stats::Action;
use crate::stats::Stats;

/// Pause after a connection could not be accepted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// New connections that may wait to be accepted. Beyond it the kernel drops a caller's first packets, which are sent again
/// after a second or more.
const BACKLOG: u32 = 4_096;

/// Binds the socket of a port that callers reach.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// A new connection of a caller.
pub struct Accepted {
    /// The socket.
    pub socket: Socket,
    /// The connection's bounds.
    pub session: Session,
}

/// Removes a connection from its port when dropped.
struct Registration {
    port: Rc<Connections>,
    key: u64,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.port.remove(self.key);
    }
}

/// Serves the connections of a port until `shutdown` changes, then lets each finish. `serve` starts the task of a
/// connection, which is closed at its limits. Must run within a `LocalSet`.
pub async fn run<F>(
    listener: TcpListener,
    intake: Rc<Intake>,
    port: Rc<Connections>,
    mut shutdown: watch::Receiver<bool>,
    serve: impl Fn(Accepted, watch::Receiver<bool>) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
            _ = shutdown.changed() => break,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                // Out of descriptors: an idle connection gives way.
                log::debug!(event = "accept_failed", error = error.to_string().as_str(); "");
                intake.stats.record(Action::AcceptFailed);
                port.evict(intake.clock.now());
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        if !port.has_room() {
            if !port.evict(intake.clock.now()) {
                intake.stats.record(Action::ConnectionRefused);
                continue;
            }
            intake.stats.record(Action::ConnectionEvicted);
        }
        let (accepted, registration) = register(stream, &intake, &port);
        let serving = serve(accepted, shutdown.clone());
        connections.spawn_local(async move {
            serving.await;
            drop(registration);
        });
        if !port.has_room() {
            // Lets connections that give way close.
            tokio::task::yield_now().await;
        }
    }
    drop_waiting(listener, &intake.stats);
    while connections.join_next().await.is_some() {}
}

/// Closes a port with the connections that wait to be accepted.
fn drop_waiting(listener: TcpListener, stats: &Stats) {
    let Ok(listener) = listener.into_std() else {
        return;
    };
    while listener.accept().is_ok() {
        stats.record(Action::WaitingDropped);
    }
}

fn register(
    stream: TcpStream,
    intake: &Rc<Intake>,
    port: &Rc<Connections>,
) -> (Accepted, Registration) {
    let _ = stream.set_nodelay(true);
    let (key, connection) = port.add(intake.clock.now());
    let socket = Socket::new(
        stream,
        intake.clock,
        Rc::clone(port),
        Rc::clone(&connection),
        intake.stats.clone(),
    );
    let session = Session {
        intake: Rc::clone(intake),
        port: Rc::clone(port),
        connection,
    };
    let registration = Registration {
        port: Rc::clone(port),
        key,
    };
    (Accepted { socket, session }, registration)
}

impl Session {
    /// Serves the connection until it ends, reaches one of its time limits or gives way to others. `shut_down` asks it to
    /// finish once `shutdown` changes.
    pub async fn serve<C, E>(
        &self,
        mut connection: Pin<&mut C>,
        times: Times,
        mut shutdown: watch::Receiver<bool>,
        shut_down: impl FnOnce(Pin<&mut C>),
    ) where
        C: Future<Output = Result<(), E>>,
        E: Display,
    {
        let mut guard = Guard::new(self.intake.clock, &self.connection, times);
        let ended = tokio::select! {
            ended = guard.watch(connection.as_mut()) => ended,
            _ = shutdown.changed() => {
                shut_down(connection.as_mut());
                guard.watch(connection).await
            }
        };
        match ended {
            Ok(Ok(())) => {}
            Ok(Err(error)) => {
                log::debug!(event = "caller_connection_ended", error = error.to_string().as_str(); "");
            }
            Err(action) => self.record_closed(action),
        }
    }

    /// Counts the end of a connection that was closed.
    fn record_closed(&self, action: Action) {
        // Those that gave way were counted when they did.
        if matches!(
            action,
            Action::HeadTimeout | Action::IdleTimeout | Action::UnreadTimeout | Action::HeadEvicted
        ) {
            self.intake.stats.record(action);
        }
    }
}
