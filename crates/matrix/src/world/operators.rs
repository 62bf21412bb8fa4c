//! Operators that change account keys, and probes that try replaced keys.

use clock::Span;
use clock::Time;
use config::deployment::Account;
use config::deployment::CallPattern;
use config::deployment::Deployment;
use config::deployment::Fleet;
use config::deployment::Grant;
use config::deployment::Kind;
use config::snapshot::hash_key;
use entry::event::Event;
use ops::fault::Fault;
use ops::reply::Changed;
use ops::reply::Reply;
use ops::request::Change;
use ops::request::Edit;
use ops::request::Request;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::history::Fact;
use crate::world::Bug;
use crate::world::NETWORK_DELAY;
use crate::world::Occurrence;
use crate::world::World;
use crate::world::backend::MODEL_POOL;
use crate::world::backend::SERVICE_POOL;
use crate::world::input::Input;
use crate::world::node::Requester;

/// Key of the account that callers use.
pub(crate) const CALLER_KEY: &str = "key-of-the-callers";

/// Account of the callers.
const CALLER_ACCOUNT: &str = "callers";

/// Accounts whose keys operators change.
const WATCHED: [&str; 2] = ["branch", "society"];

/// Time that an operator allows for a change to be accepted.
const CHANGE_TIMEOUT: Span = Span::from_seconds(15);

/// Time after which an operator retries its change under the same id, possibly at another entry.
const RETRY_TIMEOUT: Span = Span::from_seconds(20);

/// Interval between two probes.
const PROBE_INTERVAL: Span = Span::from_millis(400);

/// All changes, finished and in progress.
#[derive(Default)]
pub(crate) struct Operators {
    changes: Vec<Submission>,
    /// Watched accounts and their keys, oldest first.
    keys: Vec<(SmolStr, SmolStr)>,
    last: Option<usize>,
}

/// One change of an operator.
struct Submission {
    account: SmolStr,
    key: SmolStr,
    edit: Edit,
    done: bool,
    accepted: bool,
    submitted: Time,
    tries: u32,
    expected_version: u64,
    /// Index of the change that has to finish first.
    after: Option<usize>,
}

impl Operators {
    /// Returns whether the last change has finished.
    pub(crate) fn is_last_done(&self) -> bool {
        self.last.is_some_and(|last| self.changes[last].done)
    }
}

impl World {
    /// Makes the first changes and waits until all entries admit requests.
    pub(crate) fn set_up(&mut self) {
        let accounts = [CALLER_ACCOUNT, WATCHED[0], WATCHED[1]];
        for account in accounts {
            let key = match account {
                CALLER_ACCOUNT => SmolStr::new_static(CALLER_KEY),
                _ => format_smolstr!("{account}-first"),
            };
            self.put_account(account, key);
        }
        for deployment in [model(&accounts), service(&accounts)] {
            let name = deployment.name.clone();
            self.add_change(name, SmolStr::default(), Edit::CreateDeployment(deployment));
        }
        let last = self.operators.changes.len() - 1;
        for change in 0..=last {
            self.operators.changes[change].after = change.checked_sub(1);
        }
        self.after(Span::from_millis(500), Occurrence::OperatorSends(0));
        self.run_until(Span::from_seconds(120), |world| {
            world.operators.changes[last].done
        });
        self.run_until(Span::from_seconds(20), World::all_ready);
        self.run_for(Span::from_seconds(3));
        self.faults_end = self.now;
        self.after(PROBE_INTERVAL, Occurrence::Probe);
    }

    /// Returns whether every entry admits requests.
    pub fn all_ready(&self) -> bool {
        self.slots.iter().all(|node| {
            let now = self.local(*node);
            self.nodes[*node].alive && self.nodes[*node].entry.is_ready(now)
        })
    }

    /// Lets two operators change the same account concurrently.
    pub(crate) fn race_operators(&mut self) {
        let account = WATCHED[self.random_below(2) as usize];
        for _ in 0..2 {
            let key = format_smolstr!("{account}-{}", self.operators.changes.len());
            let change = self.put_account(account, key);
            self.after(NETWORK_DELAY, Occurrence::OperatorSends(change));
        }
    }

