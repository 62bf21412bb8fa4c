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

/// Pause after a connection could not be accepted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// Connections that are asked to give way to one new one.
const MAX_EVICTIONS: usize = 16;

/// Failed attempts to accept the connections that wait as a port closes. Descriptors are free once idle ones have closed.
const CLOSE_ATTEMPTS: u32 = 50;

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

/// Serves the connections of a port until `shutdown` changes, then lets each finish, also those that nobody has accepted
/// yet. `serve` starts the task of a connection, which is closed at its limits. Must run within a `LocalSet`.
pub async fn run<S, F>(
    listener: TcpListener,
    intake: Rc<Intake>,
    port: Rc<Connections>,
    mut shutdown: watch::Receiver<bool>,
    serve: S,
) where
    S: Fn(Accepted, watch::Receiver<bool>) -> F,
    F: Future<Output = ()> + 'static,
{
    let mut acceptor = Acceptor {
        intake,
        port,
        shutdown: shutdown.clone(),
        serve,
        connections: JoinSet::new(),
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = acceptor.connections.join_next() => continue,
            _ = shutdown.changed() => break,
        };
        match accepted {
            Ok((stream, _)) => acceptor.admit(stream).await,
            Err(error) => acceptor.recover(&error).await,
        }
    }
    acceptor.close(listener).await;
    while acceptor.connections.join_next().await.is_some() {}
}

/// Starts the connections of a port.
struct Acceptor<S> {
    intake: Rc<Intake>,
    port: Rc<Connections>,
    shutdown: watch::Receiver<bool>,
    serve: S,
    connections: JoinSet<()>,
}

impl<S, F> Acceptor<S>
where
    S: Fn(Accepted, watch::Receiver<bool>) -> F,
    F: Future<Output = ()> + 'static,
{
    /// Starts a new connection if there is room for it.
    async fn admit(&mut self, stream: TcpStream) {
        if !self.make_room().await {
            self.intake.stats.record(Action::ConnectionRefused);
            return;
        }
        let (accepted, registration) = register(stream, &self.intake, &self.port);
        let serving = (self.serve)(accepted, self.shutdown.clone());
        self.connections.spawn_local(async move {
            serving.await;
            drop(registration);
        });
    }

    /// Closes connections until there is room for another one; returns whether there is.
    async fn make_room(&self) -> bool {
        for _ in 0..MAX_EVICTIONS {
            if self.port.has_room() || !self.port.evict(self.intake.clock.now()) {
                break;
            }
            self.intake.stats.record(Action::ConnectionEvicted);
            // Lets it close; it stays open if a request has arrived on it.
            tokio::task::yield_now().await;
        }
        self.port.has_room()
    }

    /// Lets an idle connection give way after a failed attempt to accept one, for want of descriptors.
    async fn recover(&self, error: &io::Error) {
        log::debug!(event = "accept_failed", error = error.to_string().as_str(); "");
        self.intake.stats.record(Action::AcceptFailed);
        self.port.evict(self.intake.clock.now());
        tokio::time::sleep(ACCEPT_BACKOFF).await;
    }

    /// Closes the port. Connections that the kernel has opened for callers are served: requests may wait in them.
    async fn close(&mut self, listener: TcpListener) {
        let listener = match listener.into_std() {
            Ok(listener) => listener,
            Err(error) => {
                log::warn!(event = "port_closed", error = error.to_string().as_str(); "");
                return;
            }
        };
        let (mut waiting, mut failures) = (0, 0);
        while waiting < BACKLOG && failures < CLOSE_ATTEMPTS {
            match listener.accept() {
                Ok((stream, _)) => {
                    waiting += 1;
                    if let Some(stream) = to_tokio(stream) {
                        self.admit(stream).await;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) => {
                    failures += 1;
                    self.recover(&error).await;
                }
            }
        }
        if waiting > 0 || failures > 0 {
            log::info!(event = "port_closed", waiting = waiting, failures = failures; "");
        }
    }
}

/// Waits until a port is to close.
async fn wait_for_shutdown(shutdown: &mut watch::Receiver<bool>) {
    // The borrowed value isn't kept: its sender would be blocked.
    let _ = shutdown.wait_for(|is_shut_down| *is_shut_down).await;
}

/// Registers an accepted socket with the event loop.
fn to_tokio(stream: std::net::TcpStream) -> Option<TcpStream> {
    let registered = stream.set_nonblocking(true);
    let registered = registered.and_then(|()| TcpStream::from_std(stream));
    if let Err(error) = &registered {
        log::warn!(event = "connection_unregistered", error = error.to_string().as_str(); "");
    }
    registered.ok()
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
            biased;
            ended = guard.watch(connection.as_mut()) => ended,
            () = wait_for_shutdown(&mut shutdown) => {
                match guard.watch_heads(connection.as_mut()).await {
                    Some(ended) => ended,
                    None => {
                        shut_down(connection.as_mut());
                        guard.watch(connection).await
                    }
                }
            }
        };
        match ended {
            Ok(Ok(())) => {}
            Ok(Err(error)) => {
                log::debug!(event = "caller_connection_ended", error = error.to_string().as_str(); "");
            }
            Err(action) => {
                self.record_closed(action);
                if self.connection.has_request() {
                    self.intake.stats.record(Action::RequestDropped);
                }
            }
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
