//! A TCP proxy on the loopback network that misbehaves on demand.

use std::net::SocketAddr;
use std::rc::Rc;

use anyhow::Context;
use anyhow::Result;
use clock::Span;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::sync::watch;

use crate::passages::Passages;
use crate::stall;
use crate::stall::Part;

/// Size of the buffer for one read, in bytes.
const BUFFER_SIZE: usize = 16 << 10;

/// Treatment of a proxy's connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Bytes are forwarded.
    Pass,
    /// Bytes are forwarded after a delay.
    Delay(Span),
    /// Bytes are held in both directions; neither side is notified.
    Silence,
    /// Bytes from the server are held; those from the client are forwarded.
    AnswersHeld,
    /// Open connections are reset, and new ones as they are accepted.
    Reset,
    /// New connections are refused; open ones live on.
    Refuse,
    /// New connections are refused, and open ones reset.
    Sever,
}

impl Mode {
    /// Returns whether open connections are reset.
    fn resets(&self) -> bool {
        matches!(self, Mode::Reset | Mode::Sever)
    }
}

/// A proxy.
pub struct Proxy {
    /// Address on which it listens.
    pub address: SocketAddr,
    mode: watch::Sender<Mode>,
    /// Whether the server's process is gone, so that its host refuses connections.
    is_down: watch::Sender<bool>,
}

/// Records what becomes of a connection, if its proxy does so.
struct Watch {
    passages: Option<Rc<Passages>>,
    client: Option<SocketAddr>,
}

impl Watch {
    fn new(passages: Option<Rc<Passages>>, source: &TcpStream) -> Watch {
        let watch = Watch {
            passages,
            client: source.peer_addr().ok(),
        };
        watch.record(Passages::record_opened);
        watch
    }

    fn record(&self, event: impl Fn(&Passages, SocketAddr)) {
        if let (Some(passages), Some(client)) = (&self.passages, self.client) {
            event(passages, client);
        }
    }
}

/// Direction of bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

impl Proxy {
    /// Listens on `listen` and forwards connections to `destination`.
    pub async fn start(listen: SocketAddr, destination: SocketAddr) -> Result<Proxy> {
        Proxy::start_with(listen, destination, None).await
    }

    /// Does so and records what becomes of each connection.
    pub async fn start_watched(
        listen: SocketAddr,
        destination: SocketAddr,
        passages: Rc<Passages>,
    ) -> Result<Proxy> {
        Proxy::start_with(listen, destination, Some(passages)).await
    }

    async fn start_with(
        listen: SocketAddr,
        destination: SocketAddr,
        passages: Option<Rc<Passages>>,
    ) -> Result<Proxy> {
        let listener = TcpListener::bind(listen)
            .await
            .with_context(|| format!("can't listen on {listen}"))?;
        let mode = watch::Sender::new(Mode::Pass);
        let mode_updates = mode.subscribe();
        let is_down = watch::Sender::new(false);
        let mut down = is_down.subscribe();
        stall::spawn(Part::Proxies, async move {
            let mut listener = Some(listener);
            let mut mode = mode_updates.clone();
            loop {
                let refuses = matches!(*mode.borrow_and_update(), Mode::Refuse | Mode::Sever);
                if refuses || *down.borrow_and_update() {
                    listener = None;
                } else if listener.is_none() {
                    listener = TcpListener::bind(listen).await.ok();
                }
                tokio::select! {
                                    socket = accept(listener.as_ref()) => {
                                        let watch = Watch::new(passages.clone(), &socket);
                                        let forwarding = forward(socket, destination, mode_updates.clone(), watch);
                stall::spawn(Part::Proxies, forwarding);
                                    }
                                    changed = mode.changed() => if changed.is_err() { return },
                                    changed = down.changed() => if changed.is_err() { return },
                                }
            }
        });
        Ok(Proxy {
            address: listen,
            mode,
            is_down,
        })
    }

