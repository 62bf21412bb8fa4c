//! A scheduler of one entry with one account, to which tests add replicas.

#![allow(dead_code)]

use policy::account;
use policy::configs::scheduler::Settings;
use policy::scheduler::Scheduler;
use smol_str::SmolStr;

/// The only account, without limits.
pub const ACCOUNT: account::Key = account::Key(0);

/// Creates a scheduler without replicas.
pub fn scheduler() -> Scheduler {
    scheduler_with(Settings::default())
}

/// Creates a scheduler without replicas, with the given settings.
pub fn scheduler_with(settings: Settings) -> Scheduler {
    let mut scheduler = Scheduler::with_settings(7, settings);
    let account = account::Spec {
        name: SmolStr::new_static("amber"),
        weight: 1,
        priority: 0,
        tokens_per_second: 0,
        concurrent: 0,
    };
    scheduler.set_account(ACCOUNT, account);
    scheduler.set_entries(1);
    scheduler
}
