//! Starts a gateway: its sockets, tasks and loop.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use clock::Clock;
use clock::Span;
use clock::Time;
use gateway::catalog::Limits;
use gateway::event::Event;
use gateway::gateway::Gateway;
use gateway::gateway::Status;
use gateway::identity::Identity;
use gateway::stop::ABOUT_TO_END;
use gateway::stop::leaving_refusal;
use intake::accept;
use intake::configs::limits::Port;
use intake::intake::Intake;
use intake::stats::Action;
use lease::holder;
use peer::proof::Key;
use settings::Settings;
use settings::capacity::Capacity;
use smol_str::ToSmolStr;
use tokio::net::TcpListener;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::adapter::Cloud;
use crate::adapter::Codec;
use crate::adapter::Feed;
use crate::adapter::Tables;
use crate::consumers::ConfigurationConsumer;
use crate::consumers::ServersConsumer;
use crate::follow;
use crate::front;
use crate::inbox::Handle;
use crate::lag::Lag;
use crate::logs;
use crate::metrics::Metrics;
use crate::options::gateway_settings;
use crate::options::outbox_config;
use crate::peers::Peers;
use crate::peers::Responder;
use crate::pool::Pool;
use crate::ports;
use crate::pulse::Pulse;
use crate::reach::Reach;
use crate::shared::Shared;
use crate::shell;
use crate::shell::Shell;

/// Least time for the ends of answers to reach their callers at shutdown; slow callers get the rest of the grace period.
const MIN_DRAIN_TIMEOUT: Duration = Duration::from_millis(250);

/// Time before the end of the process at which bodies that aren't complete are refused and the other ports close. No more than
/// `MIN_DRAIN_TIMEOUT`.
const LAST_CALL: Duration = Duration::from_millis(100);

/// Interval at which the settings file is checked for changes.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(3);

/// The platform's implementations of the adapter traits.
pub struct Adapter {
    /// Codec for callers and backend servers.
    pub codec: Rc<dyn Codec>,
    /// The table service.
    pub tables: Rc<dyn Tables>,
    /// Client for duty calls, if the platform has any.
    pub cloud: Option<Rc<dyn Cloud>>,
    /// Feed of the configuration's table.
    pub configuration: Rc<dyn Feed>,
    /// Feed of the backend servers' table.
    pub servers: Rc<dyn Feed>,
    /// Path of the settings file, which is reloaded when it changes.
    pub settings_path: Option<PathBuf>,
}

/// Runs a gateway until it is stopped.
pub fn run(settings: Settings, adapter: Adapter) -> Result<()> {
    logs::init(settings.logs.level.filter());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let (stop, stops) = mpsc::unbounded_channel();
        let reload = Rc::new(Notify::new());
        tokio::task::spawn_local(watch_signals(stop, Rc::clone(&reload)));
        let sockets = Sockets::bind(&settings).await?;
        serve(settings, sockets, adapter, stops, reload).await
    })
}

/// The bound sockets of one gateway.
pub struct Sockets {
    callers: TcpListener,
    directory: TcpListener,
    readiness: TcpListener,
    peers: TcpListener,
    metrics: Option<TcpListener>,
}

/// The addresses on which a gateway listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for address queries.
    pub directory: SocketAddr,
    /// Address for readiness probes.
    pub readiness: SocketAddr,
    /// Address for other entries.
    pub peers: SocketAddr,
}

