//! Configuration changes while operators race, entries freeze and the store fails.

mod harness;

use config::deployment::Account;
use harness::caller::ask_at;
use harness::cluster::Cluster;
use harness::cluster::Size;
use ops::reply::Changed;
use ops::request::Edit;
use serde_json::json;
use standin::sample;

const SIZE: Size = Size {
    entries: 3,
    engines: 2,
    services: 1,
    token_ms: 5,
};

/// An entry is frozen while an operator revokes a key, and still has the old configuration when it resumes.
/// Its lease has expired, so it must not admit requests before it has read the new configuration.
#[test]
fn frozen_entry_through_a_change() {
    harness::run(async {
        let cluster = Cluster::deployed(&SIZE).await;
        let frozen = &cluster.entries[2];
        frozen.signal("STOP").await;
        let address = frozen.address("callers").to_owned();
        let request =
            tokio::task::spawn_local(async move { ask_at(&address, "still here?").await });
        let mut operator = cluster.operator(0).await;
        let mut account = sample::account();
        account.key_hashes = vec![config::snapshot::hash_key("a new key")];
        let version = operator.version().await;
        let edit = Edit::PutAccount(account);
        let changed = operator.change("new-key", version, edit).await.unwrap();
        assert!(matches!(changed, Changed::Accepted { .. }), "{changed:?}");
        frozen.signal("CONT").await;
        let answer = request.await.unwrap();
        assert_eq!(answer.verdict(), "not-run", "{answer:?}");
        let mut started = 0;
        for engine in 0..SIZE.engines {
            started += cluster.engine_counts(engine).await.started.len();
        }
        assert_eq!(started, 0);
    });
}

/// An entry that starts during a store outage gets the configuration from a peer.
#[test]
fn entry_started_in_an_outage() {
    harness::run(async {
        let mut cluster = Cluster::deployed(&SIZE).await;
        let version = cluster.operator(0).await.version().await;
        cluster
            .platform_fault(json!({ "part": "tables", "down": true }))
            .await;
        let index = cluster.add_entry("a").await;
        cluster
            .wait_until_ready(&cluster.entries[index], version)
            .await;
        let answer = ask_at(cluster.entries[index].address("callers"), "young entry").await;
        assert_eq!(answer.status, 200, "{answer:?}");
    });
}

/// Two operators change the same account concurrently at different entries. One must succeed, the other must
/// get a conflict with the newer version and the differences, and no entry may apply the loser's change.
#[test]
fn operators_racing() {
    harness::run(async {
        let cluster = Cluster::deployed(&SIZE).await;
        let mut first = cluster.operator(0).await;
        let mut second = cluster.operator(1).await;
        let version = first.version().await;
        let (first_result, second_result) = tokio::join!(
            first.change("one", version, put_contested_account("one")),
            second.change("other", version, put_contested_account("other")),
        );
        let outcomes = [first_result.unwrap(), second_result.unwrap()];
        let accepted = outcomes
            .iter()
            .filter(|outcome| matches!(outcome, Changed::Accepted { .. }));
        assert_eq!(accepted.count(), 1, "{outcomes:?}");
        let conflict = outcomes.iter().find_map(|outcome| match outcome {
            Changed::Conflict {
                version,
                differences,
            } => Some((*version, differences.len())),
            _ => None,
        });
        assert_eq!(conflict, Some((version + 1, 1)), "{outcomes:?}");
        for entry in 0..SIZE.entries {
            assert_eq!(cluster.operator(entry).await.version().await, version + 1);
        }
    });
}

/// Two operators change different accounts concurrently. Neither may undo the other's change, and both must
/// be in force at every entry.
#[test]
fn operators_at_different_accounts() {
    harness::run(async {
        let cluster = Cluster::deployed(&SIZE).await;
        let mut first = cluster.operator(0).await;
        let mut second = cluster.operator(1).await;
        let version = first.version().await;
        let (first_result, second_result) = tokio::join!(
            first.change("one", version, put_account("one")),
            second.change("other", version, put_account("other")),
        );
        let mut versions: Vec<u64> = [first_result.unwrap(), second_result.unwrap()]
            .into_iter()
            .map(|outcome| match outcome {
                Changed::Accepted { version } => version,
                other => panic!("{other:?}"),
            })
            .collect();
        versions.sort_unstable();
        assert_eq!(versions, [version + 1, version + 2]);
        for entry in 0..SIZE.entries {
            assert_eq!(cluster.operator(entry).await.version().await, version + 2);
        }
    });
}

/// The store's response to a change is lost after the change took effect. The operator's retry under the same
/// change id must not apply it twice.
#[test]
fn lost_answer_of_the_store_on_a_change() {
    harness::run(async {
        let cluster = Cluster::deployed(&SIZE).await;
        let mut operator = cluster.operator(0).await;
        let version = operator.version().await;
        let lost_answer = json!({ "part": "tables", "lose_answers": 1, "lose_table": "config" });
        cluster.platform_fault(lost_answer).await;
        let first = operator
            .change("lossy", version, put_account("second"))
            .await;
        let repeat = operator
            .change("lossy", version, put_account("second"))
            .await
            .unwrap();
        assert_eq!(
            repeat,
            Changed::Accepted {
                version: version + 1
            },
            "first: {first:?}"
        );
        assert_eq!(operator.version().await, version + 1);
    });
}

fn put_account(name: &str) -> Edit {
    Edit::PutAccount(Account {
        name: name.into(),
        key_hashes: vec![config::snapshot::hash_key(name)],
        ..sample::account()
    })
}

/// Returns an edit that sets the key of one account, the same account for every caller.
fn put_contested_account(key: &str) -> Edit {
    Edit::PutAccount(Account {
        name: "contested".into(),
        key_hashes: vec![config::snapshot::hash_key(key)],
        ..sample::account()
    })
}
