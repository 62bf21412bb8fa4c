//! Opens connections to backend servers: directly, or through another entry where that fails.
//!
//! A partition may separate this entry from all servers, while callers and other entries reach it and the
//! others reach the servers. Connections then lead through those others, so that all that is decided here, from
//! limits to attempts that may have run, stays as it is.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use clock::Span;
use clock::Time;
use gateway::attempt::Endpoint;
use gateway::event::Event;
use gateway::notice::Notice;
use http::HeaderMap;
use peer::client;
use peer::tunnel;
use policy::configs::isolation::Config;
use policy::isolation::Change;
use policy::isolation::Detector;
use policy::proxy;
use policy::rendezvous;
use smol_str::SmolStr;

use crate::pool::Connection;
use crate::pool::Detour;
use crate::pool::open_socket;
use crate::shared::Shared;

/// Time for which a server that accepted no connection from here is reached through other entries.
const DETOUR_TIME: Span = Span::from_seconds(2);
/// Timeout for a connection through one other entry.
const PROXY_TIMEOUT: Duration = Duration::from_millis(400);
/// Entries that are asked for one connection.
const MAX_PROXIES_TRIED: usize = 2;
/// Connections that are held for other entries.
const MAX_TUNNELS: usize = 1_024;

/// Ways to backend servers.
pub struct Reach {
    detector: RefCell<Detector>,
    /// Servers that accepted no connection from this entry, by incarnation, with the time of the last failure.
    unreachable: RefCell<BTreeMap<SmolStr, Time>>,
    /// Entries through which servers are reached.
    proxies: Rc<RefCell<proxy::Table>>,
    /// Client for these entries. Its connections carry nothing else, so that answers don't delay heartbeats.
    client: client::Peers,
    /// Connections that are held for other entries.
    tunnels: Cell<usize>,
}

/// The outcome of a connection through other entries.
enum Detoured {
    Opened(Connection),
    /// Those that were asked don't reach the server either.
    Unreached,
    /// No other entry is known that reaches servers.
    NoProxy,
}

impl Reach {
    /// Takes all servers for reachable.
    pub fn new(client: client::Peers) -> Reach {
        Reach {
            detector: RefCell::new(Detector::new(Config::default())),
            unreachable: RefCell::default(),
            proxies: Rc::default(),
            client,
            tunnels: Cell::default(),
        }
    }

    /// Returns whether this entry reaches no backend server.
    pub fn is_isolated(&self) -> bool {
        self.detector.borrow().is_isolated()
    }

    /// Returns whether a server is reached directly.
    pub fn is_direct(&self, now: Time, endpoint: &Endpoint) -> bool {
        let unreachable = self.unreachable.borrow();
        let failed_at = unreachable.get(&endpoint.incarnation);
        let failed = failed_at.is_some_and(|failed_at| now.since(*failed_at) < DETOUR_TIME);
        !failed && !self.is_isolated()
    }

    /// Drops expired records.
    pub fn sweep(&self, now: Time) {
        let mut unreachable = self.unreachable.borrow_mut();
        unreachable.retain(|_, failed_at| now.since(*failed_at) < DETOUR_TIME);
    }
}

/// Opens a connection to a server.
pub async fn connect(shared: &Rc<Shared>, endpoint: &Endpoint) -> io::Result<Connection> {
    let mut error = io::Error::from(io::ErrorKind::HostUnreachable);
    if shared.reach.is_direct(shared.clock.now(), endpoint) {
        error = match connect_directly(shared, endpoint).await {
            Ok(connection) => return Ok(connection),
            Err(error) => error,
        };
        if !shared.reach.is_isolated() {
            return Err(error);
        }
    }
    match connect_through_proxies(shared, endpoint, None).await {
        Detoured::Opened(connection) => Ok(connection),
        Detoured::Unreached => Err(error),
        Detoured::NoProxy => connect_directly(shared, endpoint).await,
    }
}

/// What new connections show about a server after a connection broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// The server accepts connections on the same way.
    Reached,
    /// The server accepts connections only on another way.
    Detoured,
    /// The server accepts no connections.
    Unreached,
}

