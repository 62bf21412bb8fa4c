//! Tickets issued by entries that have ended.

#![allow(clippy::unwrap_used)]

mod harness;

use harness::caller::receipt_at;
use harness::caller::receipt_key;
use harness::raw::Raw;
use harness::wait_for;
use harness::world::Size;
use harness::world::World;

const SIZE: Size = Size {
    entries: 3,
    engines: 1,
    services: 1,
    token_ms: 10,
};

/// An entry that issued a used and an unused ticket is stopped. It must hand its ledger over, so that another
/// entry executes the unused ticket and refuses the used one.
#[test]
fn stopped_entry_hands_its_tickets_on() {
    harness::run(async {
        let mut world = World::deployed(&SIZE).await;
        let (used, unused) = tickets(&world).await;
        let first = file(&world, 0, &used).await;
        assert_eq!(first.status, 200, "{first:?}");
        world.entries[0].signal("TERM").await;
        let entry = &mut world.entries[0];
        let code = wait_for("the end of the entry", async || entry.exit_code()).await;
        assert_eq!(code, 0);
        for at in 1..3 {
            let again = file(&world, at, &used).await;
            assert_eq!(
                (again.status, again.verdict().as_str()),
                (409, "may-have-run")
            );
        }
        let other = file(&world, 1, &unused).await;
        assert_eq!(other.status, 200, "{other:?}");
        assert_eq!(world.executions(&receipt_key(&used)).await, 1);
        assert_eq!(world.executions(&receipt_key(&unused)).await, 1);
    });
}

/// An entry that issued tickets is killed and its ledger is lost, so a used ticket can't be told from an
/// unused one. Both must get "may have run" at once, without an execution.
#[test]
fn killed_entry_takes_its_tickets_along() {
    harness::run(async {
        let mut world = World::deployed(&SIZE).await;
        let (used, unused) = tickets(&world).await;
        assert_eq!(file(&world, 0, &used).await.status, 200);
        world.entries[0].kill().await;
        for at in 1..3 {
            for ticket in [&used, &unused] {
                let answer = file(&world, at, ticket).await;
                assert_eq!(
                    (answer.status, answer.verdict().as_str()),
                    (409, "may-have-run")
                );
            }
        }
        assert_eq!(world.executions(&receipt_key(&used)).await, 1);
        assert_eq!(world.executions(&receipt_key(&unused)).await, 0);
    });
}

/// Returns two tickets of the first entry.
async fn tickets(world: &World) -> (String, String) {
    let answer = world
        .caller_of(world.entries[..1].iter())
        .refresh("")
        .await
        .unwrap();
    (answer.tickets[0].to_string(), answer.tickets[1].to_string())
}

/// Sends a receipt with a ticket, which is also its body.
async fn file(world: &World, entry: usize, ticket: &str) -> Raw {
    let name = ("x-dogwoodspur-ticket", ticket);
    receipt_at(&world.entries[entry], ticket, name).await
}
