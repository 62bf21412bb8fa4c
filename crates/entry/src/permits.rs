//! Permits for non-idempotent requests, by ticket or by a row in the table service.
//!
//! Guards against running such a request twice, when a caller repeats it at another entry after a
//! broken connection or when the table service's answer to an insert was lost. A ticket is spent only
//! in its minter's ledger; a row is inserted only if absent and names the one attempt that may run.
//! Either way exactly one request gets the permit, regardless of clocks and leases.

use clock::Span;
use clock::Time;
use rand::Rng;
use request::ledger::Answer;
use request::ledger::Estate;
use request::signer::RESUME_PURPOSE;
use request::signer::Signer;
use request::signer::TICKET_PURPOSE;
use request::ticket::Ticket;
use serde_json::json;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use store::call::Address;
use store::call::Call;
use store::call::Check;
use store::call::Outcome;
use store::call::Row;
use store::call::Transaction;
use store::call::Write;
use verdict::Reason;
use verdict::Refusal;

use crate::arrival::Arrival;
use crate::effect::Effect;
use crate::entry::Entry;
use crate::flight::Permit;
use crate::line::Line;
use crate::store_calls::Waiter;

/// Table with a row for each idempotency key.
const INTENT_TABLE: &str = "intents";

/// Maximum length of an idempotency key, bytes.
const MAX_KEY_BYTES: usize = 200;

/// Retry delay for callers while the table service is unavailable.
const STORE_RETRY_DELAY: Span = Span::from_seconds(2);

/// Signers of the tokens that callers hold.
pub struct Signers {
    /// Signs resume tokens.
    pub resume: Signer,
    /// Signs tickets.
    pub ticket: Signer,
}

impl Signers {
    /// Creates the signers from the key that all entries share.
    pub fn new(shared_key: &str) -> Signers {
        Signers {
            resume: Signer::new(shared_key, RESUME_PURPOSE),
            ticket: Signer::new(shared_key, TICKET_PURPOSE),
        }
    }
}

impl Entry {
    /// Requests the permit for a non-idempotent request. One without key and ticket can't be recognized
    /// as a repeat, so it is scheduled directly.
    pub(crate) fn request_permit(
        &mut self,
        now: Time,
        serial: u64,
        arrival: &Arrival,
        effects: &mut Vec<Effect>,
    ) {
        self.awaiting_permit.insert(serial);
        if let Some(token) = &arrival.ticket {
            self.request_by_ticket(now, serial, token, effects);
        } else if let Some(key) = &arrival.idempotency_key {
            self.request_by_row(now, serial, key, effects);
        } else {
            self.schedule(now, serial, effects);
        }
    }

    /// Spends the ticket here, or asks the entry that holds its ledger.
    fn request_by_ticket(
        &mut self,
        now: Time,
        serial: u64,
        token: &str,
        effects: &mut Vec<Effect>,
    ) {
        let ticket: Option<Ticket> = self.signers.ticket.verify(token);
        let account = self.flights.get(&serial).map(|flight| &flight.account);
        let Some(ticket) = ticket.filter(|ticket| Some(&ticket.account) == account) else {
            let refusal = Refusal::not_run(Reason::Malformed, "the ticket isn't yours");
            return self.refuse(now, serial, refusal, effects);
        };
        let deadline = now + self.settings.permit_timeout;
        self.spend_ticket(now, serial, ticket, deadline, effects);
    }

    /// Spends a ticket at the current holder of its ledger.
    ///
    /// Retrying after a lost answer is safe: if the first try was granted, the retry is answered
    /// "spent" and nothing runs.
    fn spend_ticket(
        &mut self,
        now: Time,
        serial: u64,
        ticket: Ticket,
        deadline: Time,
        effects: &mut Vec<Effect>,
    ) {
        if self.ledger.holds(ticket.minter) {
            let answer = self.ledger.spend(now, &ticket);
            return self.permit_answered(now, serial, answer, effects);
        }
        let retry_at = now + self.settings.ticket_retry_interval;
        if let Some(flight) = self.flights.get_mut(&serial) {
            let ticket = ticket.clone();
            flight.pending_permit = Some(Permit::Ticket {
                ticket,
                retry_at,
                deadline,
            });
        }
        match self.ledger_holder(now, ticket.minter) {
            Some(address) => effects.push(Effect::RequestSpend {
                serial,
                address,
                ticket,
            }),
            None => self.refresh_members(now, effects),
        }
    }

    /// Handles a peer's answer on a ticket; the tick retries after a lost one.
    pub(crate) fn spend_answered(
        &mut self,
        now: Time,
        serial: u64,
        answer: Option<Answer>,
        effects: &mut Vec<Effect>,
    ) {
        let pending_permit = self
            .flights
            .get(&serial)
            .map(|flight| &flight.pending_permit);
        let is_waiting = matches!(pending_permit, Some(Some(Permit::Ticket { .. })));
        match answer {
            // The ledger may have moved to an heir that is not known here yet.
            Some(Answer::Unknown) | None => self.refresh_members(now, effects),
            Some(answer) if is_waiting => self.permit_answered(now, serial, answer, effects),
            Some(_) => {}
        }
    }