    /// Changes a key after all faults are over.
    pub(crate) fn make_last_change(&mut self) {
        let key = format_smolstr!("{}-last", WATCHED[0]);
        let change = self.put_account(WATCHED[0], key);
        self.operators.last = Some(change);
        self.after(NETWORK_DELAY, Occurrence::OperatorSends(change));
    }

    fn put_account(&mut self, account: &'static str, key: SmolStr) -> usize {
        let name = SmolStr::new_static(account);
        let edit = Edit::PutAccount(Account {
            name: name.clone(),
            key_hashes: vec![hash_key(&key)],
            weight: 1,
            priority: 0,
            tokens_per_second: 0,
            concurrent: 0,
        });
        if account != CALLER_ACCOUNT {
            self.operators.keys.push((name.clone(), key.clone()));
        }
        self.add_change(name, key, edit)
    }

    fn add_change(&mut self, account: SmolStr, key: SmolStr, edit: Edit) -> usize {
        self.operators.changes.push(Submission {
            account,
            key,
            edit,
            done: false,
            accepted: false,
            submitted: self.now,
            tries: 0,
            expected_version: self.newest_reported(),
            after: None,
        });
        self.operators.changes.len() - 1
    }

    /// Returns the newest version that any entry has reported.
    fn newest_reported(&self) -> u64 {
        let facts = self.history.records.iter().rev();
        facts
            .filter_map(|(_, fact)| match fact {
                Fact::VersionReported { version, .. }
                | Fact::Accepted { version, .. }
                | Fact::Committed { version, .. } => Some(*version),
                _ => None,
            })
            .max()
            .unwrap_or(0)
    }

    /// Submits a change, or retries it under the same id.
    pub(crate) fn send_change(&mut self, change_index: usize) {
        if self.operators.changes[change_index].done
            || self.operators.changes[change_index].tries > 12
        {
            self.operators.changes[change_index].done = true;
            return;
        }
        let slot = self.random_below(self.slots.len() as u64) as usize;
        let node = self.slots[slot];
        let submission = &mut self.operators.changes[change_index];
        submission.tries += 1;
        submission.submitted = self.now;
        let change = Change {
            id: format_smolstr!("change-{change_index}"),
            expected_version: submission.expected_version,
            wait: CHANGE_TIMEOUT,
            edit: submission.edit.clone(),
        };
        if self.bug == Bug::AcceptEarly {
            let submission = &self.operators.changes[change_index];
            let early = Fact::Accepted {
                account: submission.account.clone(),
                key: submission.key.clone(),
                version: submission.expected_version + 1,
            };
            let account = submission.account.clone();
            self.record(early);
            self.after(NETWORK_DELAY, Occurrence::TryOldKeys(account));
        }
        self.after(RETRY_TIMEOUT, Occurrence::OperatorSends(change_index));
        self.call_entry(
            node,
            Requester::Operator(change_index),
            Request::Change(change),
        );
    }

    fn call_entry(&mut self, node: usize, requester: Requester, request: Request) {
        let event = move |call| Event::Operator { call, request };
        let input = Input::Call(requester, Box::new(event));
        self.after(NETWORK_DELAY, Occurrence::Input(node, input));
    }

    /// Handles an entry's answer to an operator or a version probe.
    pub(crate) fn receive_operator_answer(
        &mut self,
        node: usize,
        call: u64,
        reply: Result<Reply, Fault>,
    ) {
        match self.nodes[node].requesters.remove(&call) {
            Some(Requester::Operator(change_index)) => {
                self.receive_change_answer(change_index, reply)
            }
            Some(Requester::Version) => {
                if let Ok(Reply::Configuration { version, .. }) = reply {
                    let process = World::process(node);
                    self.record(Fact::VersionReported { process, version });
                }
            }
            _ => {}
        }
    }

