//! Two operators change the configuration at two entries; the second one's answer shows the conflict.
//!
//! `cargo run -p config --example operators`

use clock::Span;
use clock::Time;
use config::agreement::Agreement;
use config::change::Change;
use config::change::Operation;
use config::configs::agreement::Settings;
use config::deployment::Account;
use config::edit::Edit;
use config::event::Effect;
use config::event::Event;
use lease::holder;
use lease::holding::Holding;
use lease::view::Member;
use lease::view::View;
use store::fake::Table;

const LEASE: Span = Span::from_seconds(6);

fn main() {
    let mut table = Table::new();
    let now = Time::from_millis(1);
    let mut entries: Vec<Agreement> = (1..=2)
        .map(|id| Agreement::new(holder::Id(id), Settings::default(), |_| Ok(()), id))
        .collect();
    for entry in &mut entries {
        let holding = Holding {
            epoch: 1,
            valid_until: now + LEASE,
        };
        feed(entry, now, Event::Lease(holding), &mut table);
    }
    for (index, weight) in [(0, 1), (1, 2)] {
        println!("entry={} submits weight={weight}", index + 1);
        let event = Event::Submit {
            operation: Operation(weight),
            change: change(weight),
            deadline: now + Span::from_seconds(30),
        };
        feed(&mut entries[index], now, event, &mut table);
    }
    for entry in &mut entries {
        let members = [1, 2].map(|id| Member {
            id: holder::Id(id),
            applied: 1,
            lapsed: false,
        });
        let view = View {
            requested_at: now,
            members: members.to_vec(),
        };
        feed(entry, now, Event::View(view), &mut table);
        let version = entry.snapshot().version;
        println!("version={version} admits={}", entry.admits(now));
    }
}

fn change(weight: u64) -> Change {
    let account = Account {
        name: "harrow".into(),
        key_hashes: Vec::new(),
        weight: weight as u32,
        priority: 0,
        tokens_per_second: 0,
        concurrent: 0,
    };
    Change {
        id: format!("change-{weight}").into(),
        base: 0,
        edits: vec![Edit::PutAccount(account)],
    }
}

/// Feeds one event, makes the resulting store calls and prints answers to operators.
fn feed(entry: &mut Agreement, now: Time, event: Event, table: &mut Table) {
    let mut effects = Vec::new();
    entry.step(now, event, &mut effects);
    for effect in effects {
        match effect {
            Effect::Store { id, call } => {
                let outcome = table.apply(&call);
                feed(entry, now, Event::Store { id, outcome }, table);
            }
            Effect::Answer { operation, answer } => {
                println!("operation={} answer={answer:?}", operation.0);
            }
            Effect::Apply(snapshot) => println!("applied version={}", snapshot.version),
            Effect::Send { .. } | Effect::ReadMembers | Effect::Announce(_) => {}
        }
    }
}
