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
use crate::harness::process::scratch_path;
use crate::harness::wait_for;

/// Processes of an installation.
pub struct Cluster {
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

impl Cluster {
    /// Starts all processes without a deployment.
    pub async fn start(size: &Size) -> Cluster {
        let platform = Process::start("platform", &["platform"]).await;
        let mut cluster = Cluster {
            http: Http::default(),
            platform,
            entries: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
        };
        for index in 0..size.engines {
            cluster.add_engine(ZONES[index % 3], size.token_ms).await;
        }
        for index in 0..size.services {
            cluster.add_service(ZONES[index % 3]).await;
        }
        for index in 0..size.entries {
            cluster.add_entry(ZONES[index % 3]).await;
        }
        cluster
    }

    /// Starts all processes and deploys the sample.
    pub async fn deployed(size: &Size) -> Cluster {
        let cluster = Cluster::start(size).await;
        cluster.deploy().await;
        cluster
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
        let backend = self.register("engine", sample::MODEL, zone, process).await;
        self.engines.push(backend);
        self.engines.len() - 1
    }

    /// Starts another plain service and returns its index.
    pub async fn add_service(&mut self, zone: &str) -> usize {
        let name = format!("service-{}", self.services.len());
        let process = Process::start(&name, &["service"]).await;
        let backend = self
            .register("service", sample::SERVICE, zone, process)
            .await;
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
        let path = scratch_path(&format!("{name}.jsonc"));
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
            version = operator.expect_accepted(id, version, edit).await;
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
            let request =
                self.http
                    .send(Method::GET, entry.address("admin"), "/readyz", Bytes::new());
            request.await.unwrap().0.is_success().then_some(())
        })
        .await;
    }

    /// Connects an operator to an entry.
    pub async fn operator(&self, entry: usize) -> Operator {
        Operator::connect(self.entries[entry].address("operators")).await
    }

    /// Returns a client that knows all entries.
    pub fn caller(&self) -> Client {
        self.caller_at(self.entries.iter())
    }

    /// Returns a client that knows only these entries.
    pub fn caller_at<'a>(&self, entries: impl Iterator<Item = &'a Process>) -> Client {
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
    pub fn caller_with_two_tries(&self) -> Client {
        Client::new(client::configs::Client {
            max_attempts: 2,
            ..self.caller_config(self.entries.iter())
        })
    }

    /// Returns the index of the entry that serves callers at this address.
    pub fn entry_at(&self, address: &str) -> usize {
        let index = self
            .entries
            .iter()
            .position(|entry| entry.address("callers") == address);
        index.expect("the entry is known")
    }

    /// Sends a reclaim notice for the instances selected by this JSON.
    pub async fn reclaim(&self, selection: serde_json::Value) {
        self.control("/control/notice", &selection).await;
    }

    /// Injects a fault into the platform.
    pub async fn platform_fault(&self, fault: serde_json::Value) {
        self.control("/control/fault", &fault).await;
    }

    /// Returns the counters of an engine.
    pub async fn engine_counts(&self, index: usize) -> engine::fault::Counts {
        self.counts(&self.engines[index].process).await
    }

    /// Waits for an engine that has started a stream, and returns its index.
    pub async fn wait_for_busy_engine(&self) -> usize {
        wait_for("a busy engine", async || {
            for index in 0..self.engines.len() {
                if !self.engine_counts(index).await.started.is_empty() {
                    return Some(index);
                }
            }
            None
        })
        .await
    }

    /// Returns the counters of a plain service.
    pub async fn service_counts(&self, index: usize) -> service::Counts {
        self.counts(&self.services[index].process).await
    }

    /// Returns the executions of a call, such as `POST /receipts?x=1 body`, over all plain services.
    pub async fn executions(&self, call: &str) -> u32 {
        let mut executions = 0;
        for index in 0..self.services.len() {
            let counts = self.service_counts(index).await;
            executions += counts.executions.get(call).copied().unwrap_or(0);
        }
        executions
    }

    /// Injects a fault into a backend server.
    pub async fn backend_fault(&self, process: &Process, fault: serde_json::Value) {
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

    async fn register(&self, kind: &str, pool: &str, zone: &str, process: Process) -> Backend {
        let instance = sample::instance(kind, pool, zone, process.address("address"));
        let address = self.platform.address("address");
        let response = self
            .http
            .post(address, "/control/instances", &instance)
            .await
            .unwrap();
        Backend {
            process,
            instance: serde_json::from_slice(&response).unwrap(),
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
