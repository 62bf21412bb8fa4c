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
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

/// Size of the buffer for one read, in bytes.
const CHUNK: usize = 16 << 10;

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
}

/// A proxy.
pub struct Proxy {
    /// Address on which it listens.
    pub address: SocketAddr,
    mode: watch::Sender<Mode>,
}

/// Direction of bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    There,
    Back,
}

impl Proxy {
    /// Listens on `listen` and forwards connections to `to`.
    pub async fn start(listen: SocketAddr, to: SocketAddr) -> Result<Proxy> {
        let listener = TcpListener::bind(listen)
            .await
            .with_context(|| format!("can't listen on {listen}"))?;
        let mode = watch::Sender::new(Mode::Pass);
        let orders = mode.subscribe();
        tokio::task::spawn_local(async move {
            while let Ok((socket, _)) = listener.accept().await {
                tokio::task::spawn_local(carry(socket, to, orders.clone()));
            }
        });
        Ok(Proxy {
            address: listen,
            mode,
        })
    }

    /// Sets the treatment of all connections, also of open ones.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

/// Forwards one connection until either side closes it.
async fn carry(from: TcpStream, to: SocketAddr, mut mode: watch::Receiver<Mode>) {
    if *mode.borrow() == Mode::Reset {
        return reset(&from);
    }
    let from = Rc::new(from);
    let connected = tokio::select! {
        connected = TcpStream::connect(to) => connected,
        () = until_reset(&mut mode) => return reset(&from),
    };
    let (Ok(to), Ok(from)) = (connected, Rc::try_unwrap(from)) else {
        return;
    };
    // Nagle's algorithm would hold a packet until the one before is acknowledged.
    let _ = (from.set_nodelay(true), to.set_nodelay(true));
    let (from_read, from_write) = from.into_split();
    let (to_read, to_write) = to.into_split();
    let (there, back) = (mode.clone(), mode.clone());
    let carried = async {
        tokio::join!(
            pump(from_read, to_write, there, Way::There),
            pump(to_read, from_write, back, Way::Back),
        )
    };
    tokio::select! {
        _ = carried => {}
        () = until_reset(&mut mode) => {}
    }
}

/// Forwards bytes in one direction until the end of the stream. An error on one connection resets the other.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    way: Way,
) {
    let mut buffer = vec![0; CHUNK];
    loop {
        let Ok(count) = from.read(&mut buffer).await else {
            return reset(to.as_ref());
        };
        until_passing(&mut mode, way).await;
        if count == 0 {
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return reset(from.as_ref());
        }
    }
}

/// Waits while bytes of that direction are held or delayed.
async fn until_passing(mode: &mut watch::Receiver<Mode>, way: Way) {
    loop {
        let now = *mode.borrow_and_update();
        match (now, way) {
            (Mode::Delay(span), _) => return tokio::time::sleep(span.as_duration()).await,
            (Mode::Silence, _) | (Mode::AnswersHeld, Way::Back) => {
                if mode.changed().await.is_err() {
                    return;
                }
            }
            _ => return,
        }
    }
}

async fn until_reset(mode: &mut watch::Receiver<Mode>) {
    if mode.wait_for(|mode| *mode == Mode::Reset).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Makes the connection end with a reset when it is dropped.
fn reset(socket: &TcpStream) {
    let _ = SockRef::from(socket).set_linger(Some(std::time::Duration::ZERO));
}
