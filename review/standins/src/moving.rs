//! A stream that must not be repeated is moved off a reclaimed replica before its first event is complete.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client::Connection;
use crate::client::Request;
use crate::document;
use crate::entry;
use crate::entry::Entry;
use crate::entry::Platform;
use crate::record::Record;
use crate::replica::Engine;
use crate::replica::Ledger;
use crate::replica::Replica;
use crate::store::Store;

/// Events of three tokens, 360 ms apart, within the route's 400 ms.
const ENGINE: Engine = Engine {
    prefill: Duration::from_millis(120),
    step: Duration::from_millis(120),
    stride: 3,
    events: 6,
};
/// Notice of a reclaimed replica.
const NOTICE_MS: u64 = 2_500;
/// Streams that begin together.
const STREAMS: usize = 6;

/// Plays the case.
pub fn play(record: &Record, scratch: &str, has_trouble: bool) -> Verdict {
    let store = Store::start();
    let ledger = Ledger::default();
    let copies = Default::default();
    store.put("op", "config", &document(3));
    let platform = Platform {
        store: store.address,
        cloud: None,
    };
    let replicas = ["i-1", "i-2"].map(|id| {
        let replica = Replica::start(id, "lm", Some(ENGINE), record, &ledger, &copies);
        replica.announce(&store, 1, None);
        replica
    });
    let all = entry::draw_addresses(2);
    let mut entries = [0, 1].map(|index| Entry::new(index, &all, platform, scratch, record));
    entries.iter_mut().for_each(Entry::start);
    if !entries.iter().all(Entry::wait_until_ready) {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(3));
    let clients: Vec<thread::JoinHandle<()>> = (0..STREAMS)
        .map(|number| {
            let entry = entries[number % 2].addresses.frontend;
            let record = record.clone();
            thread::spawn(move || draft(&record, number, entry))
        })
        .collect();
    if has_trouble {
        reclaim(&ledger, &store, &replicas[0]);
    }
    for client in clients {
        let _ = client.join();
    }
    let mut verdict = Verdict::Held;
    for number in 0..STREAMS {
        let id = name(number);
        let runs = ledger.runs_of(&id);
        let fresh = runs.iter().filter(|run| !run.continues);
        let fresh: Vec<&str> = fresh.map(|run| run.replica.as_str()).collect();
        if fresh.len() > 1 {
            record.line(&format!(
                "TWICE: {id} has run at {}",
                fresh.join(" and at ")
            ));
            verdict = Verdict::Broken;
        }
    }
    verdict
}

fn name(number: usize) -> String {
    format!("draft-{number}")
}

/// Asks for one stream.
fn draft(record: &Record, number: usize, entry: SocketAddr) {
    let Some(mut connection) = Connection::open(entry) else {
        return;
    };
    let prompt = format!(
        "Dogwoodspur-Model: m\r\nDogwoodspur-Token-Usage: 300,80\r\n\
         Dogwoodspur-Prompt-Prefix: aa{number}:100,bb{number}:200\r\n"
    );
    let request = Request {
        id: &name(number),
        method: "POST",
        path: "/draft/1",
        headers: &prompt,
        body: "a draft",
        deadline_ms: 4_000,
    };
    connection.send(record, &request);
}

/// Reclaims a replica just after it began to run a request.
fn reclaim(ledger: &Ledger, store: &Store, replica: &Replica) {
    for _ in 0..2_000 {
        let mut runs = (0..STREAMS).flat_map(|number| ledger.runs_of(&name(number)));
        if runs.any(|run| run.replica == replica.id) {
            return replica.announce(store, 2, Some(NOTICE_MS));
        }
        thread::sleep(Duration::from_millis(1));
    }
}
