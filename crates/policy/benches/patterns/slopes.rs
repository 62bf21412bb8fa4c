//! Time and allocations per decision as replicas, accounts and the queue grow.
//!
//! The times are wall-clock times of one machine: they show how cost grows, not how fast another
//! machine is.

use std::alloc::GlobalAlloc;
use std::alloc::Layout;
use std::alloc::System;
use std::collections::VecDeque;
use std::hint::black_box;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use clock::Span;
use clock::Time;
use policy::account;
use policy::decision::Decision;
use policy::job;
use policy::job::End;
use policy::job::Job;
use policy::job::Kind;
use policy::pool;
use policy::replica;
use policy::scheduler::Scheduler;
use policy::version;

/// Decisions measured at each size.
const DECISIONS: u64 = 20_000;

static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);
static BYTES: AtomicU64 = AtomicU64::new(0);

/// The system allocator with counters.
pub struct Counting;

// Counting allocations requires replacing the global allocator.
#[allow(unsafe_code)]
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
        BYTES.fetch_add(layout.size() as u64, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        BYTES.fetch_sub(layout.size() as u64, Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

/// Size of a scheduler's input.
#[derive(Clone, Copy)]
struct Size {
    replicas: u32,
    accounts: u32,
    queued: u64,
}

/// Prints one row per size; each quantity grows tenfold and a hundredfold alone.
pub fn print() {
    println!("\n| replicas | accounts | queued | µs/decision | allocations/decision | KB held |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let base = Size {
        replicas: 14,
        accounts: 50,
        queued: 1_000,
    };
    let grown = |replicas: u32, accounts: u32, queued: u64| Size {
        replicas: base.replicas * replicas,
        accounts: base.accounts * accounts,
        queued: base.queued * queued,
    };
    for size in [
        base,
        grown(10, 1, 1),
        grown(100, 1, 1),
        grown(1, 10, 1),
        grown(1, 100, 1),
        grown(1, 1, 10),
        grown(1, 1, 100),
        grown(1, 100, 100),
    ] {
        measure(size);
    }
}

/// Ends one job and offers one, over and over, in a scheduler that is full.
fn measure(size: Size) {
    let before = BYTES.load(Ordering::Relaxed);
    let (mut scheduler, mut running) = full_scheduler(size);
    let held_bytes = BYTES.load(Ordering::Relaxed).saturating_sub(before);
    let mut out = Vec::with_capacity(16);
    let mut next = 1_000_000_000;
    let mut decided = 0;
    let allocations = ALLOCATIONS.load(Ordering::Relaxed);
    let started = Instant::now();
    for index in 0..DECISIONS {
        let now = Time::from_millis(2_000 + index / 10);
        let Some(id) = running.pop_front() else {
            break;
        };
        next += 1;
        scheduler.offer(now, job(next, size.accounts), &mut out);
        scheduler.attempt_ended(now, id, End::Finished, 100, &mut out);
        decided += 2;
        for decision in out.drain(..) {
            if let Decision::Start { job, .. } = black_box(decision) {
                running.push_back(job);
            }
        }
    }
    let micros = started.elapsed().as_secs_f64() * 1e6 / f64::from(decided);
    let count = (ALLOCATIONS.load(Ordering::Relaxed) - allocations) as f64 / f64::from(decided);
    println!(
        "| {} | {} | {} | {micros:.2} | {count:.1} | {} |",
        size.replicas,
        size.accounts,
        size.queued,
        held_bytes / 1_024
    );
}

/// Creates a scheduler with all slots taken and waiting jobs that don't expire during the run.
fn full_scheduler(size: Size) -> (Scheduler, VecDeque<job::Id>) {
    let mut scheduler = Scheduler::new(1);
    scheduler.set_entries(1);
    for key in 0..size.accounts {
        let spec = account::Spec {
            name: format!("account-{key}").into(),
            weight: 1 + key % 4,
            priority: 0,
            tokens_per_second: 0,
            concurrent: 0,
        };
        scheduler.set_account(account::Key(key), spec);
    }
    let mut out = Vec::new();
    for key in 0..size.replicas {
        let spec = replica::Spec {
            incarnation: format!("replica-{key}").into(),
            pool: pool::Key(0),
            zone: format!("zone-{}", key % 3).into(),
            version: version::Key::default(),
            slots: 16,
        };
        scheduler.replica_joined(Time::ZERO, spec, &mut out);
    }
    let slots = u64::from(size.replicas) * 16;
    let mut running = VecDeque::new();
    for id in 0..slots + size.queued {
        scheduler.offer(Time::from_millis(1_000), job(id, size.accounts), &mut out);
        for decision in out.drain(..) {
            if let Decision::Start { job, .. } = decision {
                running.push_back(job);
            }
        }
    }
    (scheduler, running)
}

fn job(id: u64, accounts: u32) -> Job {
    Job {
        id: job::Id(id),
        account: account::Key((id % u64::from(accounts)) as u32),
        pool: pool::Key(0),
        kind: Kind::Model,
        prompt_tokens: 600,
        max_new_tokens: 200,
        prefix: id % 100,
        fingerprint: id,
        idempotent: true,
        first_token: Span::from_seconds(3_600),
        token_gap: Span::from_millis(61),
        terms: job::Terms::default(),
    }
}
