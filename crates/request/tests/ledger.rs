//! A ticket is granted at most once despite handovers, lost answers and pauses.

use clock::Span;
use clock::Time;
use proptest::prelude::*;
use request::id::Incarnation;
use request::ledger::Answer;
use request::ledger::Estate;
use request::ledger::Ledger;
use request::ledger::TICKET_LIFETIME;
use request::ticket::Ticket;
use smol_str::SmolStr;

const SEED: u64 = 11;
const ENTRIES: usize = 3;

fn account() -> SmolStr {
    SmolStr::new_static("harrow")
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn a_repeated_ticket_is_refused_as_spent() {
    let mut ledger = Ledger::new(Incarnation(1));
    let tickets = ledger.mint(at(0), &account(), 2);
    assert_eq!(ledger.spend(at(1), &tickets[0]), Answer::Granted);
    assert_eq!(ledger.spend(at(2), &tickets[0]), Answer::Spent);
    assert_eq!(ledger.spend(at(3), &tickets[1]), Answer::Granted);
}

/// An entry hands over its ledger, is paused before it exits, and continues when the heir has already
/// granted a ticket. Granting it again would run a non-idempotent request twice.
#[test]
fn a_ledger_that_was_handed_on_grants_nothing() {
    let mut minter = Ledger::new(Incarnation(1));
    let tickets = minter.mint(at(0), &account(), 1);
    let mut heir = Ledger::new(Incarnation(2));
    for estate in minter.hand_over(at(5)) {
        heir.inherit(at(5), estate);
    }
    assert_eq!(heir.spend(at(6), &tickets[0]), Answer::Granted);
    assert_eq!(minter.spend(at(7), &tickets[0]), Answer::Unknown);
    assert!(minter.mint(at(8), &account(), 1).is_empty());
}

/// The answer to a handover is lost and the estate is delivered again after the heir has granted one of
/// its tickets. The second delivery must not restore that ticket.
#[test]
fn an_estate_delivered_twice_restores_no_ticket() {
    let mut minter = Ledger::new(Incarnation(1));
    let tickets = minter.mint(at(0), &account(), 1);
    let mut heir = Ledger::new(Incarnation(2));
    let estates = minter.hand_over(at(5));
    for estate in estates.clone() {
        heir.inherit(at(5), estate);
    }
    assert_eq!(heir.spend(at(6), &tickets[0]), Answer::Granted);
    for estate in estates {
        heir.inherit(at(7), estate);
    }
    assert_eq!(heir.spend(at(8), &tickets[0]), Answer::Spent);
}

/// A spent ticket is used again long after the ledger forgot it. It must not count as unspent.
#[test]
fn an_expired_ticket_is_never_granted() {
    let mut ledger = Ledger::new(Incarnation(1));
    let expired = ledger.mint(at(0), &account(), 1);
    assert_eq!(ledger.spend(at(1), &expired[0]), Answer::Granted);
    let later = at(1) + TICKET_LIFETIME + Span::from_seconds(1);
    let fresh = ledger.mint(later, &account(), 1);
    assert_eq!(ledger.spend(later, &expired[0]), Answer::Unknown);
    assert_eq!(ledger.spend(later, &fresh[0]), Answer::Granted);
}

/// One event among a few entries.
#[derive(Clone, Debug)]
enum Step {
    Mint { entry: usize },
    Spend { entry: usize, ticket: usize },
    HandOver { from: usize },
    Deliver { estate: usize, to: usize },
    Wait { millis: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (0..ENTRIES).prop_map(|entry| Step::Mint { entry }),
        6 => (0..ENTRIES, 0..40usize).prop_map(|(entry, ticket)| Step::Spend { entry, ticket }),
        1 => (0..ENTRIES).prop_map(|from| Step::HandOver { from }),
        2 => (0..20usize, 0..ENTRIES).prop_map(|(estate, to)| Step::Deliver { estate, to }),
        1 => (1..400_000u64).prop_map(|millis| Step::Wait { millis }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(SEED),
        failure_persistence: None,
        cases: 512,
        ..ProptestConfig::default()
    })]

    /// Checks random histories in which each estate has one heir but may be delivered late and repeatedly.
    #[test]
    fn no_ticket_is_granted_twice(steps in proptest::collection::vec(step(), 0..120)) {
        let mut ledgers: Vec<Ledger> =
            (0..ENTRIES).map(|index| Ledger::new(Incarnation(index as u64 + 1))).collect();
        let mut tickets: Vec<Ticket> = Vec::new();
        let mut estates: Vec<(Estate, Option<usize>)> = Vec::new();
        let mut granted = std::collections::BTreeSet::new();
        let mut now = Time::ZERO;
        for step in steps {
            match step {
                Step::Mint { entry } => tickets.extend(ledgers[entry].mint(now, &account(), 2)),
                Step::Spend { entry, ticket } => {
                    if let Some(ticket) = tickets.get(ticket)
                        && ledgers[entry].spend(now, ticket) == Answer::Granted
                    {
                        prop_assert!(granted.insert(ticket.clone()), "granted twice: {:?}", ticket);
                    }
                }
                Step::HandOver { from } => {
                    let handed_over = ledgers[from].hand_over(now);
                    estates.extend(handed_over.into_iter().map(|estate| (estate, None)));
                }
                Step::Deliver { estate, to } => {
                    if let Some((estate, heir)) = estates.get_mut(estate)
                        && *heir.get_or_insert(to) == to
                    {
                        ledgers[to].inherit(now, estate.clone());
                    }
                }
                Step::Wait { millis } => now = now + Span::from_millis(millis),
            }
        }
    }
}
