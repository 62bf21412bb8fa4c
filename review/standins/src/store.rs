//! The platform's table store, in memory.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::json;
use crate::json::Value;

/// Table, partition and key.
type Place = (String, String, String);

/// What the store holds.
#[derive(Clone, Default)]
struct State {
    /// Data in base64 and version of each row.
    rows: BTreeMap<Place, (String, u64)>,
    /// All changes; without data, the row was removed.
    changes: Vec<(Place, Option<String>, u64)>,
    version: u64,
    /// Version from which on the history is there.
    oldest: u64,
}

struct Shared {
    state: State,
    era: u64,
    is_away: bool,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<Shared>, Condvar)>,
    started: Instant,
    pub address: SocketAddr,
}

/// A copy of all rows.
pub struct Backup(State);

impl Store {
    /// Starts an empty store.
    pub fn start() -> Store {
        let shared = Shared {
            state: State::default(),
            era: 0,
            is_away: false,
        };
        let mut store = Store {
            shared: Arc::new((Mutex::new(shared), Condvar::new())),
            started: Instant::now(),
            address: "127.0.0.1:0".parse().expect("an address"),
        };
        let serving = store.clone();
        store.address = http::serve(move |request, socket| serving.answer(request, socket));
        store
    }

    /// Returns a further address, whose callers are turned away while the flag is set.
    pub fn door(&self) -> (SocketAddr, Arc<AtomicBool>) {
        let is_closed = Arc::new(AtomicBool::new(false));
        let (serving, flag) = (self.clone(), Arc::clone(&is_closed));
        let address = http::serve(move |request, socket| {
            // A long poll that was waiting is turned away as well.
            let is_open = || !flag.load(Ordering::Relaxed);
            match is_open() {
                true => serving.answer_if(request, socket, &is_open),
                false => serving.respond(socket, 503, "{}"),
            }
        });
        (address, is_closed)
    }

    /// Wakes the callers that wait for changes.
    pub fn wake(&self) {
        self.shared.1.notify_all();
    }

    /// Writes a row as the operator or a replica does.
    pub fn put(&self, table: &str, key: &str, document: &str) {
        let place = (table.to_owned(), String::new(), key.to_owned());
        let (shared, changed) = &*self.shared;
        let mut shared = shared.lock().expect("the store");
        shared.state.version += 1;
        shared
            .state
            .set(place, Some(json::base64(document.as_bytes())));
        changed.notify_all();
    }

    /// Makes the store turn all calls away, or serve again.
    pub fn set_away(&self, is_away: bool) {
        let (shared, changed) = &*self.shared;
        shared.lock().expect("the store").is_away = is_away;
        changed.notify_all();
    }

    /// Returns a copy of all rows.
    pub fn back_up(&self) -> Backup {
        let shared = self.shared.0.lock().expect("the store");
        Backup(shared.state.clone())
    }

    /// Replaces everything by a copy and begins a new era.
    pub fn restore(&self, backup: Backup) {
        let mut shared = self.shared.0.lock().expect("the store");
        shared.state = backup.0;
        shared.state.changes.clear();
        shared.state.oldest = shared.state.version;
        shared.era += 1;
    }

    fn answer(&self, request: &Message, socket: &mut TcpStream) -> bool {
        self.answer_if(request, socket, &|| true)
    }

    fn answer_if(
        &self,
        request: &Message,
        socket: &mut TcpStream,
        is_open: &dyn Fn() -> bool,
    ) -> bool {
        let (shared, _) = &*self.shared;
        if shared.lock().expect("the store").is_away {
            return self.respond(socket, 503, "{}");
        }
        match request.path() {
            "/v1/rows-get" => self.get(request, socket),
            "/v1/rows-feed" => self.feed(request, socket, is_open),
            "/v1/rows-tx" => self.transact(request, socket),
            _ => self.respond(socket, 404, "{}"),
        }
    }

    fn respond(&self, socket: &mut TcpStream, status: u16, body: &str) -> bool {
        let era = self.shared.0.lock().expect("the store").era;
        let headers = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
        http::respond(socket, status, &headers, body)
    }

    fn tail(&self, version: u64) -> String {
        let now = self.started.elapsed().as_millis();
        format!("\"rowVersion\":{version},\"currentTimeMs\":{now}")
    }

