//! The metrics of a gather.

use bergamot_node::prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// The metrics of a gather.
#[derive(Clone, Debug)]
pub(crate) struct Meter {
    /// Shards asked, by what came of it.
    pub(crate) shards: IntCounterVec,
    /// Sub-queries sent to searchers.
    pub(crate) attempts: IntCounter,
    /// Writes sent to searchers, by what came of it.
    pub(crate) writes: IntCounterVec,
    /// Connections open to searchers.
    pub(crate) connections: IntGauge,
    /// Dials since the start.
    pub(crate) dials: IntGauge,
    /// Dials that searchers refused.
    pub(crate) refused: IntGauge,
}

impl Meter {
    pub(crate) fn new(registry: &Registry) -> Self {
        let vector = |name: &str, help: &str| {
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
            shards: vector("bergamot_shards_total", "Shards asked, by outcome."),
            attempts,
            writes: vector("bergamot_gather_writes_total", "Writes sent to searchers, by outcome."),
            connections: gauge("bergamot_upstream_connections", "Connections open to searchers."),
            dials: gauge("bergamot_upstream_dials", "Dials to searchers held now."),
            refused: gauge("bergamot_upstream_refused_dials", "Dials that searchers refused."),
        }
    }
}
