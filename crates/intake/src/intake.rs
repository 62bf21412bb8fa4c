//! The bounds of a process, shared by all its ports.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use clock::Clock;
use opentelemetry::metrics::Meter;
use settings::Settings;
use settings::capacity::Capacity;
use tokio::sync::Notify;
use tokio::sync::watch;
use verdict::Refusal;

use crate::answers::Answers;
use crate::budget::Budget;
use crate::configs::limits::Limits;
use crate::configs::limits::Port;
use crate::connections::Connections;
use crate::receivers::Key;
use crate::receivers::Receivers;
use crate::stats::Stats;

/// The bounds of a process.
pub struct Intake {
    /// The process's clock.
    pub clock: Clock,
    /// What was done to callers.
    pub stats: Stats,
    /// Room for answers.
    pub answers: Answers,
    /// Connections of the callers' port.
    pub callers: Rc<Connections>,
    pub(crate) limits: Limits,
    pub(crate) requests: Budget,
    pub(crate) receivers: RefCell<Receivers>,
    /// Why bodies that aren't complete are refused, once the process is about to end.
    pub(crate) ending: watch::Sender<Option<Refusal>>,
    /// Notifies readers whose bodies give way.
    pub(crate) evictions: RefCell<BTreeMap<Key, Rc<Notify>>>,
}

impl Intake {
    /// Creates the bounds of a process whose callers connect to one port with these limits.
    pub fn new(clock: Clock, limits: Limits, callers: Port) -> Intake {
        let stats = Stats::new(clock);
        let callers = Rc::new(Connections::new(callers));
        Intake {
            clock,
            answers: Answers::new(
                clock,
                limits.answer_bytes,
                Rc::clone(&callers),
                stats.clone(),
            ),
            stats,
            callers,
            limits,
            requests: Budget::new(limits.request_bytes, limits.small_request_bytes),
            receivers: RefCell::new(Receivers::new(limits.body_rate)),
            ending: watch::Sender::new(None),
            evictions: RefCell::default(),
        }
    }

    /// Creates the bounds of a process with these settings, and logs them.
    pub fn for_process(clock: Clock, settings: &Settings, capacity: &Capacity) -> Intake {
        log::info!(
            event = "callers_bounded",
            memory_bytes = capacity.memory_bytes,
            descriptors = capacity.descriptors,
            request_bytes = capacity.request_bytes,
            answer_bytes = capacity.answer_bytes,
            head_bytes = capacity.head_bytes,
            connections = capacity.connections;
            ""
        );
        let callers = Port::new(capacity.connections, capacity);
        Intake::new(clock, Limits::new(settings, capacity), callers)
    }

    /// Refuses all requests whose bodies aren't complete, now and from now on.
    pub fn refuse_bodies(&self, refusal: Refusal) {
        self.ending.send_replace(Some(refusal));
    }

    /// Returns the refusal of requests whose bodies aren't complete, once the process is about to end.
    pub(crate) async fn ending(&self) -> Refusal {
        let mut ending = self.ending.subscribe();
        let refusal = ending.wait_for(Option::is_some).await;
        match refusal.as_deref() {
            Ok(Some(refusal)) => refusal.clone(),
            _ => std::future::pending().await,
        }
    }

    /// Returns whether a body of this size can be held, at least while there are no others.
    pub fn may_fit(&self, bytes: usize) -> bool {
        self.requests.may_fit(bytes)
    }

    /// Returns the bytes of requests that are held.
    pub fn request_bytes(&self) -> usize {
        self.requests.used()
    }

    /// Registers the metrics of all bounds.
    pub fn register(&self, meter: &Meter) {
        self.stats.register(meter);
        let held = [
            ("requests", self.requests.clone()),
            ("answers", self.answers.budget().clone()),
        ];
        meter
            .u64_observable_gauge("dogwoodspur_held_bytes")
            .with_description("Bytes of callers' requests and answers that are held")
            .with_callback(move |observer| {
                for (kind, budget) in &held {
                    let labels = [opentelemetry::KeyValue::new("kind", *kind)];
                    observer.observe(budget.used() as u64, &labels);
                }
            })
            .build();
    }
}
