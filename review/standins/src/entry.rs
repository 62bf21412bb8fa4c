//! Entries: the project's program as processes of its own, with the settings that the platform makes of the template.

use std::fs;
use std::fs::File;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::record::Record;

/// The deploy file's program.
const PROGRAM: &str = "target/release/dogwoodspur-platform";
/// The variable with the path of the settings file.
const VARIABLE: &str = "DOGWOODSPUR_BOOT";
/// Longest wait until an entry is ready.
const START_TIME: Duration = Duration::from_secs(20);

/// The addresses of one entry.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
    pub control: SocketAddr,
    pub directory: SocketAddr,
    metrics: SocketAddr,
}

/// An entry and its process.
pub struct Entry {
    pub name: String,
    pub addresses: Addresses,
    folder: PathBuf,
    child: Option<Child>,
    record: Record,
}

/// What the settings say beside the addresses.
#[derive(Clone, Copy, Debug)]
pub struct Platform {
    pub store: SocketAddr,
    pub cloud: Option<SocketAddr>,
}

/// Draws free addresses for this many entries, on a loopback address of this process's own: no other process or connection
/// takes their ports before the entries do.
pub fn draw_addresses(count: usize) -> Vec<Addresses> {
    let id = std::process::id();
    let host = Ipv4Addr::new(127, 64 + (id >> 16 & 63) as u8, (id >> 8) as u8, id as u8);
    let bind = || TcpListener::bind((host, 0)).expect("a free port");
    let held: Vec<TcpListener> = (0..count * 5).map(|_| bind()).collect();
    let addresses = held.iter().map(|one| one.local_addr().expect("an address"));
    let addresses: Vec<SocketAddr> = addresses.collect();
    let entries = addresses.chunks(5).map(|own| Addresses {
        frontend: own[0],
        readiness: own[1],
        control: own[2],
        directory: own[3],
        metrics: own[4],
    });
    entries.collect()
}

impl Entry {
    /// Writes the settings of an entry.
    pub fn new(
        index: usize,
        all: &[Addresses],
        platform: Platform,
        folder: &str,
        record: &Record,
    ) -> Entry {
        let addresses = all[index];
        let seeds: Vec<String> = all
            .iter()
            .take(3)
            .map(|one| format!("\"{}\"", one.control))
            .collect();
        let seeds = seeds.join(",");
        let cloud = platform
            .cloud
            .map_or_else(String::new, |at| format!("\"cloud\": \"http://{at}\","));
        let duties = platform.cloud.map_or("", |_| "\"usage\"");
        let name = format!("edge-hall-{}", index + 1);
        let settings = format!(
            r#"{{
    "identity": {{"name": "{name}", "zone": "hall-a"}},
    "callers": {{"listen": "{}", "address_ttl_ms": 2000}},
    "admin": {{"listen": "{}"}},
    "peers": {{"listen": "{}", "key": "dogwoodspur entries of one deployment", "seeds": [{seeds}], "digest_interval_ms": 500}},
    "platform": {{"table_service": "http://{}", {cloud} "reads_per_second": 2000, "writes_per_second": 400, "timeout_ms": 1000}},
    "leases": {{"term_ms": 15000, "renew_interval_ms": 5000}},
    "shutdown": {{"grace_ms": 8000}},
    "gateway": {{
        "enabled": true, "duties": [{duties}], "directory_listen": "{}", "processor": "0.25", "link_mbps": "1000.0",
        "metrics_listen": "{}", "quota_allowance": 110000, "quota_overrun": "0.1", "duty_term_ms": 3000,
        "usage_window_ms": 5000, "usage_delay_ms": 10000
    }}
}}
"#,
            addresses.frontend,
            addresses.readiness,
            addresses.control,
            platform.store,
            addresses.directory,
            addresses.metrics,
        );
        let folder = PathBuf::from(folder);
        fs::write(folder.join(format!("{name}.jsonc")), settings).expect("the settings");
        Entry {
            name,
            addresses,
            folder,
            child: None,
            record: record.clone(),
        }
    }

    /// Starts the process.
    pub fn start(&mut self) {
        let log = self.folder.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(log);
        let log = log.expect("the log");
        let child = Command::new(PROGRAM)
            .env(VARIABLE, self.folder.join(format!("{}.jsonc", self.name)))
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("the log"))
            .stdout(log)
            .spawn();
        let child = child.expect("the deploy file's program, built");
        // The script ends what is left if this process is ended before its time.
        let ids = self.folder.join("ids");
        let ids = File::options().create(true).append(true).open(ids);
        let _ = writeln!(ids.expect("the list of ids"), "{}", child.id());
        self.child = Some(child);
        self.record.line(&format!("{}: started", self.name));
    }

    /// Waits until the entry is ready; returns whether it is.
    pub fn wait_until_ready(&self) -> bool {
        let started = Instant::now();
        while started.elapsed() < START_TIME {
            if probe(self.addresses.readiness) == Some(200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a signal by its name.
    pub fn signal(&self, signal: &str) {
        let Some(child) = &self.child else {
            return;
        };
        self.record.line(&format!("{}: gets {signal}", self.name));
        let id = child.id().to_string();
        let order = format!("kill -s {signal} {id}");
        let _ = Command::new("sh").args(["-c", &order]).status();
    }

    /// Waits for the process's end.
    pub fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
            self.record.line(&format!("{}: has ended", self.name));
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns the status of the readiness check.
fn probe(address: SocketAddr) -> Option<u16> {
    let mut socket = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    let text = "GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n";
    socket.write_all(text.as_bytes()).ok()?;
    let until = Instant::now() + Duration::from_secs(1);
    let answer = http::read_message(&mut socket, &mut Vec::new(), Some(until), &mut |_| {})?;
    Some(answer.status())
}
