//! Counters and histograms of the relay; docs/METRICS.md describes how to react to each.

use std::time::Duration;

use bergamot_dispatch::{Distance, Ending};
use bergamot_placement::WithheldCounts;
use bergamot_resources::Usage;
use hyper::StatusCode;
use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};

use crate::message::{Cause, Reply};

/// The upper bounds of the latency buckets, in seconds: around the declared target latencies of 80
/// to 600 ms, and up to the longest timeouts.
const BUCKETS: [f64; 12] = [0.01, 0.02, 0.04, 0.06, 0.08, 0.1, 0.12, 0.2, 0.4, 0.6, 1.2, 4.0];

/// Why an attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptReason {
    /// The first attempt.
    First,
    /// The first attempt has not been answered yet.
    Hedge,
    /// The previous attempt failed.
    Retry,
    /// Another member delegated the shard.
    Delegated,
}

impl AttemptReason {
    fn label(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Hedge => "hedge",
            Self::Retry => "retry",
            Self::Delegated => "delegated",
        }
    }
}

/// The metrics of what is known of the store.
#[derive(Debug)]
pub(crate) struct StoreMeter {
    pub(crate) updates: IntCounterVec,
    pub(crate) update_bytes: IntCounterVec,
    pub(crate) unreadable_records: IntCounter,
    pub(crate) away: IntGauge,
    pub(crate) era: IntGauge,
}

impl StoreMeter {
    fn new(registry: &Registry) -> Self {
        Self {
            updates: counters(
                registry,
                "bergamot_relay_news_total",
                "Questions for news of the store by origin and result.",
                &["origin", "result"],
            ),
            update_bytes: counters(
                registry,
                "bergamot_relay_news_bytes_total",
                "Bytes of the store's records by where they came from, and those sent on.",
                &["way"],
            ),
            unreadable_records: counter(
                registry,
                "bergamot_relay_unreadable_records_total",
                "Records of the store that can't be used.",
            ),
            away: gauge(registry, "bergamot_relay_store_away", "Whether the store can't be read."),
            era: gauge(
                registry,
                "bergamot_relay_store_era",
                "How often the store was restored, by its own count.",
            ),
        }
    }
}

/// The metrics of the pools that a member coordinates.
#[derive(Clone, Debug)]
pub(crate) struct AdmissionMeter {
    pub(crate) decisions: IntCounterVec,
    pub(crate) running: IntGauge,
    pub(crate) waiting: IntGauge,
}

impl AdmissionMeter {
    fn new(registry: &Registry) -> Self {
        Self {
            decisions: counters(
                registry,
                "bergamot_relay_admission_total",
                "Decisions as the coordinator of a pool of searchers, by priority and result.",
                &["priority", "result"],
            ),
            running: gauge(
                registry,
                "bergamot_relay_admission_running",
                "Requests that run under a grant of this member.",
            ),
            waiting: gauge(
                registry,
                "bergamot_relay_admission_waiting",
                "Requests that wait for a grant of this member.",
            ),
        }
    }

    /// Counts a decision on a request.
    pub(crate) fn count(&self, priority: u32, result: &str) {
        self.decisions.with_label_values(&[&*priority.to_string(), result]).inc();
    }
}

/// The metrics of the responses of searchers.
#[derive(Debug)]
pub(crate) struct ResponseMeter {
    not_ok: IntCounterVec,
    pub(crate) findings: IntCounterVec,
    bytes: IntGauge,
    peak_bytes: IntGauge,
}

impl ResponseMeter {
    fn new(registry: &Registry) -> Self {
        Self {
            not_ok: counters(
                registry,
                "bergamot_relay_responses_not_ok_total",
                "Complete responses of searchers other than a signed 200, by status and verdict.",
                &["status", "verdict"],
            ),
            findings: counters(
                registry,
                "bergamot_relay_findings_total",
                "What searchers sent that is not the answer to its request, by kind.",
                &["kind"],
            ),
            bytes: gauge(
                registry,
                "bergamot_relay_response_bytes",
                "Bytes held by responses of searchers, complete or not.",
            ),
            peak_bytes: gauge(
                registry,
                "bergamot_relay_response_peak_bytes",
                "The most bytes that responses of searchers have held.",
            ),
        }
    }

    /// Counts a complete response that is not a signed 200.
    pub(crate) fn count_not_ok(&self, status: StatusCode, verdict: &str) {
        self.not_ok.with_label_values(&[status.as_str(), verdict]).inc();
    }

    /// Records the memory that responses use.
    pub(crate) fn record_memory(&self, usage: Usage) {
        self.bytes.set(usage.held as i64);
        self.peak_bytes.set(usage.peak as i64);
    }
}

