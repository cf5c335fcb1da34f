//! The metrics of an entry.

use std::time::Duration;

use bergamot_node::prometheus::{
    HistogramOpts, HistogramVec, IntCounterVec, Opts, Registry, exponential_buckets,
};

/// The metrics of an entry, by workspace, service and outcome.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    requests: IntCounterVec,
    seconds: HistogramVec,
}

impl Metrics {
    pub(crate) fn new(registry: &Registry) -> Self {
        let labels = ["service", "outcome"];
        let opts = Opts::new("bergamot_requests_total", "Callers' requests, by outcome.");
        let requests =
            IntCounterVec::new(opts, &labels).expect("metric names are constants and valid");
        registry.register(Box::new(requests.clone())).expect("metric names are unique");
        let buckets = exponential_buckets(0.001, 1.6, 20).expect("the buckets are constants");
        let opts = HistogramOpts::new("bergamot_request_seconds", "Time to the final answer.");
        let seconds = HistogramVec::new(opts.buckets(buckets), &labels)
            .expect("metric names are constants and valid");
        registry.register(Box::new(seconds.clone())).expect("metric names are unique");
        Self { requests, seconds }
    }

    /// Records a request that received its final answer.
    pub(crate) fn record(&self, service: &str, outcome: &str, latency: Duration) {
        self.requests.with_label_values(&[service, outcome]).inc();
        self.seconds.with_label_values(&[service, outcome]).observe(latency.as_secs_f64());
    }
}
