//! All entries are killed at once while the store is away, and it comes back from an older copy.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::Verdict;
use crate::client::Connection;
use crate::client::Request;
use crate::cloud::Cloud;
use crate::document;
use crate::entry;
use crate::entry::Entry;
use crate::entry::Platform;
use crate::record::Record;
use crate::replica::Ledger;
use crate::replica::Replica;
use crate::store::Store;

/// Length of a window of usage.
const WINDOW_MS: u64 = 5_000;
/// Age of the copy from which the store comes back.
const COPY_AGE: Duration = Duration::from_millis(2_500);
/// Time for which the store is away.
const AWAY_TIME: Duration = Duration::from_millis(400);
/// Time until a killed process is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(300);

/// Plays the case.
pub fn play(record: &Record, scratch: &str, has_trouble: bool) -> Verdict {
    let store = Store::start();
    let cloud = Cloud::start(record);
    let ledger = Ledger::default();
    let copies = Default::default();
    let replicas =
        ["i-1", "i-2"].map(|id| Replica::start(id, "app", None, record, &ledger, &copies));
    let announce = |sequence: u32| {
        store.put("op", "config", &document(3));
        for replica in &replicas {
            replica.announce(&store, sequence, None);
        }
    };
    announce(1);
    let platform = Platform {
        store: store.address,
        cloud: Some(cloud.address),
    };
    let all = entry::draw_addresses(3);
    let mut entries = [0, 1, 2].map(|index| Entry::new(index, &all, platform, scratch, record));
    entries.iter_mut().for_each(Entry::start);
    if !entries.iter().all(Entry::wait_until_ready) {
        return Verdict::NotRun;
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let clients = entries.iter().map(|entry| {
        let (address, record, is_over) = (
            entry.addresses.frontend,
            record.clone(),
            Arc::clone(&is_over),
        );
        let name = entry.name.clone();
        thread::spawn(move || {
            let mut connection = None;
            for number in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let id = format!("{name}-{number}");
                let request = Request {
                    id: &id,
                    method: "POST",
                    path: "/file/1",
                    headers: "",
                    body: "work 60",
                    deadline_ms: 3_000,
                };
                let open = connection.take().or_else(|| Connection::open(address));
                connection = open.and_then(|mut open: Connection| {
                    let end = open.send(&record, &request);
                    (end.status() == 200).then_some(open)
                });
                thread::sleep(Duration::from_millis(100));
            }
        })
    });
    let clients: Vec<thread::JoinHandle<()>> = clients.collect();
    thread::sleep(Duration::from_secs(12));

    // The drill strikes just after the report of a window, which is due in the copy's time.
    let window = unix_ms() / WINDOW_MS;
    let end = (window + 1) * WINDOW_MS;
    let sleep_until = |at: u64| thread::sleep(Duration::from_millis(at.saturating_sub(unix_ms())));
    sleep_until(end - 500);
    let backup = store.back_up();
    record.line("store: this is what the copy holds");
    for _ in 0..60 {
        if cloud.reports().contains_key(&window) {
            break;
        }
        thread::sleep(Duration::from_millis(100));
    }
    sleep_until(end - 500 + COPY_AGE.as_millis() as u64);
    record.line(&format!(
        "window {window} was reported: {}",
        cloud.reports().contains_key(&window)
    ));
    if has_trouble {
        record.line("store: away");
        store.set_away(true);
        thread::sleep(AWAY_TIME);
        for entry in &entries {
            entry.signal("KILL");
        }
        entries.iter_mut().for_each(Entry::wait);
        store.restore(backup);
        announce(2);
        store.set_away(false);
        record.line("store: back from the copy");
        thread::sleep(RESTART_PAUSE);
        entries.iter_mut().for_each(Entry::start);
        if !entries.iter().all(Entry::wait_until_ready) {
            return Verdict::NotRun;
        }
    }
    thread::sleep(Duration::from_secs(16));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let mut verdict = Verdict::Held;
    for (window, reports) in cloud.reports() {
        let (_, _, first) = &reports[0];
        if let Some((holder, fence, counts)) = reports.iter().find(|(_, _, counts)| counts != first)
        {
            record.line(&format!(
                "ONE: window {window} was reported as {first} and by {holder}, fence {fence}, as {counts}"
            ));
            verdict = Verdict::Broken;
        }
    }
    verdict
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
