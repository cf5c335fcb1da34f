//! Pulls of documents and views from peers, and responses to the pulls of peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_config::{Document, DocumentTransfer, RevisionStatus, ValidationError};
use bergamot_members::{Datagram, Digest, Endpoint};
use bergamot_net::NetworkError;
use bergamot_wire::{PullRequest, PullResponse, pull, serve_pulls};
use rand::RngExt;
use tokio::net::TcpListener;

use crate::node::{Node, control_address};
use crate::platform;

/// The number of peers from which a node pulls when it starts or catches up.
const CATCH_UP_PEERS: usize = 3;

const PULL_TIMEOUT: Duration = Duration::from_millis(1500);

/// One in this many datagrams whose view differs from ours leads to an exchange with the sender.
///
/// Views are reconciled by datagrams. However, members that could not reach each other may also
/// have missed notices of leaving searchers, which only an exchange transfers.
const VIEW_EXCHANGE_RATIO: u32 = 64;

/// Serves pulls of peers until the node closes.
pub(crate) async fn serve(node: Arc<Node>, listener: TcpListener) {
    let (stop, intake) = (node.stop.clone(), node.intakes().for_pages("pulls"));
    serve_pulls(listener, intake, stop, move |request| respond(&node, &request)).await;
}

fn respond(node: &Node, request: &PullRequest) -> PullResponse {
    let parcel = node
        .active_document()
        .filter(|current| current.document.revision > request.revision)
        .map(|current| DocumentTransfer::new(&current.document).omit(&request.held));
    let Some(theirs) = &request.view else {
        return PullResponse { parcel, ..PullResponse::default() };
    };
    let mut control = node.lock();
    let view = control.membership.view().iter().cloned().collect();
    control.membership.merge_records(Instant::now(), theirs);
    node.refresh_homes(&mut control);
    drop(control);
    PullResponse { parcel, view, leaving: node.leaving_searchers() }
}

/// Compares a peer's digest with ours, and pulls from the peer if it has a later revision.
///
/// A peer with another view is pulled from with a probability of 1 in [`VIEW_EXCHANGE_RATIO`].
pub(crate) fn compare_digests(node: &Arc<Node>, datagram: &Datagram, ours: Digest) {
    let theirs = datagram.digest;
    let from = datagram.from.endpoint;
    if theirs.revision > ours.revision {
        let node = Arc::clone(node);
        tokio::spawn(async move {
            // One pull at a time, because a second one would fetch the same document.
            let Ok(_guard) = node.pull_lock.try_lock() else {
                return;
            };
            exchange(&node, from, false).await;
        });
    } else if theirs.revision == ours.revision && theirs.hash != ours.hash && ours.revision > 0 {
        node.metrics().clashes.set(1);
        log::error!("config: {from} has revision {} with other content.", theirs.revision);
    } else if theirs.view != ours.view {
        let selected = node.lock().rng.random_ratio(1, VIEW_EXCHANGE_RATIO);
        if selected {
            let node = Arc::clone(node);
            tokio::spawn(async move { exchange(&node, from, true).await });
        }
    }
}

/// Pulls from several peers, and if requested reads the platform, all concurrently; the highest
/// revision takes effect.
pub(crate) async fn catch_up(node: &Arc<Node>, with_platform: bool) {
    let peers = {
        let mut control = node.lock();
        control.membership.peers(CATCH_UP_PEERS)
    };
    let mut pulls = tokio::task::JoinSet::new();
    for peer in peers {
        let node = Arc::clone(node);
        pulls.spawn(async move { exchange(&node, peer, true).await });
    }
    if with_platform {
        let node = Arc::clone(node);
        pulls.spawn(async move { platform::read_document(&node).await });
    }
    pulls.join_all().await;
}

/// Performs one exchange with a peer. Failures are counted and have no other effect.
async fn exchange(node: &Arc<Node>, peer: Endpoint, with_view: bool) {
    let address = control_address(node.settings(), peer);
    let result = match try_exchange(node, address, with_view).await {
        Ok(()) => "done",
        Err(fault) => {
            log::debug!("node: Pull failed: {fault}.");
            "failed"
        }
    };
    node.metrics().pulls.with_label_values(&[result]).inc();
}

async fn try_exchange(
    node: &Arc<Node>,
    peer: SocketAddr,
    with_view: bool,
) -> Result<(), NetworkError> {
    let current = node.active_document();
    let view = with_view.then(|| node.with_view(|view| view.iter().cloned().collect()));
    let request = PullRequest {
        revision: current.as_ref().map_or(0, |current| current.document.revision),
        held: current
            .as_ref()
            .map_or_else(Vec::new, |current| DocumentTransfer::new(&current.document).hashes()),
        view,
    };
    let local = node.settings().instance.address;
    let (bundle, bytes) = pull(local, peer, &request, PULL_TIMEOUT).await?;
    node.metrics().pull_bytes.inc_by(bytes as u64);
    if with_view {
        let mut control = node.lock();
        control.membership.merge_records(Instant::now(), &bundle.view);
        node.refresh_homes(&mut control);
    }
    for (searcher, run) in bundle.leaving {
        node.handle_leaving(searcher, Some(run));
    }
    if let Some(parcel) = bundle.parcel {
        let held = current.as_ref().map(|current| &current.document);
        handle_document(node, parcel.assemble(held), peer);
    }
    Ok(())
}

/// Puts a document in force if it is valid and newer than the present one. An invalid document is
/// refused as a whole.
pub(crate) fn handle_document(
    node: &Node,
    parsed: Result<Document, ValidationError>,
    from: SocketAddr,
) {
    match parsed {
        Ok(document) => {
            let revision = document.revision;
            if node.apply_document(document) == RevisionStatus::Older {
                log::debug!(
                    "config: Ignored revision {revision} from {from}; a later one is in force."
                );
            }
        }
        Err(refusal) => {
            node.metrics().refused_documents.inc();
            log::error!("config: Refused a document from {from}: {refusal}");
        }
    }
}
