//! What the parties of one run have in common, and where they are.

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

/// The host that callers ask for.
pub const HOST: &str = "soak.example";
/// Zones, in turn.
pub const ZONES: [&str; 3] = ["north", "middle", "south"];
/// Loopback networks, so that some runs can go on at once, also of the same seed.
const NETWORKS: u64 = 200;
/// The first of these networks, `127.16.0.0`.
const FIRST_NETWORK: u64 = 16;

/// Handed to all parties.
pub struct Shared {
    /// The run's clock.
    pub clock: Clock,
    /// What was seen.
    pub ledger: RefCell<Ledger>,
    /// The table service.
    pub tables: Rc<Tables>,
    /// Chance, for everything that isn't planned.
    pub random: RefCell<Pcg64>,
    /// Where parties listen.
    pub network: Network,
    /// Where settings and logs are kept.
    pub folder: PathBuf,
    /// Keeps the network from other runs.
    _taken: TcpListener,
}

impl Shared {
    /// The common things of the run of a seed.
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

/// Addresses of one run, all on the loopback network.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    second: u8,
}

/// Parties with addresses of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Party {
    /// An entry.
    Entry(usize),
    /// A replica.
    Replica(usize),
    /// The table service and the API.
    Platform,
}

/// Ports of a party.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Port {
    /// Callers, or requests.
    Requests = 8221,
    /// Questions for addresses.
    Directory = 8220,
    /// Readiness.
    Readiness = 8224,
    /// Other entries.
    Peers = 8229,
    /// The table service.
    Tables = 8225,
    /// The API.
    Cloud = 8226,
    /// The proxy before the port for requests.
    RequestsLink = 9221,
    /// The proxy before the port for other entries.
    PeersLink = 9229,
    /// An entry's way to the table service.
    TablesLink = 9225,
    /// Says that the network is used.
    Mark = 9219,
}

impl Network {
    /// A network that no other run uses, for as long as the listener lives.
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

    /// The address of a party's port.
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

/// Milliseconds since 1970.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
