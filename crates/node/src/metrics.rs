//! Metrics that all daemons have.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// The metrics of a node.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Control datagrams, by direction.
    pub datagrams: IntCounterVec,
    /// Bytes of control datagrams, by direction.
    pub datagram_bytes: IntCounterVec,
    /// Exchanges over control streams that this node initiated, by result.
    pub pulls: IntCounterVec,
    /// Bytes received in those exchanges.
    pub pull_bytes: IntCounter,
    /// Reads from the platform, by the resource that was read.
    pub platform_reads: IntCounterVec,
    /// Failed reads from the platform, by the resource that was read.
    pub platform_failures: IntCounterVec,
    /// Documents that were refused because of faults.
    pub refused_documents: IntCounter,
    /// Documents with the revision in force but other content.
    pub clashes: IntGauge,
    /// The revision of the document in force.
    pub revision: IntGauge,
    /// The members in the view.
    pub members: IntGauge,
    /// Pauses of the process.
    pub pauses: IntCounter,
}

impl Metrics {
    /// Creates the metrics and registers them.
    pub(crate) fn new(registry: &Registry) -> Self {
        let counters = |name: &str, help: &str, label: &str| {
            let counters = IntCounterVec::new(Opts::new(name, help), &[label])
                .expect("metric names are constants and valid");
            registry.register(Box::new(counters.clone())).expect("metric names are unique");
            counters
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("metric names are constants and valid");
            registry.register(Box::new(gauge.clone())).expect("metric names are unique");
            gauge
        };
        let counter = |name: &str, help: &str| {
            let counter =
                IntCounter::new(name, help).expect("metric names are constants and valid");
            registry.register(Box::new(counter.clone())).expect("metric names are unique");
            counter
        };
        Self {
            datagrams: counters(
                "bergamot_control_datagrams_total",
                "Control datagrams.",
                "direction",
            ),
            datagram_bytes: counters(
                "bergamot_control_datagram_bytes_total",
                "Bytes of control datagrams.",
                "direction",
            ),
            pulls: counters(
                "bergamot_control_pulls_total",
                "Exchanges begun over control streams.",
                "result",
            ),
            pull_bytes: counter(
                "bergamot_control_pull_bytes_total",
                "Bytes that came back over control streams.",
            ),
            platform_reads: counters(
                "bergamot_platform_reads_total",
                "Reads of the platform.",
                "what",
            ),
            platform_failures: counters(
                "bergamot_platform_failures_total",
                "Reads of the platform that failed.",
                "what",
            ),
            refused_documents: counter(
                "bergamot_documents_refused_total",
                "Documents refused whole.",
            ),
            clashes: gauge(
                "bergamot_document_clashes",
                "Documents of our revision with other content.",
            ),
            revision: gauge("bergamot_document_revision", "The revision in force."),
            members: gauge("bergamot_members", "Members in the view."),
            pauses: counter("bergamot_pauses_total", "How often the process slept."),
        }
    }
}
