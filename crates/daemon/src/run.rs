//! Starts one entry: settings, sockets, tasks and event loop.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;

use anyhow::Context;
use anyhow::Result;
use back::http_client::HttpClient;
use clock::Clock;
use clock::Span;
use entry::entry::Entry;
use entry::identity::Identity;
use front::configs::limit::Limit;
use intake::accept;
use intake::configs::limits::Port;
use intake::configs::limits::Times;
use intake::intake::Intake;
use ops::server::Api;
use peer::proof::Key;
use prometheus::Registry;
use request::id::Incarnation;
use request::signer::RESUME_PURPOSE;
use request::signer::Signer;
use request::signer::TICKET_PURPOSE;
use settings::Settings;
use settings::capacity::Capacity;
use smol_str::SmolStr;
use smol_str::ToSmolStr;
use store::driver::Driver;
use tokio::net::TcpListener;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

use crate::admin;
use crate::admin::Admin;
use crate::callers::Callers;
use crate::ending;
use crate::ending::Ports;
use crate::fleet_port::FleetPort;
use crate::flight::Shared;
use crate::link::Link;
use crate::logs;
use crate::metrics::Metrics;
use crate::operators;
use crate::peers::PeerHandler;
use crate::peers::Peers;
use crate::platform;
use crate::shell::PendingReplies;
use crate::shell::Shell;

/// Maximum operators' calls queued for the event loop.
const MAX_QUEUED_CALLS: usize = 64;

/// Bound sockets of one entry.
pub struct Sockets {
    callers: TcpListener,
    admin: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
}

/// Addresses of an entry's bound sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of health, readiness and metrics.
    pub admin: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for other entries.
    pub peers: SocketAddr,
}

/// Runs the entry of a settings file until it is stopped.
pub fn run(path: &Path) -> Result<()> {
    let loaded = settings::read(path)?;
    logs::init(loaded.settings.logs.level.filter());
    for warning in &loaded.warnings.0 {
        log::warn!(event = "unknown_setting", what = warning.to_string().as_str(); "");
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        let (stop, stops) = mpsc::unbounded_channel();
        tokio::task::spawn_local(watch_signals(stop));
        let sockets = Sockets::bind(&loaded.settings).await?;
        let bound = sockets.bound()?;
        println!(
            "listening callers={} admin={} operators={} peers={}",
            bound.callers, bound.admin, bound.operators, bound.peers
        );
        serve(loaded.settings, sockets, stops).await
    })
}

/// Serves on bound sockets until a requested stop completes. Must run within a `LocalSet`. Each message on
/// `stops` requests a stop; `true` skips the grace period.
pub async fn serve(
    settings: Settings,
    sockets: Sockets,
    stops: mpsc::UnboundedReceiver<bool>,
) -> Result<()> {
    let bound = sockets.bound()?;
    let identity = identity_of(&settings, &bound)?;
    let shared_key = settings.peers.key.reveal();
    let (link, messages) = Link::new();
    let link = Rc::new(link);
    let client = HttpClient::new();
    let fleet_client = client.clone();
    let clock = Clock::start();
    let capacity = Capacity::derive(&settings);
    let intake = Rc::new(Intake::for_process(clock, &settings, &capacity));
    let shared = Rc::new(Shared {
        link: Rc::clone(&link),
        client: client.clone(),
        answers: intake.answers.clone(),
        signer: Signer::new(shared_key, RESUME_PURPOSE),
    });
    let ready = Rc::new(Cell::new(false));
    let entry = Entry::new(
        identity.clone(),
        entry_settings(&settings),
        shared_key,
        random_u64()?,
    );
    let tickets = Signer::new(shared_key, TICKET_PURPOSE);
    let callers = Rc::new(Callers::new(shared, identity.incarnation, tickets));
    let (call_sender, calls) = mpsc::channel(MAX_QUEUED_CALLS);
    let operators_api = Api::new(settings.operators.key.reveal(), call_sender);
    let registry = Registry::new();
    let metrics = Metrics::new(&registry, &intake)?;
    let admin = Admin {
        ready: Rc::clone(&ready),
        registry,
    };
    let interval = Duration::from_millis(settings.platform.instances_interval_ms);
    let cloud = host_of(&settings.platform.cloud);
    let own = identity.caller_address.clone();
    let mut callers_port = Ports::new();
    callers_port.start(|end| {
        let (limit, intake) = (limit_of(&settings), Rc::clone(&intake));
        front::server::serve(sockets.callers, limit, intake, callers, end)
    });
    let probes = Port::new(capacity.probe_connections, &capacity);
    let mut other_ports = Ports::new();
    other_ports.start(|end| {
        let intake = Rc::clone(&intake);
        operators::serve(sockets.operators, operators_api, intake, probes, end)
    });
    other_ports.start(|end| {
        let intake = Rc::clone(&intake);
        admin::serve(sockets.admin, admin, intake, probes, end)
    });
    let peer_key = Key::new(shared_key);
    let peer_handler = Rc::new(PeerHandler::new(
        Rc::clone(&link),
        Signer::new(shared_key, TICKET_PURPOSE),
    ));
    let peer_limit = peer::configs::limit::Limit::default().at_most(capacity.peer_connections);
    other_ports.start(|end| {
        let key = peer_key.clone();
        peer::server::serve(sockets.peers, key, peer_limit, peer_handler, end)
    });
    let peers = Peers::new(
        Rc::clone(&link),
        peer::client::Peers::new(peer_key, peer_limit),
        identity.incarnation,
        Signer::new(shared_key, TICKET_PURPOSE),
    );
    let tasks = [tokio::task::spawn_local(platform::poll(
        Rc::clone(&link),
        client,
        cloud,
        own,
        interval,
    ))];
    let fleet = FleetPort {
        link: Rc::clone(&link),
        client: fleet_client,
        cloud: host_of(&settings.platform.cloud),
        clock,
    };
    let timeout = Duration::from_millis(settings.platform.timeout_ms);
    let store = Driver::new(&host_of(&settings.platform.table_service), timeout);
    let shell = Shell {
        name: identity.name,
        clock,
        entry,
        link,
        store: Rc::new(store),
        peers,
        fleet,
        metrics,
        ready,
        flights: HashMap::new(),
        pending: PendingReplies::default(),
    };
    shell.run(messages, calls, stops).await;
    ending::end(callers_port, other_ports, &intake).await;
    for task in tasks {
        task.abort();
    }
    Ok(())
}

