//! A caller's stream holds each offset once and in order, whatever arrives.

use proptest::prelude::*;
use request::sequencer::Decision;
use request::sequencer::Sequencer;

const SEED: u64 = 7;

/// One thing that can happen to a stream.
#[derive(Clone, Debug)]
enum Word {
    Begin { attempt: u32 },
    Chunk { attempt: u32, offset: u64 },
}

fn word() -> impl Strategy<Value = Word> {
    prop_oneof![
        1 => (0..5u32).prop_map(|attempt| Word::Begin { attempt }),
        6 => (0..5u32, 0..12u64).prop_map(|(attempt, offset)| Word::Chunk { attempt, offset }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A caller would see a token twice, or one missing, after a move: words of the old attempt come
    /// late, or the resumed stream begins before or behind what was passed on.
    #[test]
    fn offsets_are_emitted_once_and_in_order(words in proptest::collection::vec(word(), 0..80)) {
        let mut relay = Sequencer::starting_at(0);
        let mut emitted = Vec::new();
        for word in words {
            match word {
                Word::Begin { attempt } => relay.begin_attempt(attempt, relay.next()),
                Word::Chunk { attempt, offset } => {
                    let next = relay.next();
                    if relay.accept(attempt, offset) == Decision::Emit {
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
fn words_of_an_older_attempt_are_dropped() {
    let mut relay = Sequencer::starting_at(0);
    relay.begin_attempt(1, 0);
    assert_eq!(relay.accept(1, 0), Decision::Emit);
    relay.begin_attempt(2, 1);
    assert_eq!(relay.accept(1, 1), Decision::Drop);
    assert_eq!(relay.accept(2, 0), Decision::Emit);
    assert_eq!(relay.next(), 2);
}

#[test]
fn a_gap_is_told_from_a_repeat() {
    let mut relay = Sequencer::starting_at(3);
    relay.begin_attempt(1, 3);
    assert_eq!(relay.accept(1, 1), Decision::Gap);
    assert_eq!(relay.accept(1, 0), Decision::Emit);
    assert_eq!(relay.accept(1, 0), Decision::Drop);
}
