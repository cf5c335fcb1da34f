//! The control loop, which handles datagrams and membership timers, and the pause detector.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_members::{Datagram, Role, Rumour};
use bergamot_wire::MAX_DATAGRAM_LEN;

use crate::node::{Control, Node};
use crate::pulls;

/// The interval at which the process checks whether it was paused.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the control loop until the node closes.
pub(crate) async fn run(node: Arc<Node>) {
    let mut buffer = vec![0; MAX_DATAGRAM_LEN + 1];
    loop {
        let due = node.lock().membership.due();
        tokio::select! {
            () = node.stop.cancelled() => return,
            received = node.socket.recv_from(&mut buffer) => {
                let Ok((length, from)) = received else { continue };
                node.metrics().datagrams.with_label_values(&["in"]).inc();
                node.metrics().datagram_bytes.with_label_values(&["in"]).inc_by(length as u64);
                match bergamot_wire::decode(&buffer[..length], from) {
                    Ok(datagram) => receive(&node, &datagram),
                    Err(error) => log::warn!("node: Dropped a datagram: {error}."),
                }
            }
            () = node.quarantine.changed() => gossip_suspicions(&node),
            () = tokio::time::sleep_until(due.into()) => run_due_timers(&node),
        }
    }
}

fn receive(node: &Arc<Node>, datagram: &Datagram) {
    let mut control = node.lock();
    let digest = control.digest();
    let changes = control.membership.view().changes();
    let now = Instant::now();
    let mut out = control.membership.receive(now, datagram, digest);
    let Control { membership, suspicions, .. } = &mut *control;
    let reported = suspicions.merge_received(now, membership);
    out.extend(suspicions.send_missing(now, membership, datagram, digest));
    let leaving = control.membership.take_leaving_searchers();
    if control.membership.view().changes() != changes {
        node.refresh_homes(&mut control);
    }
    drop(control);
    node.transmit(out);
    for fingerprint in reported {
        log::info!("node: A member reported that searchers crash under query {fingerprint}.");
    }
    for rumour in leaving {
        if let Rumour::Leaving { searcher, run } = rumour {
            node.handle_leaving(searcher, Some(run));
        }
    }
    pulls::compare_digests(node, datagram, digest);
}

/// Reports queries under which searchers crashed here to the other members.
fn gossip_suspicions(node: &Arc<Node>) {
    let mut control = node.lock();
    let Control { membership, suspicions, .. } = &mut *control;
    suspicions.gossip_new(Instant::now(), membership);
}

fn run_due_timers(node: &Arc<Node>) {
    let mut control = node.lock();
    let digest = control.digest();
    let changes = control.membership.view().changes();
    let out = control.membership.tick(Instant::now(), digest);
    if control.membership.view().changes() != changes {
        node.refresh_homes(&mut control);
    }
    drop(control);
    node.transmit(out);
}

/// Detects pauses of the process, and catches up with peers after each.
pub(crate) async fn detect_pauses(node: Arc<Node>) {
    loop {
        tokio::select! {
            () = node.stop.cancelled() => return,
            () = tokio::time::sleep(PAUSE_CHECK_INTERVAL) => {}
        }
        let Some(gap) = node.pause_gate.tick(Instant::now()) else {
            continue;
        };
        node.metrics().pauses.inc();
        log::warn!(
            "node: {} slept for {} ms; catching up with peers.",
            role(&node),
            gap.as_millis()
        );
        // The time is bounded: peers that do not answer must not keep this node from new work.
        let bound = PAUSE_CHECK_INTERVAL * 5;
        let _ = tokio::time::timeout(bound, pulls::catch_up(&node, false)).await;
        node.pause_gate.set_caught_up();
    }
}

fn role(node: &Node) -> Role {
    node.endpoint().role
}
