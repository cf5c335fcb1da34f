//! The latency and the budgets of each service at one gather.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bergamot_base::{Budget, Name, Service};
use bergamot_config::Document;
use bergamot_upstream::LatencyPercentile;

/// Hedges that may be made before any work has earned them.
const HEDGE_RESERVE: f64 = 10.0;
/// The part of the work that retries may add.
const RETRY_FRACTION: f64 = 0.1;
/// Retries that may be made before any work has earned them.
const RETRY_RESERVE: f64 = 20.0;

/// The latency and the budgets of one service.
#[derive(Debug)]
pub(crate) struct Tail {
    pub(crate) pace: LatencyPercentile,
    pub(crate) hedges: Budget,
    pub(crate) retries: Budget,
}

/// The tails of all services, by the names of workspace and service, which outlive
/// changes of the document.
#[derive(Debug, Default)]
pub(crate) struct Tails(Mutex<HashMap<ServiceName, Arc<Mutex<Tail>>>>);

/// The names of a workspace and one of its services.
type ServiceName = (Name, Name);

impl Tails {
    /// Returns the tail of a service, with its hedge budget as now configured.
    pub(crate) fn of(&self, document: &Document, service: Service) -> Arc<Mutex<Tail>> {
        let row = &document.services[service];
        let workspace = &document.workspaces[row.workspace].name;
        let name = (Name::clone(workspace), Name::clone(&row.name));
        let fraction = f64::from(row.hedge_percent) / 100.0;
        let mut tails = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let tail = tails.entry(name).or_insert_with(|| {
            Arc::new(Mutex::new(Tail {
                pace: LatencyPercentile::default(),
                hedges: Budget::new(fraction, HEDGE_RESERVE),
                retries: Budget::new(RETRY_FRACTION, RETRY_RESERVE),
            }))
        });
        lock(tail).hedges.set_fraction(fraction);
        Arc::clone(tail)
    }

    /// Writes the text form that dumps use: one line a service.
    pub(crate) fn dump(&self) -> String {
        let tails = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        for ((workspace, service), tail) in tails.iter() {
            let Tail { pace, hedges, retries } = &*lock(tail);
            let _ =
                writeln!(text, "{workspace}/{service} {pace} hedges {hedges} retries {retries}");
        }
        text
    }
}

pub(crate) fn lock(tail: &Mutex<Tail>) -> MutexGuard<'_, Tail> {
    tail.lock().unwrap_or_else(PoisonError::into_inner)
}
