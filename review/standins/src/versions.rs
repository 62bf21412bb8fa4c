//! Clients take streams up again at an entry that the store turned away while replicas of another version joined.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::client::Connection;
use crate::client::Request;
use crate::document;
use crate::entry;
use crate::entry::Entry;
use crate::entry::Platform;
use crate::record::Record;
use crate::replica::Engine;
use crate::replica::Replica;
use crate::store::Store;

/// Events of three tokens, 120 ms apart.
const ENGINE: Engine = Engine {
    prefill: Duration::from_millis(100),
    step: Duration::from_millis(40),
    stride: 3,
    events: 91,
};
/// Streams at the same time.
const STREAMS: usize = 32;

/// Time for which the store turns one entry away.
const AWAY_TIME: Duration = Duration::from_secs(9);

/// Plays the case.
pub fn play(record: &Record, scratch: &str, has_trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("op", "config", &document(3));
    let start = |id: &str, version: &'static str| {
        let replica = Replica::start_version(id, "lm", version, ENGINE, record);
        replica.announce(&store, 1, None);
        record.line(&format!("replica {id}: ready, version {version}"));
        replica
    };
    let _old = ["i-1", "i-2"].map(|id| start(id, "v1"));
    let all = entry::draw_addresses(3);
    let doors = [store.door(), store.door(), store.door()];
    let mut entries = [0, 1, 2].map(|index| {
        let platform = Platform {
            store: doors[index].0,
            cloud: None,
        };
        Entry::new(index, &all, platform, scratch, record)
    });
    entries.iter_mut().for_each(Entry::start);
    if !entries.iter().all(Entry::wait_until_ready) {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(5));
    let turned_away_at = Instant::now();
    if has_trouble {
        record.line("store: turns edge-hall-1 away with 503");
        doors[0].1.store(true, Ordering::Relaxed);
        store.wake();
    }
    thread::sleep(Duration::from_millis(200));
    let _new = ["i-3", "i-4", "i-5", "i-6"].map(|id| start(id, "v2"));
    thread::sleep(Duration::from_millis(400));
    // All use the entry that is killed; then each has one of the other two, half of them each.
    let first = entries[2].addresses.frontend;
    let others = [0, 1].map(|index| entries[index].addresses.frontend);
    let clients: Vec<thread::JoinHandle<Vec<String>>> = (0..STREAMS)
        .map(|number| {
            let (record, second) = (record.clone(), others[number % 2]);
            thread::spawn(move || stream(&record, number, [first, second]))
        })
        .collect();
    thread::sleep(Duration::from_millis(200));
    if has_trouble {
        entries[2].signal("TERM");
    }
    thread::sleep(AWAY_TIME.saturating_sub(turned_away_at.elapsed()));
    doors[0].1.store(false, Ordering::Relaxed);
    record.line("store: serves edge-hall-1 again");
    let streams = clients
        .into_iter()
        .map(|client| client.join().unwrap_or_default());
    let streams: Vec<Vec<String>> = streams.collect();
    let mut mixed = 0;
    for (number, versions) in streams.iter().enumerate() {
        if versions.iter().any(|version| *version != versions[0]) {
            mixed += 1;
            record.line(&format!(
                "ORDER: stream {number} holds events of two versions: {}",
                versions.join(" ")
            ));
        }
    }
    record.line(&format!(
        "{mixed} of {STREAMS} streams hold events of two versions"
    ));
    match mixed > 2 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Reads a stream, and takes it up at the other entry if it breaks; returns the version of each event.
fn stream(record: &Record, number: usize, entries: [std::net::SocketAddr; 2]) -> Vec<String> {
    let prompt = format!(
        "Dogwoodspur-Model: m\r\nDogwoodspur-Token-Usage: 300,120\r\n\
         Dogwoodspur-Prompt-Prefix: aa{number}:100,bb{number}:200\r\n"
    );
    let mut versions = Vec::new();
    let began_as = format!("query-{number}");
    for (attempt, entry) in entries.into_iter().enumerate() {
        let id = match attempt {
            0 => began_as.clone(),
            _ => format!("{began_as}-again"),
        };
        let headers = match versions.len() {
            0 => prompt.clone(),
            last => format!("{prompt}Last-Event-Id: {last}\r\nResumes: {began_as}\r\n"),
        };
        let request = Request {
            id: &id,
            method: "POST",
            path: "/query/1",
            headers: &headers,
            body: "a question",
            deadline_ms: 15_000,
        };
        let Some(mut connection) = Connection::open(entry) else {
            return versions;
        };
        let mut seen = String::new();
        let end = connection.send_streaming(record, &request, &mut seen);
        let events = seen.lines().filter_map(|line| line.strip_prefix("data: "));
        versions.extend(events.map(|data| data.split(' ').next().unwrap_or_default().to_owned()));
        if end.status() == 200 {
            break;
        }
    }
    versions
}
