//! Replicas: plain calls that work for some time, and engines that stream events and move runs.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::http::Message;
use crate::json;
use crate::record::Record;
use crate::store::Store;

/// How an engine works.
#[derive(Clone, Copy, Debug)]
pub struct Engine {
    /// Time from a request's arrival to its first token.
    pub prefill: Duration,
    /// Time for each token.
    pub step: Duration,
    /// Tokens in an event.
    pub stride: u32,
    /// Events of a stream.
    pub events: u32,
}

/// What a run did that a request began.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub replica: String,
    /// Whether it went on from the memory of an earlier run.
    pub continues: bool,
}

/// What all replicas saw.
#[derive(Clone, Default)]
pub struct Ledger(Arc<Mutex<Vec<Run>>>);

impl Ledger {
    /// Returns the runs of a request.
    pub fn runs_of(&self, id: &str) -> Vec<Run> {
        let runs = self.0.lock().expect("the ledger");
        runs.iter().filter(|run| run.id == id).cloned().collect()
    }

    fn add(&self, run: Run) {
        self.0.lock().expect("the ledger").push(run);
    }
}

/// State of a stream's run on one replica.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    has_begun: bool,
    events: u32,
    has_ended: bool,
    is_stopped: bool,
}

/// Memory that was copied between replicas: the handle's location, with the events made so far.
pub type Copies = Arc<Mutex<BTreeMap<String, (String, u32)>>>;

/// A replica.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    service: &'static str,
    pub version: &'static str,
    engine: Option<Engine>,
    pub address: SocketAddr,
    record: Record,
    ledger: Ledger,
    copies: Copies,
    streams: Arc<Mutex<BTreeMap<String, Progress>>>,
}

impl Replica {
    /// Starts a replica; with an engine, it streams.
    pub fn start(
        id: &str,
        service: &'static str,
        engine: Option<Engine>,
        record: &Record,
        ledger: &Ledger,
        copies: &Copies,
    ) -> Replica {
        let mut replica = Replica {
            id: id.to_owned(),
            service,
            version: "v1",
            engine,
            address: "127.0.0.1:0".parse().expect("an address"),
            record: record.clone(),
            ledger: ledger.clone(),
            copies: Arc::clone(copies),
            streams: Arc::default(),
        };
        replica.serve();
        replica
    }

    /// Starts a replica of another software version.
    pub fn start_version(
        id: &str,
        service: &'static str,
        version: &'static str,
        engine: Engine,
        record: &Record,
    ) -> Replica {
        let mut replica = Replica {
            id: id.to_owned(),
            service,
            version,
            engine: Some(engine),
            address: "127.0.0.1:0".parse().expect("an address"),
            record: record.clone(),
            ledger: Ledger::default(),
            copies: Arc::default(),
            streams: Arc::default(),
        };
        replica.serve();
        replica
    }

    fn serve(&mut self) {
        let serving = Arc::new(Mutex::new(None::<Replica>));
        let known = Arc::clone(&serving);
        self.address = http::serve(move |request, socket| {
            let replica = known.lock().expect("the replica").clone();
            replica.is_some_and(|replica| replica.answer(request, socket))
        });
        *serving.lock().expect("the replica") = Some(self.clone());
    }