    /// Sets whether the server's process is gone.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.send_replace(is_down);
    }

    /// Sets the treatment of all connections, also of open ones.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

/// Accepts the next connection; never returns without a listener.
async fn accept(listener: Option<&TcpListener>) -> TcpStream {
    let Some(listener) = listener else {
        return std::future::pending().await;
    };
    loop {
        if let Ok((socket, _)) = listener.accept().await {
            return socket;
        }
    }
}

/// Forwards one connection until both sides close it. An error on either side resets the other.
async fn forward(
    source: TcpStream,
    destination: SocketAddr,
    mut mode: watch::Receiver<Mode>,
    watch: Watch,
) {
    if mode.borrow().resets() {
        return reset_on_drop(&source);
    }
    let source = Rc::new(source);
    let connected = tokio::select! {
        connected = TcpStream::connect(destination) => connected,
        () = wait_until_reset(&mut mode) => return reset_on_drop(&source),
    };
    let (Ok(destination), Ok(source)) = (connected, Rc::try_unwrap(source)) else {
        return;
    };
    watch.record(Passages::record_taken);
    // Nagle's algorithm would hold a packet until the one before is acknowledged.
    let _ = (source.set_nodelay(true), destination.set_nodelay(true));
    let (mut source, mut destination) = (source, destination);
    let ended = {
        let (client_reader, client_writer) = source.split();
        let (server_reader, server_writer) = destination.split();
        let (to_server_mode, to_client_mode) = (mode.clone(), mode.clone());
        let forwarding = async {
            tokio::try_join!(
                forward_bytes(
                    client_reader,
                    server_writer,
                    to_server_mode,
                    Direction::ToServer,
                    &watch
                ),
                forward_bytes(
                    server_reader,
                    client_writer,
                    to_client_mode,
                    Direction::ToClient,
                    &watch
                ),
            )
        };
        tokio::select! {
            ended = forwarding => ended.is_ok(),
            () = wait_until_reset(&mut mode) => false,
        }
    };
    if !ended {
        reset_on_drop(&source);
        reset_on_drop(&destination);
    }
}

/// Forwards bytes in one direction until the end of the stream.
async fn forward_bytes(
    mut source: ReadHalf<'_>,
    mut destination: WriteHalf<'_>,
    mut mode: watch::Receiver<Mode>,
    direction: Direction,
    watch: &Watch,
) -> std::io::Result<()> {
    let mut buffer = vec![0; BUFFER_SIZE];
    loop {
        let read = source.read(&mut buffer).await;
        if direction == Direction::ToClient && !matches!(read, Ok(1..)) {
            // A reset that came after the end is pending.
            let is_reset = read.is_err() || !matches!(source.as_ref().take_error(), Ok(None));
            watch.record(|passages, client| passages.record_ended(client, is_reset));
        }
        let count = read?;
        wait_until_forwarding(&mut mode, direction).await;
        if direction == Direction::ToServer && count > 0 {
            watch.record(Passages::record_delivered);
        }
        if count == 0 {
            return destination.shutdown().await;
        }
        destination.write_all(&buffer[..count]).await?;
    }
}

/// Waits while bytes of that direction are held or delayed.
async fn wait_until_forwarding(mode: &mut watch::Receiver<Mode>, direction: Direction) {
    loop {
        let now = *mode.borrow_and_update();
        match (now, direction) {
            (Mode::Delay(span), _) => return tokio::time::sleep(span.as_duration()).await,
            (Mode::Silence, _) | (Mode::AnswersHeld, Direction::ToClient) => {
                if mode.changed().await.is_err() {
                    return;
                }
            }
            _ => return,
        }
    }
}

async fn wait_until_reset(mode: &mut watch::Receiver<Mode>) {
    if mode.wait_for(Mode::resets).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Makes the connection end with a reset when it is dropped.
fn reset_on_drop(socket: &TcpStream) {
    let _ = SockRef::from(socket).set_linger(Some(std::time::Duration::ZERO));
}