impl Sockets {
    /// Binds all sockets of the settings.
    pub async fn bind(settings: &Settings) -> Result<Sockets> {
        Ok(Sockets {
            callers: listen(settings.callers.listen)?,
            admin: listen(settings.admin.listen)?,
            operators: listen(settings.operators.listen)?,
            peers: listen(settings.peers.listen)?,
        })
    }

    /// Returns the bound addresses.
    pub fn bound(&self) -> Result<Bound> {
        Ok(Bound {
            callers: self.callers.local_addr()?,
            admin: self.admin.local_addr()?,
            operators: self.operators.local_addr()?,
            peers: self.peers.local_addr()?,
        })
    }
}

/// Binds one socket.
fn listen(address: SocketAddr) -> Result<TcpListener> {
    accept::listen(address).with_context(|| format!("can't listen on {address}"))
}

/// Forwards SIGTERM: the first requests a graceful stop, the second skips the grace period.
async fn watch_signals(stop: mpsc::UnboundedSender<bool>) {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return;
    };
    let mut immediate = false;
    while terminate.recv().await.is_some() {
        let _ = stop.send(immediate);
        immediate = true;
    }
}

/// Determines the identity of this entry.
fn identity_of(settings: &Settings, bound: &Bound) -> Result<Identity> {
    let callers = settings.callers.advertise.unwrap_or(bound.callers);
    let peers = settings.peers.advertise.unwrap_or(bound.peers);
    Ok(Identity {
        name: settings.identity.name.clone(),
        incarnation: Incarnation(random_u64()?),
        zone: settings.identity.zone.clone(),
        caller_address: callers.to_smolstr(),
        peer_address: peers.to_smolstr(),
    })
}

/// Derives the reducer's settings.
fn entry_settings(settings: &Settings) -> entry::configs::entry::Settings {
    entry::configs::entry::Settings {
        address_ttl: Span::from_millis(settings.callers.address_ttl_ms),
        grace: Span::from_millis(settings.shutdown.grace_ms),
        zero_unix_ms: unix_ms(),
        request_timeout: Span::from_millis(settings.callers.request_timeout_ms),
        seeds: settings
            .peers
            .seeds
            .iter()
            .map(|seed| seed.to_smolstr())
            .collect(),
        store: store::configs::budget::Settings {
            writes_per_second: f64::from(settings.platform.writes_per_second),
            reads_per_second: f64::from(settings.platform.reads_per_second),
            ..store::configs::budget::Settings::default()
        },
        members: member_settings(settings),
        ..entry::configs::entry::Settings::default()
    }
}

/// Derives the settings of leases and gossip.
fn member_settings(settings: &Settings) -> member::configs::membership::Settings {
    let leases = &settings.leases;
    member::configs::membership::Settings {
        renewal_interval: Span::from_millis(leases.renew_interval_ms),
        renewals_per_term: leases.term_ms / leases.renew_interval_ms.max(1),
        margin: Span::from_millis(leases.margin_ms),
        gossip_interval: Span::from_millis(settings.peers.digest_interval_ms),
        fanout: settings.peers.fan_out as usize,
        ..member::configs::membership::Settings::default()
    }
}

/// Derives the limits for callers.
fn limit_of(settings: &Settings) -> Limit {
    let callers = &settings.callers;
    Limit {
        head_bytes: callers.max_header_bytes as usize,
        body_bytes: usize::try_from(callers.max_body_bytes).unwrap_or(usize::MAX),
        times: Times {
            head: Span::from_millis(callers.header_timeout_ms),
            idle: Span::from_millis(callers.idle_timeout_ms),
            unread: Span::from_millis(callers.unread_timeout_ms),
        },
    }
}

/// Returns `HOST:PORT` of an address that may be written as a URL.
fn host_of(url: &str) -> SmolStr {
    SmolStr::from(url.trim_start_matches("http://").trim_end_matches('/'))
}

/// Returns the wall clock time in milliseconds since 1970.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Returns a random number from the operating system.
fn random_u64() -> Result<u64> {
    getrandom::u64().map_err(|error| anyhow::anyhow!("can't get random bytes: {error}"))
}
