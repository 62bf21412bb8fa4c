//! Opens connections to backend servers, and detects when this entry reaches none.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use gateway::attempt::Endpoint;
use gateway::event::Event;
use http::HeaderMap;
use policy::configs::isolation::Config;
use policy::isolation::Change;
use policy::isolation::Detector;
use policy::rendezvous;

use crate::pool::Connection;
use crate::shared::Shared;

/// Interval of trial connections while isolated.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Whether this entry reaches backend servers.
pub struct Reach {
    detector: RefCell<Detector>,
}

impl Default for Reach {
    fn default() -> Reach {
        Reach {
            detector: RefCell::new(Detector::new(Config::default())),
        }
    }
}

impl Reach {
    /// Returns whether this entry reaches no backend server.
    pub fn is_isolated(&self) -> bool {
        self.detector.borrow().is_isolated()
    }
}

/// Opens a connection to a server and records whether that succeeded.
pub async fn connect(shared: &Rc<Shared>, endpoint: &Endpoint) -> io::Result<Connection> {
    let connected = shared.pool.connect(endpoint).await;
    shared.metrics.count_connection(connected.is_ok());
    match &connected {
        Ok(_) => record_connected(shared),
        Err(error) => record_unreachable(shared, endpoint, error),
    }
    connected
}

/// Starts a trial connection if all servers are silent although one owes an answer.
pub fn check_silence(shared: &Rc<Shared>) {
    let now = shared.clock.now();
    let silent = shared.reach.detector.borrow().is_silent(now);
    if silent {
        start_probes(shared);
    }
}

/// Records bytes from a server.
pub fn record_sign(shared: &Shared, endpoint: &Endpoint) {
    shared.pool.record_activity(endpoint);
    let now = shared.clock.now();
    shared.reach.detector.borrow_mut().record_sign(now);
}

fn record_connected(shared: &Rc<Shared>) {
    let now = shared.clock.now();
    let change = shared.reach.detector.borrow_mut().record_connected(now);
    report_change(shared, change);
}

fn record_unreachable(shared: &Rc<Shared>, endpoint: &Endpoint, error: &io::Error) {
    let address = endpoint.address.as_str();
    log::debug!(event = "not_connected", address = address, error = error.to_string().as_str(); "");
    let now = shared.clock.now();
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
        tokio::task::spawn_local(probe_until_connected(Rc::clone(shared)));
    }
}

/// Opens trial connections until one succeeds.
async fn probe_until_connected(shared: Rc<Shared>) {
    while shared.reach.is_isolated() {
        start_probes(&shared);
        tokio::time::sleep(PROBE_INTERVAL).await;
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
    if let Ok(connection) = connect(&shared, &endpoint).await {
        let headers = HeaderMap::new();
        shared.pool.release(&endpoint, connection, &headers).await;
    }
}
