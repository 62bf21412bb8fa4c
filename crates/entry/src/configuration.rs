//! Connects the configuration agreement to the entry: passes it events and performs its effects.

use clock::Span;
use clock::Time;
use config::agreement::Agreement;
use config::change;
use config::change::Answer;
use config::change::Operation;
use config::configs::agreement::Settings;
use config::edit;
use config::event::Effect as ConfigEffect;
use config::event::Event as ConfigEvent;
use config::message::Message;
use config::snapshot::Snapshot;
use lease::holder;
use lease::holding::Holding;
use lease::view::View;
use ops::fault::Fault;
use ops::reply::Changed;
use ops::reply::Reply;
use ops::request::Change;
use ops::request::Edit;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::effect::Effect;
use crate::entry::Entry;
use crate::line::Line;
use crate::operators;
use crate::store_calls::Waiter;

/// Shortest time allowed for a change to be applied everywhere.
const MIN_CHANGE_WAIT: Span = Span::from_millis(500);

impl Entry {
    /// Wakes the agreement when it is due.
    pub(crate) fn configuration_tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self
            .agreement
            .next_wake(now)
            .is_some_and(|wake| wake <= now + Span::from_millis(1))
        {
            self.step_agreement(now, ConfigEvent::Wake, effects);
        }
    }

    /// Passes an event to the agreement and performs its effects.
    pub(crate) fn step_agreement(
        &mut self,
        now: Time,
        event: ConfigEvent,
        effects: &mut Vec<Effect>,
    ) {
        let mut outputs = Vec::new();
        self.agreement.step(now, event, &mut outputs);
        for effect in outputs {
            match effect {
                ConfigEffect::Store { id, call } => {
                    self.queue_store_call(Waiter::Agreement(id), call);
                }
                ConfigEffect::Send { to, message } => self.send_configure(to, message, effects),
                ConfigEffect::ReadMembers => self.refresh_members(now, effects),
                ConfigEffect::Apply(snapshot) => self.apply_configuration(now, &snapshot, effects),
                ConfigEffect::Announce(version) => self.announce_applied(now, version, effects),
                ConfigEffect::Answer { operation, answer } => {
                    let reply = reply_of(self.agreement.snapshot(), answer);
                    let call = operation.0;
                    effects.push(Effect::Operator { call, reply });
                }
            }
        }
    }

    /// Validates an operator's change and submits it; the agreement checks its base version.
    ///
    /// A change that was already committed is not validated again: on a retry after a lost answer, its
    /// own effect (the deployment now exists) would make it invalid. The agreement returns the
    /// original result.
    pub(crate) fn change_requested(
        &mut self,
        now: Time,
        call: u64,
        request: Change,
        effects: &mut Vec<Effect>,
    ) {
        let validity = operators::check_edit(self.catalog.snapshot(), &request.edit);
        if let Err(fault) = validity
            && !self.agreement.contains_change(&request.id)
        {
            let reply = Err(fault);
            return effects.push(Effect::Operator { call, reply });
        }
        let change = change::Change {
            id: request.id,
            base: request.expected_version,
            edits: vec![edit_of(request.edit)],
        };
        let submit = ConfigEvent::Submit {
            operation: Operation(call),
            change,
            deadline: now + request.wait.max(MIN_CHANGE_WAIT),
        };
        self.step_agreement(now, submit, effects);
    }

    /// Handles a complete reading of the members.
    pub(crate) fn members_read(&mut self, now: Time, view: View, effects: &mut Vec<Effect>) {
        self.step_agreement(now, ConfigEvent::View(view), effects);
    }

    /// Handles a change of this entry's own lease.
    pub(crate) fn lease_changed(&mut self, now: Time, holding: Holding, effects: &mut Vec<Effect>) {
        self.step_agreement(now, ConfigEvent::Lease(holding), effects);
    }

    /// Handles a peer's configuration message.
    pub(crate) fn configure_received(
        &mut self,
        now: Time,
        from: u64,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        let from = holder::Id(from);
        self.step_agreement(now, ConfigEvent::Peer { from, message }, effects);
    }

    /// Applies a new configuration version.
    fn apply_configuration(&mut self, now: Time, snapshot: &Snapshot, effects: &mut Vec<Effect>) {
        let version = snapshot.version;
        if !self.catalog.apply(snapshot.clone()) {
            return;
        }
        for (key, spec) in self.catalog.account_specs() {
            self.scheduler.set_account(key, spec);
        }
        self.set_targets(now);
        effects.push(Effect::Log(
            Line::info("configuration_applied").with("version", version),
        ));
    }

    /// Sends a message to a member; it is dropped if the member's address is unknown.
    fn send_configure(&mut self, to: holder::Id, message: Message, effects: &mut Vec<Effect>) {
        if let Some(address) = self.membership.peer_address(to).cloned() {
            effects.push(Effect::SendConfigure { address, message });
        }
    }
}

/// Returns an entry's new agreement.
pub(crate) fn agreement(me: holder::Id, settings: Settings, seed: u64) -> Agreement {
    Agreement::new(me, settings, validate, seed)
}

/// Validates a configuration: every granted account must exist.
fn validate(snapshot: &Snapshot) -> Result<(), SmolStr> {
    for deployment in &snapshot.deployments {
        for grant in &deployment.grants {
            if snapshot.account(&grant.account).is_none() {
                return Err(format_smolstr!(
                    "deployment {} grants account {}, which isn't there",
                    deployment.name,
                    grant.account
                ));
            }
        }
    }
    Ok(())
}

/// Converts an operator's edit to a configuration edit.
fn edit_of(edit: Edit) -> edit::Edit {
    match edit {
        Edit::CreateDeployment(deployment) | Edit::ChangeDeployment(deployment) => {
            edit::Edit::PutDeployment(deployment)
        }
        Edit::RemoveDeployment(name) => edit::Edit::RemoveDeployment(name),
        Edit::PutAccount(account) => edit::Edit::PutAccount(account),
        Edit::RemoveAccount(name) => edit::Edit::RemoveAccount(name),
    }
}

/// Converts the agreement's answer to a reply to the operator.
fn reply_of(newest: &Snapshot, answer: Answer) -> Result<Reply, Fault> {
    let changed = match answer {
        Answer::Accepted { version } => Changed::Accepted { version },
        Answer::Committed { version, waiting } => Changed::Committed {
            version,
            waiting_for: waiting.iter().map(|id| format_smolstr!("{id}")).collect(),
        },
        Answer::Conflict {
            version,
            difference,
        } => Changed::Conflict {
            version,
            differences: operators::differences(newest, difference.unwrap_or_default()),
        },
        Answer::Invalid { message } => return Err(Fault::Precondition(message.to_string())),
        Answer::Reused { version } => {
            let message = format!("the change id was used for another change, version {version}");
            return Err(Fault::Precondition(message));
        }
        Answer::Unavailable => {
            let message = "the table service doesn't answer; nothing was changed";
            return Err(Fault::Unavailable(SmolStr::new_static(message)));
        }
        Answer::Busy => {
            let message = "too many changes wait here; nothing was changed";
            return Err(Fault::Unavailable(SmolStr::new_static(message)));
        }
        Answer::Unknown => return Err(Fault::OutcomeUnknown),
    };
    Ok(Reply::Changed(changed))
}
