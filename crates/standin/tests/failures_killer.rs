//! A request that crashes every engine that runs it.

#![allow(clippy::unwrap_used)]

mod harness;

use harness::caller::Reader;
use harness::caller::ask_at;
use harness::cluster::Cluster;
use harness::cluster::Size;
use standin::tokens::CRASH_MARK;

const SIZE: Size = Size {
    entries: 3,
    engines: 6,
    services: 0,
    token_ms: 10,
};

/// Maximum number of engines that one request may crash, over all entries and all retries.
const MAX_CRASHES: usize = 2;

/// A request crashes every engine that runs it, and is retried at every entry. After the second crash every
/// entry must refuse it, and the streams of other callers must end complete.
#[test]
fn killer_request() {
    harness::run(async {
        let mut cluster = Cluster::deployed(&SIZE).await;
        let caller = cluster.caller();
        let mut bystanders = Vec::new();
        for number in 0..6 {
            bystanders.push(Reader::new(&caller, &format!("bystander {number}"), 200).await);
        }
        let question = format!("a scan {CRASH_MARK}");
        let mut answers = Vec::new();
        for round in 0..9 {
            let address = cluster.entries[round % SIZE.entries].address("callers");
            answers.push(ask_at(address, &question).await);
        }
        let crashed = cluster
            .engines
            .iter_mut()
            .filter_map(|engine| engine.process.exit_code())
            .count();
        assert!(
            (1..=MAX_CRASHES).contains(&crashed),
            "{crashed} engines crashed"
        );
        for answer in answers.iter().rev().take(SIZE.entries) {
            assert_eq!(answer.reason(), "quarantined", "{answer:?}");
        }
        for bystander in &mut bystanders {
            bystander.finish().await;
        }
    });
}
