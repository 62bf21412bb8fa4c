//! Measures memory and time of one reducer by the number of replicas, accounts and open requests.
//!
//! `cargo run --release -p entry --example slopes`
//!
//! With three numbers (replicas, accounts, open requests) only that row is measured. Memory is only
//! comparable then, since a process doesn't return the memory of earlier rows to the system. Memory is
//! the resident size after building the state, less the size before; time is that of whole requests
//! (arrival, head, tokens, end) on the built state.

use std::time::Instant;

use clock::Span;
use clock::Time;
use config::deployment::Account;
use config::deployment::Deployment;
use config::deployment::Fleet;
use config::deployment::Grant;
use config::deployment::Kind;
use config::edit::Edit;
use config::message::Message;
use config::row::Version;
use config::snapshot::Snapshot;
use config::snapshot::hash_key;
use entry::arrival::Arrival;
use entry::arrival::Work;
use entry::attempt::Report;
use entry::configs::entry::Settings;
use entry::effect::Command;
use entry::effect::Effect;
use entry::entry::Entry;
use entry::event::Event;
use entry::identity::Identity;
use entry::instance::Instance;
use policy::job::End;
use policy::mix::Market;
use request::id::Incarnation;
use smol_str::format_smolstr;
use store::call::Outcome;

/// Number of timed requests in each row.
const TIMED_REQUESTS: u64 = 2_000;

/// Number of reports in which a request's tokens arrive.
const TOKEN_REPORTS: u32 = 4;

/// Size of a memory page, bytes.
const PAGE_BYTES: u64 = 4_096;

/// An entry of a given size.
struct Fixture {
    entry: Entry,
    now: Time,
    next_serial: u64,
    accounts: u64,
}

fn main() {
    println!("replicas accounts    open |     KB  us/request  us/event  us/tick");
    let numbers: Vec<u64> = std::env::args()
        .skip(1)
        .flat_map(|text| text.parse())
        .collect();
    if let [replicas, accounts, open_requests] = numbers[..] {
        return measure_row(replicas, accounts, open_requests);
    }
    for replicas in [12, 120, 1_200, 12_000] {
        measure_row(replicas, 5, 0);
    }
    for accounts in [50, 500, 5_000] {
        measure_row(12, accounts, 0);
    }
    for open_requests in [100, 1_000, 10_000] {
        measure_row(open_requests / 20 + 12, 5, open_requests);
    }
}

/// Builds an entry of a given size, measures it and prints the row.
fn measure_row(replicas: u64, accounts: u64, open_requests: u64) {
    let before = resident_bytes();
    let mut fixture = Fixture::new(accounts);
    fixture.list_instances(replicas);
    for _ in 0..open_requests {
        fixture.open_request();
    }
    let held = resident_bytes().saturating_sub(before);
    let mut events = 0;
    let start = Instant::now();
    for _ in 0..TIMED_REQUESTS {
        events += fixture.run_request();
    }
    let micros = start.elapsed().as_secs_f64() * 1e6;
    let tick_micros = fixture.tick_micros();
    println!(
        "{replicas:8} {accounts:8} {open_requests:7} | {:6} {:11.1} {:9.2} {tick_micros:8.1}",
        held / 1_024,
        micros / TIMED_REQUESTS as f64,
        micros / events as f64,
    );
}

impl Fixture {
    fn new(accounts: u64) -> Fixture {
        let identity = Identity {
            name: "entry-1".into(),
            incarnation: Incarnation(1),
            zone: "a".into(),
            caller_address: "127.0.0.1:1".into(),
            peer_address: "127.0.0.1:2".into(),
        };
        let entry = Entry::new(identity, Settings::default(), "a key of all entries", 1);
        let mut fixture = Fixture {
            entry,
            now: Time::from_millis(1),
            next_serial: 1,
            accounts,
        };
        fixture.acquire_lease();
        fixture.configure(accounts);
        fixture.step(Event::Tick);
        fixture
    }

    /// Lets the entry acquire its lease from an otherwise empty table.
    fn acquire_lease(&mut self) {
        let mut events = vec![Event::Tick];
        let mut table = store::fake::Table::default();
        for _ in 0..40 {
            self.now = self.now + Span::from_millis(100);
            events.push(Event::Tick);
            while let Some(event) = events.pop() {
                for effect in self.step(event) {
                    if let Effect::Store { id, call } = effect {
                        let outcome: Outcome = table.apply(&call);
                        events.push(Event::Store { id, outcome });
                    }
                }
            }
        }
    }

