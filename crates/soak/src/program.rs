//! Entries as separate processes, restarted when they end, as the platform does.

use std::cell::Cell;
use std::fs::File;
use std::path::PathBuf;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use clock::Time;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde_json::json;
use tokio::process::Child;
use tokio::process::Command;

use crate::promises;
use crate::proxy::Proxy;
use crate::scene::Party;
use crate::scene::Port;
use crate::scene::Shared;
use crate::scene::ZONES;

/// Pause before a process that ended is restarted.
const RESTART: Duration = Duration::from_millis(300);
/// Interval at which a process that was asked to stop is polled.
const LOOK: Duration = Duration::from_millis(50);

/// An entry's process and the proxies around it.
pub struct Program {
    /// Index of the entry.
    pub index: usize,
    /// Proxy between callers and the entry.
    pub callers: Proxy,
    /// Proxy between other entries and the entry.
    pub peers: Proxy,
    /// Proxy between the entry and the table service.
    pub tables: Proxy,
    shared: Rc<Shared>,
    binary: PathBuf,
    settings: PathBuf,
    /// Process id while the process runs.
    pid: Cell<Option<Pid>>,
    /// Time of the signal that ends the process, if one was sent.
    asked: Cell<Option<Time>>,
    over: Cell<bool>,
}

impl Program {
    /// Starts an entry and a task that restarts it when it ends.
    pub async fn start(
        shared: Rc<Shared>,
        index: usize,
        entries: usize,
        binary: PathBuf,
    ) -> Result<Rc<Program>> {
        let at = |port| shared.network.address(Party::Entry(index), port);
        let tables = shared.network.address(Party::Platform, Port::Tables);
        let program = Rc::new(Program {
            index,
            callers: Proxy::start(at(Port::RequestsLink), at(Port::Requests)).await?,
            peers: Proxy::start(at(Port::PeersLink), at(Port::Peers)).await?,
            tables: Proxy::start(at(Port::TablesLink), tables).await?,
            settings: shared.folder.join(format!("entry-{index}.jsonc")),
            shared,
            binary,
            pid: Cell::new(None),
            asked: Cell::new(None),
            over: Cell::new(false),
        });
        program.write_settings(entries)?;
        let child = program.spawn()?;
        tokio::task::spawn_local(Rc::clone(&program).supervise(child));
        Ok(program)
    }

    /// Sends a signal to the process if it runs.
    pub fn signal(&self, signal: Signal) {
        if signal == Signal::KILL || signal == Signal::TERM {
            self.asked.set(Some(self.shared.clock.now()));
        }
        let sent = self.pid.get().map(|pid| kill_process(pid, signal));
        if let Some(Err(error)) = sent {
            eprintln!("entry {}: {signal:?}: {error}", self.index);
        }
    }

    /// Kills the process and doesn't restart it.
    pub fn end(&self) {
        self.over.set(true);
        self.signal(Signal::KILL);
    }

    /// Sends SIGTERM, and kills the process if it still runs after its grace period.
    pub async fn stop(&self) {
        let Some(pid) = self.pid.get() else {
            return;
        };
        let begun = self.shared.clock.now();
        self.signal(Signal::TERM);
        let bounds = self.shared.ledger.borrow().bounds;
        let grace = bounds.grace + bounds.late;
        while self.pid.get() == Some(pid) {
            let took = self.shared.clock.now().since(begun);
            if took > grace {
                let mut ledger = self.shared.ledger.borrow_mut();
                promises::stops_too_slowly(&mut ledger, self.index, begun, took);
                drop(ledger);
                self.signal(Signal::KILL);
                return;
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    async fn supervise(self: Rc<Self>, mut child: Child) {
        loop {
            let ended = child.wait().await;
            self.pid.set(None);
            let asked = self.asked.take();
            if self.over.get() {
                return;
            }
            if asked.is_none() {
                let how = ended.map_or_else(|error| error.to_string(), |how| how.to_string());
                let now = self.shared.clock.now();
                let mut ledger = self.shared.ledger.borrow_mut();
                promises::ended_by_itself(&mut ledger, self.index, now, &how);
            }
            tokio::time::sleep(RESTART).await;
            match self.spawn() {
                Ok(next) => child = next,
                Err(error) => return eprintln!("entry {}: {error:#}", self.index),
            }
        }
    }

    fn spawn(&self) -> Result<Child> {
        let log = self.shared.folder.join(format!("entry-{}.log", self.index));
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(&self.binary)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("can't start {}", self.binary.display()))?;
        self.asked.set(None);
        let pid = child.id().and_then(|id| Pid::from_raw(id as i32));
        self.pid.set(pid);
        Ok(child)
    }

    fn write_settings(&self, entries: usize) -> Result<()> {
        let network = self.shared.network;
        let grace = self.shared.ledger.borrow().bounds.grace;
        let own = |port| network.address(Party::Entry(self.index), port).to_string();
        let seeds = (0..entries.min(3)).map(|entry| {
            network
                .address(Party::Entry(entry), Port::PeersLink)
                .to_string()
        });
        let settings = json!({
            "identity": {"name": format!("entry-{}", self.index), "zone": ZONES[self.index % ZONES.len()]},
            "callers": {
                "listen": own(Port::Requests), "advertise": own(Port::RequestsLink),
                "address_ttl_ms": 2000,
            },
            "admin": {"listen": own(Port::Readiness)},
            "peers": {
                "listen": own(Port::Peers), "advertise": own(Port::PeersLink),
                "key": "soak: entries of one run", "seeds": seeds.collect::<Vec<String>>(),
            },
            "platform": {
                "table_service": format!("http://{}", own(Port::TablesLink)),
                "cloud": format!("http://{}", network.address(Party::Platform, Port::Cloud)),
                "reads_per_second": 2000, "writes_per_second": 400, "timeout_ms": 1000,
            },
            "shutdown": {"grace_ms": grace.as_millis()},
            "gateway": {
                "enabled": true, "duties": ["usage"], "directory_listen": own(Port::Directory),
                "entries": entries, "duty_term_ms": 3000, "usage_window_ms": 2000,
                "usage_delay_ms": 6000,
            },
        });
        std::fs::write(&self.settings, settings.to_string())?;
        Ok(())
    }
}
