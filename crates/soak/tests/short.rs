//! A short run with fixed seeds: the real binary, a few faults, all promises checked.

#![allow(clippy::unwrap_used)]

use std::path::PathBuf;

use clock::Span;
use soak::configs::size::Size;
use soak::run;

/// Four seconds of faults, so that a run takes about twenty seconds.
fn short() -> Size {
    Size {
        entries: 4,
        engines: 3,
        callers: 12,
        faults: Span::from_millis(4_000),
        count: 4,
        ..Size::small()
    }
}

/// Guards against calls that run twice, untrue refusals and work sent to leaving replicas, when signals,
/// connection faults and faults of the table service come in series under load.
#[test]
fn promises_hold_under_short_series_of_faults() {
    let program = run::program_beside().unwrap();
    let program = &program;
    let play = |seed: u64| {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("seed-{seed}"));
        run::play(seed, short(), program, folder).unwrap()
    };
    let reports: Vec<_> = std::thread::scope(|threads| {
        let runs: Vec<_> = [7, 21]
            .into_iter()
            .map(|seed| threads.spawn(move || play(seed)))
            .collect();
        runs.into_iter().map(|run| run.join().unwrap()).collect()
    });
    for report in reports {
        assert!(report.breaches.is_empty(), "{report}");
    }
}
