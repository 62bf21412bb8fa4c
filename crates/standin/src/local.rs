//! A whole installation in one process, on the current `LocalSet`, over real loopback sockets.

use anyhow::Context;
use bytes::Bytes;
use clock::Span;
use daemon::run::Bound;
use daemon::run::Sockets;
use hyper::Method;
use ops::client::Client;
use ops::reply::Changed;
use ops::reply::Reply;
use ops::request::Change;
use ops::request::Edit;
use ops::request::Request;
use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::configs;
use crate::engine;
use crate::engine::Engine;
use crate::http::Http;
use crate::platform;
use crate::platform::Platform;
use crate::platform::fleet::Instance;
use crate::sample;
use crate::service;
use crate::service::Service;

const ZONES: [&str; 3] = ["a", "b", "c"];

/// Interval between two readiness checks of an entry.
const READY_CHECK_INTERVAL: Span = Span::from_millis(50);

/// Readiness checks before giving up, ten seconds in total.
const MAX_READY_CHECKS: u32 = 200;

/// A platform with its engines, plain services and entries.
pub struct Cluster {
    /// The platform.
    pub platform: Platform,
    /// Model engines with their instance list entries.
    pub engines: Vec<(Engine, Instance)>,
    /// Plain services with their instance list entries.
    pub services: Vec<(Service, Instance)>,
    /// Entries.
    pub entries: Vec<Entry>,
}

/// An entry that runs in this process.
pub struct Entry {
    /// Addresses that it listens on.
    pub bound: Bound,
    stop: mpsc::UnboundedSender<bool>,
    task: JoinHandle<anyhow::Result<()>>,
}

impl Cluster {
    /// Starts a platform only.
    pub async fn start() -> anyhow::Result<Cluster> {
        Ok(Cluster {
            platform: platform::spawn("127.0.0.1:0").await?,
            engines: Vec::new(),
            services: Vec::new(),
            entries: Vec::new(),
        })
    }

    /// Adds model engines, distributed over the zones.
    pub async fn add_engines(
        &mut self,
        count: usize,
        config: &configs::engine::Engine,
    ) -> anyhow::Result<()> {
        for zone in ZONES.iter().cycle().take(count) {
            let engine = engine::spawn(config.clone()).await?;
            let address = engine.server.address().to_string();
            let instance = self.register("engine", sample::MODEL, zone, &address);
            self.engines.push((engine, instance));
        }
        Ok(())
    }

    /// Adds plain services, distributed over the zones.
    pub async fn add_services(&mut self, count: usize) -> anyhow::Result<()> {
        for zone in ZONES.iter().cycle().take(count) {
            self.add_service(zone, configs::service::Service::default())
                .await?;
        }
        Ok(())
    }

    /// Adds one plain service.
    pub async fn add_service(
        &mut self,
        zone: &str,
        config: configs::service::Service,
    ) -> anyhow::Result<()> {
        let service = service::spawn(config).await?;
        let address = service.server.address().to_string();
        let instance = self.register("service", sample::SERVICE, zone, &address);
        self.services.push((service, instance));
        Ok(())
    }

    /// Adds entries, distributed over the zones.
    pub async fn add_entries(&mut self, count: usize) -> anyhow::Result<()> {
        for zone in ZONES.iter().cycle().take(count) {
            self.add_entry(zone, sample::ANY_PORT).await?;
        }
        Ok(())
    }

    /// Adds an entry that listens for callers at an address.
    pub async fn add_entry(&mut self, zone: &str, callers: &str) -> anyhow::Result<()> {
        let running = self
            .entries
            .iter()
            .map(|entry| entry.bound.peers.to_string());
        let spec = sample::Entry {
            name: &format!("entry-{}", self.entries.len()),
            zone,
            platform: &self.platform.server.address().to_string(),
            callers,
            seeds: &running.collect::<Vec<String>>(),
        };
        let entry = Entry::start(&spec).await?;
        self.entries.push(entry);
        Ok(())
    }

