//! Charges requests to their accounts' quotas, here or at the account's home: the entry that decides for all.

use clock::Span;
use clock::Time;
use lease::holder;
use line::Line;
use policy::charge::Charge;
use policy::charge::Entry;
use policy::charge::Step;
use policy::fair::Cost;
use policy::quota::Name;
use verdict::Reason;
use verdict::Refusal;

use crate::effect::Effect;
use crate::gateway::Gateway;

/// A charge that was granted for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Bucket that was charged: the quota, or its overrun allowance.
    pub bucket: Name,
    /// Amount, in the quota's unit.
    pub cost: Cost,
    /// Entry that granted the charge; `None` for this one.
    pub home: Option<holder::Id>,
}

/// Answer to a charge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The quota has room and was charged.
    Granted {
        /// Bucket that was charged.
        bucket: Name,
    },
    /// The quota is used up.
    Exceeded {
        /// Time until a retry can succeed.
        retry_after: Span,
    },
}

impl From<Result<Name, Span>> for Answer {
    fn from(result: Result<Name, Span>) -> Answer {
        match result {
            Ok(bucket) => Answer::Granted { bucket },
            Err(after) => Answer::Exceeded { retry_after: after },
        }
    }
}

impl Gateway {
    /// Charges an accepted request, or asks the entry that decides on its account.
    pub(crate) fn begin_charge(&mut self, now: Time, serial: u64, effects: &mut Vec<Effect>) {
        let Some(charge) = self.requests.get(&serial).and_then(|open| open.charge) else {
            return self.admit(now, serial, None, effects);
        };
        if !self.uses_hubs() || !self.quotas.is_limited(charge.name) {
            return self.charge_at(now, serial, charge, Step::Alone, effects);
        }
        let homes: Vec<Entry> = self.roster.homes().iter().map(|home| home.0).collect();
        let step = self.charges.begin(now, serial, charge, &homes);
        self.charge_at(now, serial, charge, step, effects);
    }

    /// Charges a request at the entry that the current step selects.
    fn charge_at(
        &mut self,
        now: Time,
        serial: u64,
        charge: Charge,
        step: Step,
        effects: &mut Vec<Effect>,
    ) {
        let Charge { name, cost } = charge;
        let result = match step {
            Step::Ask(home) => return self.request_charge(now, serial, charge, home, effects),
            Step::Home => self.quotas.charge_as_home(now, name, cost),
            Step::Alone => self.quotas.charge(now, name, cost),
        };
        self.settle_charge(now, serial, charge, result.into(), None, effects);
    }

    fn request_charge(
        &mut self,
        now: Time,
        serial: u64,
        charge: Charge,
        home: Entry,
        effects: &mut Vec<Effect>,
    ) {
        let home = holder::Id(home);
        match self.membership.peer_address(home).cloned() {
            Some(address) => effects.push(Effect::RequestCharge {
                serial,
                home,
                address,
                charge,
            }),
            None => self.handle_silent_home(now, serial, home, effects),
        }
    }

    /// Handles a home's answer, or the lack of one.
    pub(crate) fn handle_charge_answer(
        &mut self,
        now: Time,
        serial: u64,
        charge: Charge,
        home: holder::Id,
        answer: Option<Answer>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(answer) = answer else {
            return self.handle_silent_home(now, serial, home, effects);
        };
        if self.charges.answered(serial, home.0).is_some() {
            return self.settle_charge(now, serial, charge, answer, Some(home), effects);
        }
        // Another entry has decided, or the caller disconnected.
        if let Answer::Granted { bucket } = answer {
            let grant = Grant {
                bucket,
                cost: charge.cost,
                home: Some(home),
            };
            self.refund_grant(grant, effects);
        }
    }

    /// Falls back for requests whose home doesn't answer in time.
    pub(crate) fn charges_tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        for (serial, home) in self.charges.overdue(now) {
            self.handle_silent_home(now, serial, holder::Id(home), effects);
        }
    }

    /// Continues a charge with the next step after its home failed to answer.
    fn handle_silent_home(
        &mut self,
        now: Time,
        serial: u64,
        home: holder::Id,
        effects: &mut Vec<Effect>,
    ) {
        let Some((charge, step)) = self.charges.unanswered(now, serial, home.0) else {
            return;
        };
        let line = Line::info("quota_home_silent")
            .with("home", home)
            .with("account", charge.name)
            .with("next", format!("{step:?}"));
        effects.push(Effect::Log(line));
        self.charge_at(now, serial, charge, step, effects);
    }

    /// Admits a request whose charge was granted, or refuses it.
    fn settle_charge(
        &mut self,
        now: Time,
        serial: u64,
        charge: Charge,
        answer: Answer,
        home: Option<holder::Id>,
        effects: &mut Vec<Effect>,
    ) {
        match answer {
            Answer::Granted { bucket } => {
                let cost = charge.cost;
                let grant = Grant { bucket, cost, home };
                self.admit(now, serial, Some(grant), effects);
            }
            Answer::Exceeded { retry_after: after } => {
                let line = Line::info("quota_short")
                    .with("account", charge.name)
                    .with("cost", charge.cost)
                    .with(
                        "home",
                        home.map_or_else(String::new, |home| home.to_string()),
                    )
                    .with(
                        "left",
                        format!("{:.0}", self.quotas.remaining(now, charge.name)),
                    )
                    .with("part", format!("{:.0}", self.quotas.share(charge.name)));
                effects.push(Effect::Log(line));
                let refusal =
                    Refusal::not_run(Reason::OverLimit, self.refusal_text(now, charge, home));
                self.refuse(now, serial, refusal.with_retry_after(after), effects);
            }
        }
    }

    /// Returns the reason why a charge was refused.
    fn refusal_text(&self, now: Time, charge: Charge, home: Option<holder::Id>) -> &'static str {
        // An entry that decides alone grants no more than its share while the account is short.
        match home.is_none() && self.quotas.remaining(now, charge.name) >= charge.cost as f64 {
            true => "the account is near its quota, and this entry's part is used up",
            false => "the account is over its quota",
        }
    }

    /// Decides on a charge for another entry, once the quotas are known here.
    pub(crate) fn handle_charge_request(
        &mut self,
        now: Time,
        requester: u64,
        charge: Charge,
        effects: &mut Vec<Effect>,
    ) {
        let configured = self.catalog.is_some();
        let result = configured.then(|| {
            self.quotas
                .charge_as_home(now, charge.name, charge.cost)
                .into()
        });
        effects.push(Effect::ChargeAnswer {
            requester,
            answer: result,
        });
    }

    /// Refunds the charge of a request that didn't run.
    pub(crate) fn refund_grant(&mut self, grant: Grant, effects: &mut Vec<Effect>) {
        let Some(home) = grant.home else {
            return self.quotas.refund(grant.bucket, grant.cost);
        };
        // The bucket of a home that has ended is gone with it.
        if let Some(address) = self.membership.peer_address(home).cloned() {
            effects.push(Effect::Refund { address, grant });
        }
    }
}