/// Finds out why a connection to a server broke, which led through the entry `proxy` or was direct.
///
/// Second opinions of other entries keep servers and requests from being blamed for a fault of the way.
pub async fn examine(shared: &Rc<Shared>, endpoint: &Endpoint, proxy: Option<&SmolStr>) -> Finding {
    let (finding, connection) = try_ways(shared, endpoint, proxy).await;
    if let Some(connection) = connection {
        keep(shared, endpoint, connection).await;
    }
    finding
}

/// Opens a connection to a server whose last one broke, or ended, which led through the entry `proxy` or was direct.
pub async fn try_ways(
    shared: &Rc<Shared>,
    endpoint: &Endpoint,
    proxy: Option<&SmolStr>,
) -> (Finding, Option<Connection>) {
    let same_way = match proxy {
        Some(proxy) => ask_proxy(shared, proxy, endpoint).await,
        None => connect_if_direct(shared, endpoint).await,
    };
    if same_way.is_some() {
        return (Finding::Reached, same_way);
    }
    match connect_otherwise(shared, endpoint, proxy).await {
        Some(connection) => (Finding::Detoured, Some(connection)),
        None => (Finding::Unreached, None),
    }
}

/// Opens a connection on any way other than that through `proxy`, or than the direct one.
async fn connect_otherwise(
    shared: &Rc<Shared>,
    endpoint: &Endpoint,
    proxy: Option<&SmolStr>,
) -> Option<Connection> {
    if proxy.is_some()
        && let Some(connection) = connect_if_direct(shared, endpoint).await
    {
        return Some(connection);
    }
    match connect_through_proxies(shared, endpoint, proxy).await {
        Detoured::Opened(connection) => Some(connection),
        Detoured::Unreached | Detoured::NoProxy => None,
    }
}

/// Opens a connection of this entry's own unless the server is known not to be reached so.
async fn connect_if_direct(shared: &Rc<Shared>, endpoint: &Endpoint) -> Option<Connection> {
    if !shared.reach.is_direct(shared.clock.now(), endpoint) {
        return None;
    }
    connect_directly(shared, endpoint).await.ok()
}

/// Opens a connection of this entry's own and records whether that succeeded.
async fn connect_directly(shared: &Rc<Shared>, endpoint: &Endpoint) -> io::Result<Connection> {
    let connected = shared.pool.connect(endpoint).await;
    record_outcome(shared, endpoint, connected.as_ref().err());
    connected
}

/// Opens a connection through another entry than `avoided`.
async fn connect_through_proxies(
    shared: &Rc<Shared>,
    endpoint: &Endpoint,
    avoided: Option<&SmolStr>,
) -> Detoured {
    let mut excluded = Vec::from_iter(avoided.cloned());
    let mut asked = false;
    for _ in 0..MAX_PROXIES_TRIED {
        let now = shared.clock.now();
        let chosen = shared.reach.proxies.borrow().choose(now, &excluded);
        let Some(proxy) = chosen else {
            break;
        };
        asked = true;
        if let Some(connection) = ask_proxy(shared, &proxy, endpoint).await {
            return Detoured::Opened(connection);
        }
        excluded.push(proxy);
    }
    match asked {
        true => Detoured::Unreached,
        false => Detoured::NoProxy,
    }
}

/// Asks one entry for a connection; `None` if it doesn't reach the server or doesn't answer.
async fn ask_proxy(
    shared: &Rc<Shared>,
    proxy: &SmolStr,
    endpoint: &Endpoint,
) -> Option<Connection> {
    let connecting = connect_through(shared, proxy, endpoint);
    let connected = tokio::time::timeout(PROXY_TIMEOUT, connecting).await;
    match connected.unwrap_or_else(|_| Err(anyhow::anyhow!("no answer in time"))) {
        Ok(connection) => connection,
        Err(error) => {
            log::debug!(event = "detour_failed", peer = proxy.as_str(), error = error.to_string().as_str(); "");
            let mut proxies = shared.reach.proxies.borrow_mut();
            proxies.record_failure(shared.clock.now(), proxy);
            None
        }
    }
}