/// Serves on bound sockets until a stop completes. Each message on `stops` requests a stop, and each
/// notification of `reload` a reload of the settings. Must run within a `LocalSet`.
pub async fn serve(
    settings: Settings,
    sockets: Sockets,
    adapter: Adapter,
    stops: mpsc::UnboundedReceiver<()>,
    reload: Rc<Notify>,
) -> Result<()> {
    let identity = resolve_identity(&settings, &sockets)?;
    log_start(&settings, &identity);
    let clock = Clock::start();
    let (handle, inbox) = Handle::new(clock);
    let key = Key::new(settings.peers.key.reveal());
    let capacity = Capacity::derive(&settings);
    let limit = peer::configs::limit::Limit::default().at_most(capacity.peer_connections);
    let directory = Port::new(capacity.directory_connections, &capacity);
    let probes = Port::new(capacity.probe_connections, &capacity);
    let intake = Rc::new(Intake::for_process(clock, &settings, &capacity));
    let shared = Rc::new(Shared {
        handle,
        codec: Rc::clone(&adapter.codec),
        pool: Pool::new(clock),
        reach: Reach::new(peer::client::Peers::new(key.clone(), limit)),
        clock,
        metrics: Metrics::new(&intake)?,
        unread_timeout: Span::from_millis(settings.callers.unread_timeout_ms),
        intake,
        status: Cell::new(Status::default()),
        pulse: Pulse::default(),
        lag: Cell::default(),
        outbox_stats: Cell::default(),
        configuration_confirmed_at: Cell::new(Time::ZERO),
        servers_poll_interval: watch::Sender::new(Some(Span::ZERO)),
        limits: RefCell::new(Limits::default()),
        ready: Cell::new(false),
        stopping: Cell::new(false),
        next_serial: Cell::new(1),
    });
    let responder = Rc::new(Responder {
        shared: Rc::clone(&shared),
    });
    let (end_callers, callers_end) = watch::channel(false);
    let mut callers = JoinSet::new();
    callers.spawn_local(front::serve(
        sockets.callers,
        Rc::clone(&shared),
        callers_end,
    ));
    let (end_ports, ports_end) = watch::channel(false);
    let mut ports = JoinSet::new();
    let others = [
        (Some(sockets.directory), directory),
        (Some(sockets.readiness), probes),
        (sockets.metrics, probes),
    ];
    for (listener, limits) in others {
        if let Some(listener) = listener {
            let shared = Rc::clone(&shared);
            ports.spawn_local(ports::serve(listener, shared, limits, ports_end.clone()));
        }
    }
    ports.spawn_local(peer::server::serve(
        sockets.peers,
        key.clone(),
        limit,
        responder,
        ports_end,
    ));
    let read_configuration = Rc::new(Notify::new());
    let read_servers = Rc::new(Notify::new());
    let configuration = Rc::new(ConfigurationConsumer::new(Rc::clone(&shared)));
    let servers = Rc::new(ServersConsumer::new(Rc::clone(&shared)));
    let tasks = [
        tokio::task::spawn_local(follow::follow(
            adapter.configuration,
            configuration,
            Rc::clone(&read_configuration),
        )),
        tokio::task::spawn_local(follow::follow(
            adapter.servers,
            servers,
            Rc::clone(&read_servers),
        )),
        tokio::task::spawn_local(shell::sweep(Rc::clone(&shared))),
        tokio::task::spawn_local(shell::beat(Rc::clone(&shared))),
        tokio::task::spawn_local(watch_settings(
            adapter.settings_path,
            Rc::clone(&shared),
            reload,
        )),
    ];
    let shell = Shell {
        gateway: Gateway::new(identity.clone(), gateway_settings(&settings), random()?),
        peers: Peers::new(
            peer::client::Peers::new(key, limit),
            identity.incarnation,
            Rc::clone(&shared),
            outbox_config(&settings),
        ),
        shared,
        tables: adapter.tables,
        cloud: adapter.cloud,
        read_configuration,
        read_servers,
        flights: HashMap::new(),
        address_replies: HashMap::new(),
        charge_replies: HashMap::new(),
        last_requester: 0,
        lag: Lag::default(),
    };
    let shared = Rc::clone(&shell.shared);
    let grace_left = shell.run(inbox, stops).await.as_duration();
    let until_last_call = MIN_DRAIN_TIMEOUT.max(grace_left) - LAST_CALL;
    let _ = end_callers.send(true);
    if timeout(until_last_call, join_all(&mut callers))
        .await
        .is_err()
    {
        shared.intake.refuse_bodies(leaving_refusal(ABOUT_TO_END));
    }
    let _ = end_ports.send(true);
    let ending = async {
        join_all(&mut callers).await;
        join_all(&mut ports).await;
    };
    let _ = timeout(LAST_CALL, ending).await;
    log_end(&shared);
    for task in tasks {
        task.abort();
    }
    Ok(())
}

