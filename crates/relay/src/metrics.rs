//! OpenTelemetry metrics, served in the Prometheus format on the metrics port.
//!
//! Counters are derived from the reducer's log lines, so that log and metrics never disagree; a line that is
//! shed under load is still counted. Work by service and level is counted by the reducer itself, since admitted
//! requests have no line at their arrival.

use std::time::Duration;

use anyhow::Result;
use clock::Span;
use gateway::gateway::Status;
use gateway::plan::Count;
use intake::intake::Intake;
use line::Line;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;
use store::call::Outcome;

use crate::logs;
use crate::outbox;

/// Bucket bounds of the latency histograms, milliseconds: around usual targets and beyond.
const LATENCY_BOUNDS: [f64; 11] = [
    5.0, 20.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1_500.0, 3_000.0, 6_000.0, 15_000.0,
];

/// The instruments of one gateway.
pub struct Metrics {
    /// Kept alive, since instruments stop recording without their provider.
    _provider: SdkMeterProvider,
    registry: Registry,
    done: Counter<u64>,
    refused: Counter<u64>,
    plan_offered: Counter<u64>,
    plan_admitted: Counter<u64>,
    plan_refused: Counter<u64>,
    attempts: Counter<u64>,
    failed_attempts: Counter<u64>,
    undelimited: Counter<u64>,
    store_calls: Counter<u64>,
    cloud_calls: Counter<u64>,
    digests: Counter<u64>,
    digest_bytes: Counter<u64>,
    connections: Counter<u64>,
    reducer_busy: Counter<f64>,
    first_token: Histogram<f64>,
    total_latency: Histogram<f64>,
    longest_pause: Histogram<f64>,
    queue_wait: Histogram<f64>,
    gauges: Gauges,
}

/// Instruments for current values, recorded when metrics are read.
struct Gauges {
    open: Gauge<u64>,
    waiting: Gauge<u64>,
    isolated: Gauge<u64>,
    version: Gauge<u64>,
    version_age: Gauge<u64>,
    members: Gauge<u64>,
    servers: Gauge<u64>,
    speeds: Gauge<u64>,
    speeds_age: Gauge<u64>,
    ready: Gauge<u64>,
    repeats: Gauge<u64>,
    fence: Gauge<u64>,
    plan_offered: Gauge<u64>,
    plan_room: Gauge<u64>,
    plan_age: Gauge<u64>,
    feed_age: Gauge<u64>,
    lag: Gauge<u64>,
    counts_bytes: Gauge<u64>,
    counts_age: Gauge<u64>,
    lines: Gauge<u64>,
    memory: Gauge<u64>,
}

/// Ages of the followed tables: time since each was last known to be current.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ages {
    /// Age of the configuration, milliseconds.
    pub configuration_ms: u64,
    /// Age of the list of backend servers, milliseconds.
    pub servers_ms: u64,
}