/// The metrics of what is not served: refused requests, and shards that are left out of answers.
#[derive(Debug)]
struct UnservedMeter {
    refusals: IntCounterVec,
    left_out: IntCounterVec,
}

impl UnservedMeter {
    fn new(registry: &Registry) -> Self {
        Self {
            refusals: counters(
                registry,
                "bergamot_relay_refusals_total",
                "Refused requests by route, priority and reason.",
                &["route", "priority", "reason"],
            ),
            left_out: counters(
                registry,
                "bergamot_relay_left_out_total",
                "Shards of answers that were not queried since they were expected to be too slow.",
                &["route", "priority"],
            ),
        }
    }
}

/// The metrics of a relay.
#[derive(Debug)]
pub(crate) struct Meter {
    registry: Registry,
    requests: IntCounterVec,
    latency: HistogramVec,
    attempts: IntCounterVec,
    endings: IntCounterVec,
    pub(crate) responses: ResponseMeter,
    unserved: UnservedMeter,
    pub(crate) store: StoreMeter,
    pub(crate) admission: AdmissionMeter,
    pub(crate) quarantine: IntCounterVec,
    pub(crate) withheld: IntCounterVec,
    pub(crate) permits: IntCounterVec,
    reports: IntCounterVec,
    pub(crate) denied_attempts: IntCounter,
    pub(crate) missing_parts: IntCounter,
    pub(crate) records_lacking: IntCounter,
    pub(crate) declaration_version: IntGauge,
    pub(crate) searchers: IntGauge,
    pub(crate) members: IntGauge,
    pub(crate) connections: IntGauge,
    pub(crate) evacuated_zones: IntGauge,
    pub(crate) head_copies: IntGauge,
}

