//! The intakes of all listeners of a process, with their metrics and their part of the state dump.

use std::fmt::{self, Write as _};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bergamot_logger::Sampler;
use bergamot_resources::{Memory, Shares};
use prometheus::core::{Collector, Desc};
use prometheus::proto::MetricFamily;
use prometheus::{IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry};
use tokio::time::Instant;

use crate::body::BodyError;
use crate::intake::Intake;

/// How many bodies that are refused are logged a second; all are counted.
const MAX_LINES: u32 = 10;

/// The intakes of a process.
#[derive(Debug)]
pub struct Intakes {
    shares: Shares,
    /// Bounds the requests at all listeners.
    memory: Arc<Memory>,
    all: Mutex<Vec<Arc<Intake>>>,
    refused: IntCounterVec,
    log_sampler: Mutex<Sampler>,
}

impl Intakes {
    /// Creates the intakes of a process and registers their metrics.
    pub fn new(shares: Shares, memory: Arc<Memory>, registry: &Registry) -> Arc<Self> {
        let refused = Opts::new(
            "bergamot_intake_bodies_refused_total",
            "Bodies of requests that were not read completely, by cause.",
        );
        let refused = IntCounterVec::new(refused, &["cause"]).expect("the names are valid");
        registry.register(Box::new(refused.clone())).expect("each metric is registered once");
        let (all, log_sampler) = (Mutex::default(), Mutex::new(Sampler::new(MAX_LINES)));
        let intakes = Arc::new(Self { shares, memory, all, refused, log_sampler });
        let meter = Meter::new(Arc::clone(&intakes));
        registry.register(Box::new(meter)).expect("each metric is registered once");
        intakes
    }

    /// Returns the memory of all requests.
    pub fn memory(&self) -> &Arc<Memory> {
        &self.memory
    }

    /// Creates the intake of a listener for callers.
    pub fn for_callers(&self) -> Arc<Intake> {
        self.add("callers", self.shares.callers)
    }

    /// Creates the intake of a listener for other members.
    pub fn for_members(&self, name: &'static str) -> Arc<Intake> {
        self.add(name, self.shares.members)
    }

    /// Creates the intake of a listener for pages, such as metrics.
    pub fn for_pages(&self, name: &'static str) -> Arc<Intake> {
        self.add(name, self.shares.pages)
    }

    fn add(&self, name: &'static str, places: usize) -> Arc<Intake> {
        let intake = Intake::new(name, places, Arc::clone(&self.memory));
        self.all().push(Arc::clone(&intake));
        intake
    }

    /// Counts and logs a request whose body was not read completely.
    pub fn record_refusal(&self, request: impl fmt::Display, error: &BodyError) {
        self.refused.with_label_values(&[error.label()]).inc();
        let mut sampler = self.log_sampler.lock().unwrap_or_else(PoisonError::into_inner);
        let admitted = sampler.admit(Instant::now().into());
        drop(sampler);
        if let Some(left_out) = admitted {
            log::info!(
                "net: event=body_refused request={request} reason={} cause=\"{error}\" \
                 left_out={left_out}",
                error.label()
            );
        }
    }

    /// Formats what is held, with one line for each listener.
    pub fn dump(&self) -> String {
        let (usage, limit) = (self.memory.usage(), self.memory.limit());
        let mut text = format!(
            "requests held {} peak {} limit {limit} discarded {}\n",
            usage.held, usage.peak, usage.discarded
        );
        for intake in &*self.all() {
            // Writing to a string can't fail.
            let _ = writeln!(text, "listener {} {}", intake.name(), intake.counts());
        }
        text
    }

    fn all(&self) -> MutexGuard<'_, Vec<Arc<Intake>>> {
        self.all.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The metrics of what is held, which are read when they are asked for.
#[derive(Debug)]
struct Meter {
    intakes: Arc<Intakes>,
    bytes: IntGaugeVec,
    discarded: IntGauge,
    connections: IntGaugeVec,
}

impl Meter {
    fn new(intakes: Arc<Intakes>) -> Self {
        let gauges = |name: &str, help: &str, labels: &[&str]| {
            IntGaugeVec::new(Opts::new(name, help), labels).expect("the names are valid")
        };
        let discarded = IntGauge::new(
            "bergamot_intake_discarded",
            "Requests that were discarded so far because their memory was exhausted.",
        );
        Self {
            intakes,
            bytes: gauges(
                "bergamot_intake_bytes",
                "Bytes held by requests: now, at the most so far, and the bound.",
                &["what"],
            ),
            discarded: discarded.expect("the names are valid"),
            connections: gauges(
                "bergamot_intake_connections",
                "Connections by listener: open, allowed, and so far closed for others or refused.",
                &["listener", "what"],
            ),
        }
    }
}

impl Collector for Meter {
    fn desc(&self) -> Vec<&Desc> {
        [self.bytes.desc(), self.discarded.desc(), self.connections.desc()].concat()
    }

    fn collect(&self) -> Vec<MetricFamily> {
        let (usage, limit) = (self.intakes.memory.usage(), self.intakes.memory.limit());
        for (what, bytes) in [("held", usage.held), ("peak", usage.peak), ("limit", limit)] {
            self.bytes.with_label_values(&[what]).set(bytes as i64);
        }
        self.discarded.set(usage.discarded as i64);
        for intake in &*self.intakes.all() {
            let counts = intake.counts();
            let counts = [
                ("open", counts.open as u64),
                ("limit", counts.limit as u64),
                ("closed", counts.closed),
                ("refused", counts.refused),
            ];
            for (what, count) in counts {
                self.connections.with_label_values(&[intake.name(), what]).set(count as i64);
            }
        }
        [self.bytes.collect(), self.discarded.collect(), self.connections.collect()].concat()
    }
}