    /// Writes the replica's row; `leaves_ms` is the time left to one that is taken away.
    pub fn announce(&self, store: &Store, sequence: u32, leaves_ms: Option<u64>) {
        let state = if leaves_ms.is_some() {
            "draining"
        } else {
            "ready"
        };
        let leaving = leaves_ms.map_or_else(String::new, |left| {
            format!(",\"spotEnabled\":true,\"leaves_ms\":{left}")
        });
        let slots = if self.engine.is_some() { 64 } else { 6 };
        let row = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":{slots},\
             \"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":1{leaving}}}",
            self.service,
            self.address,
            self.zone(),
            self.version
        );
        store.put("servers", &self.id, &row);
        if let Some(left) = leaves_ms {
            self.record.line(&format!(
                "replica {}: announces that it leaves in {left} ms",
                self.id
            ));
        }
    }

    /// Returns the zone: replicas stand in two zones by turns.
    fn zone(&self) -> &'static str {
        let number: u32 = self.id.trim_start_matches("i-").parse().unwrap_or(0);
        ["hall-a", "hall-b"][number as usize % 2]
    }

    fn answer(&self, request: &Message, socket: &mut TcpStream) -> bool {
        if request.path() == "/v1/kv-move" {
            return self.move_run(request, socket);
        }
        let id = request.header("dogwoodspur-attempt-id").to_owned();
        if id.is_empty() {
            let not_run = "Dogwoodspur-Not-Executed: 1\r\n";
            return http::respond(socket, 400, not_run, "");
        }
        if request.header("dogwoodspur-expect-replica") != self.id {
            return http::respond(socket, 421, "", "");
        }
        match self.engine {
            Some(engine) => self.stream(&id, engine, request, socket),
            None => self.work(&id, request, socket),
        }
    }

    /// Runs a plain call for as long as its body says.
    fn work(&self, id: &str, request: &Message, socket: &mut TcpStream) -> bool {
        let text = request.text();
        let millis = text.strip_prefix("work ").unwrap_or("60");
        let millis: u64 = millis.trim().parse().unwrap_or(60);
        self.begin(id, false);
        thread::sleep(Duration::from_millis(millis));
        self.record
            .line(&format!("replica {}: has run {id}", self.id));
        http::respond(socket, 200, &self.head(id), "filed")
    }

    fn begin(&self, id: &str, continues: bool) {
        let how = if continues { "goes on with" } else { "runs" };
        self.record
            .line(&format!("replica {}: {how} {id}", self.id));
        self.ledger.add(Run {
            id: id.to_owned(),
            replica: self.id.clone(),
            continues,
        });
    }

    fn head(&self, id: &str) -> String {
        format!(
            "Dogwoodspur-Attempt-Id: {id}\r\nDogwoodspur-Response-Signature: mac.{}.{id}\r\n",
            self.id
        )
    }

    fn update(&self, id: &str, change: impl Fn(&mut Progress)) -> Progress {
        let mut streams = self.streams.lock().expect("the streams");
        let progress = streams.entry(id.to_owned()).or_default();
        change(progress);
        *progress
    }

    /// Streams events; ends the stream without its end if the run is moved away.
    fn stream(&self, id: &str, engine: Engine, request: &Message, socket: &mut TcpStream) -> bool {
        let from = request.header("kv-from").to_owned();
        let copied = self.copies.lock().expect("the copies").remove(&from);
        let copied = copied.filter(|(of, _)| of == id);
        if !from.is_empty() && copied.is_none() {
            let not_run = "Dogwoodspur-Not-Executed: 1\r\n";
            return http::respond(socket, 503, not_run, "");
        }
        if copied.is_none() {
            thread::sleep(engine.prefill);
        }
        self.begin(id, copied.is_some());
        // A stream that a client takes up goes on after its last event; no replica checks what began it.
        let taken_up = request.header("last-event-id").parse().unwrap_or(0);
        let first = copied.map_or(taken_up, |(_, events)| events);
        self.update(id, |progress| {
            *progress = Progress {
                has_begun: true,
                events: first,
                ..Progress::default()
            };
        });
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.head(id)
        );
        if socket.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for number in first + 1..=engine.events {
            for _ in 0..engine.stride {
                thread::sleep(engine.step);
                if self.update(id, |_| {}).is_stopped {
                    self.record
                        .line(&format!("replica {}: has stopped {id}", self.id));
                    return false;
                }
            }
            self.update(id, |progress| progress.events = number);
            let event = format!("id: {number}\ndata: {} word-{number}\n\n", self.version);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if socket.write_all(chunk.as_bytes()).is_err() {
                self.record
                    .line(&format!("replica {}: drops {id}, its caller left", self.id));
                return false;
            }
        }
        self.update(id, |progress| progress.has_ended = true);
        self.record
            .line(&format!("replica {}: has run {id}", self.id));
        socket.write_all(b"0\r\n\r\n").is_ok()
    }

    /// Stops a run, and copies its memory to another replica.
    fn move_run(&self, request: &Message, socket: &mut TcpStream) -> bool {
        let order = json::parse(&request.text()).unwrap_or(json::Value::Null);
        let (id, to) = (order.get("id").text(), order.get("to").text());
        let known = self.streams.lock().expect("the streams").get(id).copied();
        let Some(progress) = known.filter(|known| known.has_begun && !known.has_ended) else {
            self.record
                .line(&format!("replica {}: has no run {id} to move", self.id));
            return http::respond(socket, 404, "", "{}");
        };
        self.update(id, |progress| progress.is_stopped = true);
        let handle = format!("h-{id}");
        self.record.line(&format!(
            "replica {}: stops {id} after {} events, copies its memory to {to}, handle {handle}",
            self.id, progress.events
        ));
        let location = format!("{}/{handle}", self.address);
        let copy = (id.to_owned(), progress.events);
        self.copies
            .lock()
            .expect("the copies")
            .insert(location, copy);
        thread::sleep(Duration::from_millis(5));
        let answer = format!(
            "{{\"transferHandle\":\"{handle}\",\"createdAt\":{}}}",
            progress.events
        );
        http::respond(socket, 200, "Content-Type: application/json\r\n", &answer)
    }
}
