//! A scheduler without a daemon: two replicas, a small flood, and the resulting decisions.
//!
//! `cargo run -p policy --example embed`

use clock::Span;
use clock::Time;
use policy::account;
use policy::decision::Decision;
use policy::job;
use policy::job::Job;
use policy::job::Kind;
use policy::pool;
use policy::replica;
use policy::scheduler::Scheduler;
use policy::version;

fn main() {
    let mut scheduler = Scheduler::new(1);
    scheduler.set_entries(1);
    for (key, name) in ["flood", "reader"].into_iter().enumerate() {
        scheduler.set_account(account::Key(key as u32), spec(name));
    }
    let mut out = Vec::new();
    for number in 0..2 {
        let replica = replica::Spec {
            incarnation: format!("i-{number}.1").into(),
            pool: pool::Key(0),
            zone: format!("zone-{number}").into(),
            version: version::Key::default(),
            slots: 2,
        };
        scheduler.replica_joined(Time::ZERO, replica, &mut out);
    }
    // Seven requests of one account, then one of the other: four get a slot, the rest wait.
    for id in 0..8 {
        let account = account::Key(u32::from(id == 7));
        scheduler.offer(Time::from_millis(id), request(id, account), &mut out);
    }
    show(0, &mut out);
    // A slot becomes free: the other account is served first. Later the rest run out of time.
    scheduler.attempt_ended(
        Time::from_millis(400),
        job::Id(0),
        job::End::Finished,
        80,
        &mut out,
    );
    show(400, &mut out);
    while let Some(wake) = scheduler
        .next_wake()
        .filter(|wake| wake.as_millis() < 2_000)
    {
        // Health is evaluated four times per second while something runs.
        scheduler.poll(wake, &mut out);
        show(wake.as_millis(), &mut out);
    }
}

fn show(ms: u64, out: &mut Vec<Decision>) {
    for decision in out.drain(..) {
        println!("{ms} ms: {decision:?}");
    }
}

fn spec(name: &str) -> account::Spec {
    account::Spec {
        name: name.into(),
        weight: 1,
        priority: 0,
        tokens_per_second: 0,
        concurrent: 0,
    }
}

fn request(id: u64, account: account::Key) -> Job {
    Job {
        id: job::Id(id),
        account,
        pool: pool::Key(0),
        kind: Kind::Model,
        prompt_tokens: 600,
        max_new_tokens: 200,
        prefix: 1,
        fingerprint: id + 1,
        idempotent: true,
        first_token: Span::from_seconds(1),
        token_gap: Span::from_millis(61),
        terms: job::Terms::default(),
    }
}
