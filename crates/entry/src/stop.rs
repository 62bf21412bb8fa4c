//! A planned stop: admit nothing, finish or hand on what is open, hand the ledger on, exit.

use burn::collector;
use clock::Span;
use clock::Time;
use lease::holder;
use member::event::Event as MemberEvent;
use policy::job;
use request::id::Incarnation;
use verdict::Reason;
use verdict::Refusal;

use crate::arrivals::LEAVING_RETRY_DELAY;
use crate::effect::Command;
use crate::effect::Effect;
use crate::entry::Entry;
use crate::line::Line;

/// Longest wait, once all else is done, for the table service to note that we left.
const LEAVE_TIMEOUT: Span = Span::from_seconds(3);

/// Part of a notice in which requests may finish here; the rest is for handing on what is left.
const FINISH_SHARE: f64 = 0.5;

/// Part of a notice after which this entry no longer waits for callers with old addresses.
const LINGER_SHARE: f64 = 0.8;

/// Time until other entries have heard that this one leaves and no longer name it.
const GOSSIP_TIME: Span = Span::from_millis(1_500);

/// How far a planned stop has come.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Stop {
    deadline: Option<Time>,
    /// Until when callers may still come who were told of this entry before it began to leave.
    linger_until: Time,
    ledger_sent: bool,
    ledger_settled: Option<Time>,
    leave_recorded: bool,
    exited: bool,
}

impl Stop {
    /// Whether this entry is leaving.
    pub(crate) fn is_stopping(&self) -> bool {
        self.deadline.is_some()
    }
}

impl Entry {
    /// Begins to stop; asked a second time in a hurry, the grace ends at once.
    pub(crate) fn stop_requested(&mut self, now: Time, immediate: bool, effects: &mut Vec<Effect>) {
        let line = Line::info("stop_asked")
            .with("hurry", immediate)
            .with("open", self.flights.len());
        effects.push(Effect::Log(line));
        let linger = self.settings.address_ttl + GOSSIP_TIME;
        if immediate {
            self.stop_until(now, now, now, effects);
        } else {
            self.stop_until(now, now + self.settings.grace, now + linger, effects);
        }
    }

    /// Our own instance will be taken away then: part of the time is kept for handing on.
    pub(crate) fn stop_by(&mut self, now: Time, reclaim: Time, effects: &mut Vec<Effect>) {
        if !self.stop.is_stopping() {
            let left = reclaim.since(now);
            let line = Line::info("instance_leaving")
                .with("left_ms", left.as_millis())
                .with("open", self.flights.len());
            effects.push(Effect::Log(line));
        }
        let usable = reclaim.since(now).scaled(FINISH_SHARE);
        let grace = usable.min(self.settings.grace);
        let linger = reclaim.since(now).scaled(LINGER_SHARE);
        let linger = linger.min(self.settings.address_ttl + GOSSIP_TIME);
        self.stop_until(now, now + grace, now + linger, effects);
    }

    /// Stops; the soonest of several deadlines counts.
    fn stop_until(
        &mut self,
        now: Time,
        deadline: Time,
        linger_until: Time,
        effects: &mut Vec<Effect>,
    ) {
        if self.stop.deadline.is_none() {
            self.stop.linger_until = linger_until;
            self.step_membership(now, MemberEvent::Drain, effects);
        }
        self.stop.linger_until = self.stop.linger_until.min(linger_until);
        let earlier = self.stop.deadline.unwrap_or(deadline);
        self.stop.deadline = Some(earlier.min(deadline));
        self.stop_tick(now, effects);
    }

    /// Takes the stop as far as it goes now.
    pub(crate) fn stop_tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let Some(deadline) = self.stop.deadline else {
            return;
        };
        if self.stop.exited {
            return;
        }
        if now >= deadline {
            self.refuse_unstarted(now, effects);
            self.hand_off_streams(now, effects);
        }
        // Callers keep addresses for a while and come here still. Were the process gone, the requests
        // that they had sent by then would show as cut; while it stays they are told "not run".
        if !self.flights.is_empty() || now < self.stop.linger_until {
            return;
        }
        self.hand_off_ledger(now, effects);
        let waited = self
            .stop
            .ledger_settled
            .is_some_and(|settled| now.since(settled) >= LEAVE_TIMEOUT);
        if (self.stop.leave_recorded && self.collector.is_done()) || waited {
            self.stop.exited = true;
            effects.push(Effect::Log(Line::info("stopped")));
            effects.push(Effect::Exit);
        }
    }

    /// A peer holds our ledger now, or can't be reached: its tickets then end as "may have run".
    pub(crate) fn estates_accepted(
        &mut self,
        now: Time,
        heir: Option<Incarnation>,
        effects: &mut Vec<Effect>,
    ) {
        let line = match heir {
            Some(heir) => Line::info("ledger_handed_on").with("heir", heir),
            None => Line::warn("ledger_lost"),
        };
        effects.push(Effect::Log(line));
        self.stop.ledger_settled = Some(now);
        self.step_collector(now, collector::Event::Stopped, effects);
        let heir = heir.map(|heir| holder::Id(heir.0));
        self.step_membership(now, MemberEvent::Leave { heir }, effects);
        self.stop_tick(now, effects);
    }

    /// Refuses what was not handed to a backend server yet: nobody would be left to start it.
    fn refuse_unstarted(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let waiting: Vec<u64> = self
            .flights
            .values()
            .filter(|flight| !flight.may_have_run)
            .map(|flight| flight.id.serial)
            .collect();
        for serial in waiting {
            let refusal = Refusal::not_run(Reason::Leaving, "this entry is leaving");
            self.refuse(
                now,
                serial,
                refusal.with_retry_after(LEAVING_RETRY_DELAY),
                effects,
            );
            let job = job::Id(serial);
            self.with_scheduler(now, effects, |scheduler, out| {
                scheduler.cancel(now, job, out);
            });
        }
    }

    /// Sends every open stream on to another entry.
    ///
    /// A plain call in progress is waited for: nobody else can read its answer.
    fn hand_off_streams(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let Some(address) = self.successor().map(|row| row.address) else {
            return;
        };
        let streams: Vec<u64> = self
            .flights
            .values()
            .filter(|flight| flight.job.kind == job::Kind::Model && flight.accepted)
            .map(|flight| flight.id.serial)
            .collect();
        if !streams.is_empty() {
            // What a stop that doesn't wait costs: callers connect anew, nothing is computed again.
            let line = Line::info("streams_handed_on").with("streams", streams.len());
            effects.push(Effect::Log(line.with("to", &address)));
        }
        for serial in streams {
            let address = address.clone();
            self.drop_flight(now, serial, Command::HandOff { address }, effects);
        }
    }

    /// Offers the ledger to a peer, once.
    fn hand_off_ledger(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.stop.ledger_sent {
            return;
        }
        self.stop.ledger_sent = true;
        let estates = self.ledger.hand_on(now);
        match self.successor() {
            Some(row) => effects.push(Effect::OfferEstates {
                address: row.peer_address,
                estates,
            }),
            None => self.estates_accepted(now, None, effects),
        }
    }

    /// The table service has it that we left.
    pub(crate) fn leave_recorded(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.stop.leave_recorded = true;
        self.stop_tick(now, effects);
    }
}
