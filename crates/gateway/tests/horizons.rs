//! Plays several times as long as the longest times for which entries remember, wait or sweep.

#![allow(clippy::unwrap_used)]

mod support;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use serde_json::json;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use store::call::Address;
use store::call::Call;
use store::call::Transaction;
use store::call::Write;

use support::World;

/// Tables that share the records of streams.
const TABLES: u64 = 16;
/// Time in which the holder of the duties sweeps all of them.
const SWEEP_MS: u64 = TABLES * 30_000;

/// A drawn number of milliseconds.
fn between(random: &mut Pcg64Mcg, from: u64, to: u64) -> u64 {
    from + random.next_u64() % (to - from)
}

/// Returns the seeds of a play: `usual`, or those that `HORIZONS_FROM` and `HORIZONS_SEEDS` name.
fn seeds(usual: std::ops::Range<u64>) -> std::ops::Range<u64> {
    let number = |name| std::env::var(name).ok().and_then(|text| text.parse().ok());
    match number("HORIZONS_FROM") {
        Some(from) => from..from + number("HORIZONS_SEEDS").unwrap_or(1),
        None => usual,
    }
}

/// Writes records of streams to a table, with the Unix time until which their callers may return.
fn write_records(world: &mut World, table: u64, records: &[(SmolStr, u64)]) {
    let name = format_smolstr!("streams-{table:x}");
    let write = |(key, until_ms): &(SmolStr, u64)| Write {
        address: Address::new(name.clone(), key.clone()),
        value: json!({ "until_ms": until_ms }),
    };
    world.table.apply(&Call::Transact(Transaction {
        token: name.clone(),
        checks: Vec::new(),
        writes: records.iter().map(write).collect(),
    }));
}

/// Returns the records of streams to which nobody may return since `before`.
fn outdated(world: &mut World, before: u64) -> usize {
    let tables = (0..TABLES).map(|table| format_smolstr!("streams-{table:x}"));
    let rows = tables.flat_map(|table| world.rows(table));
    let until = rows.filter_map(|row| row.value.get("until_ms").and_then(Value::as_u64));
    until.filter(|until| *until < before).count()
}

/// Guards against records of killed entries that stay for ever behind many records that are still needed.
#[test]
fn outdated_records_behind_many_others_are_removed() {
    let mut world = World::unlimited(2);
    world.run(5_000);
    let now = world.unix_ms();
    let records: Vec<(SmolStr, u64)> = (0..350_u64)
        .map(|number| {
            let until = match number % 50 {
                49 => now,
                _ => now + 10 * SWEEP_MS,
            };
            (format_smolstr!("{number:04}/1"), until)
        })
        .collect();
    write_records(&mut world, 5, &records);
    world.run(SWEEP_MS + 90_000);
    assert_eq!(outdated(&mut world, now + 1), 0);
    assert_eq!(world.stream_records(), 350 - 7, "others were removed");
}

/// Guards against tables that no holder of the duties ever comes to sweep, since holders change sooner than that.
#[test]
fn outdated_records_are_removed_while_holders_change() {
    for seed in seeds(1..2) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut world = World::unlimited(3);
        world.run(5_000);
        let end = world.now + 3 * SWEEP_MS;
        let mut next_restart = 0;
        let mut next_record = 0;
        let mut written = 0;
        while world.now < end {
            if world.now >= next_restart {
                next_restart = world.now + between(&mut random, 20_000, 120_000);
                for holder in world.holders() {
                    world.start(holder);
                }
            }
            if world.now >= next_record {
                next_record = world.now + between(&mut random, 500, 5_000);
                written += 1;
                let table = random.next_u64() % TABLES;
                let record = (format_smolstr!("{written:04}/1"), world.unix_ms());
                write_records(&mut world, table, &[record]);
            }
            world.run(500);
            // Two rounds: a table may fall into the time between two holders.
            let oldest = world.unix_ms().saturating_sub(2 * SWEEP_MS);
            let left = outdated(&mut world, oldest);
            assert_eq!(left, 0, "seed {seed}: records left at {} ms", world.now);
        }
    }
}

/// Guards against an account that gets more than its quota while entries are cut off for longer than the others remember
/// their counts, or once they are back.
#[test]
#[cfg_attr(debug_assertions, ignore = "slow without optimization")]
fn a_quota_is_kept_through_long_cuts() {
    const ENTRIES: usize = 8;
    const RATE: u64 = 400;
    const WINDOW_MS: u64 = 8_000;
    /// Time after which a silent entry is forgotten.
    const EXPIRY_MS: u64 = 60_000;
    for seed in seeds(1..3) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut world = World::steady(ENTRIES, support::default_settings(ENTRIES));
        world.run(15_000);
        let start = world.now;
        let end = start + 4 * EXPIRY_MS;
        let (mut next_cut, mut cut_until) = (world.now + 5_000, 0);
        while world.now < end {
            if world.now >= cut_until {
                world.partitioned.clear();
                world.separated.clear();
            }
            if world.now >= next_cut {
                cut_until = world.now + between(&mut random, 5_000, EXPIRY_MS * 3 / 2);
                next_cut = cut_until + between(&mut random, 1_000, 20_000);
                let entries = 1 + random.next_u64() as usize % (ENTRIES - 1);
                match random.next_u64() % 2 {
                    0 => world.separated = (0..entries).collect(),
                    _ => world.partitioned = (0..entries).collect(),
                }
            }
            for _ in 0..8 {
                let entry = random.next_u64() as usize % ENTRIES;
                world.serve(entry);
            }
            world.run(10);
        }
        let sent = world.sent_requests.iter().map(|sent| sent.sent_at);
        let times: Vec<u64> = sent.filter(|at| *at >= start).collect();
        let most = times.iter().enumerate().step_by(20).map(|(first, from)| {
            let within = |at: &&u64| **at < from + WINDOW_MS;
            let count = times[first..].iter().take_while(within).count();
            (count, *from)
        });
        let (most, from) = most.max().unwrap();
        let allowed = (RATE * 9 * 110 / 100) as usize;
        println!("seed {seed}: {most} of {allowed} from {from} ms");
        assert!(most <= allowed, "seed {seed}: {most} from {from} ms");
    }
}
