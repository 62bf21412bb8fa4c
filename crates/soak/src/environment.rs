//! State shared by the nodes of one run, and their addresses.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use anyhow::Result;
use anyhow::bail;
use clock::Clock;
use clock::Span;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use smol_str::SmolStr;

use crate::ledger::Ledger;
use crate::passages::Passages;
use crate::tables::Tables;

/// Host name that callers resolve.
pub const HOST: &str = "soak.example";
/// Availability zones, assigned round-robin.
pub const ZONES: [&str; 3] = ["north", "middle", "south"];
/// Number of loopback networks: concurrent runs, also of the same seed, use one each.
const NETWORKS: u64 = 200;
/// Second octet of the first network, `127.16.0.0`.
const FIRST_NETWORK: u64 = 16;

/// State shared by all nodes of a run.
pub struct Environment {
    /// The run's clock.
    pub clock: Clock,
    /// Observations of callers and replicas.
    pub ledger: RefCell<Ledger>,
    /// The table service.
    pub tables: Rc<Tables>,
    /// Random numbers for everything that the plan doesn't fix.
    pub random: RefCell<Pcg64>,
    /// What the proxies in front of entries see of callers' connections.
    pub passages: Rc<Passages>,
    /// Addresses on which nodes listen.
    pub network: Network,
    /// Whether streams have prompts.
    pub has_prompts: Cell<bool>,
    /// Whether some callers speak HTTP/1.0.
    pub has_http_10: Cell<bool>,
    /// Time after its time limit by which a caller returns to a stream that it has left; zero if it doesn't return.
    pub return_time: Cell<Span>,
    /// Parts of prompts on which replicas crash now.
    pub crash_parts: RefCell<BTreeSet<SmolStr>>,
    /// Folder of settings and logs.
    pub folder: PathBuf,
    /// Reserves the network while the run lasts.
    _network_lock: TcpListener,
}

impl Environment {
    /// Returns whether replicas crash on a part of the prompt now.
    pub fn crashes(&self, prompt: &[SmolStr]) -> bool {
        let parts = self.crash_parts.borrow();
        prompt.iter().any(|part| parts.contains(part))
    }

    /// Reserves a network and creates the state for the run of a seed.
    pub fn new(seed: u64, folder: PathBuf) -> Result<Environment> {
        let (network, lock) = Network::acquire(seed)?;
        let clock = Clock::start();
        Ok(Environment {
            clock,
            passages: Rc::new(Passages::new(clock)),
            ledger: RefCell::default(),
            tables: Rc::default(),
            random: RefCell::new(Pcg64::seed_from_u64(seed)),
            network,
            has_prompts: Cell::new(false),
            has_http_10: Cell::new(false),
            return_time: Cell::new(Span::ZERO),
            crash_parts: RefCell::default(),
            folder,
            _network_lock: lock,
        })
    }
}

/// Loopback addresses of one run.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    second_octet: u8,
}

/// A node with an address of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Node {
    /// An entry.
    Entry(usize),
    /// A replica.
    Replica(usize),
    /// The table service and the API.
    Platform,
}

/// Ports of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Port {
    /// Requests of callers, or of entries at a replica.
    Requests = 8221,
    /// Address queries.
    Directory = 8220,
    /// Readiness checks.
    Readiness = 8224,
    /// Traffic of other entries.
    Peers = 8229,
    /// The table service.
    Tables = 8225,
    /// The API.
    Cloud = 8226,
    /// Proxy in front of [`Port::Requests`].
    RequestsProxy = 9221,
    /// Proxy in front of [`Port::Peers`].
    PeersProxy = 9229,
    /// Proxy between an entry and the table service.
    TablesProxy = 9225,
    /// Proxies between an entry and replicas, from here on.
    Ways = 10_000,
    /// Bound while a run uses the network.
    Lock = 9219,
}

impl Network {
    /// Reserves a network that no other run uses, for as long as the listener lives.
    fn acquire(seed: u64) -> Result<(Network, TcpListener)> {
        for offset in 0..NETWORKS {
            let network = Network {
                second_octet: (FIRST_NETWORK + (seed + offset) % NETWORKS) as u8,
            };
            let lock_address = network.address(Node::Platform, Port::Lock);
            if let Ok(lock) = TcpListener::bind(lock_address) {
                return Ok((network, lock));
            }
        }
        bail!("all {NETWORKS} loopback networks are in use")
    }

    /// Returns the address of the proxy between an entry and a replica.
    pub fn way(self, entry: usize, replica: usize) -> SocketAddr {
        let mut address = self.address(Node::Entry(entry), Port::Ways);
        address.set_port(address.port() + replica as u16);
        address
    }

    /// Returns the address of a node's port.
    pub fn address(self, node: Node, port: Port) -> SocketAddr {
        let (third, fourth) = match node {
            Node::Entry(index) => (1, index + 1),
            Node::Replica(index) => (2, index + 1),
            Node::Platform => (3, 1),
        };
        let ip = Ipv4Addr::new(127, self.second_octet, third, fourth as u8);
        SocketAddr::from((ip, port as u16))
    }
}

/// Returns the milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
