//! Planned stop: refuses new requests, finishes or hands off open ones, hands off the ledger, exits.

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

/// Longest wait, after everything else, for the table service to record that this entry left.
const LEAVE_TIMEOUT: Span = Span::from_seconds(3);

/// Share of a notice in which requests may finish here; the rest is for handing off streams.
const FINISH_SHARE: f64 = 0.5;

/// Share of a notice after which the entry no longer waits for callers with cached addresses.
const LINGER_SHARE: f64 = 0.8;

/// Time until other entries know that this one is leaving and stop listing it.
const GOSSIP_TIME: Span = Span::from_millis(1_500);

/// Progress of a planned stop.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Stop {
    deadline: Option<Time>,
    /// Time until which callers may arrive that got this entry's address before it began to leave.
    linger_until: Time,
    ledger_sent: bool,
    ledger_settled_at: Option<Time>,
    leave_recorded: bool,
    exited: bool,
}

impl Stop {
    /// Returns whether this entry is leaving.
    pub(crate) fn is_stopping(&self) -> bool {
        self.deadline.is_some()
    }
}

impl Entry {
    /// Starts a planned stop; an immediate one, possibly after a graceful one, has no grace period.
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

    /// Stops before the own instance is reclaimed, reserving part of the time for handing off.
    pub(crate) fn stop_by(&mut self, now: Time, reclaim_time: Time, effects: &mut Vec<Effect>) {
        if !self.stop.is_stopping() {
            let time_left = reclaim_time.since(now);
            let line = Line::info("instance_leaving")
                .with("left_ms", time_left.as_millis())
                .with("open", self.flights.len());
            effects.push(Effect::Log(line));
        }
        let finish_time = reclaim_time.since(now).scaled(FINISH_SHARE);
        let grace = finish_time.min(self.settings.grace);
        let linger = reclaim_time.since(now).scaled(LINGER_SHARE);
        let linger = linger.min(self.settings.address_ttl + GOSSIP_TIME);
        self.stop_until(now, now + grace, now + linger, effects);
    }

    /// Stops by the earliest of several deadlines.
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

    /// Advances the stop as far as possible.
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
        // Callers with cached addresses still connect here. If the process were gone, their requests
        // would be cut off; while it runs they are refused as "not run".
        if !self.flights.is_empty() || now < self.stop.linger_until {
            return;
        }
        self.hand_off_ledger(now, effects);
        let timed_out = self
            .stop
            .ledger_settled_at
            .is_some_and(|settled| now.since(settled) >= LEAVE_TIMEOUT);
        if (self.stop.leave_recorded && self.collector.is_done()) || timed_out {
            self.stop.exited = true;
            effects.push(Effect::Log(Line::info("stopped")));
            effects.push(Effect::Exit);
        }
    }

    /// Handles a peer's answer to the handover; if none took the ledger, its tickets end as "may have
    /// run".
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
        self.stop.ledger_settled_at = Some(now);
        self.step_collector(now, collector::Event::Stopped, effects);
        let heir = heir.map(|heir| holder::Id(heir.0));
        self.step_membership(now, MemberEvent::Leave { heir }, effects);
        self.stop_tick(now, effects);
    }

    /// Refuses requests that were not dispatched yet, since no entry would be left to start them.
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

    /// Redirects every open stream to another entry.
    ///
    /// Plain calls in progress are waited for, since no other entry can read their answers.
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
            // The cost of not waiting: callers reconnect, but nothing is computed again.
            let line = Line::info("streams_handed_on").with("streams", streams.len());
            effects.push(Effect::Log(line.with("to", &address)));
        }
        for serial in streams {
            let address = address.clone();
            self.drop_flight(now, serial, Command::HandOff { address }, effects);
        }
    }

    /// Offers the ledger to a peer, at most once.
    fn hand_off_ledger(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.stop.ledger_sent {
            return;
        }
        self.stop.ledger_sent = true;
        let estates = self.ledger.hand_over(now);
        match self.successor() {
            Some(row) => effects.push(Effect::OfferEstates {
                address: row.peer_address,
                estates,
            }),
            None => self.estates_accepted(now, None, effects),
        }
    }

    /// Handles the table service's confirmation that this entry left.
    pub(crate) fn leave_recorded(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.stop.leave_recorded = true;
        self.stop_tick(now, effects);
    }
}
