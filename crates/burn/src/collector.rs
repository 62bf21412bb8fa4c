//! One entry's part in the report: counts, writes its summary, reads all of them when asked.
//!
//! A pure state machine: the embedder carries out store calls and hands their outcomes back.

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

/// What happens to it.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The time named by `next_wake` has come.
    Wake,
    /// A store call has ended.
    Store {
        /// Which.
        id: call::Id,
        /// How.
        outcome: Outcome,
    },
    /// An operator wants a report.
    ReportRequested {
        /// Names the operator's call; chosen by the embedder.
        requester: u64,
        /// Only this deployment.
        deployment: Option<SmolStr>,
    },
    /// The entry has stopped; nothing is counted from now on.
    Stopped,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Call the store.
    Store {
        /// Names the call in its outcome.
        id: call::Id,
        /// The call.
        call: Call,
    },
    /// Answer an operator.
    Report {
        /// Whom.
        requester: u64,
        /// The report.
        report: Report,
    },
}

/// One entry's part in the report.
#[derive(Clone, Debug)]
pub struct Collector {
    /// What this entry counts.
    pub ledger: Ledger,
    writer: Writer,
    /// At most one reading at a time; whoever asks meanwhile waits for the same.
    reader: Option<Reader>,
    requesters: Vec<(u64, Option<SmolStr>)>,
    calls: BTreeMap<call::Id, Purpose>,
    next_call: u64,
}

/// Why a store call was made.
#[derive(Clone, Copy, Debug)]
enum Purpose {
    /// To write our summary; whether it is the last one.
    Write { last: bool },
    /// To read summaries.
    Read,
    /// To remove rows that add nothing any more.
    Remove,
}

impl Collector {
    /// Begins to count.
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

    /// Takes one event and appends what is to be done.
    pub fn step(&mut self, now: Time, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Wake => {}
            Event::Store { id, outcome } => self.answered(now, id, outcome, effects),
            Event::ReportRequested {
                requester,
                deployment,
            } => self.request_report(requester, deployment, effects),
            Event::Stopped => self.writer.stop(now),
        }
        if let Some(call) = self.writer.due(now, &mut self.ledger) {
            let last = self.writer.is_stopping();
            self.call(Purpose::Write { last }, call, effects);
        }
    }

    /// When [`Event::Wake`] is wanted next.
    pub fn next_wake(&self) -> Option<Time> {
        self.writer.next_wake()
    }

    /// Whether the last summary is known to be in the store.
    pub fn is_done(&self) -> bool {
        self.writer.is_done()
    }

    /// An operator asks: one reading serves all who ask meanwhile.
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
        self.call(Purpose::Read, reader.call(), effects);
        self.reader = Some(reader);
    }

    /// Takes the outcome of a store call.
    fn answered(&mut self, now: Time, id: call::Id, outcome: Outcome, effects: &mut Vec<Effect>) {
        match self.calls.remove(&id) {
            Some(Purpose::Write { last: true }) if matches!(outcome, Outcome::Committed(_)) => {
                self.writer.last_committed();
            }
            Some(Purpose::Read) => self.read(now, outcome, effects),
            // A write that failed is made good by the next one, a removal by the next report.
            Some(Purpose::Write { .. } | Purpose::Remove) | None => {}
        }
    }

    /// Takes rows, reads on or answers.
    fn read(&mut self, now: Time, outcome: Outcome, effects: &mut Vec<Effect>) {
        let Some(mut reader) = self.reader.take() else {
            return;
        };
        if !reader.take(self.ledger.unix_ms(now), outcome) {
            self.call(Purpose::Read, reader.call(), effects);
            self.reader = Some(reader);
            return;
        }
        self.answer(now, reader, effects);
    }

    /// Answers all who wait, with this entry's own counts as they are now.
    fn answer(&mut self, now: Time, reader: Reader, effects: &mut Vec<Effect>) {
        let found = reader.finish();
        let mut summaries = found.summaries;
        summaries.push(self.ledger.summary(now, false));
        let mut report = Report::from_summaries(self.ledger.unix_ms(now), summaries);
        report.gaps.extend(found.gaps);
        for (requester, deployment) in std::mem::take(&mut self.requesters) {
            let report = match deployment {
                Some(deployment) => report.clone().for_deployment(&deployment),
                None => report.clone(),
            };
            effects.push(Effect::Report { requester, report });
        }
        if let Some(call) = found.removal {
            self.call(Purpose::Remove, call, effects);
        }
    }

    /// Makes a store call.
    fn call(&mut self, purpose: Purpose, call: Call, effects: &mut Vec<Effect>) {
        let id = call::Id(self.next_call);
        self.next_call += 1;
        self.calls.insert(id, purpose);
        effects.push(Effect::Store { id, call });
    }
}
