//! Latency estimates and request budgets of each service at one gather.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bergamot_base::{Budget, Name, Service};
use bergamot_config::Document;
use bergamot_upstream::LatencyPercentile;

/// Initial and maximum number of tokens in a service's hedge budget.
const HEDGE_RESERVE: f64 = 10.0;
/// Number of retries allowed, as a fraction of the shards queried.
const RETRY_FRACTION: f64 = 0.1;
/// Initial and maximum number of tokens in a service's retry budget.
const RETRY_RESERVE: f64 = 20.0;

/// The latency estimate and the budgets of one service.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) latency: LatencyPercentile,
    pub(crate) hedge_budget: Budget,
    pub(crate) retry_budget: Budget,
}

/// The states of all services.
///
/// They are kept by the names of workspace and service, because a new document may
/// renumber the services.
#[derive(Debug, Default)]
pub(crate) struct ServiceStates(Mutex<HashMap<ServiceKey, Arc<Mutex<ServiceState>>>>);

/// The names of a workspace and one of its services.
type ServiceKey = (Name, Name);

impl ServiceStates {
    /// Returns the state of a service, with the hedge budget that the document configures.
    pub(crate) fn get_or_create(
        &self,
        document: &Document,
        service: Service,
    ) -> Arc<Mutex<ServiceState>> {
        let row = &document.services[service];
        let workspace = &document.workspaces[row.workspace].name;
        let key = (Name::clone(workspace), Name::clone(&row.name));
        let fraction = f64::from(row.hedge_percent) / 100.0;
        let mut states = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let state = states.entry(key).or_insert_with(|| {
            Arc::new(Mutex::new(ServiceState {
                latency: LatencyPercentile::default(),
                hedge_budget: Budget::new(fraction, HEDGE_RESERVE),
                retry_budget: Budget::new(RETRY_FRACTION, RETRY_RESERVE),
            }))
        });
        lock(state).hedge_budget.set_fraction(fraction);
        Arc::clone(state)
    }

    /// Formats the state for diagnostic dumps, one line per service.
    pub(crate) fn dump(&self) -> String {
        let states = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        for ((workspace, service), state) in states.iter() {
            let ServiceState { latency, hedge_budget, retry_budget } = &*lock(state);
            let _ = writeln!(
                text,
                "{workspace}/{service} {latency} hedges {hedge_budget} retries {retry_budget}"
            );
        }
        text
    }
}

pub(crate) fn lock(state: &Mutex<ServiceState>) -> MutexGuard<'_, ServiceState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
