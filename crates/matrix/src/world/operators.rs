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
use crate::world::HOP;
use crate::world::Happening;
use crate::world::World;
use crate::world::backend::MODEL_POOL;
use crate::world::backend::SERVICE_POOL;
use crate::world::input::Input;
use crate::world::node::Asker;

/// Key of the account that callers use.
pub(crate) const CALLER_KEY: &str = "key-of-the-callers";

/// Account of the callers.
const CALLER_ACCOUNT: &str = "callers";

/// Accounts whose keys operators change.
const WATCHED: [&str; 2] = ["branch", "society"];

/// Time that an operator allows for a change to be accepted.
const CHANGE_WAIT: Span = Span::from_seconds(15);

/// Time after which an operator retries its change under the same id, possibly at another entry.
const PATIENCE: Span = Span::from_seconds(20);

/// Interval between two probes.
const PROBE_TIME: Span = Span::from_millis(400);

/// All changes, finished and in progress.
#[derive(Default)]
pub(crate) struct Operators {
    changes: Vec<Asked>,
    /// Watched accounts and their keys, oldest first.
    keys: Vec<(SmolStr, SmolStr)>,
    last: Option<usize>,
}

/// One change of an operator.
struct Asked {
    account: SmolStr,
    key: SmolStr,
    edit: Edit,
    done: bool,
    accepted: bool,
    asked: Time,
    tries: u32,
    base: u64,
    /// Index of the change that has to finish first.
    after: Option<usize>,
}

impl Operators {
    /// Returns whether the last change has finished.
    pub(crate) fn last_done(&self) -> bool {
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
        self.after(Span::from_millis(500), Happening::OperatorActs(0));
        self.run_to(Span::from_seconds(120), |world| {
            world.operators.changes[last].done
        });
        self.run_to(Span::from_seconds(20), World::all_ready);
        self.run_for(Span::from_seconds(3));
        self.calm_from = self.now;
        self.after(PROBE_TIME, Happening::Probe);
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
        let account = WATCHED[self.draw(2) as usize];
        for _ in 0..2 {
            let key = format_smolstr!("{account}-{}", self.operators.changes.len());
            let change = self.put_account(account, key);
            self.after(HOP, Happening::OperatorActs(change));
        }
    }

    /// Changes a key after all faults are over.
    pub(crate) fn change_last(&mut self) {
        let key = format_smolstr!("{}-last", WATCHED[0]);
        let change = self.put_account(WATCHED[0], key);
        self.operators.last = Some(change);
        self.after(HOP, Happening::OperatorActs(change));
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
        self.operators.changes.push(Asked {
            account,
            key,
            edit,
            done: false,
            accepted: false,
            asked: self.now,
            tries: 0,
            base: self.newest_shown(),
            after: None,
        });
        self.operators.changes.len() - 1
    }

    /// Returns the newest version that any entry has reported.
    fn newest_shown(&self) -> u64 {
        let facts = self.history.records.iter().rev();
        facts
            .filter_map(|(_, fact)| match fact {
                Fact::Showed { version, .. }
                | Fact::Accepted { version, .. }
                | Fact::Committed { version, .. } => Some(*version),
                _ => None,
            })
            .max()
            .unwrap_or(0)
    }

    /// Submits a change, or retries it under the same id.
    pub(crate) fn operator_acts(&mut self, number: usize) {
        if self.operators.changes[number].done || self.operators.changes[number].tries > 12 {
            self.operators.changes[number].done = true;
            return;
        }
        let slot = self.draw(self.slots.len() as u64) as usize;
        let node = self.slots[slot];
        let asked = &mut self.operators.changes[number];
        asked.tries += 1;
        asked.asked = self.now;
        let change = Change {
            id: format_smolstr!("change-{number}"),
            expected_version: asked.base,
            wait: CHANGE_WAIT,
            edit: asked.edit.clone(),
        };
        if self.bug == Bug::AcceptEarly {
            let asked = &self.operators.changes[number];
            let early = Fact::Accepted {
                account: asked.account.clone(),
                key: asked.key.clone(),
                version: asked.base + 1,
            };
            let account = asked.account.clone();
            self.note(early);
            self.after(HOP, Happening::OldKeys(account));
        }
        self.after(PATIENCE, Happening::OperatorActs(number));
        self.ask_entry(node, Asker::Operator(number), Request::Change(change));
    }

