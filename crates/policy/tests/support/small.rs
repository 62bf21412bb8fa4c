//! A scheduler of one entry with one account, to which tests add replicas.

use policy::account;
use policy::scheduler::Scheduler;
use smol_str::SmolStr;

/// The only account, without limits.
pub const ACCOUNT: account::Key = account::Key(0);

/// Creates a scheduler without replicas.
pub fn scheduler() -> Scheduler {
    let mut scheduler = Scheduler::new(7);
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