    fn receive_change_answer(&mut self, change_index: usize, reply: Result<Reply, Fault>) {
        let submission = &mut self.operators.changes[change_index];
        let (account, key) = (submission.account.clone(), submission.key.clone());
        let fact = match reply {
            Ok(Reply::Changed(Changed::Accepted { version })) => {
                submission.done = true;
                submission.accepted = true;
                self.after(NETWORK_DELAY, Occurrence::TryOldKeys(account.clone()));
                Some(Fact::Accepted {
                    account,
                    key,
                    version,
                })
            }
            Ok(Reply::Changed(Changed::Committed { version, .. })) => {
                self.after(NETWORK_DELAY, Occurrence::OperatorSends(change_index));
                Some(Fact::Committed {
                    account,
                    key,
                    version,
                })
            }
            Ok(Reply::Changed(Changed::Conflict { version, .. })) => {
                // The last change is retried until it is made; a racing one has lost.
                match self.operators.last == Some(change_index) {
                    true => {
                        self.operators.changes[change_index].expected_version = version;
                        self.after(NETWORK_DELAY, Occurrence::OperatorSends(change_index));
                    }
                    false => self.operators.changes[change_index].done = true,
                }
                None
            }
            Err(Fault::Precondition(_) | Fault::AlreadyExists(_)) => {
                submission.done = true;
                None
            }
            _ => {
                self.after(
                    Span::from_seconds(1),
                    Occurrence::OperatorSends(change_index),
                );
                None
            }
        };
        if let Some(fact) = fact {
            self.record(fact);
        }
        if self.operators.changes[change_index].done {
            self.finish_change(change_index);
        }
    }

    fn finish_change(&mut self, change_index: usize) {
        if self.operators.last == Some(change_index) {
            let accepted = self.operators.changes[change_index].accepted;
            self.record(Fact::LastChange { accepted });
        }
        let next = change_index + 1;
        let following = self.operators.changes.get(next);
        if following.is_some_and(|following| following.after == Some(change_index)) {
            self.after(NETWORK_DELAY, Occurrence::OperatorSends(next));
        }
    }

    /// Tries all replaced keys of an account at every entry.
    pub(crate) fn try_old_keys(&mut self, account: &SmolStr) {
        if !self.probing {
            return;
        }
        let keys = self.operators.keys.iter();
        let mut replaced_keys: Vec<SmolStr> = keys
            .filter(|(owner, _)| owner == account)
            .map(|(_, key)| key.clone())
            .collect();
        replaced_keys.pop();
        for key in replaced_keys {
            for node in self.slots.clone() {
                self.send_probe(node, account.clone(), key.clone());
            }
        }
    }

    /// Tries a random key at a random entry, and sometimes reads its configuration version.
    pub(crate) fn probe(&mut self) {
        if !self.probing {
            return;
        }
        self.after(PROBE_INTERVAL, Occurrence::Probe);
        let index = self.random_below(self.operators.keys.len() as u64) as usize;
        let (account, key) = self.operators.keys[index].clone();
        let slot = self.random_below(self.slots.len() as u64) as usize;
        let node = self.slots[slot];
        self.send_probe(node, account, key);
        if self.random_below(4) == 0 {
            self.call_entry(node, Requester::Version, Request::ListDeployments);
        }
    }
}

fn grants(accounts: &[&'static str]) -> Vec<Grant> {
    accounts
        .iter()
        .map(|account| Grant {
            account: SmolStr::new_static(account),
            first_token_ms: 5_000,
            token_gap_ms: 500,
            share_per_mille: 950,
        })
        .collect()
}

fn model(accounts: &[&'static str]) -> Deployment {
    Deployment {
        name: SmolStr::new_static(MODEL_POOL),
        kind: Kind::Model {
            model: SmolStr::new_static("m"),
            adapter: SmolStr::default(),
            version: SmolStr::new_static("v1"),
        },
        pool: SmolStr::new_static(MODEL_POOL),
        grants: grants(accounts),
        non_idempotent: Vec::new(),
        checks_fencing: false,
        fleet: Fleet::default(),
    }
}

fn service(accounts: &[&'static str]) -> Deployment {
    Deployment {
        name: SmolStr::new_static(SERVICE_POOL),
        kind: Kind::Service,
        pool: SmolStr::new_static(SERVICE_POOL),
        grants: grants(accounts),
        non_idempotent: vec![CallPattern {
            method: SmolStr::new_static("POST"),
            path_prefix: SmolStr::new_static("/receipts"),
        }],
        checks_fencing: false,
        fleet: Fleet::default(),
    }
}
