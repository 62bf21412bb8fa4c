//! A request that must not be repeated is at work at a replica when its entry's grace period ends.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::client;
use crate::client::Connection;
use crate::client::End;
use crate::client::Request;
use crate::document;
use crate::entry;
use crate::entry::Entry;
use crate::entry::Platform;
use crate::record::Record;
use crate::replica::Ledger;
use crate::replica::Replica;
use crate::store::Store;

/// Time from SIGTERM to the long request; a client may keep an address for three times its two seconds.
const SEND_AFTER: Duration = Duration::from_millis(5_300);
/// Time for which that request works, within its time limit and the rest of the grace period.
const WORK_MS: u64 = 2_500;
/// Time limit of the client and of the route.
const LIMIT_MS: u64 = 3_000;

/// Plays the case.
pub fn play(record: &Record, scratch: &str, has_trouble: bool) -> Verdict {
    let store = Store::start();
    let ledger = Ledger::default();
    let copies = Default::default();
    let replicas =
        ["i-1", "i-2"].map(|id| Replica::start(id, "app", None, record, &ledger, &copies));
    store.put("op", "config", &document(3));
    for replica in &replicas {
        replica.announce(&store, 1, None);
    }
    let platform = Platform {
        store: store.address,
        cloud: None,
    };
    let all = entry::draw_addresses(2);
    let mut entries = [0, 1].map(|index| Entry::new(index, &all, platform, scratch, record));
    entries.iter_mut().for_each(Entry::start);
    if !entries.iter().all(Entry::wait_until_ready) {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(3));
    let stopped = entries[0].addresses;
    let named = client::resolve(stopped.directory);
    record.line(&format!(
        "client: resolves {named:?}, for 2 s, kept for 6 s"
    ));
    if !named.contains(&stopped.frontend) {
        return Verdict::NotRun;
    }
    let stopped_at = Instant::now();
    if has_trouble {
        entries[0].signal("TERM");
    }
    // The entry closes each connection after its answer while it stops, so each request gets a new one.
    let file = |entry: SocketAddr, id: &str, work: u64| {
        let body = format!("work {work}");
        let request = Request {
            id,
            method: "POST",
            path: "/file/1",
            headers: "",
            body: &body,
            deadline_ms: LIMIT_MS,
        };
        let connection = Connection::open(entry);
        connection.map_or(End::Broken, |mut open| open.send(record, &request))
    };
    let mut ends = Vec::new();
    for number in 0.. {
        if stopped_at.elapsed() + Duration::from_millis(500) > SEND_AFTER {
            break;
        }
        let id = format!("short-{number}");
        ends.push((id.clone(), file(stopped.frontend, &id, 60)));
        thread::sleep(Duration::from_millis(400));
    }
    thread::sleep(SEND_AFTER.saturating_sub(stopped_at.elapsed()));
    let id = String::from("long-1");
    let end = file(stopped.frontend, &id, WORK_MS);
    let is_promise = |status: u16| [408, 421, 429, 503].contains(&status);
    if is_promise(end.status()) {
        record.line("client: takes the promise, and files the same again under a new id");
        file(entries[1].addresses.frontend, "long-1-again", 60);
    }
    ends.push((id, end));
    thread::sleep(Duration::from_millis(500));
    let mut verdict = Verdict::Held;
    for (id, end) in &ends {
        let runs = ledger.runs_of(id);
        if is_promise(end.status()) && !runs.is_empty() {
            record.line(&format!(
                "REFUSED: {id} was answered {} and has run at {}",
                end.status(),
                runs[0].replica
            ));
            verdict = Verdict::Broken;
        }
        if runs.len() > 1 {
            record.line(&format!("TWICE: {id} has run {} times", runs.len()));
            verdict = Verdict::Broken;
        }
    }
    verdict
}
