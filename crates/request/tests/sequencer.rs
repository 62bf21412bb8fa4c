//! A caller's stream gets each offset once and in order, whatever chunks arrive.

use proptest::prelude::*;
use request::sequencer::Decision;
use request::sequencer::Sequencer;

const SEED: u64 = 7;

/// One event of a stream.
#[derive(Clone, Debug)]
enum Step {
    Begin { attempt: u32 },
    Chunk { attempt: u32, offset: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => (0..5u32).prop_map(|attempt| Step::Begin { attempt }),
        6 => (0..5u32, 0..12u64).prop_map(|(attempt, offset)| Step::Chunk { attempt, offset }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// After a move, chunks of the old attempt arrive late, or the resumed stream begins before or after the
    /// caller's position. The caller must get no token twice and miss none.
    #[test]
    fn offsets_are_emitted_once_and_in_order(steps in proptest::collection::vec(step(), 0..80)) {
        let mut sequencer = Sequencer::starting_at(0);
        let mut emitted = Vec::new();
        for step in steps {
            match step {
                Step::Begin { attempt } => sequencer.begin_attempt(attempt, sequencer.next()),
                Step::Chunk { attempt, offset } => {
                    let next = sequencer.next();
                    if sequencer.accept(attempt, offset) == Decision::Emit {
                        emitted.push(next);
                    }
                }
            }
        }
        let expected: Vec<u64> = (0..emitted.len() as u64).collect();
        prop_assert_eq!(emitted, expected);
    }
}

#[test]
fn chunks_of_an_older_attempt_are_dropped() {
    let mut sequencer = Sequencer::starting_at(0);
    sequencer.begin_attempt(1, 0);
    assert_eq!(sequencer.accept(1, 0), Decision::Emit);
    sequencer.begin_attempt(2, 1);
    assert_eq!(sequencer.accept(1, 1), Decision::Drop);
    assert_eq!(sequencer.accept(2, 0), Decision::Emit);
    assert_eq!(sequencer.next(), 2);
}

#[test]
fn a_gap_is_distinguished_from_a_repeat() {
    let mut sequencer = Sequencer::starting_at(3);
    sequencer.begin_attempt(1, 3);
    assert_eq!(sequencer.accept(1, 1), Decision::Gap);
    assert_eq!(sequencer.accept(1, 0), Decision::Emit);
    assert_eq!(sequencer.accept(1, 0), Decision::Drop);
}