impl Sockets {
    /// Binds the addresses of the settings.
    pub async fn bind(settings: &Settings) -> Result<Sockets> {
        Ok(Sockets {
            callers: listen(settings.callers.listen)?,
            directory: listen(settings.gateway.directory_listen)?,
            readiness: listen(settings.admin.listen)?,
            peers: listen(settings.peers.listen)?,
            metrics: match settings.gateway.metrics_listen {
                Some(address) => Some(listen(address)?),
                None => None,
            },
        })
    }

    /// Returns the bound addresses.
    pub fn bound(&self) -> Result<Bound> {
        Ok(Bound {
            callers: self.callers.local_addr()?,
            directory: self.directory.local_addr()?,
            readiness: self.readiness.local_addr()?,
            peers: self.peers.local_addr()?,
        })
    }
}

/// Binds one socket.
fn listen(address: SocketAddr) -> Result<TcpListener> {
    let listener = accept::listen(address);
    listener.with_context(|| format!("failed to listen on {address}"))
}

/// Forwards SIGTERM as a stop and SIGHUP as a reload.
async fn watch_signals(stop: mpsc::UnboundedSender<()>, reload: Rc<Notify>) {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        log::error!(event = "signals_unwatched"; "");
        return;
    };
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        log::error!(event = "signals_unwatched"; "");
        return;
    };
    loop {
        tokio::select! {
            Some(()) = terminate.recv() => {
                let _ = stop.send(());
            }
            Some(()) = hangup.recv() => reload.notify_one(),
            else => return,
        }
    }
}

/// Reloads the settings on request and when the file's modification time changes; unreadable settings are
/// logged and ignored.
async fn watch_settings(path: Option<PathBuf>, shared: Rc<Shared>, reload: Rc<Notify>) {
    let Some(path) = path else {
        return;
    };
    let modified_at = || {
        std::fs::metadata(&path)
            .and_then(|file| file.modified())
            .ok()
    };
    let mut last_modified = modified_at();
    loop {
        let requested = tokio::time::timeout(SETTINGS_POLL_INTERVAL, reload.notified())
            .await
            .is_ok();
        let now = modified_at();
        if !requested && now == last_modified {
            continue;
        }
        last_modified = now;
        match settings::load(&path) {
            Ok(settings) => {
                let settings = Box::new(gateway_settings(&settings));
                shared.handle.send_event(Event::SettingsRead(settings));
            }
            Err(faults) => {
                log::warn!(event = "reload_failed", faults = faults.to_string().as_str(); "");
            }
        }
    }
}

/// Determines this entry's identity.
fn resolve_identity(settings: &Settings, sockets: &Sockets) -> Result<Identity> {
    let callers = sockets.callers.local_addr()?;
    let peers = sockets.peers.local_addr()?;
    Ok(Identity {
        name: settings.identity.name.clone(),
        incarnation: holder::Id(random()?),
        zone: settings.identity.zone.clone(),
        caller_address: settings.callers.advertise.unwrap_or(callers).to_smolstr(),
        peer_address: settings.peers.advertise.unwrap_or(peers).to_smolstr(),
    })
}

fn log_start(settings: &Settings, identity: &Identity) {
    log::info!(
        event = "started",
        name = identity.name.as_str(),
        incarnation = identity.incarnation.to_string().as_str(),
        zone = identity.zone.as_str(),
        callers = identity.caller_address.as_str(),
        peers = identity.peer_address.as_str(),
        seeds = settings.peers.seeds.len();
        ""
    );
}

/// Waits for all tasks of a set.
async fn join_all(tasks: &mut JoinSet<()>) {
    while tasks.join_next().await.is_some() {}
}

/// Logs what a stopped process leaves unfinished.
fn log_end(shared: &Shared) {
    let (receiving, running) = shared.intake.callers.count_requests();
    log::info!(
        event = "ended",
        receiving = receiving,
        running = running,
        unread_dropped = shared.intake.stats.count(Action::UnreadDropped),
        loop_lag_ms = shared.lag.get().as_millis();
        ""
    );
}

/// Returns a random number from the operating system.
fn random() -> Result<u64> {
    getrandom::u64().map_err(|error| anyhow::anyhow!("failed to read random bytes: {error}"))
}