impl Meter {
    /// Creates and registers the metrics.
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let counters =
            |name: &str, help: &str, labels: &[&str]| counters(&registry, name, help, labels);
        let counter = |name: &str, help: &str| counter(&registry, name, help);
        let gauge = |name: &str, help: &str| gauge(&registry, name, help);
        let latency = HistogramOpts::new("bergamot_relay_request_seconds", "Time to the answer.")
            .buckets(BUCKETS.to_vec());
        let latency = HistogramVec::new(latency, &["route"]);
        Self {
            requests: counters(
                "bergamot_relay_requests_total",
                "Callers' requests by route and outcome.",
                &["route", "outcome"],
            ),
            latency: register(&registry, latency.expect("the names of metrics are valid")),
            attempts: counters(
                "bergamot_relay_attempts_total",
                "Attempts at searchers by reason and distance.",
                &["reason", "distance"],
            ),
            endings: counters(
                "bergamot_relay_endings_total",
                "Attempts that brought no success, by what their end means.",
                &["ending"],
            ),
            responses: ResponseMeter::new(&registry),
            unserved: UnservedMeter::new(&registry),
            store: StoreMeter::new(&registry),
            admission: AdmissionMeter::new(&registry),
            quarantine: counters(
                "bergamot_relay_quarantine_total",
                "What happened to requests under which searchers ended.",
                &["event"],
            ),
            withheld: counters(
                "bergamot_relay_withheld_total",
                "Requests to a service all of whose searchers were withheld, by reason.",
                &["reason"],
            ),
            permits: counters(
                "bergamot_relay_permits_total",
                "Requests to this member for permits for cold searchers, by result.",
                &["result"],
            ),
            reports: counters(
                "bergamot_relay_reported_delays_total",
                "Latencies of searchers in replies between members, by direction.",
                &["way"],
            ),
            denied_attempts: counter(
                "bergamot_relay_denied_total",
                "Additional attempts that the bound did not allow.",
            ),
            missing_parts: counter(
                "bergamot_relay_missing_parts_total",
                "Shards that were missing from answers.",
            ),
            records_lacking: counter(
                "bergamot_relay_records_lacking_total",
                "Merged answers for which a member had to send more records.",
            ),
            declaration_version: gauge(
                "bergamot_relay_declaration_version",
                "The version in force.",
            ),
            searchers: gauge("bergamot_relay_searchers", "Searchers that are known."),
            members: gauge("bergamot_relay_members", "Members that share the searchers."),
            connections: gauge("bergamot_relay_connections", "Open connections to searchers."),
            evacuated_zones: gauge(
                "bergamot_relay_evacuated_zones",
                "Availability zones whose searchers receive no requests, by order of the operator.",
            ),
            head_copies: gauge(
                "bergamot_relay_head_copies_bytes",
                "Bytes held by copies of large heads for attempts.",
            ),
            registry,
        }
    }

    /// Returns the registry, for exposition.
    pub(crate) fn registry(&self) -> &Registry {
        &self.registry
    }

    pub(crate) fn count_attempt(&self, reason: AttemptReason, distance: Distance) {
        let distance = match distance {
            Distance::Zone => "zone",
            Distance::Region => "region",
            Distance::Far => "far",
        };
        self.attempts.with_label_values(&[reason.label(), distance]).inc();
    }

    /// Counts an attempt that ended without success.
    pub(crate) fn count_ending(&self, ending: Ending) {
        let ending = match ending {
            Ending::NotSent => "not_sent",
            Ending::NotRun => "not_run",
            Ending::Failed => "failed",
            Ending::Unknown => "unknown",
        };
        self.endings.with_label_values(&[ending]).inc();
    }

    /// Counts a request to a service all of whose searchers are withheld.
    pub(crate) fn count_withheld(&self, withheld: &WithheldCounts) {
        for reason in withheld.reasons() {
            self.withheld.with_label_values(&[reason.label()]).inc();
        }
    }

    /// Counts the latencies of searchers in a reply, `sent` or `received`.
    pub(crate) fn count_reports(&self, way: &str, count: usize) {
        if count > 0 {
            self.reports.with_label_values(&[way]).inc_by(count as u64);
        }
    }

    /// Counts a request by its outcome and records its duration.
    pub(crate) fn count_request(&self, route: &str, reply: &Reply, took: Duration) {
        self.requests.with_label_values(&[route, outcome(reply)]).inc();
        self.latency.with_label_values(&[route]).observe(took.as_secs_f64());
        if let Reply::Merged(merged) = reply {
            self.missing_parts.inc_by(merged.missing as u64);
        }
    }

    /// Counts a refusal by its cause.
    pub(crate) fn count_refusal(&self, route: &str, priority: u32, reason: &str) {
        self.unserved.refusals.with_label_values(&[route, &priority.to_string(), reason]).inc();
    }

    /// Counts the shards of an answer that were left out.
    pub(crate) fn count_left_out(&self, route: &str, priority: u32, shards: usize) {
        self.unserved
            .left_out
            .with_label_values(&[route, &priority.to_string()])
            .inc_by(shards as u64);
    }

    /// Drops the label values of all routes, so that undeclared routes do not accumulate.
    pub(crate) fn forget_routes(&self) {
        self.requests.reset();
        self.latency.reset();
        self.unserved.refusals.reset();
        self.unserved.left_out.reset();
    }

    /// Formats the counts of attempts and failures for the summary in the log.
    pub(crate) fn summary(&self) -> String {
        let mut words = Vec::new();
        for family in self.registry.gather() {
            let Some(name) = family.name().strip_prefix("bergamot_relay_") else { continue };
            if ![
                "attempts_total",
                "endings_total",
                "denied_total",
                "missing_parts_total",
                "connections",
            ]
            .contains(&name)
            {
                continue;
            }
            for metric in family.get_metric() {
                let labels: Vec<&str> =
                    metric.get_label().iter().map(prometheus::proto::LabelPair::value).collect();
                let value = metric.get_counter().get_value() + metric.get_gauge().get_value();
                words.push(format!("{name}.{}={value}", labels.join(".")));
            }
        }
        words.join(" ")
    }
}

/// Returns the outcome of a request as named in metrics and logs.
pub(crate) fn outcome(reply: &Reply) -> &'static str {
    match reply {
        Reply::Forwarded(_) => "passed",
        Reply::Merged(merged) if merged.missing == 0 => "complete",
        Reply::Merged(_) => "partial",
        Reply::Refused(refusal) => match refusal.cause {
            Cause::NotReady => "not_ready",
            Cause::NoMemory => "no_memory",
            Cause::NoRoute => "no_route",
            Cause::NotRun => "not_run",
            Cause::Lost => "lost",
            Cause::Late => "late",
        },
    }
}

fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let metric = IntCounterVec::new(Opts::new(name, help), labels);
    register(registry, metric.expect("the names of metrics are valid"))
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let metric = IntCounter::with_opts(Opts::new(name, help));
    register(registry, metric.expect("the names of metrics are valid"))
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let metric = IntGauge::with_opts(Opts::new(name, help));
    register(registry, metric.expect("the names of metrics are valid"))
}

fn register<T: prometheus::core::Collector + Clone + 'static>(registry: &Registry, metric: T) -> T {
    registry.register(Box::new(metric.clone())).expect("each metric is registered once");
    metric
}