/// Opens a connection through one entry; `None` if that one doesn't reach the server.
async fn connect_through(
    shared: &Rc<Shared>,
    proxy: &SmolStr,
    endpoint: &Endpoint,
) -> anyhow::Result<Option<Connection>> {
    let client = &shared.reach.client;
    let stream = client
        .connect_through(proxy, &endpoint.incarnation)
        .await
        .map_err(|error| anyhow::anyhow!(error.0))?;
    let Some(stream) = stream else {
        return Ok(None);
    };
    let table = Rc::clone(&shared.reach.proxies);
    table.borrow_mut().record_opened(proxy);
    let detour = Box::new(Detour {
        proxy: proxy.clone(),
        handle: stream.handle(),
        table,
    });
    Ok(Some(
        Connection::start(stream, shared.clock, Some(detour)).await?,
    ))
}

/// Replaces the entries through which servers are reached.
pub fn set_proxies(shared: &Shared, proxies: Vec<proxy::Candidate>) {
    let mut table = shared.reach.proxies.borrow_mut();
    table.set(proxies);
    drop(table);
    let is_listed = |proxy: &SmolStr| shared.reach.proxies.borrow().contains(proxy);
    // An entry that stops waits for the connections that it holds.
    let unlisted = shared.pool.take_idle(|connection| {
        let detour = connection.detour.as_ref();
        detour.is_some_and(|detour| !is_listed(&detour.proxy))
    });
    drop(unlisted);
}

/// Opens a connection to a server for another entry.
pub async fn connect_for_peer(shared: &Rc<Shared>, server: &str) -> Option<tunnel::Connection> {
    let endpoint = shared.pool.server(server)?;
    let full = shared.reach.tunnels.get() >= MAX_TUNNELS;
    if full || shared.stopping.get() || !shared.pool.accepts_requests(&endpoint) {
        return None;
    }
    let opener = Opener::new(Rc::clone(shared), endpoint.incarnation.clone());
    let connected = open_socket(&endpoint).await;
    record_outcome(shared, &endpoint, connected.as_ref().err());
    Some(tunnel::Connection {
        socket: connected.ok()?,
        opener: Box::new(opener),
    })
}

/// A connection that is held for another entry.
struct Opener {
    shared: Rc<Shared>,
    incarnation: SmolStr,
}

impl Opener {
    fn new(shared: Rc<Shared>, incarnation: SmolStr) -> Opener {
        let opener = Opener {
            shared,
            incarnation,
        };
        opener.count(|open| open + 1);
        opener
    }

    fn count(&self, change: impl Fn(usize) -> usize) {
        let open = change(self.shared.reach.tunnels.get());
        self.shared.reach.tunnels.set(open);
        let event = Event::TunnelsChanged { open };
        self.shared.handle.send_event(event);
    }
}

impl Drop for Opener {
    fn drop(&mut self) {
        self.count(|open| open.saturating_sub(1));
    }
}

impl tunnel::Opener for Opener {
    fn paused(&self, pause: Span) {
        self.shared.handle.send_event(Event::NoticeReceived {
            incarnation: self.incarnation.clone(),
            notice: Notice {
                pause: Some(pause),
                ..Notice::default()
            },
        });
    }
}

/// Records whether a server accepted a connection of this entry's own.
fn record_outcome(shared: &Rc<Shared>, endpoint: &Endpoint, error: Option<&io::Error>) {
    shared.metrics.count_connection(error.is_none());
    match error {
        None => record_connected(shared, endpoint),
        Some(error) => record_unreachable(shared, endpoint, error),
    }
}

/// Starts a trial connection if all servers are silent although one owes an answer.
pub fn check_silence(shared: &Rc<Shared>) {
    let now = shared.clock.now();
    let silent = shared.reach.detector.borrow().is_silent(now);
    if silent {
        start_probes(shared);
    }
}

/// Records progress of a server's answer.
pub fn record_progress(shared: &Shared, endpoint: &Endpoint, connection: &Connection) {
    shared.pool.record_activity(endpoint);
    record_sign(shared, connection);
}

/// Records bytes from a server, which show that the way to it is sound.
pub fn record_sign(shared: &Shared, connection: &Connection) {
    let now = shared.clock.now();
    if let Some(proxy) = connection.proxy() {
        let mut proxies = shared.reach.proxies.borrow_mut();
        return proxies.record_activity(now, proxy);
    }
    shared.reach.detector.borrow_mut().record_sign(now);
}