    fn ask_entry(&mut self, node: usize, asker: Asker, request: Request) {
        let event = move |call| Event::Operator { call, request };
        let input = Input::Asked(asker, Box::new(event));
        self.after(HOP, Happening::Input(node, input));
    }

    /// Handles an entry's answer to an operator or a version probe.
    pub(crate) fn operator_answered(
        &mut self,
        node: usize,
        call: u64,
        reply: Result<Reply, Fault>,
    ) {
        match self.nodes[node].askers.remove(&call) {
            Some(Asker::Operator(number)) => self.change_answered(number, reply),
            Some(Asker::Version) => {
                if let Ok(Reply::Configuration { version, .. }) = reply {
                    let life = World::life(node);
                    self.note(Fact::Showed { life, version });
                }
            }
            _ => {}
        }
    }

    fn change_answered(&mut self, number: usize, reply: Result<Reply, Fault>) {
        let asked = &mut self.operators.changes[number];
        let (account, key) = (asked.account.clone(), asked.key.clone());
        let fact = match reply {
            Ok(Reply::Changed(Changed::Accepted { version })) => {
                asked.done = true;
                asked.accepted = true;
                self.after(HOP, Happening::OldKeys(account.clone()));
                Some(Fact::Accepted {
                    account,
                    key,
                    version,
                })
            }
            Ok(Reply::Changed(Changed::Committed { version, .. })) => {
                self.after(HOP, Happening::OperatorActs(number));
                Some(Fact::Committed {
                    account,
                    key,
                    version,
                })
            }
            Ok(Reply::Changed(Changed::Conflict { version, .. })) => {
                // The last change is retried until it is made; a racing one has lost.
                match self.operators.last == Some(number) {
                    true => {
                        self.operators.changes[number].base = version;
                        self.after(HOP, Happening::OperatorActs(number));
                    }
                    false => self.operators.changes[number].done = true,
                }
                None
            }
            Err(Fault::Precondition(_) | Fault::AlreadyExists(_)) => {
                asked.done = true;
                None
            }
            _ => {
                self.after(Span::from_seconds(1), Happening::OperatorActs(number));
                None
            }
        };
        if let Some(fact) = fact {
            self.note(fact);
        }
        if self.operators.changes[number].done {
            self.change_done(number);
        }
    }

    fn change_done(&mut self, number: usize) {
        if self.operators.last == Some(number) {
            let accepted = self.operators.changes[number].accepted;
            self.note(Fact::LastChange { accepted });
        }
        let next = number + 1;
        let follows = self.operators.changes.get(next);
        if follows.is_some_and(|follows| follows.after == Some(number)) {
            self.after(HOP, Happening::OperatorActs(next));
        }
    }

    /// Tries all replaced keys of an account at every entry.
    pub(crate) fn try_old_keys(&mut self, account: &SmolStr) {
        if !self.probing {
            return;
        }
        let keys = self.operators.keys.iter();
        let mut own: Vec<SmolStr> = keys
            .filter(|(whose, _)| whose == account)
            .map(|(_, key)| key.clone())
            .collect();
        own.pop();
        for key in own {
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
        self.after(PROBE_TIME, Happening::Probe);
        let which = self.draw(self.operators.keys.len() as u64) as usize;
        let (account, key) = self.operators.keys[which].clone();
        let slot = self.draw(self.slots.len() as u64) as usize;
        let node = self.slots[slot];
        self.send_probe(node, account, key);
        if self.draw(4) == 0 {
            self.ask_entry(node, Asker::Version, Request::ListDeployments);
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
