//! Pulling documents and views from peers, and answering their pulls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_config::{Document, DocumentTransfer, RevisionStatus, ValidationError};
use bergamot_members::{Datagram, Digest, Endpoint};
use bergamot_net::NetworkError;
use bergamot_wire::{Bundle, Pull, pull, serve_pulls};
use rand::RngExt;
use tokio::net::TcpListener;

use crate::node::{Node, control_address};
use crate::platform;

/// How many peers are asked when a node starts or wakes.
const PEERS: usize = 3;

/// How long one pull may take.
const TIMEOUT: Duration = Duration::from_millis(1500);

/// One datagram in so many that shows another view leads to an exchange with its sender.
///
/// Views are compared by datagrams; but members that were apart may also have missed the word
/// that a searcher is leaving, and only an exchange brings that.
const VIEW_EXCHANGE: u32 = 64;

/// Answers pulls until the node closes.
pub(crate) async fn serve(node: Arc<Node>, listener: TcpListener) {
    let stop = node.stop.clone();
    serve_pulls(listener, stop, move |request| answer(&node, &request)).await;
}

fn answer(node: &Node, request: &Pull) -> Bundle {
    let parcel = node
        .current()
        .filter(|current| current.document.revision > request.revision)
        .map(|current| DocumentTransfer::new(&current.document).omit(&request.held));
    let Some(theirs) = &request.view else {
        return Bundle { parcel, ..Bundle::default() };
    };
    let mut control = node.lock();
    let view = control.membership.view().iter().cloned().collect();
    control.membership.learn_all(Instant::now(), theirs);
    node.refresh_homes(&mut control);
    drop(control);
    Bundle { parcel, view, leaving: node.leaving() }
}

/// Compares what a peer has in force with ours and pulls what we lack.
pub(crate) fn compare(node: &Arc<Node>, datagram: &Datagram, ours: Digest) {
    let theirs = datagram.digest;
    let from = datagram.from.endpoint;
    if theirs.revision > ours.revision {
        let node = Arc::clone(node);
        tokio::spawn(async move {
            // One pull at a time: a second one would fetch the same document.
            let Ok(_one) = node.pulling.try_lock() else {
                return;
            };
            exchange(&node, from, false).await;
        });
    } else if theirs.revision == ours.revision && theirs.hash != ours.hash && ours.revision > 0 {
        node.meter().clashes.set(1);
        log::error!("config: {from} has revision {} with other content.", theirs.revision);
    } else if theirs.view != ours.view {
        let drawn = node.lock().rng.random_ratio(1, VIEW_EXCHANGE);
        if drawn {
            let node = Arc::clone(node);
            tokio::spawn(async move { exchange(&node, from, true).await });
        }
    }
}

/// Asks the platform and several peers at once and takes the highest revision.
pub(crate) async fn catch_up(node: &Arc<Node>, with_platform: bool) {
    let peers = {
        let mut control = node.lock();
        control.membership.peers(PEERS)
    };
    let mut asked = tokio::task::JoinSet::new();
    for peer in peers {
        let node = Arc::clone(node);
        asked.spawn(async move { exchange(&node, peer, true).await });
    }
    if with_platform {
        let node = Arc::clone(node);
        asked.spawn(async move { platform::read_document(&node).await });
    }
    asked.join_all().await;
}

/// Makes one exchange with a peer; failures are counted and otherwise harmless.
async fn exchange(node: &Arc<Node>, peer: Endpoint, with_view: bool) {
    let address = control_address(node.settings(), peer);
    let result = match try_exchange(node, address, with_view).await {
        Ok(()) => "done",
        Err(fault) => {
            log::debug!("node: Pull failed: {fault}.");
            "failed"
        }
    };
    node.meter().pulls.with_label_values(&[result]).inc();
}

async fn try_exchange(
    node: &Arc<Node>,
    peer: SocketAddr,
    with_view: bool,
) -> Result<(), NetworkError> {
    let current = node.current();
    let view = with_view.then(|| node.with_view(|view| view.iter().cloned().collect()));
    let request = Pull {
        revision: current.as_ref().map_or(0, |current| current.document.revision),
        held: current
            .as_ref()
            .map_or_else(Vec::new, |current| DocumentTransfer::new(&current.document).hashes()),
        view,
    };
    let local = node.settings().instance.address;
    let (bundle, bytes) = pull(local, peer, &request, TIMEOUT).await?;
    node.meter().pull_bytes.inc_by(bytes as u64);
    if with_view {
        let mut control = node.lock();
        control.membership.learn_all(Instant::now(), &bundle.view);
        node.refresh_homes(&mut control);
    }
    for (searcher, run) in bundle.leaving {
        node.heard_leaving(searcher, Some(run));
    }
    if let Some(parcel) = bundle.parcel {
        let held = current.as_ref().map(|current| &current.document);
        offer(node, parcel.assemble(held), peer);
    }
    Ok(())
}

/// Puts a document in force if it is whole and newer; refuses it whole otherwise.
pub(crate) fn offer(node: &Node, checked: Result<Document, ValidationError>, from: SocketAddr) {
    match checked {
        Ok(document) => {
            let revision = document.revision;
            if node.adopt(document) == RevisionStatus::Older {
                log::debug!("config: {from} gave revision {revision}, which is older than ours.");
            }
        }
        Err(refusal) => {
            node.meter().refused_documents.inc();
            log::error!("config: Refused a document from {from}: {refusal}");
        }
    }
}