impl Metrics {
    /// Creates the instruments with a registry of their own.
    pub fn new(intake: &Intake) -> Result<Metrics> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("dogwoodspur");
        intake.register(&meter);
        let count = |name: &'static str, description: &'static str| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        let gauge = |name: &'static str, description: &'static str| {
            meter.u64_gauge(name).with_description(description).build()
        };
        let latency = |name: &'static str, description: &'static str| {
            meter
                .f64_histogram(name)
                .with_description(description)
                .with_unit("ms")
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .build()
        };
        Ok(Metrics {
            done: count("dogwoodspur_requests_done", "Whole answers, by service"),
            refused: count(
                "dogwoodspur_requests_refused",
                "Final answers of our own, by reason and verdict",
            ),
            plan_offered: count(
                "dogwoodspur_plan_offered_tokens",
                "Work that arrived here, in prompt tokens, by service and level",
            ),
            plan_admitted: count(
                "dogwoodspur_plan_admitted_tokens",
                "Work that the plan admitted",
            ),
            plan_refused: count(
                "dogwoodspur_plan_refused_tokens",
                "Work that the plan refused",
            ),
            attempts: count(
                "dogwoodspur_attempts",
                "Requests handed to replicas, by service and whether it was the first time",
            ),
            failed_attempts: count(
                "dogwoodspur_attempts_failed",
                "Attempts that failed, by end",
            ),
            undelimited: count(
                "dogwoodspur_undelimited_answers",
                "Answers that only the end of their connection marks, by whether they are taken for whole",
            ),
            store_calls: count("dogwoodspur_store_calls", "Table service calls, by outcome"),
            cloud_calls: count("dogwoodspur_duty_calls", "Calls of the duties' holder"),
            digests: count(
                "dogwoodspur_digests",
                "Digests to other entries, by outcome",
            ),
            digest_bytes: count("dogwoodspur_digest_bytes", "Their size, lost ones included"),
            connections: count(
                "dogwoodspur_connections",
                "New connections to backend servers, by outcome",
            ),
            reducer_busy: meter
                .f64_counter("dogwoodspur_reducer_busy")
                .with_description("Time spent in decisions")
                .with_unit("s")
                .build(),
            first_token: latency("dogwoodspur_first_token", "Arrival to first event"),
            total_latency: latency("dogwoodspur_answer", "Arrival to the end of the answer"),
            longest_pause: latency("dogwoodspur_pause", "Longest pause of each stream"),
            queue_wait: latency("dogwoodspur_wait", "Arrival to the first attempt"),
            gauges: Gauges {
                open: gauge("dogwoodspur_open_requests", "Requests open here"),
                waiting: gauge("dogwoodspur_waiting_requests", "Requests in the queues"),
                isolated: gauge(
                    "dogwoodspur_isolated",
                    "Whether this entry reaches no backend server",
                ),
                version: gauge("dogwoodspur_configuration_version", "Version in force"),
                version_age: gauge("dogwoodspur_configuration_age_ms", "Since it came in force"),
                members: gauge("dogwoodspur_members", "Entries known here"),
                servers: gauge("dogwoodspur_servers", "Backend servers, by state"),
                speeds: gauge(
                    "dogwoodspur_replica_speeds",
                    "Backend servers, by class of their speed",
                ),
                speeds_age: gauge(
                    "dogwoodspur_replica_speeds_age_ms",
                    "Since the speeds were last learned",
                ),
                ready: gauge("dogwoodspur_ready", "1 while callers may be sent here"),
                repeats: gauge("dogwoodspur_repeats_left", "Repeats that may still be made"),
                fence: gauge(
                    "dogwoodspur_duty_fence",
                    "Fencing number while duties are held",
                ),
                plan_offered: gauge(
                    "dogwoodspur_plan_offered",
                    "Work offered to all entries, prompt tokens a second",
                ),
                plan_room: gauge(
                    "dogwoodspur_plan_room",
                    "Work that the replicas start in time, prompt tokens a second",
                ),
                plan_age: gauge(
                    "dogwoodspur_plan_age_ms",
                    "Since the newest rates of other entries arrived",
                ),
                feed_age: gauge(
                    "dogwoodspur_feed_age_ms",
                    "Since a feed was current, by feed",
                ),
                lag: gauge(
                    "dogwoodspur_loop_lag_ms",
                    "Greatest delay of the loop in the last seconds",
                ),
                counts_bytes: gauge(
                    "dogwoodspur_counts_under_way_bytes",
                    "Counts that were sent to other entries and not answered yet",
                ),
                counts_age: gauge(
                    "dogwoodspur_counts_waiting_ms",
                    "How long another entry's counts have waited at most",
                ),
                lines: gauge(
                    "dogwoodspur_log_lines_dropped",
                    "Log lines dropped, by kind",
                ),
                memory: gauge("dogwoodspur_memory_bytes", "Resident memory"),
            },
            registry,
            _provider: provider,
        })
    }

    /// Records the duration of one step of the reducer.
    pub fn record_step(&self, took: Duration) {
        self.reducer_busy.add(took.as_secs_f64(), &[]);
    }

    /// Updates the counters that derive from a log line.
    pub fn count_line(&self, line: &Line) {
        match line.event {
            "request_done" => {
                let service = [label(line, "service")];
                self.done.add(1, &service);
                self.first_token.record(number(line, "first_ms"), &service);
                self.total_latency
                    .record(number(line, "total_ms"), &service);
                self.longest_pause
                    .record(number(line, "pause_ms"), &service);
            }
            "request_refused" => {
                let labels = [label(line, "reason"), label(line, "verdict")];
                self.refused.add(1, &labels);
            }
            "attempt_started" => {
                let first = line.field("attempt") == "1";
                let labels = [label(line, "service"), KeyValue::new("first", first)];
                self.attempts.add(1, &labels);
                if first {
                    self.queue_wait
                        .record(number(line, "waited_ms"), &labels[..1]);
                }
            }
            "attempt_ended" if line.field("end") != "finished" => {
                self.failed_attempts.add(1, &[label(line, "end")]);
            }
            "duty_answered" => self.cloud_calls.add(1, &[label(line, "outcome")]),
            _ => {}
        }
    }

    /// Counts the work of a service and level that arrived here.
    pub fn count_plan(&self, count: &Count) {
        let labels = [
            KeyValue::new("service", count.service.to_string()),
            KeyValue::new("level", i64::from(count.level)),
        ];
        let admitted = count.offered.saturating_sub(count.refused);
        self.plan_offered.add(count.offered, &labels);
        self.plan_admitted.add(admitted, &labels);
        self.plan_refused.add(count.refused, &labels);
    }

    /// Counts a call to the table service by its outcome.
    pub fn count_store_call(&self, outcome: &Outcome) {
        let name = match outcome {
            Outcome::Row(_) | Outcome::Rows { .. } => "read",
            Outcome::Committed(_) => "committed",
            Outcome::Conflict(_) => "conflict",
            Outcome::Unavailable => "unavailable",
            Outcome::Unknown => "unknown",
        };
        self.store_calls.add(1, &[KeyValue::new("outcome", name)]);
    }

    /// Counts a digest that was sent to another entry.
    pub fn count_digest(&self, bytes: usize, arrived: bool) {
        let outcome = match arrived {
            true => "arrived",
            false => "lost",
        };
        self.digests.add(1, &[KeyValue::new("outcome", outcome)]);
        self.digest_bytes.add(bytes as u64, &[]);
    }

    /// Counts an attempt to open a connection to a backend server.
    pub fn count_connection(&self, opened: bool) {
        let outcome = match opened {
            true => "opened",
            false => "failed",
        };
        self.connections
            .add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts an answer that only the end of its connection marks.
    pub fn count_undelimited(&self, is_whole: bool) {
        self.undelimited.add(1, &[KeyValue::new("whole", is_whole)]);
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(
        &self,
        status: &Status,
        ages: Ages,
        lag: Span,
        outbox_stats: outbox::Stats,
    ) -> Vec<u8> {
        self.record_gauges(status, ages);
        self.gauges.lag.record(lag.as_millis(), &[]);
        self.gauges
            .counts_bytes
            .record(outbox_stats.bytes as u64, &[]);
        self.gauges
            .counts_age
            .record(outbox_stats.max_wait.as_millis(), &[]);
        let mut buffer = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut buffer) {
            log::warn!(event = "metrics_unreadable", error = error.to_string().as_str(); "");
        }
        buffer
    }

    fn record_gauges(&self, status: &Status, ages: Ages) {
        let gauges = &self.gauges;
        gauges.open.record(status.open_requests, &[]);
        gauges.waiting.record(status.waiting, &[]);
        gauges.version.record(status.version, &[]);
        gauges.version_age.record(status.version_age_ms, &[]);
        gauges.members.record(status.members, &[]);
        gauges.isolated.record(u64::from(status.isolated), &[]);
        gauges.ready.record(u64::from(status.ready), &[]);
        gauges.repeats.record(status.repeats_left, &[]);
        gauges.fence.record(status.fence, &[]);
        gauges.plan_offered.record(status.plan_offered, &[]);
        gauges.plan_room.record(status.plan_room, &[]);
        gauges.plan_age.record(status.plan_age_ms, &[]);
        let states = [
            ("known", status.servers),
            ("leaving", status.leaving),
            ("missing", status.missing),
            ("paused", status.paused),
        ];
        for (state, count) in states {
            gauges
                .servers
                .record(count, &[KeyValue::new("state", state)]);
        }
        let classes = [
            ("slow", status.slow),
            ("median", status.median),
            ("fast", status.fast),
        ];
        for (class, count) in classes {
            gauges
                .speeds
                .record(count, &[KeyValue::new("class", class)]);
        }
        gauges.speeds_age.record(status.speeds_age_ms, &[]);
        let feeds = [
            ("configuration", ages.configuration_ms),
            ("servers", ages.servers_ms),
        ];
        for (feed, age) in feeds {
            gauges.feed_age.record(age, &[KeyValue::new("feed", feed)]);
        }
        for (kind, count) in [("any", logs::dropped()), ("routine", logs::shed())] {
            gauges.lines.record(count, &[KeyValue::new("kind", kind)]);
        }
        gauges.memory.record(resident_bytes(), &[]);
    }
}

/// Returns the resident memory of the process; 0 if the system doesn't provide it.
fn resident_bytes() -> u64 {
    const PAGE: u64 = 4_096;
    let status = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = status
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE
}

/// Returns a field of a log line as a label.
fn label(line: &Line, name: &'static str) -> KeyValue {
    KeyValue::new(name, line.field(name).to_owned())
}

/// Returns a field of a log line as a number; 0 if it is missing or not numeric.
fn number(line: &Line, name: &str) -> f64 {
    line.field(name).parse().unwrap_or(0.0)
}
