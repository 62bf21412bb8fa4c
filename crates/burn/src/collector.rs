//! Collects an entry's requests for the report: records them, writes its summary and reads all summaries.
//!
//! A pure state machine: the embedder performs the store calls and feeds back their outcomes.

use std::collections::BTreeMap;

use clock::Time;
use smol_str::SmolStr;
use store::call;
use store::call::Call;
use store::call::Outcome;

use crate::ledger::Ledger;
use crate::reader::Reader;
use crate::report::Report;
use crate::writer::Writer;

/// An input to the collector.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The time returned by `next_wake` has been reached.
    Wake,
    /// A store call has completed.
    Store {
        /// The call.
        id: call::Id,
        /// The outcome of the call.
        outcome: Outcome,
    },
    /// An operator requested a report.
    ReportRequested {
        /// Identifies the operator's call; assigned by the embedder.
        requester: u64,
        /// Restricts the report to this deployment.
        deployment: Option<SmolStr>,
    },
    /// The entry has stopped; no further requests will be recorded.
    Stopped,
}

/// An output of the collector.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Call the store.
    Store {
        /// Identifies the call in its outcome.
        id: call::Id,
        /// The call.
        call: Call,
    },
    /// Return a report to an operator.
    Report {
        /// The operator's call.
        requester: u64,
        /// The report.
        report: Report,
    },
}

/// Collects the requests of one entry and builds reports over all entries.
#[derive(Clone, Debug)]
pub struct Collector {
    /// The requests that this entry recorded.
    pub ledger: Ledger,
    writer: Writer,
    /// The scan in progress, at most one; requests that arrive meanwhile share its result.
    reader: Option<Reader>,
    requesters: Vec<(u64, Option<SmolStr>)>,
    calls: BTreeMap<call::Id, Purpose>,
    next_call: u64,
}

/// Why a store call was made.
#[derive(Clone, Copy, Debug)]
enum Purpose {
    /// To write this entry's summary.
    Write { last: bool },
    /// To read summaries.
    Read,
    /// To remove expired rows.
    Remove,
}

impl Collector {
    /// Creates a collector with a ledger.
    pub fn new(now: Time, ledger: Ledger) -> Collector {
        Collector {
            writer: Writer::new(now, ledger.incarnation()),
            ledger,
            reader: None,
            requesters: Vec::new(),
            calls: BTreeMap::new(),
            next_call: 0,
        }
    }

    /// Handles one event and appends the resulting effects.
    pub fn step(&mut self, now: Time, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Wake => {}
            Event::Store { id, outcome } => self.handle_outcome(now, id, outcome, effects),
            Event::ReportRequested {
                requester,
                deployment,
            } => self.request_report(requester, deployment, effects),
            Event::Stopped => self.writer.stop(now),
        }
        if let Some(call) = self.writer.take_due(now, &mut self.ledger) {
            let last = self.writer.is_stopping();
            self.send_call(Purpose::Write { last }, call, effects);
        }
    }

    /// Returns when [`Event::Wake`] is due next.
    pub fn next_wake(&self) -> Option<Time> {
        self.writer.next_wake()
    }

    /// Returns whether the last summary is known to be in the store.
    pub fn is_done(&self) -> bool {
        self.writer.is_done()
    }

    /// Queues a request for a report; requests share a scan that is in progress.
    fn request_report(
        &mut self,
        requester: u64,
        deployment: Option<SmolStr>,
        effects: &mut Vec<Effect>,
    ) {
        self.requesters.push((requester, deployment));
        if self.reader.is_some() {
            return;
        }
        let reader = Reader::default();
        self.send_call(Purpose::Read, reader.page_call(), effects);
        self.reader = Some(reader);
    }

    /// Handles the outcome of a store call.
    fn handle_outcome(
        &mut self,
        now: Time,
        id: call::Id,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        match self.calls.remove(&id) {
            Some(Purpose::Write { last: true }) if matches!(outcome, Outcome::Committed(_)) => {
                self.writer.mark_committed();
            }
            Some(Purpose::Read) => self.handle_page(now, outcome, effects),
            // The next write makes up for a failed one, the next report for a failed removal.
            Some(Purpose::Write { .. } | Purpose::Remove) | None => {}
        }
    }

    /// Processes a page of rows, then reads the next one or completes the report.
    fn handle_page(&mut self, now: Time, outcome: Outcome, effects: &mut Vec<Effect>) {
        let Some(mut reader) = self.reader.take() else {
            return;
        };
        if !reader.handle_outcome(self.ledger.unix_ms(now), outcome) {
            self.send_call(Purpose::Read, reader.page_call(), effects);
            self.reader = Some(reader);
            return;
        }
        self.send_reports(now, reader, effects);
    }

    /// Answers all pending requests, including this entry's current counts.
    fn send_reports(&mut self, now: Time, reader: Reader, effects: &mut Vec<Effect>) {
        let findings = reader.finish();
        let mut summaries = findings.summaries;
        summaries.push(self.ledger.summary(now, false));
        let mut report = Report::from_summaries(self.ledger.unix_ms(now), summaries);
        report.gaps.extend(findings.gaps);
        for (requester, deployment) in std::mem::take(&mut self.requesters) {
            let report = match deployment {
                Some(deployment) => report.clone().for_deployment(&deployment),
                None => report.clone(),
            };
            effects.push(Effect::Report { requester, report });
        }
        if let Some(call) = findings.removal {
            self.send_call(Purpose::Remove, call, effects);
        }
    }

    /// Sends a store call and remembers its purpose.
    fn send_call(&mut self, purpose: Purpose, call: Call, effects: &mut Vec<Effect>) {
        let id = call::Id(self.next_call);
        self.next_call += 1;
        self.calls.insert(id, purpose);
        effects.push(Effect::Store { id, call });
    }
}
