//! An installation of separate processes: platform, entries, engines, plain services.

use bytes::Bytes;
use hyper::Method;
use serde::de::DeserializeOwned;
use serde_json::json;
use smol_str::SmolStr;
use standin::engine;
use standin::http::Http;
use standin::platform::fleet::Instance;
use standin::sample;
use standin::service;

use client::Client;
use ops::request::Edit;

use crate::harness::operator::Operator;
use crate::harness::process::Process;
use crate::harness::process::scratch;
use crate::harness::wait_for;

/// Processes of an installation.
pub struct World {
    pub http: Http,
    pub platform: Process,
    pub entries: Vec<Process>,
    pub engines: Vec<Backend>,
    pub services: Vec<Backend>,
}

/// A backend server and its entry in the instance list.
pub struct Backend {
    pub process: Process,
    pub instance: Instance,
}

/// Number of processes of each kind.
pub struct Size {
    /// Entries, distributed over the zones.
    pub entries: usize,
    /// Model engines, distributed over the zones.
    pub engines: usize,
    /// Plain services, distributed over the zones.
    pub services: usize,
    /// Time between two tokens, milliseconds.
    pub token_ms: u64,
}

const ZONES: [&str; 3] = ["a", "b", "c"];

impl World {
    /// Starts all processes without a deployment.
    pub async fn start(size: &Size) -> World {
        let platform = Process::start("platform", &["platform"]).await;
        let mut world = World {
            http: Http::default(),
            platform,
            entries: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
        };
        for at in 0..size.engines {
            world.add_engine(ZONES[at % 3], size.token_ms).await;
        }
        for at in 0..size.services {
            world.add_service(ZONES[at % 3]).await;
        }
        for at in 0..size.entries {
            world.add_entry(ZONES[at % 3]).await;
        }
        world
    }

    /// Starts all processes and deploys the sample.
    pub async fn deployed(size: &Size) -> World {
        let world = World::start(size).await;
        world.deploy().await;
        world
    }

    /// Starts another engine and returns its index.
    pub async fn add_engine(&mut self, zone: &str, token_ms: u64) -> usize {
        let token_ms = token_ms.to_string();
        self.add_engine_with(zone, &["--token-ms", &token_ms]).await
    }

    /// Starts another engine with these arguments and returns its index.
    pub async fn add_engine_with(&mut self, zone: &str, arguments: &[&str]) -> usize {
        let name = format!("engine-{}", self.engines.len());
        let arguments = [&["engine"], arguments].concat();
        let process = Process::start(&name, &arguments).await;
        let backend = self.list("engine", sample::MODEL, zone, process).await;
        self.engines.push(backend);
        self.engines.len() - 1
    }

    /// Starts another plain service and returns its index.
    pub async fn add_service(&mut self, zone: &str) -> usize {
        let name = format!("service-{}", self.services.len());
        let process = Process::start(&name, &["service"]).await;
        let backend = self.list("service", sample::SERVICE, zone, process).await;
        self.services.push(backend);
        self.services.len() - 1
    }

    /// Starts another entry and returns its index.
    pub async fn add_entry(&mut self, zone: &str) -> usize {
        let name = format!("entry-{}", self.entries.len());
        let running = self
            .entries
            .iter()
            .map(|entry| entry.address("peers").to_owned());
        let text = sample::settings(&sample::Entry {
            name: &name,
            zone,
            platform: self.platform.address("address"),
            callers: sample::ANY_PORT,
            seeds: &running.collect::<Vec<String>>(),
        });
        let path = scratch(&format!("{name}.jsonc"));
        std::fs::write(&path, text).unwrap();
        let path = path.display().to_string();
        let process = Process::start(&name, &["entry", "--settings", &path]).await;
        self.entries.push(process);
        self.entries.len() - 1
    }

    /// Creates the account and both deployments, and waits until they can be called.
    pub async fn deploy(&self) {
        let mut operator = self.operator(0).await;
        let edits = [
            ("account", Edit::PutAccount(sample::account())),
            ("model", Edit::CreateDeployment(sample::model())),
            ("service", Edit::CreateDeployment(sample::service())),
        ];
        let mut version = operator.version().await;
        for (id, edit) in edits {
            version = operator.accepted(id, version, edit).await;
        }
        for entry in &self.entries {
            self.wait_until_ready(entry, version).await;
        }
    }

