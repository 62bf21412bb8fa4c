//! A short run with fixed seeds: the real binary, a few faults, all promises checked.

#![allow(clippy::unwrap_used)]

use std::path::PathBuf;

use clock::Span;
use soak::configs::size::Size;
use soak::run;

/// Four seconds of faults, so that a run takes about twenty seconds.
fn short_size() -> Size {
    Size {
        entries: 4,
        engines: 3,
        callers: 12,
        fault_window: Span::from_millis(4_000),
        fault_count: 4,
        ..Size::small()
    }
}

/// Guards against calls that run twice, untrue refusals and work sent to leaving replicas, when signals,
/// connection faults and faults of the table service come in series under load.
#[test]
fn promises_hold_under_short_series_of_faults() {
    let binary = run::find_entry_binary().unwrap();
    let binary = &binary;
    let play = |seed: u64| {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("seed-{seed}"));
        run::play(seed, short_size(), binary, folder).unwrap()
    };
    let reports: Vec<_> = std::thread::scope(|threads| {
        let handles: Vec<_> = [7, 21]
            .into_iter()
            .map(|seed| threads.spawn(move || play(seed)))
            .collect();
        handles
            .into_iter()
            .map(|handle| handle.join().unwrap())
            .collect()
    });
    for report in reports {
        assert!(report.breaches.is_empty(), "{report}");
    }
}