/// Judges the way on which a request met `waited` of silence; returns whether it is sound.
///
/// A direct way is. One through an entry is if other bytes came through it meanwhile or, while the server is active on other
/// ways, if the entry opens a new connection to it. Otherwise the entry is avoided, and connections kept through it are
/// closed.
pub async fn check_way(
    shared: &Rc<Shared>,
    endpoint: &Endpoint,
    proxy: Option<&SmolStr>,
    waited: Span,
    is_server_active: bool,
) -> bool {
    let Some(proxy) = proxy else {
        return true;
    };
    let now = shared.clock.now();
    if shared.reach.proxies.borrow().was_active(now, proxy, waited) {
        return true;
    }
    if is_server_active && let Some(connection) = ask_proxy(shared, proxy, endpoint).await {
        keep(shared, endpoint, connection).await;
        return true;
    }
    record_silence(shared, proxy, waited);
    false
}

/// Avoids an entry that was silent, and closes connections kept through it.
fn record_silence(shared: &Shared, proxy: &SmolStr, waited: Span) {
    let waited_ms = waited.as_millis();
    log::info!(event = "proxy_silent", peer = proxy.as_str(), waited_ms = waited_ms; "");
    let mut proxies = shared.reach.proxies.borrow_mut();
    proxies.record_failure(shared.clock.now(), proxy);
    drop(proxies);
    let kept = shared
        .pool
        .take_idle(|connection| connection.proxy() == Some(proxy));
    drop(kept);
}

fn record_connected(shared: &Rc<Shared>, endpoint: &Endpoint) {
    let mut unreachable = shared.reach.unreachable.borrow_mut();
    unreachable.remove(&endpoint.incarnation);
    drop(unreachable);
    let now = shared.clock.now();
    let change = shared.reach.detector.borrow_mut().record_connected(now);
    report_change(shared, change);
}

fn record_unreachable(shared: &Rc<Shared>, endpoint: &Endpoint, error: &io::Error) {
    let address = endpoint.address.as_str();
    log::debug!(event = "not_connected", address = address, error = error.to_string().as_str(); "");
    let now = shared.clock.now();
    let mut unreachable = shared.reach.unreachable.borrow_mut();
    unreachable.insert(endpoint.incarnation.clone(), now);
    drop(unreachable);
    let server = rendezvous::identity(&endpoint.incarnation);
    let known = shared.pool.server_count();
    let mut detector = shared.reach.detector.borrow_mut();
    let change = detector.record_unreachable(now, server, known);
    drop(detector);
    report_change(shared, change);
    if !shared.reach.is_isolated() {
        start_probes(shared);
    }
}

fn report_change(shared: &Rc<Shared>, change: Option<Change>) {
    let Some(change) = change else {
        return;
    };
    let isolated = change == Change::Isolated;
    shared.handle.send_event(Event::IsolationChanged {
        isolated,
        unreachable: shared.reach.detector.borrow().unreachable_count(),
    });
    if isolated {
        // Kept connections may hang as well.
        drop(shared.pool.take_idle(Connection::is_direct));
        tokio::task::spawn_local(probe_until_connected(Rc::clone(shared)));
    }
}

/// Opens trial connections until one succeeds.
async fn probe_until_connected(shared: Rc<Shared>) {
    let interval = Config::default().probe_interval.as_duration();
    while shared.reach.is_isolated() {
        start_probes(&shared);
        tokio::time::sleep(interval).await;
    }
}

/// Starts the trial connections that are due.
fn start_probes(shared: &Rc<Shared>) {
    let now = shared.clock.now();
    let count = shared.reach.detector.borrow_mut().take_probes(now);
    for endpoint in shared.pool.next_servers(count) {
        tokio::task::spawn_local(probe(Rc::clone(shared), endpoint));
    }
}

/// Opens a trial connection, which then serves requests.
async fn probe(shared: Rc<Shared>, endpoint: Endpoint) {
    if let Ok(connection) = connect_directly(&shared, &endpoint).await {
        keep(&shared, &endpoint, connection).await;
    }
}

/// Keeps a new connection for a request.
pub async fn keep(shared: &Shared, endpoint: &Endpoint, connection: Connection) {
    let headers = HeaderMap::new();
    shared.pool.release(endpoint, connection, &headers).await;
}