    fn get(&self, request: &Message, socket: &mut TcpStream) -> bool {
        let (table, part) = (request.parameter("table"), request.parameter("part"));
        let (from, to) = (request.parameter("from"), request.parameter("to"));
        let most = request.parameter("maxResults").parse().unwrap_or(500_usize);
        let (rows, more, version) = {
            let shared = self.shared.0.lock().expect("the store");
            let within = |place: &Place| {
                let (of, at, key) = place;
                let is_before_end = to.is_empty() || *key < to;
                *of == table && *at == part && *key >= from && is_before_end
            };
            let found = shared.state.rows.iter();
            let found: Vec<String> = found
                .filter(|(place, _)| within(place))
                .map(|(place, (data, version))| row(place, Some(data), *version))
                .collect();
            let shown: Vec<String> = found.iter().take(most).cloned().collect();
            (shown, found.len() > most, shared.state.version)
        };
        let (rows, tail) = (rows.join(","), self.tail(version));
        let body = format!("{{\"rows\":[{rows}],\"hasMore\":{more},{tail}}}");
        self.respond(socket, 200, &body)
    }

    fn feed(&self, request: &Message, socket: &mut TcpStream, is_open: &dyn Fn() -> bool) -> bool {
        let table = request.parameter("table");
        let since: u64 = request.parameter("sinceRevision").parse().unwrap_or(0);
        let wait: u64 = request.parameter("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let (lock, changed) = &*self.shared;
        let mut shared = lock.lock().expect("the store");
        let era = shared.era;
        let answer = loop {
            if shared.is_away || !is_open() {
                break Err(503);
            }
            let state = &shared.state;
            if shared.era != era || since < state.oldest || since > state.version {
                break Err(410);
            }
            let news = state.changes.iter();
            let news: Vec<String> = news
                .filter(|((of, _, _), _, version)| *of == table && *version > since)
                .map(|(place, data, version)| row(place, data.as_ref(), *version))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !news.is_empty() || left.is_zero() {
                break Ok((news.join(","), state.version));
            }
            shared = changed.wait_timeout(shared, left).expect("the store").0;
        };
        drop(shared);
        match answer {
            Ok((rows, version)) => {
                let tail = self.tail(version);
                self.respond(socket, 200, &format!("{{\"rows\":[{rows}],{tail}}}"))
            }
            Err(status) => self.respond(socket, status, "{}"),
        }
    }

    fn transact(&self, request: &Message, socket: &mut TcpStream) -> bool {
        let Some(transaction) = json::parse(&request.text()) else {
            return self.respond(socket, 400, "{}");
        };
        let (lock, changed) = &*self.shared;
        let mut shared = lock.lock().expect("the store");
        let checks = transaction.get("expected").list();
        let holds = |check: &Value| {
            let known = shared.state.rows.get(&place(check));
            known.map_or(0, |(_, version)| *version) == check.get("rowVersion").number()
        };
        let version = shared.state.version;
        if !checks.iter().all(holds) {
            let found = checks.iter().filter_map(|check| {
                let at = place(check);
                let (data, version) = shared.state.rows.get(&at)?;
                Some(row(&at, Some(data), *version))
            });
            let rows: Vec<String> = found.collect();
            drop(shared);
            let (rows, tail) = (rows.join(","), self.tail(version));
            return self.respond(socket, 412, &format!("{{\"rows\":[{rows}],{tail}}}"));
        }
        shared.state.version += 1;
        let version = shared.state.version;
        for write in transaction.get("write").list() {
            let data = write.get("data").text().to_owned();
            shared.state.set(place(write), Some(data));
        }
        for removal in transaction.get("remove").list() {
            shared.state.set(place(removal), None);
        }
        changed.notify_all();
        drop(shared);
        let body = format!("{{{}}}", self.tail(version));
        self.respond(socket, 200, &body)
    }
}

impl State {
    /// Writes a row at the current version, or removes it.
    fn set(&mut self, place: Place, data: Option<String>) {
        let version = self.version;
        match &data {
            Some(data) => {
                self.rows.insert(place.clone(), (data.clone(), version));
            }
            None => {
                self.rows.remove(&place);
            }
        }
        self.changes.push((place, data, version));
    }
}

fn place(row: &Value) -> Place {
    let text = |name: &str| row.get(name).text().to_owned();
    (text("table"), text("part"), text("key"))
}

fn row(place: &Place, data: Option<&String>, version: u64) -> String {
    let (table, part, key) = place;
    let content = match data {
        Some(data) => format!("\"data\":{}", json::quoted(data)),
        None => String::from("\"deleted\":true"),
    };
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},{content},\"rowVersion\":{version}}}",
        json::quoted(table),
        json::quoted(part),
        json::quoted(key)
    )
}
