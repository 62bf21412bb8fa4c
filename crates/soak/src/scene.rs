//! State shared by the nodes of one run, and their addresses.

use std::cell::RefCell;
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
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::ledger::Ledger;
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
pub struct Shared {
    /// The run's clock.
    pub clock: Clock,
    /// Observations of callers and replicas.
    pub ledger: RefCell<Ledger>,
    /// The table service.
    pub tables: Rc<Tables>,
    /// Random numbers for everything that the plan doesn't fix.
    pub random: RefCell<Pcg64>,
    /// Addresses on which nodes listen.
    pub network: Network,
    /// Folder of settings and logs.
    pub folder: PathBuf,
    /// Reserves the network while the run lasts.
    _taken: TcpListener,
}

impl Shared {
    /// Reserves a network and creates the state for the run of a seed.
    pub fn new(seed: u64, folder: PathBuf) -> Result<Shared> {
        let (network, taken) = Network::take(seed)?;
        Ok(Shared {
            clock: Clock::start(),
            ledger: RefCell::default(),
            tables: Rc::default(),
            random: RefCell::new(Pcg64::seed_from_u64(seed)),
            network,
            folder,
            _taken: taken,
        })
    }
}

/// Loopback addresses of one run.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    second: u8,
}

/// A node with an address of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Party {
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
    RequestsLink = 9221,
    /// Proxy in front of [`Port::Peers`].
    PeersLink = 9229,
    /// Proxy between an entry and the table service.
    TablesLink = 9225,
    /// Bound while a run uses the network.
    Mark = 9219,
}

impl Network {
    /// Reserves a network that no other run uses, for as long as the listener lives.
    fn take(seed: u64) -> Result<(Network, TcpListener)> {
        for turn in 0..NETWORKS {
            let network = Network {
                second: (FIRST_NETWORK + (seed + turn) % NETWORKS) as u8,
            };
            let mark = network.address(Party::Platform, Port::Mark);
            if let Ok(taken) = TcpListener::bind(mark) {
                return Ok((network, taken));
            }
        }
        bail!("{NETWORKS} runs go on already")
    }

    /// Returns the address of a node's port.
    pub fn address(self, party: Party, port: Port) -> SocketAddr {
        let (third, fourth) = match party {
            Party::Entry(index) => (1, index + 1),
            Party::Replica(index) => (2, index + 1),
            Party::Platform => (3, 1),
        };
        let ip = Ipv4Addr::new(127, self.second, third, fourth as u8);
        SocketAddr::from((ip, port as u16))
    }
}

/// Returns the milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