    /// Applies a configuration with the given number of accounts, as if sent by a peer.
    fn configure(&mut self, accounts: u64) {
        let mut snapshot = Snapshot {
            version: 1,
            ..Snapshot::default()
        };
        for number in 0..accounts {
            snapshot.accounts.push(Account {
                name: format_smolstr!("account-{number:05}"),
                key_hashes: vec![hash_key(&format!("key-{number}"))],
                weight: 1,
                priority: 0,
                tokens_per_second: 0,
                concurrent: 0,
            });
        }
        snapshot.deployments.push(deployment(accounts));
        let edits = vec![Edit::PutDeployment(deployment(accounts))];
        let before = vec![Version {
            version: 1,
            change: "c".into(),
            edits,
        }];
        let message = Message::Whole { snapshot, before };
        let from = Incarnation(2);
        self.step(Event::ConfigureReceived { from, message });
    }

    /// Lists the given number of replicas.
    fn list_instances(&mut self, replicas: u64) {
        let instances = (0..replicas).map(instance).collect();
        self.step(Event::InstancesRead(instances));
    }

    /// Starts a request that keeps streaming.
    fn open_request(&mut self) -> Option<(u64, u32)> {
        let serial = self.next_serial;
        self.next_serial += 1;
        let arrival = arrival(serial, self.accounts);
        let started = self
            .step(Event::Arrived { serial, arrival })
            .into_iter()
            .find_map(|effect| match effect {
                Effect::Flight {
                    command: Command::Start { stream, .. },
                    ..
                } => Some(stream.attempt),
                _ => None,
            })?;
        self.report(serial, started, Report::Head);
        Some((serial, started))
    }

    /// Runs a request from arrival to end and returns the number of events.
    fn run_request(&mut self) -> u64 {
        self.now = self.now + Span::from_millis(1);
        let Some((serial, attempt)) = self.open_request() else {
            return 1;
        };
        for _ in 0..TOKEN_REPORTS {
            let report = Report::Tokens {
                tokens: 8,
                worst_gap: Span::from_millis(20),
            };
            self.report(serial, attempt, report);
        }
        let end = End::Finished;
        self.report(serial, attempt, Report::Ended { end, tokens: 0 });
        3 + u64::from(TOKEN_REPORTS)
    }

    /// Returns the mean time of a tick, microseconds.
    fn tick_micros(&mut self) -> f64 {
        let start = Instant::now();
        for _ in 0..100 {
            self.now = self.now + Span::from_millis(20);
            self.step(Event::Tick);
        }
        start.elapsed().as_secs_f64() * 1e6 / 100.0
    }

    fn report(&mut self, serial: u64, attempt: u32, report: Report) {
        self.step(Event::Attempt {
            serial,
            attempt,
            report,
        });
    }

    fn step(&mut self, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.entry.step(self.now, event, &mut effects);
        effects
    }
}

fn deployment(accounts: u64) -> Deployment {
    let grant = |number| Grant {
        account: format_smolstr!("account-{number:05}"),
        first_token_ms: 480,
        token_gap_ms: 61,
        share_per_mille: 950,
    };
    Deployment {
        name: "thesis".into(),
        kind: Kind::Model {
            model: "m".into(),
            adapter: "".into(),
            version: "v1".into(),
        },
        pool: "thesis".into(),
        grants: (0..accounts).map(grant).collect(),
        non_idempotent: Vec::new(),
        checks_fencing: true,
        fleet: Fleet::default(),
    }
}

fn instance(number: u64) -> Instance {
    let zone = format_smolstr!("zone-{}", number % 17);
    Instance {
        id: format_smolstr!("i-{number}"),
        incarnation: format_smolstr!("i-{number}.1"),
        address: format_smolstr!("10.0.{}.{}:8000", number / 250, number % 250),
        kind: policy::mix::Kind {
            zone: zone.clone(),
            class: "g4".into(),
            market: Market::Reclaimable,
        },
        zone,
        pool: "thesis".into(),
        hourly_micros: 1_000_000,
        leaving: false,
    }
}

fn arrival(serial: u64, accounts: u64) -> Arrival {
    Arrival {
        key: Some(format_smolstr!("key-{}", serial % accounts)),
        deployment: "thesis".into(),
        work: Work::Model {
            prompt_tokens: 200,
            max_new_tokens: 200,
            prefix: serial % 64,
        },
        fingerprint: serial,
        idempotency_key: None,
        ticket: None,
        resume: None,
        offset: 0,
    }
}

/// Returns the resident memory of this process, bytes.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|field| field.parse().ok());
    pages.unwrap_or(0_u64) * PAGE_BYTES
}
