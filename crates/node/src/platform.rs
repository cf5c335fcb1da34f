//! Reading the platform: the configuration service and the instance list.
//!
//! The service answers about two thousand reads a second over all readers. A few
//! members of each zone hold a watch; every member reads directly at a rate that
//! shrinks with the fleet, so that a partition heals from either side; everything else
//! comes from peers. Invariant: the reads of the whole fleet stay below
//! `readers * (1 / WATCH + changes) + DIRECT_READS` a second, whatever its size.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use bergamot_base::{Name, hash_bytes};
use bergamot_config::Document;
use bergamot_members::{ListedInstance, readers};
use bergamot_net::{Reply, fetch};
use hyper::StatusCode;
use rand::RngExt;
use serde::Deserialize;

use crate::node::Node;
use crate::pulls;

/// How long one watch waits at the service.
const WATCH: Duration = Duration::from_secs(20);

/// Direct reads a second over the whole fleet.
const DIRECT_READS: u32 = 10;

/// Reads of the instance list a second over the whole fleet.
const LIST_READS: u32 = 50;

/// How long a reader waits after a failed watch.
const BACKOFF: Duration = Duration::from_millis(500);

/// How often a member that is no reader looks whether it has become one.
const RERANK: Duration = Duration::from_millis(500);

/// An entry of the instance list.
#[derive(Debug, Deserialize)]
struct Item {
    address: String,
    zone: Name,
    state: Name,
}

/// Reads the document once.
pub(crate) async fn read_document(node: &Arc<Node>) {
    let settings = node.settings();
    let timeout = settings.platform.timeout;
    if let Some(reply) = read(node, "document", "/v1/document", timeout).await {
        take_document(node, &reply);
    }
}

/// Watches the document while this member is a reader, else reads it now and then.
pub(crate) async fn follow_document(node: Arc<Node>) {
    let mut idle = Duration::ZERO;
    let mut direct = direct_interval(&node);
    while !node.stop.is_cancelled() {
        if is_reader(&node) {
            watch_once(&node).await;
            continue;
        }
        tokio::select! {
            () = node.stop.cancelled() => return,
            () = tokio::time::sleep(RERANK) => idle += RERANK,
        }
        if idle >= direct {
            read_document(&node).await;
            idle = Duration::ZERO;
            direct = direct_interval(&node);
        }
    }
}

/// Reads the instance list now and then.
pub(crate) async fn poll_list(node: Arc<Node>) {
    loop {
        let members = node.with_view(bergamot_members::View::len) as u32;
        let shortest = node.settings().platform.poll;
        let interval = jitter(&node, shortest.max(Duration::from_secs(1) * members / LIST_READS));
        tokio::select! {
            () = node.stop.cancelled() => return,
            () = tokio::time::sleep(interval) => read_list(&node).await,
        }
    }
}

/// Reads the instance list once.
pub(crate) async fn read_list(node: &Arc<Node>) {
    let timeout = node.settings().platform.timeout;
    let Some(reply) = read(node, "instances", "/v1/instances", timeout).await else {
        return;
    };
    match serde_json::from_slice::<Vec<Item>>(reply.body()) {
        Ok(items) => take_list(node, &items),
        Err(error) => {
            node.meter().platform_failures.with_label_values(&["instances"]).inc();
            log::warn!("node: The instance list can't be read: {error}.");
        }
    }
}

/// Takes in the list: instances by IP number, searchers by IP number and port.
fn take_list(node: &Node, items: &[Item]) {
    let mut instances = Vec::new();
    let mut listed_leaving = HashSet::new();
    for item in items {
        let leaving = &*item.state == "leaving";
        if let Ok(ip) = item.address.parse() {
            instances.push(ListedInstance { ip, zone: Name::clone(&item.zone), leaving });
        } else if let Ok(searcher) = item.address.parse::<SocketAddr>() {
            if leaving {
                listed_leaving.insert(searcher);
            }
        } else {
            log::warn!("node: The instance list names {}, which is no address.", item.address);
        }
    }
    hear_listed(node, listed_leaving);
    let mut control = node.lock();
    control.membership.apply_list(Instant::now(), &instances);
    node.refresh_homes(&mut control);
}

/// Takes in the searchers that the list says are leaving and did not say so before.
///
/// The list names no run. Said again, it may mean a run that is long gone, and must not
/// touch the one that took its place.
fn hear_listed(node: &Node, listed: HashSet<SocketAddr>) {
    let mut before = node.listed_leaving.lock().unwrap_or_else(PoisonError::into_inner);
    for searcher in listed.difference(&before) {
        node.heard_leaving(*searcher, None);
    }
    *before = listed;
}

async fn watch_once(node: &Arc<Node>) {
    let after = node.current().map_or(0, |current| current.document.revision);
    let path = format!("/v1/watch?after={after}&wait_ms={}", WATCH.as_millis());
    let timeout = WATCH + node.settings().platform.timeout;
    let reply = tokio::select! {
        () = node.stop.cancelled() => return,
        reply = read(node, "document", &path, timeout) => reply,
    };
    match reply {
        Some(reply) if reply.status() == StatusCode::OK => {
            take_document(node, &reply);
            // What was not put in force is offered again at once: don't ask at once.
            let now = node.current().map_or(0, |current| current.document.revision);
            if now == after {
                tokio::time::sleep(jitter(node, BACKOFF)).await;
            }
        }
        Some(_unchanged) => {}
        None => tokio::time::sleep(jitter(node, BACKOFF)).await,
    }
}

/// Takes in a document. One that was refused before is not parsed again.
fn take_document(node: &Node, reply: &Reply) {
    let hash = hash_bytes(reply.body());
    let refused = || node.refused.lock().unwrap_or_else(PoisonError::into_inner);
    if refused().contains(&hash) {
        return;
    }
    let parsed = Document::parse(reply.body());
    if parsed.is_err() {
        refused().insert(hash);
    }
    pulls::offer(node, parsed, node.settings().platform.configuration);
}

async fn read(
    node: &Arc<Node>,
    what: &'static str,
    path: &str,
    timeout: Duration,
) -> Option<Reply> {
    let settings = node.settings();
    let remote = match what {
        "document" => settings.platform.configuration,
        _ => settings.platform.instances,
    };
    node.meter().platform_reads.with_label_values(&[what]).inc();
    let cause = match fetch(settings.instance.address, remote, path, timeout).await {
        Ok(reply) if reply.status().is_success() => return Some(reply),
        Ok(reply) => format!("status {}", reply.status()),
        Err(fault) => fault.to_string(),
    };
    node.meter().platform_failures.with_label_values(&[what]).inc();
    log::debug!("node: Reading the platform's {what} failed: {cause}.");
    None
}

fn is_reader(node: &Node) -> bool {
    let per_zone = node.settings().control.readers as usize;
    node.with_view(|view| readers(view, per_zone)).contains(&node.me())
}

fn direct_interval(node: &Node) -> Duration {
    let members = node.with_view(bergamot_members::View::len) as u32;
    let shortest = node.settings().control.direct;
    jitter(node, shortest.max(Duration::from_secs(1) * members / DIRECT_READS))
}

/// Spreads a period over half to one and a half of itself.
fn jitter(node: &Node, period: Duration) -> Duration {
    period.mul_f64(node.lock().rng.random_range(0.5..1.5))
}
