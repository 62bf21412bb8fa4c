//! Callers that don't behave: many connections that send what an entry must bound, and come back when it closes them.

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use bytes::Bytes;
use bytes::BytesMut;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::task::JoinSet;

/// Pause before a member whose connection was closed comes back.
const RETURN_PAUSE: Duration = Duration::from_millis(100);
/// Receive buffer of members that don't read.
const SMALL_BUFFER: usize = 4_096;

/// Body of a member that stops just short of its end, within the limits of a run.
const BODY_BYTES: usize = 60_000;

/// What the callers of a crowd do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Misbehavior {
    /// They send nothing.
    Silence,
    /// They stop within their heads.
    HalfHead,
    /// They stop just short of the end of large bodies.
    LargeBody,
    /// They do so in chunks of one byte.
    SmallChunks,
}

impl Misbehavior {
    /// All kinds.
    pub const ALL: [Misbehavior; 4] = [
        Misbehavior::Silence,
        Misbehavior::HalfHead,
        Misbehavior::LargeBody,
        Misbehavior::SmallChunks,
    ];

    /// Returns a member of the crowd; `head` begins its request.
    pub fn member(self, head: &str) -> Member {
        let body = |framing| request(head, framing, BODY_BYTES, 1);
        match self {
            Misbehavior::Silence => Member::silent(),
            Misbehavior::HalfHead => Member::sending(Bytes::copy_from_slice(head.as_bytes())),
            Misbehavior::LargeBody => Member::sending(body(Framing::Length)),
            Misbehavior::SmallChunks => Member::sending(body(Framing::Chunks(1))),
        }
    }
}

/// Transfer coding of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Announced by its length.
    Length,
    /// In chunks of this size.
    Chunks(usize),
}

/// What each member of a crowd does on its connection.
#[derive(Clone, Debug)]
pub struct Member {
    /// Bytes that it sends.
    pub message: Bytes,
    /// Whether it reads what it receives.
    pub reads: bool,
}

impl Member {
    /// Returns a member that sends nothing.
    pub fn silent() -> Member {
        Member::sending(Bytes::new())
    }

    /// Returns a member that sends these bytes and stays connected.
    pub fn sending(message: impl Into<Bytes>) -> Member {
        Member {
            message: message.into(),
            reads: true,
        }
    }

    /// Returns a member that sends these bytes and never reads.
    pub fn not_reading(message: impl Into<Bytes>) -> Member {
        Member {
            reads: false,
            ..Member::sending(message)
        }
    }
}

/// Returns a request with a body of this size, of which the last `missing` bytes are left out. `head` has the request
/// line and headers, each with its line end.
pub fn request(head: &str, framing: Framing, size: usize, missing: usize) -> Bytes {
    let mut message = BytesMut::from(head.as_bytes());
    match framing {
        Framing::Length => {
            message.extend_from_slice(format!("Content-Length: {size}\r\n\r\n").as_bytes());
            message.resize(message.len() + size - missing, b'x');
        }
        Framing::Chunks(chunk) => {
            message.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
            let mut left = size - missing;
            while left > 0 {
                let count = left.min(chunk);
                message.extend_from_slice(format!("{count:x}\r\n").as_bytes());
                message.resize(message.len() + count, b'x');
                message.extend_from_slice(b"\r\n");
                left -= count;
            }
            if missing == 0 {
                message.extend_from_slice(b"0\r\n\r\n");
            }
        }
    }
    message.freeze()
}

/// Members that stay until they are dropped. They have a thread of their own: the caller's goes on beside them.
pub struct Crowd {
    state: Arc<State>,
    size: usize,
    /// Ends the members when dropped.
    _stay: oneshot::Sender<()>,
}

#[derive(Default)]
struct State {
    /// Members that have sent everything, or were closed, at least once.
    settled: AtomicUsize,
    changed: Notify,
}

impl Crowd {
    /// Starts a crowd of `size` connections to an address.
    pub fn start(address: SocketAddr, size: usize, member: &Member) -> Result<Crowd> {
        let state = Arc::new(State::default());
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (stay, stayed) = oneshot::channel();
        let (member, shared) = (member.clone(), Arc::clone(&state));
        thread::Builder::new().spawn(move || {
            runtime.block_on(async move {
                let mut members = JoinSet::new();
                for _ in 0..size {
                    members.spawn(return_often(address, member.clone(), Arc::clone(&shared)));
                }
                // An error says that the crowd was dropped.
                let _ = stayed.await;
            });
        })?;
        Ok(Crowd {
            state,
            size,
            _stay: stay,
        })
    }

    /// Waits until each member has sent everything, or was closed, at least once.
    pub async fn settle(&self) {
        loop {
            let changed = self.state.changed.notified();
            if self.state.settled.load(Ordering::Acquire) >= self.size {
                return;
            }
            changed.await;
        }
    }
}

/// Sends the message on one connection after the other.
async fn return_often(address: SocketAddr, member: Member, state: Arc<State>) {
    let mut is_first = true;
    loop {
        if let Ok(mut socket) = TcpStream::connect(address).await {
            let _ = play(&mut socket, &member, &state, &mut is_first).await;
        }
        state.mark_settled(&mut is_first);
        tokio::time::sleep(RETURN_PAUSE).await;
    }
}

/// Sends the message and stays until the connection is closed.
async fn play(
    socket: &mut TcpStream,
    member: &Member,
    state: &State,
    is_first: &mut bool,
) -> std::io::Result<()> {
    if !member.reads {
        SockRef::from(&*socket).set_recv_buffer_size(SMALL_BUFFER)?;
    }
    socket.write_all(&member.message).await?;
    state.mark_settled(is_first);
    if !member.reads {
        std::future::pending::<()>().await;
    }
    let mut buffer = [0; 4_096];
    while socket.read(&mut buffer).await? > 0 {}
    Ok(())
}

impl State {
    fn mark_settled(&self, is_first: &mut bool) {
        if std::mem::take(is_first) {
            self.settled.fetch_add(1, Ordering::Release);
            self.changed.notify_waiters();
        }
    }
}

/// Sends a request on a new connection and returns the status and body of its answer, up to the end of the connection.
pub async fn ask(address: SocketAddr, request: &[u8]) -> std::io::Result<(u16, String)> {
    let mut socket = TcpStream::connect(address).await?;
    socket.write_all(request).await?;
    let mut received = Vec::new();
    socket.read_to_end(&mut received).await?;
    let text = String::from_utf8_lossy(&received);
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
    Ok((status.unwrap_or(0), body.to_owned()))
}

/// Returns the most memory that a process has had resident, bytes.
pub fn peak_memory(pid: u32) -> Result<usize> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let mut lines = status.lines();
    let peak = lines.find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = peak.and_then(|peak| peak.trim().strip_suffix(" kB"));
    let kilobytes: usize = kilobytes.context("no peak of memory")?.trim().parse()?;
    Ok(kilobytes << 10)
}

/// Returns the number of descriptors that a process has open.
pub fn descriptors(pid: u32) -> Result<usize> {
    Ok(fs::read_dir(format!("/proc/{pid}/fd"))?.count())
}