    /// Waits until an entry applies the version, knows all running backend servers and is ready.
    pub async fn wait_until_ready(&self, entry: &Process, version: u64) {
        let mut operator = Operator::connect(entry.address("operators")).await;
        let backends = self.engines.len() + self.services.len();
        wait_for("the version in force and all backend servers", async || {
            let status = operator.status().await;
            (status.version >= version && status.backends.len() >= backends).then_some(())
        })
        .await;
        wait_for("a ready entry", async || {
            let asked =
                self.http
                    .send(Method::GET, entry.address("admin"), "/readyz", Bytes::new());
            asked.await.unwrap().0.is_success().then_some(())
        })
        .await;
    }

    /// Connects an operator to an entry.
    pub async fn operator(&self, entry: usize) -> Operator {
        Operator::connect(self.entries[entry].address("operators")).await
    }

    /// Returns a client that knows all entries.
    pub fn caller(&self) -> Client {
        self.caller_of(self.entries.iter())
    }

    /// Returns a client that knows only these entries.
    pub fn caller_of<'a>(&self, entries: impl Iterator<Item = &'a Process>) -> Client {
        Client::new(self.caller_config(entries))
    }

    fn caller_config<'a>(
        &self,
        entries: impl Iterator<Item = &'a Process>,
    ) -> client::configs::Client {
        client::configs::Client {
            entries: entries
                .map(|entry| SmolStr::from(entry.address("callers")))
                .collect(),
            key: SmolStr::from(sample::ACCOUNT_KEY),
            idle_timeout: clock::Span::from_seconds(5),
            seed: Some(1),
            ..client::configs::Client::default()
        }
    }

    /// Returns a client that tries each request twice at most.
    pub fn hasty_caller(&self) -> Client {
        Client::new(client::configs::Client {
            max_attempts: 2,
            ..self.caller_config(self.entries.iter())
        })
    }

    /// Returns the index of the entry that serves callers at this address.
    pub fn entry_at(&self, address: &str) -> usize {
        let at = self
            .entries
            .iter()
            .position(|entry| entry.address("callers") == address);
        at.expect("the entry is known")
    }

    /// Sends a reclaim notice for the instances selected by this JSON.
    pub async fn reclaim(&self, whom: serde_json::Value) {
        self.control("/control/notice", &whom).await;
    }

    /// Injects a fault into the platform.
    pub async fn platform_fault(&self, fault: serde_json::Value) {
        self.control("/control/fault", &fault).await;
    }

    /// Returns the counters of an engine.
    pub async fn engine_counts(&self, at: usize) -> engine::fault::Counts {
        self.counts(&self.engines[at].process).await
    }

    /// Waits for an engine that has started a stream, and returns its index.
    pub async fn busy_engine(&self) -> usize {
        wait_for("a busy engine", async || {
            for at in 0..self.engines.len() {
                if !self.engine_counts(at).await.started.is_empty() {
                    return Some(at);
                }
            }
            None
        })
        .await
    }

    /// Returns the counters of a plain service.
    pub async fn service_counts(&self, at: usize) -> service::Counts {
        self.counts(&self.services[at].process).await
    }

    /// Returns the executions of a call, such as `POST /receipts?x=1 body`, over all plain services.
    pub async fn executions(&self, call: &str) -> u32 {
        let mut executions = 0;
        for at in 0..self.services.len() {
            let counts = self.service_counts(at).await;
            executions += counts.executions.get(call).copied().unwrap_or(0);
        }
        executions
    }

    /// Injects a fault into a backend server.
    pub async fn fault(&self, process: &Process, fault: serde_json::Value) {
        let address = process.address("address");
        self.http
            .post(address, "/control/fault", &fault)
            .await
            .unwrap();
    }

    /// Changes the state of a listed instance.
    pub async fn set_state(&self, id: &str, state: &str) {
        let path = format!("/control/instances/{id}");
        self.control(&path, &json!({ "state": state })).await;
    }

    async fn list(&self, kind: &str, pool: &str, zone: &str, process: Process) -> Backend {
        let instance = sample::instance(kind, pool, zone, process.address("address"));
        let address = self.platform.address("address");
        let added = self
            .http
            .post(address, "/control/instances", &instance)
            .await
            .unwrap();
        Backend {
            process,
            instance: serde_json::from_slice(&added).unwrap(),
        }
    }

    async fn control(&self, path: &str, value: &serde_json::Value) {
        let address = self.platform.address("address");
        self.http.post(address, path, value).await.unwrap();
    }

    async fn counts<T: DeserializeOwned>(&self, process: &Process) -> T {
        let address = process.address("address");
        self.http.get(address, "/control/counts").await.unwrap()
    }
}
