//! What happened to the latest requests, for `explain`.
//!
//! Bounded in requests and steps: an entry that serves 43 requests a second (36,000 over 840 entries)
//! remembers the last minute and a half. Older ones are in the log, under the same id.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use clock::Time;
use smol_str::SmolStr;
use verdict::Verdict;

use crate::reply::Explanation;
use crate::reply::Step;

/// Most requests remembered.
const MAX_REQUESTS: usize = 4_096;
/// Most steps of one request; the last place says how many more there were.
const MAX_STEPS: usize = 32;
/// Longest detail of a step, bytes.
const MAX_DETAIL_BYTES: usize = 256;

/// What happened to the latest requests.
#[derive(Clone, Debug)]
pub struct Journal {
    entry: SmolStr,
    traces: BTreeMap<SmolStr, Trace>,
    /// The ids of `traces`, the oldest first; each once.
    order: VecDeque<SmolStr>,
}

/// The life of one request.
#[derive(Clone, Debug)]
struct Trace {
    arrived_at: Time,
    account: SmolStr,
    deployment: SmolStr,
    steps: Vec<Step>,
    /// Steps beyond the most that are kept.
    dropped_steps: u32,
    verdict: Option<Verdict>,
}

impl Journal {
    /// An empty one of the entry of that name.
    pub fn new(entry: SmolStr) -> Journal {
        Journal {
            entry,
            traces: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    /// A request has arrived; the oldest is forgotten if there are too many. One that is known
    /// already, as when its caller comes back, goes on with the life it has.
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

    /// Something happened to a request. `detail` holds key=value pairs, no key and no prompt text.
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

    /// A request has ended.
    pub fn end(&mut self, request: &str, verdict: Verdict) {
        if let Some(trace) = self.traces.get_mut(request) {
            trace.verdict = Some(verdict);
        }
    }

    /// The life of a request, if it is remembered.
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