    /// Deploys the sample through the first entry and returns the version in force.
    pub async fn deploy(&self) -> anyhow::Result<u64> {
        let entry = self.entries.first().context("no entry runs")?;
        let address = format!("http://{}", entry.bound.operators);
        let mut client = Client::connect(&address, sample::OPERATORS_KEY).await?;
        let edits = [
            ("account", Edit::PutAccount(sample::account())),
            ("model", Edit::CreateDeployment(sample::model())),
            ("service", Edit::CreateDeployment(sample::service())),
        ];
        let mut version = current_version(&mut client).await?;
        for (id, edit) in edits {
            version = change(&mut client, id, version, edit).await?;
        }
        for entry in &self.entries {
            self.wait_until_ready(entry, version).await?;
        }
        Ok(version)
    }

    /// Returns a client that knows all entries.
    pub fn caller(&self) -> client::Client {
        let addresses = self.entries.iter().map(|entry| entry.bound.callers);
        client::Client::new(client::configs::Client {
            entries: addresses
                .map(|address| SmolStr::from(address.to_string()))
                .collect(),
            key: SmolStr::from(sample::ACCOUNT_KEY),
            ..client::configs::Client::default()
        })
    }

    /// Waits until an entry applies the version and admits requests.
    async fn wait_until_ready(&self, entry: &Entry, version: u64) -> anyhow::Result<()> {
        let address = format!("http://{}", entry.bound.operators);
        let mut client = Client::connect(&address, sample::OPERATORS_KEY).await?;
        let admin = entry.bound.admin.to_string();
        let http = Http::default();
        for _ in 0..MAX_READY_CHECKS {
            let applied = current_version(&mut client).await? >= version;
            let (status, _) = http
                .send(Method::GET, &admin, "/readyz", Bytes::new())
                .await?;
            if applied && status.is_success() {
                return Ok(());
            }
            tokio::time::sleep(READY_CHECK_INTERVAL.as_duration()).await;
        }
        anyhow::bail!("an entry does not get ready")
    }

    fn register(&self, kind: &str, pool: &str, zone: &str, address: &str) -> Instance {
        let instance = sample::instance(kind, pool, zone, address);
        self.platform.state.borrow_mut().fleet.add(instance)
    }
}

impl Entry {
    /// Starts an entry.
    pub async fn start(entry: &sample::Entry<'_>) -> anyhow::Result<Entry> {
        Entry::start_with(entry.name, &sample::settings(entry)).await
    }

    /// Starts an entry with the text of its settings.
    pub async fn start_with(name: &str, text: &str) -> anyhow::Result<Entry> {
        let loaded = settings::load::parse(name, text)?;
        let sockets = Sockets::bind(&loaded.settings).await?;
        let bound = sockets.bound()?;
        let (stop, stops) = mpsc::unbounded_channel();
        let serving = daemon::run::serve(loaded.settings, sockets, stops);
        Ok(Entry {
            bound,
            stop,
            task: tokio::task::spawn_local(serving),
        })
    }

    /// Requests a graceful stop.
    pub fn request_stop(&self) {
        let _ = self.stop.send(false);
    }

    /// Returns whether the entry has ended.
    pub fn has_ended(&self) -> bool {
        self.task.is_finished()
    }

    /// Stops the entry gracefully and waits until it has ended.
    pub async fn stop(self) -> anyhow::Result<()> {
        self.request_stop();
        self.task.await?
    }
}

async fn current_version(client: &mut Client) -> anyhow::Result<u64> {
    match client.call(Request::ListDeployments).await? {
        Reply::Configuration { version, .. } => Ok(version),
        other => anyhow::bail!("a list was answered with {other:?}"),
    }
}

async fn change(client: &mut Client, id: &str, version: u64, edit: Edit) -> anyhow::Result<u64> {
    let change = Change {
        id: SmolStr::from(id),
        expected_version: version,
        wait: sample::CHANGE_WAIT,
        edit,
    };
    match client.call(Request::Change(change)).await? {
        Reply::Changed(Changed::Accepted { version }) => Ok(version),
        other => anyhow::bail!("the change {id} was answered with {other:?}"),
    }
}
