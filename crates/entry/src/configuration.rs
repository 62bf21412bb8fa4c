//! The configuration's head row: read it, and write operators' changes under its revision.

use clock::Time;
use config::snapshot::Snapshot;
use ops::fault::Fault;
use ops::reply::Changed;
use ops::reply::Reply;
use smol_str::SmolStr;
use store::call::Address;
use store::call::Call;
use store::call::Check;
use store::call::Outcome;
use store::call::Row;
use store::call::Transaction;
use store::call::Write;

use crate::effect::Effect;
use crate::entry::Entry;
use crate::entry::Waiter;
use crate::line::Line;

/// Where the newest configuration stands.
const HEAD: (&str, &str) = ("config", "head");

/// What is going on with the head row.
#[derive(Debug, Default)]
pub(crate) struct Configuration {
    revision: Option<u64>,
    next_read: Time,
    busy: bool,
    changing: Option<Changing>,
}

/// A change on its way.
#[derive(Debug)]
struct Changing {
    call: u64,
    snapshot: Snapshot,
}

impl Entry {
    /// Reads the head row when it is time.
    pub(crate) fn configuration_tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.configuration.busy || now < self.configuration.next_read {
            return;
        }
        self.configuration.busy = true;
        self.configuration.next_read = now + self.settings.head_interval;
        self.ask_store(Waiter::Configuration, Call::Get { at: head() }, effects);
    }

    /// Writes a new configuration under the head's revision.
    pub(crate) fn write_configuration(
        &mut self,
        call: u64,
        snapshot: Snapshot,
        effects: &mut Vec<Effect>,
    ) {
        let transaction = Transaction {
            token: SmolStr::default(),
            checks: vec![Check {
                at: head(),
                revision: self.configuration.revision,
            }],
            writes: vec![Write {
                at: head(),
                value: serde_json::to_value(&snapshot).unwrap_or_default(),
            }],
        };
        self.configuration.changing = Some(Changing { call, snapshot });
        self.ask_store(Waiter::Configuration, Call::Transact(transaction), effects);
    }

    /// The table service answered.
    pub(crate) fn configuration_answered(
        &mut self,
        now: Time,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        self.configuration.busy = false;
        match outcome {
            Outcome::Row(row) => self.head_read(now, row, effects),
            Outcome::Committed(revision) => {
                self.configuration.revision = Some(revision);
                let Some(changing) = self.configuration.changing.take() else {
                    return;
                };
                let version = changing.snapshot.version;
                self.apply(now, changing.snapshot, effects);
                let reply = Ok(Reply::Changed(Changed::Accepted { version }));
                let call = changing.call;
                effects.push(Effect::Operator { call, reply });
            }
            Outcome::Unavailable | Outcome::Unknown | Outcome::Conflict(_) => {
                if let Some(Changing { call, .. }) = self.configuration.changing.take() {
                    let reply = Err(Fault::OutcomeUnknown);
                    effects.push(Effect::Operator { call, reply });
                }
            }
            Outcome::Rows { .. } => {}
        }
    }

    /// Applies what the head row holds.
    fn head_read(&mut self, now: Time, row: Option<Row>, effects: &mut Vec<Effect>) {
        let Some(row) = row else {
            return;
        };
        self.configuration.revision = Some(row.revision);
        if let Ok(snapshot) = serde_json::from_value(row.value) {
            self.apply(now, snapshot, effects);
        }
    }

    /// Puts a configuration in force.
    pub(crate) fn apply(&mut self, _now: Time, snapshot: Snapshot, effects: &mut Vec<Effect>) {
        let version = snapshot.version;
        if !self.book.apply(snapshot) {
            return;
        }
        for (key, spec) in self.book.account_specs() {
            self.scheduler.set_account(key, spec);
        }
        effects.push(Effect::Log(
            Line::info("configuration_applied").with("version", version),
        ));
    }
}

/// The head row's address.
fn head() -> Address {
    Address {
        table: SmolStr::new_static(HEAD.0),
        key: SmolStr::new_static(HEAD.1),
    }
}
