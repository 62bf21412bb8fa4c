//! OpenTelemetry metrics, scraped from the admin port.
//!
//! Counters are derived from the reducer's log lines, so that log and metrics always agree.

use std::time::Duration;

use anyhow::Result;
use entry::effect::Effect;
use entry::entry::Stats;
use entry::line::Line;
use intake::intake::Intake;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;

/// Buckets of the latency histograms in milliseconds; 61 and 480 ms are the latency targets.
const LATENCY_BOUNDS: [f64; 12] = [
    10.0, 30.0, 61.0, 120.0, 240.0, 480.0, 1_000.0, 2_000.0, 5_000.0, 10_000.0, 60_000.0, 600_000.0,
];

/// Instruments of one entry.
pub struct Metrics {
    /// Keeps the instruments alive; they record nothing once their provider is dropped.
    _provider: SdkMeterProvider,
    events: Counter<u64>,
    refusals: Counter<u64>,
    first_token: Histogram<f64>,
    total: Histogram<f64>,
    recomputed: Counter<u64>,
    busy: Counter<f64>,
    open: Gauge<u64>,
    version: Gauge<u64>,
    members: Gauge<u64>,
    backends: Gauge<u64>,
    ready: Gauge<u64>,
    store: Gauge<u64>,
}

impl Metrics {
    /// Creates the instruments and registers them in `registry`.
    pub fn new(registry: &Registry, intake: &Intake) -> Result<Metrics> {
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("dogwoodspur");
        intake.register(&meter);
        let latency = |name: &'static str, description: &'static str| {
            meter
                .f64_histogram(name)
                .with_description(description)
                .with_unit("ms")
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .build()
        };
        let gauge = |name: &'static str, description: &'static str| {
            meter.u64_gauge(name).with_description(description).build()
        };
        Ok(Metrics {
            events: meter
                .u64_counter("dogwoodspur_events")
                .with_description("Events of the log, by name")
                .build(),
            refusals: meter
                .u64_counter("dogwoodspur_refusals")
                .with_description("Requests refused, by reason and verdict")
                .build(),
            first_token: latency("dogwoodspur_first_token", "Time to the first token"),
            total: latency("dogwoodspur_answer", "Time to the end of the answer"),
            recomputed: meter
                .u64_counter("dogwoodspur_recomputed_tokens")
                .with_description("Tokens computed a second time")
                .build(),
            busy: meter
                .f64_counter("dogwoodspur_reducer_busy")
                .with_description("Time spent in decisions and control")
                .with_unit("s")
                .build(),
            open: gauge("dogwoodspur_open_requests", "Requests open here"),
            version: gauge("dogwoodspur_configuration_version", "Version in force here"),
            members: gauge("dogwoodspur_members", "Entries known here"),
            backends: gauge("dogwoodspur_backends", "Backend servers known here"),
            ready: gauge("dogwoodspur_ready", "1 while requests are admitted"),
            store: gauge(
                "dogwoodspur_store_available",
                "1 if the last store call was answered",
            ),
            _provider: provider,
        })
    }

    /// Records the effects and the duration of one reducer step.
    pub fn record_step(&self, effects: &[Effect], elapsed: Duration) {
        self.busy.add(elapsed.as_secs_f64(), &[]);
        for effect in effects {
            if let Effect::Log(line) = effect {
                self.count_line(line);
            }
        }
    }

    /// Records the entry's current state.
    pub fn record_stats(&self, stats: &Stats) {
        self.open.record(stats.open_requests, &[]);
        self.version.record(stats.version, &[]);
        self.members.record(stats.members, &[]);
        self.backends.record(stats.backends, &[]);
        self.ready.record(u64::from(stats.ready), &[]);
        self.store.record(u64::from(stats.store_available), &[]);
    }

    /// Counts one log line.
    fn count_line(&self, line: &Line) {
        self.events.add(1, &[KeyValue::new("event", line.event)]);
        match line.event {
            "request_refused" => {
                let labels = [label(line, "reason"), label(line, "verdict")];
                self.refusals.add(1, &labels);
            }
            "request_done" => {
                let labels = [label(line, "deployment"), label(line, "account")];
                self.first_token
                    .record(number(line, "first_token_ms"), &labels);
                self.total.record(number(line, "total_ms"), &labels);
                self.recomputed
                    .add(number(line, "recomputed") as u64, &labels);
            }
            _ => {}
        }
    }
}

/// Returns a field of a line as a label.
fn label(line: &Line, name: &'static str) -> KeyValue {
    KeyValue::new(name, line.field(name).to_owned())
}

/// Returns a field of a line as a number.
fn number(line: &Line, name: &str) -> f64 {
    line.field(name).parse().unwrap_or(0.0)
}
