//! Traces of the latest requests, for `explain`.
//!
//! Both requests and steps are bounded: an entry that serves 43 requests a second (36,000 over 840
//! entries) keeps the last minute and a half. Older requests are in the log, under the same id.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use clock::Time;
use smol_str::SmolStr;
use verdict::Verdict;

use crate::reply::Explanation;
use crate::reply::Step;

/// Most requests kept.
const MAX_REQUESTS: usize = 4_096;
/// Most steps kept of one request; a final step counts the dropped ones.
const MAX_STEPS: usize = 32;
/// Longest detail of a step, bytes.
const MAX_DETAIL_BYTES: usize = 256;

/// Bounded collection of request traces, oldest evicted first.
#[derive(Clone, Debug)]
pub struct Journal {
    entry: SmolStr,
    traces: BTreeMap<SmolStr, Trace>,
    /// Request ids in `traces`, oldest first, without duplicates.
    order: VecDeque<SmolStr>,
}

/// Trace of one request.
#[derive(Clone, Debug)]
struct Trace {
    arrived_at: Time,
    account: SmolStr,
    deployment: SmolStr,
    steps: Vec<Step>,
    /// Number of steps dropped beyond [`MAX_STEPS`].
    dropped_steps: u32,
    verdict: Option<Verdict>,
}

impl Journal {
    /// Creates an empty journal for the entry of that name.
    pub fn new(entry: SmolStr) -> Journal {
        Journal {
            entry,
            traces: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Starts the trace of a request and evicts the oldest one if the journal is full. A known request,
    /// such as one that its caller resumes, keeps its trace.
    pub fn begin(&mut self, now: Time, request: &SmolStr, account: &SmolStr, deployment: &SmolStr) {
        if self.traces.contains_key(request) {
            return;
        }
        if self.order.len() >= MAX_REQUESTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.traces.remove(&oldest);
        }
        let trace = Trace {
            arrived_at: now,
            account: account.clone(),
            deployment: deployment.clone(),
            steps: Vec::new(),
            dropped_steps: 0,
            verdict: None,
        };
        self.traces.insert(request.clone(), trace);
        self.order.push_back(request.clone());
    }

    /// Records a step of a request. `detail` holds key=value pairs, but no account key and no prompt text.
    pub fn record(&mut self, now: Time, request: &str, event: &'static str, detail: &str) {
        let Some(trace) = self.traces.get_mut(request) else {
            return;
        };
        if trace.steps.len() >= MAX_STEPS {
            trace.dropped_steps += 1;
            return;
        }
        let end = detail.floor_char_boundary(MAX_DETAIL_BYTES);
        trace.steps.push(Step {
            at_ms: now.since(trace.arrived_at).as_millis(),
            entry: self.entry.clone(),
            event: SmolStr::new_static(event),
            detail: detail.get(..end).unwrap_or_default().to_owned(),
        });
    }

    /// Records the verdict of a request.
    pub fn end(&mut self, request: &str, verdict: Verdict) {
        if let Some(trace) = self.traces.get_mut(request) {
            trace.verdict = Some(verdict);
        }
    }

    /// Returns the trace of a request unless it is unknown or evicted.
    pub fn explain(&self, request: &str) -> Option<Explanation> {
        let trace = self.traces.get(request)?;
        let mut steps = trace.steps.clone();
        if trace.dropped_steps > 0 {
            steps.push(Step {
                at_ms: steps.last().map_or(0, |step| step.at_ms),
                entry: self.entry.clone(),
                event: SmolStr::new_static("more"),
                detail: format!("steps={}", trace.dropped_steps),
            });
        }
        Some(Explanation {
            request: request.into(),
            account: trace.account.clone(),
            deployment: trace.deployment.clone(),
            steps,
            verdict: trace.verdict,
        })
    }
}
