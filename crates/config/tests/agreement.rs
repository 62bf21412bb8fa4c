//! Single entries on a table service without faults.

use clock::Span;
use clock::Time;
use config::agreement::Agreement;
use config::change::Answer;
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

/// Returns the account `name` with this weight.
fn account(name: &str, weight: u32) -> Account {
    Account {
        name: name.into(),
        key_hashes: Vec::new(),
        weight,
        priority: 0,
        tokens_per_second: 0,
        concurrent: 0,
    }
}

/// An entry and the answers it gave.
struct Entry {
    agreement: Agreement,
    answers: Vec<Answer>,
}

impl Entry {
    fn start(id: u64) -> Entry {
        Entry {
            agreement: Agreement::new(holder::Id(id), Settings::default(), |_| Ok(()), 1),
            answers: Vec::new(),
        }
    }

    /// Feeds an event and makes all resulting store calls.
    fn feed(&mut self, now: Time, event: Event, table: &mut Table) {
        let mut effects = Vec::new();
        self.agreement.step(now, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Store { id, call } => {
                    let outcome = table.apply(&call);
                    self.feed(now, Event::Store { id, outcome }, table);
                }
                Effect::Answer { answer, .. } => self.answers.push(answer),
                _ => {}
            }
        }
    }

    fn submit(&mut self, now: Time, change: Change, table: &mut Table) {
        let event = Event::Submit {
            operation: Operation(now.as_millis()),
            change,
            deadline: now + Span::from_seconds(5),
        };
        self.feed(now, event, table);
    }
}

fn change(id: &str, base: u64, edit: Edit) -> Change {
    Change {
        id: id.into(),
        base,
        edits: vec![edit],
    }
}

#[test]
fn a_change_is_committed_applied_and_accepted() {
    let mut table = Table::new();
    let mut entry = Entry::start(1);
    let start = Time::from_millis(10);
    assert!(!entry.agreement.admits(start));

    let valid_until = start + Span::from_seconds(6);
    let lease = Holding {
        epoch: 1,
        valid_until,
    };
    entry.feed(start, Event::Lease(lease), &mut table);
    assert!(entry.agreement.admits(start));
    assert!(!entry.agreement.admits(valid_until));

    let put = Edit::PutAccount(account("omuramba", 2));
    entry.submit(start, change("c1", 0, put), &mut table);
    assert_eq!(entry.agreement.snapshot().version, 1);
    assert_eq!(entry.answers, []);

    let member = Member {
        id: holder::Id(1),
        applied: 0,
        lapsed: false,
    };
    let view = View {
        requested_at: start,
        members: vec![member],
    };
    entry.feed(start, Event::View(view), &mut table);
    entry.feed(start, Event::Wake, &mut table);
    assert_eq!(entry.answers, [Answer::Accepted { version: 1 }]);
}

/// Two operators see the same version and change the weight of one account. One change is committed; the
/// other is refused with the newest version and the difference.
#[test]
fn the_second_of_two_conflicting_changes_gets_the_difference() {
    let mut table = Table::new();
    let mut first = Entry::start(1);
    let mut second = Entry::start(2);
    let now = Time::from_millis(10);
    first.feed(now, Event::Wake, &mut table);
    second.feed(now, Event::Wake, &mut table);

    let put = |weight| Edit::PutAccount(account("harrow", weight));
    first.submit(now, change("c1", 0, put(1)), &mut table);
    second.submit(now, change("c2", 0, put(2)), &mut table);
    let expected = Answer::Conflict {
        version: 1,
        difference: Some(vec![put(1)]),
    };
    assert_eq!(second.answers, [expected]);
    assert_eq!(
        second
            .agreement
            .snapshot()
            .account("harrow")
            .unwrap()
            .weight,
        1
    );
}

/// A change touches other items than one that was committed since its base. Both must be applied.
#[test]
fn changes_of_different_items_do_not_conflict() {
    let mut table = Table::new();
    let mut first = Entry::start(1);
    let mut second = Entry::start(2);
    let now = Time::from_millis(10);
    second.feed(now, Event::Wake, &mut table);
    let put = |name| Edit::PutAccount(account(name, 1));
    first.submit(now, change("c1", 0, put("harrow")), &mut table);
    second.submit(now, change("c2", 0, put("omuramba")), &mut table);
    assert_eq!(second.agreement.snapshot().version, 2);
    assert_eq!(second.agreement.snapshot().accounts.len(), 2);
}
