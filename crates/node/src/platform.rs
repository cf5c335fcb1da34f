//! Clients of the platform: the configuration service and the instance list.
//!
//! The configuration service handles about two thousand reads a second in total. A few members of
//! each zone, the readers, hold a watch. Every member reads directly at a rate that decreases with
//! the size of the fleet, so that a partition heals from either side. All other updates come from
//! peers. Invariant: the reads of the whole fleet stay below
//! `readers * (1 / WATCH_WAIT + changes) + DIRECT_READS_PER_SECOND` a second, whatever its size.

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

/// How long one watch waits at the service for a change.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// The limit on direct reads of the document by the whole fleet.
const DIRECT_READS_PER_SECOND: u32 = 10;

/// The limit on reads of the instance list by the whole fleet.
const LIST_READS_PER_SECOND: u32 = 50;

/// How long a reader waits after a watch that ended early without a document that was put in force.
const WATCH_BACKOFF: Duration = Duration::from_millis(500);

/// The interval at which a member that is not a reader checks whether it has become one.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// An entry of the instance list.
#[derive(Debug, Deserialize)]
struct ListEntry {
    address: String,
    zone: Name,
    state: Name,
}

/// Reads the document once.
pub(crate) async fn read_document(node: &Arc<Node>) {
    let settings = node.settings();
    let timeout = settings.platform.timeout;
    if let Some(reply) = fetch_resource(node, "document", "/v1/document", timeout).await {
        handle_document_reply(node, &reply);
    }
}

/// Watches the document while this member is a reader; otherwise reads it periodically.
pub(crate) async fn follow_document(node: Arc<Node>) {
    let mut idle = Duration::ZERO;
    let mut read_interval = direct_read_interval(&node);
    while !node.stop.is_cancelled() {
        if is_reader(&node) {
            watch_once(&node).await;
            continue;
        }
        tokio::select! {
            () = node.stop.cancelled() => return,
            () = tokio::time::sleep(READER_CHECK_INTERVAL) => idle += READER_CHECK_INTERVAL,
        }
        if idle >= read_interval {
            read_document(&node).await;
            idle = Duration::ZERO;
            read_interval = direct_read_interval(&node);
        }
    }
}

/// Reads the instance list periodically.
pub(crate) async fn poll_list(node: Arc<Node>) {
    loop {
        let members = node.with_view(bergamot_members::View::len) as u32;
        let minimum = node.settings().platform.poll;
        let interval =
            jitter(&node, minimum.max(Duration::from_secs(1) * members / LIST_READS_PER_SECOND));
        tokio::select! {
            () = node.stop.cancelled() => return,
            () = tokio::time::sleep(interval) => read_list(&node).await,
        }
    }
}

/// Reads the instance list once.
pub(crate) async fn read_list(node: &Arc<Node>) {
    let timeout = node.settings().platform.timeout;
    let Some(reply) = fetch_resource(node, "instances", "/v1/instances", timeout).await else {
        return;
    };
    match serde_json::from_slice::<Vec<ListEntry>>(reply.body()) {
        Ok(entries) => apply_list(node, &entries),
        Err(error) => {
            node.metrics().platform_failures.with_label_values(&["instances"]).inc();
            log::warn!("node: Cannot parse the instance list: {error}.");
        }
    }
}

/// Applies the list. Entries with an IP address are instances; those with an address and a port
/// are searchers.
fn apply_list(node: &Node, entries: &[ListEntry]) {
    let mut instances = Vec::new();
    let mut listed_leaving = HashSet::new();
    for entry in entries {
        let leaving = &*entry.state == "leaving";
        if let Ok(ip) = entry.address.parse() {
            instances.push(ListedInstance { ip, zone: Name::clone(&entry.zone), leaving });
        } else if let Ok(searcher) = entry.address.parse::<SocketAddr>() {
            if leaving {
                listed_leaving.insert(searcher);
            }
        } else {
            log::warn!("node: The instance list contains {}, not an address.", entry.address);
        }
    }
    apply_listed_leaving(node, listed_leaving);
    let mut control = node.lock();
    control.membership.apply_list(Instant::now(), &instances);
    node.refresh_homes(&mut control);
}

/// Reports the searchers that are listed as leaving and were not in the previous list.
///
/// The list does not identify the run of a searcher. A repeated entry may refer to a run that
/// ended long ago, and must not affect the run that replaced it.
fn apply_listed_leaving(node: &Node, listed: HashSet<SocketAddr>) {
    let mut previous = node.listed_leaving.lock().unwrap_or_else(PoisonError::into_inner);
    for searcher in listed.difference(&previous) {
        node.handle_leaving(*searcher, None);
    }
    *previous = listed;
}

async fn watch_once(node: &Arc<Node>) {
    let after = node.active_document().map_or(0, |current| current.document.revision);
    let path = format!("/v1/watch?after={after}&wait_ms={}", WATCH_WAIT.as_millis());
    let timeout = WATCH_WAIT + node.settings().platform.timeout;
    let started = Instant::now();
    let reply = tokio::select! {
        () = node.stop.cancelled() => return,
        reply = fetch_resource(node, "document", &path, timeout) => reply,
    };
    if let Some(reply) = reply {
        handle_document_reply(node, &reply);
    }
    let in_force = node.active_document().map_or(0, |current| current.document.revision);
    // The next watch would end as early as this one.
    if in_force == after && started.elapsed() < WATCH_WAIT / 2 {
        tokio::time::sleep(jitter(node, WATCH_BACKOFF)).await;
    }
}

/// Parses and applies a document, unless there is none or the same content was refused before.
fn handle_document_reply(node: &Node, reply: &Reply) {
    if reply.status() == StatusCode::NO_CONTENT {
        return;
    }
    let hash = hash_bytes(reply.body());
    let refused = || node.refused_hashes.lock().unwrap_or_else(PoisonError::into_inner);
    if refused().contains(&hash) {
        return;
    }
    let parsed = Document::parse(reply.body());
    if parsed.is_err() {
        refused().insert(hash);
    }
    pulls::handle_document(node, parsed, node.settings().platform.configuration);
}

/// Reads a resource of the platform; failures are counted and logged.
///
/// The platform answers with 200, or with 204 if a watch ends without a change. Any other status is
/// a failure: the body of a 206, for example, may be a valid list that lacks instances.
async fn fetch_resource(
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
    node.metrics().platform_reads.with_label_values(&[what]).inc();
    let cause = match fetch(settings.instance.address, remote, path, timeout).await {
        Ok(reply) if matches!(reply.status(), StatusCode::OK | StatusCode::NO_CONTENT) => {
            return Some(reply);
        }
        Ok(reply) => format!("status {}", reply.status()),
        Err(fault) => fault.to_string(),
    };
    node.metrics().platform_failures.with_label_values(&[what]).inc();
    log::debug!("node: Cannot read the {what} from the platform: {cause}.");
    None
}

fn is_reader(node: &Node) -> bool {
    let per_zone = node.settings().control.readers as usize;
    node.with_view(|view| readers(view, per_zone)).contains(&node.endpoint())
}

fn direct_read_interval(node: &Node) -> Duration {
    let members = node.with_view(bergamot_members::View::len) as u32;
    let minimum = node.settings().control.direct;
    jitter(node, minimum.max(Duration::from_secs(1) * members / DIRECT_READS_PER_SECOND))
}

/// Returns a random duration between half and one and a half times the period.
fn jitter(node: &Node, period: Duration) -> Duration {
    period.mul_f64(node.lock().rng.random_range(0.5..1.5))
}
