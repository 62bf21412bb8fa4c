//! The list is the same for readings and reports that arrive reordered, duplicated or in any split.

use std::collections::BTreeMap;

use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prelude::prop_assert_eq;
use proptest::prelude::proptest;
use proptest::test_runner::RngSeed;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use watch::list::List;
use watch::report::Change;
use watch::server::Reading;
use watch::server::Removal;
use watch::server::Server;
use watch::server::Update;

/// A change of a row.
#[derive(Clone, Copy, Debug)]
enum Step {
    Ready,
    Leaving,
    Ended,
}

/// The row that each revision wrote, by revision.
type History = BTreeMap<u64, (SmolStr, Option<Server>)>;

fn server(row: u8, leaving: bool, revision: u64) -> Server {
    Server {
        incarnation: format_smolstr!("s{row}@0"),
        id: format_smolstr!("s{row}"),
        service: SmolStr::new_static("drafts"),
        address: format_smolstr!("10.1.0.{row}:80"),
        zone: SmolStr::new_static("north"),
        version: SmolStr::default(),
        started_unix_ms: None,
        slots: 16,
        leaving,
        leaves_in: None,
        reclaimable: true,
        revision,
    }
}

fn history_of(steps: &[(u8, Step)]) -> History {
    let steps = steps.iter().enumerate();
    let written = steps.map(|(at, (row, step))| {
        let revision = 3 * at as u64 + 1;
        let now = match step {
            Step::Ready => Some(server(*row, false, revision)),
            Step::Leaving => Some(server(*row, true, revision)),
            Step::Ended => None,
        };
        (revision, (format_smolstr!("s{row}"), now))
    });
    written.collect()
}

fn change(revision: u64, id: &SmolStr, now: Option<&Server>) -> Change {
    match now {
        Some(server) => Change::written(server),
        None => Change::ended(id.clone(), revision),
    }
}

/// Returns a reading of all rows as of a revision.
fn all(history: &History, revision: u64) -> Reading {
    let mut rows = BTreeMap::new();
    for (id, now) in history.range(..=revision).map(|(_, row)| row) {
        rows.insert(id, now);
    }
    Reading {
        revision,
        update: Update::All(rows.into_values().flatten().cloned().collect()),
    }
}

/// Returns a reading of the changes between two revisions, with each row listed once per change.
fn changes(history: &History, after: u64, to: u64, backwards: bool) -> Reading {
    let (mut written, mut removed) = (Vec::new(), Vec::new());
    let named = history
        .iter()
        .filter(|(revision, _)| (after + 1..=to).contains(revision));
    for (revision, (id, now)) in named {
        match now {
            Some(server) => written.push(server.clone()),
            None => removed.push(Removal {
                id: id.clone(),
                revision: *revision,
            }),
        }
    }
    if backwards {
        written.reverse();
        removed.reverse();
    }
    Reading {
        revision: to,
        update: Update::Changes { written, removed },
    }
}

fn step() -> impl Strategy<Value = (u8, Step)> {
    let kinds = [Step::Ready, Step::Leaving, Step::Ended];
    (0..4_u8, prop::sample::select(kinds.to_vec()))
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        cases: 2_000,
        ..ProptestConfig::default()
    })]

    /// A leaving or ended state that arrived together with an older state of its row, or before it, was
    /// dropped, and all entries kept using a server that had left.
    #[test]
    fn the_list_does_not_depend_on_the_order(
        steps in prop::collection::vec(step(), 1..40),
        cuts in prop::collection::vec(1..130_u64, 0..8),
        late in prop::collection::vec((0..130_u64, 0..130_u64, any::<bool>()), 0..6),
        reported in prop::collection::vec(any::<prop::sample::Index>(), 0..20),
        backwards in any::<bool>(),
    ) {
        let history = history_of(&steps);
        let newest = 3 * steps.len() as u64;
        let mut truth = List::default();
        truth.apply_reading(&all(&history, newest));

        let mut list = List::default();
        let rows: Vec<(&u64, &(SmolStr, Option<Server>))> = history.iter().collect();
        let mut reports = reported.iter().map(|index| index.get(&rows));
        let mut late = late.into_iter();
        let mut cuts: Vec<u64> = cuts.into_iter().map(|cut| cut.min(newest)).collect();
        cuts.push(newest);
        cuts.sort_unstable();
        let mut known = 0;
        for cut in cuts {
            if let Some((revision, (id, now))) = reports.next() {
                list.apply(vec![change(**revision, id, now.as_ref())]);
            }
            list.apply_reading(&changes(&history, known, cut, backwards));
            known = cut;
            if let Some((from, length, whole)) = late.next() {
                let to = (from + length).min(known);
                list.apply_reading(&match whole {
                    true => all(&history, to),
                    false => changes(&history, from.min(to), to, backwards),
                });
            }
        }
        for (revision, (id, now)) in reports {
            list.apply(vec![change(**revision, id, now.as_ref())]);
        }

        prop_assert_eq!(list.digest(), truth.digest());
        for id in 0..4_u8 {
            let id = format_smolstr!("s{id}");
            prop_assert_eq!(list.get(&id), truth.get(&id));
        }
    }
}
