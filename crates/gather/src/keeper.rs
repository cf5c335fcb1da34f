//! The upkeep of a gather: which searchers it holds, warm connections, status, news.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_base::{Deadline, Name};
use bergamot_upstream::Client;
use tokio_util::sync::CancellationToken;

use crate::service::Inner;

/// How often connections are warmed and news is looked for.
const ROUND: Duration = Duration::from_millis(50);

/// How long a status may take.
const STATUS: Duration = Duration::from_millis(500);

/// How often the connections of one searcher are looked after while it can't be dialled.
const DIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Follows the document and the homes until `stop`.
pub(crate) async fn follow(inner: Arc<Inner>, stop: CancellationToken) {
    let mut changes = inner.node.changes();
    loop {
        inner.refresh();
        tokio::select! {
            () = stop.cancelled() => return,
            changed = changes.changed() => if changed.is_err() { return },
        }
    }
}

/// Takes in the word that a run of a searcher is leaving.
pub(crate) fn told_leaving(inner: &Inner, searcher: SocketAddr, run: Option<&Name>) {
    let Some(holding) = inner.holding() else { return };
    if let Some(client) = holding.fleet.client_at(searcher)
        && client.health().record_leaving_notice(run)
    {
        log::info!("upstream: Searcher {searcher} is leaving, says the fleet.");
    }
}

/// Keeps connections warm, asks for status and passes on what is leaving, until `stop`.
pub(crate) async fn keep(inner: Arc<Inner>, stop: CancellationToken) {
    let mut reported = HashSet::new();
    let period = inner.node.settings().gather.status;
    let mut next_status = Instant::now();
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(ROUND) => {}
        }
        let Some(holding) = inner.holding() else {
            continue;
        };
        let asking = Instant::now() >= next_status;
        if asking {
            next_status = Instant::now() + period;
        }
        for client in holding.fleet.iter() {
            report(&inner, client, &mut reported);
            warm(client);
            if asking {
                ask_status(client);
            }
        }
        let count = holding.fleet.totals();
        inner.meter.connections.set(count.open as i64);
        inner.meter.dials.set(count.dials as i64);
        inner.meter.refused.set(count.refused as i64);
    }
}

/// Passes on, once a run, that a searcher said itself that it is leaving.
fn report(inner: &Inner, client: &Client, reported: &mut HashSet<(SocketAddr, Name)>) {
    let (leaving, run) = {
        let health = client.health();
        (health.is_leaving(), health.run().map(Name::clone))
    };
    let Some(run) = run else { return };
    if leaving && reported.insert((client.address(), Name::clone(&run))) {
        log::info!("upstream: Searcher {} is leaving; passed on.", client.address());
        inner.node.report_leaving(client.address(), run);
    }
}

/// Opens one connection more if the share has room.
fn warm(client: &Arc<Client>) {
    let usage = client.pool().usage();
    let resting = client.health().is_ejected(Instant::now());
    if usage.open >= usage.share || resting {
        return;
    }
    let client = Arc::clone(client);
    tokio::spawn(async move {
        let failed = client.pool().warm().await.is_err();
        // A refusal while others are open is a full searcher, not a dead one.
        if failed && client.pool().usage().open == 0 {
            client.health().eject_for(Instant::now(), DIAL_BACKOFF);
        }
    });
}

fn ask_status(client: &Arc<Client>) {
    let client = Arc::clone(client);
    tokio::spawn(async move {
        let deadline = Deadline::after(Instant::now(), STATUS);
        if let Err(fault) = client.status(deadline).await {
            log::debug!("upstream: Status failed: {fault}.");
        }
    });
}