    /// Retries unanswered ticket requests and refuses those past their deadline.
    fn ticket_permits_tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let awaiting = self.awaiting_permit.iter();
        let due: Vec<(u64, Ticket, Time)> = awaiting
            .filter_map(|serial| match &self.flights.get(serial)?.pending_permit {
                Some(Permit::Ticket {
                    ticket,
                    retry_at,
                    deadline,
                }) if *retry_at <= now => Some((*serial, ticket.clone(), *deadline)),
                _ => None,
            })
            .collect();
        for (serial, ticket, deadline) in due {
            if deadline <= now {
                self.permit_answered(now, serial, Answer::Unknown, effects);
            } else {
                self.spend_ticket(now, serial, ticket, deadline, effects);
            }
        }
    }

    /// Schedules the request, or refuses it because an earlier one with the ticket may have run.
    fn permit_answered(
        &mut self,
        now: Time,
        serial: u64,
        answer: Answer,
        effects: &mut Vec<Effect>,
    ) {
        let message = match answer {
            Answer::Granted => return self.schedule(now, serial, effects),
            Answer::Spent => "a request with this ticket was accepted before",
            Answer::Unknown => "nobody can say any more whether this ticket was used",
        };
        let refusal = Refusal::may_have_run(Reason::Repeated, message);
        self.refuse(now, serial, refusal, effects);
    }

    /// Answers a peer that asks to spend a ticket of a ledger held here.
    pub(crate) fn spend_requested(
        &mut self,
        now: Time,
        call: u64,
        ticket: &Ticket,
        effects: &mut Vec<Effect>,
    ) {
        let answer = self.ledger.spend(now, ticket);
        effects.push(Effect::SpendAnswer { call, answer });
    }

    /// Takes over a leaving peer's ledgers; declines if this entry is leaving itself.
    pub(crate) fn estates_offered(
        &mut self,
        now: Time,
        call: u64,
        estates: Vec<Estate>,
        effects: &mut Vec<Effect>,
    ) {
        if self.stop.is_stopping() {
            effects.push(Effect::EstatesAccepted { call, heir: None });
            return;
        }
        let line = Line::info("ledger_inherited").with("minters", estates.len());
        for estate in estates {
            self.ledger.inherit(now, estate);
        }
        let heir = Some(self.identity.incarnation);
        effects.push(Effect::Log(line));
        effects.push(Effect::EstatesAccepted { call, heir });
    }

    /// Inserts the row of the caller's key if absent.
    fn request_by_row(&mut self, now: Time, serial: u64, key: &str, effects: &mut Vec<Effect>) {
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            let refusal = Refusal::not_run(Reason::Malformed, "idempotency-key has 1 to 200 bytes");
            return self.refuse(now, serial, refusal, effects);
        }
        let deadline = now + self.settings.permit_timeout;
        let token = format_smolstr!("{:016x}", self.random.next_u64());
        let Some(flight) = self.flights.get_mut(&serial) else {
            return;
        };
        let key = format_smolstr!("{}/{}", flight.account, key);
        flight.pending_permit = Some(Permit::Intent {
            key,
            token,
            deadline,
        });
        self.insert_row(serial);
    }

    /// Sends the insert. Retries are safe: a row with our own token counts as inserted.
    fn insert_row(&mut self, serial: u64) {
        let Some(flight) = self.flights.get(&serial) else {
            return;
        };
        let Some(Permit::Intent { key, token, .. }) = &flight.pending_permit else {
            return;
        };
        let at = Address {
            table: SmolStr::new_static(INTENT_TABLE),
            key: key.clone(),
        };
        let value = json!({"token": token, "request": flight.origin.to_string()});
        let transaction = Transaction {
            token: token.clone(),
            checks: vec![Check {
                address: at.clone(),
                revision: None,
            }],
            writes: vec![Write { address: at, value }],
        };
        self.queue_store_call(Waiter::Intent { serial }, Call::Transact(transaction));
    }

    /// Handles the table service's answer to an insert.
    pub(crate) fn intent_answered(
        &mut self,
        now: Time,
        serial: u64,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(flight) = self.flights.get(&serial) else {
            return;
        };
        let Some(Permit::Intent {
            token, deadline, ..
        }) = &flight.pending_permit
        else {
            return;
        };
        let in_time = now < *deadline;
        match outcome {
            Outcome::Committed(_) => self.schedule(now, serial, effects),
            Outcome::Conflict(rows) if is_own(&rows, token) => self.schedule(now, serial, effects),
            Outcome::Conflict(_) => {
                let message = "a request with this idempotency key was accepted before";
                let refusal = Refusal::may_have_run(Reason::Repeated, message);
                self.refuse(now, serial, refusal, effects);
            }
            Outcome::Unknown if in_time => self.insert_row(serial),
            _ => self.refuse(now, serial, store_refusal(), effects),
        }
    }

    /// Retries unanswered ticket requests and refuses requests past their deadline, none of which was
    /// dispatched.
    pub(crate) fn permits_tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.ticket_permits_tick(now, effects);
        let is_expired = |permit: &Option<Permit>| matches!(permit, Some(Permit::Intent { deadline, .. }) if *deadline <= now);
        let flights = &self.flights;
        self.awaiting_permit.retain(|serial| {
            let flight = flights.get(serial);
            flight.is_some_and(|flight| flight.pending_permit.is_some())
        });
        let awaiting = self.awaiting_permit.iter();
        let expired: Vec<u64> = awaiting
            .filter(|serial| {
                let flight = flights.get(serial);
                flight.is_some_and(|flight| is_expired(&flight.pending_permit))
            })
            .copied()
            .collect();
        for serial in expired {
            self.refuse(now, serial, store_refusal(), effects);
        }
    }
}

/// Returns whether the conflicting row is our own insert, whose answer was lost.
fn is_own(rows: &[(Address, Option<Row>)], token: &SmolStr) -> bool {
    rows.iter().any(|(_, row)| {
        row.as_ref()
            .is_some_and(|row| row.value["token"].as_str() == Some(token.as_str()))
    })
}

/// Returns the refusal for a request whose row could not be written.
fn store_refusal() -> Refusal {
    let message = "the table service doesn't answer; come back with the same key";
    Refusal::not_run(Reason::StoreUnavailable, message).with_retry_after(STORE_RETRY_DELAY)
}
