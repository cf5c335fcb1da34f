//! The metrics of a gather.

use bergamot_node::prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// The metrics of a gather.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    /// Shards queried, by outcome.
    pub(crate) shards: IntCounterVec,
    /// Sub-queries sent to searchers.
    pub(crate) attempts: IntCounter,
    /// Writes sent to searchers, by outcome.
    pub(crate) writes: IntCounterVec,
    /// Open connections to searchers.
    pub(crate) connections: IntGauge,
    /// Connection attempts by the current clients.
    pub(crate) dials: IntGauge,
    /// Connection attempts by the current clients that failed or were refused.
    pub(crate) refused: IntGauge,
    /// How often searchers of the current clients sent what is not the answer to a request.
    pub(crate) findings: IntGauge,
}

impl Metrics {
    pub(crate) fn new(registry: &Registry) -> Self {
        let counter_vec = |name: &str, help: &str| {
            let metric = IntCounterVec::new(Opts::new(name, help), &["outcome"])
                .expect("metric names are constants and valid");
            registry.register(Box::new(metric.clone())).expect("metric names are unique");
            metric
        };
        let gauge = |name: &str, help: &str| {
            let metric = IntGauge::new(name, help).expect("metric names are constants and valid");
            registry.register(Box::new(metric.clone())).expect("metric names are unique");
            metric
        };
        let attempts = IntCounter::new("bergamot_attempts_total", "Sub-queries sent to searchers.")
            .expect("metric names are constants and valid");
        registry.register(Box::new(attempts.clone())).expect("metric names are unique");
        Self {
            shards: counter_vec("bergamot_shards_total", "Shards asked, by outcome."),
            attempts,
            writes: counter_vec(
                "bergamot_gather_writes_total",
                "Writes sent to searchers, by outcome.",
            ),
            connections: gauge("bergamot_upstream_connections", "Connections open to searchers."),
            dials: gauge("bergamot_upstream_dials", "Dials to searchers held now."),
            refused: gauge("bergamot_upstream_refused_dials", "Dials that searchers refused."),
            findings: gauge(
                "bergamot_upstream_findings",
                "How often searchers held now sent what is not the answer to a request.",
            ),
        }
    }
}
