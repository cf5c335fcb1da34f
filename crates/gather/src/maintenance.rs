//! Background tasks of a gather: update the assignment, keep connections open, request the
//! status of searchers and report those that are leaving.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_base::{Deadline, Name};
use bergamot_upstream::Client;
use tokio_util::sync::CancellationToken;

use crate::service::Inner;

/// Interval at which connections are opened and leaving searchers are reported.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of a status request.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a searcher is ejected after a connection attempt failed and none is open.
const DIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Updates the assignment when the document or the homes change, until `stop`.
pub(crate) async fn follow_assignment(inner: Arc<Inner>, stop: CancellationToken) {
    let mut changes = inner.node.changes();
    loop {
        inner.update_assignment();
        tokio::select! {
            () = stop.cancelled() => return,
            changed = changes.changed() => if changed.is_err() { return },
        }
    }
}

/// Records the notice of a member or of the platform that a run of a searcher is leaving.
pub(crate) fn record_leaving_notice(inner: &Inner, searcher: SocketAddr, run: Option<&Name>) {
    let Some(assignment) = inner.assignment() else { return };
    if let Some(client) = assignment.clients.client_at(searcher)
        && client.health().record_leaving_notice(run)
    {
        log::info!(
            "upstream: Searcher {searcher} is leaving, as reported by a member or the platform."
        );
    }
}

/// Opens connections, requests the status of searchers and reports those that are leaving,
/// until `stop`.
pub(crate) async fn maintain_clients(inner: Arc<Inner>, stop: CancellationToken) {
    let mut reported = HashSet::new();
    let period = inner.node.settings().gather.status;
    let mut next_status = Instant::now();
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(MAINTENANCE_INTERVAL) => {}
        }
        let Some(assignment) = inner.assignment() else {
            continue;
        };
        let status_due = Instant::now() >= next_status;
        if status_due {
            next_status = Instant::now() + period;
        }
        for client in assignment.clients.iter() {
            report_if_leaving(&inner, client, &mut reported);
            warm(client);
            if status_due {
                request_status(client);
            }
        }
        let totals = assignment.clients.totals();
        inner.metrics.connections.set(totals.open as i64);
        inner.metrics.dials.set(totals.dials as i64);
        inner.metrics.refused.set(totals.refused as i64);
        inner.metrics.findings.set(totals.findings as i64);
    }
}

/// Reports to the other members, once per run, that a searcher is leaving.
fn report_if_leaving(inner: &Inner, client: &Client, reported: &mut HashSet<(SocketAddr, Name)>) {
    let (leaving, run) = {
        let health = client.health();
        (health.is_leaving(), health.run().map(Name::clone))
    };
    let Some(run) = run else { return };
    if leaving && reported.insert((client.address(), Name::clone(&run))) {
        log::info!("upstream: Searcher {} is leaving; notifying other members.", client.address());
        inner.node.report_leaving(client.address(), run);
    }
}

/// Opens one more connection unless the share is used up or the searcher is ejected.
fn warm(client: &Arc<Client>) {
    let usage = client.pool().usage();
    let ejected = client.health().is_ejected(Instant::now());
    if usage.open >= usage.share || ejected {
        return;
    }
    let client = Arc::clone(client);
    tokio::spawn(async move {
        let failed = client.pool().warm().await.is_err();
        // A searcher that refuses a connection while others are open is at its limit, not down.
        if failed && client.pool().usage().open == 0 {
            client.health().eject_for(Instant::now(), DIAL_BACKOFF);
        }
    });
}

fn request_status(client: &Arc<Client>) {
    let client = Arc::clone(client);
    tokio::spawn(async move {
        let deadline = Deadline::after(Instant::now(), STATUS_TIMEOUT);
        if let Err(fault) = client.status(deadline).await {
            log::debug!("upstream: Status request failed: {fault}.");
        }
    });
}
