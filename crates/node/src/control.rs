//! The control loop: datagrams in, datagrams out, timers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_members::{Datagram, Role, Rumour};
use bergamot_wire::LARGEST_DATAGRAM;

use crate::node::{Control, Node};
use crate::pulls;

/// How often the pulse beats.
const BEAT: Duration = Duration::from_millis(50);

/// Runs the control loop until the node closes.
pub(crate) async fn run(node: Arc<Node>) {
    let mut buffer = vec![0; LARGEST_DATAGRAM + 1];
    loop {
        let due = node.lock().membership.due();
        tokio::select! {
            () = node.stop.cancelled() => return,
            received = node.socket.recv_from(&mut buffer) => {
                let Ok((length, from)) = received else { continue };
                node.meter().datagrams.with_label_values(&["in"]).inc();
                node.meter().datagram_bytes.with_label_values(&["in"]).inc_by(length as u64);
                match bergamot_wire::decode(&buffer[..length], from) {
                    Ok(datagram) => receive(&node, &datagram),
                    Err(garbled) => log::warn!("node: Dropped a datagram: {garbled}."),
                }
            }
            () = node.quarantine.changed() => spread(&node),
            () = tokio::time::sleep_until(due.into()) => tick(&node),
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
    let heard = suspicions.hear(now, membership);
    out.extend(suspicions.inform(now, membership, datagram, digest));
    let leaving = control.membership.take_leaving();
    if control.membership.view().changes() != changes {
        node.refresh_homes(&mut control);
    }
    drop(control);
    node.transmit(out);
    for fingerprint in heard {
        log::info!("node: Heard that searchers end under query {fingerprint}.");
    }
    for rumour in leaving {
        if let Rumour::Leaving { searcher, run } = rumour {
            node.heard_leaving(searcher, Some(run));
        }
    }
    pulls::compare(node, datagram, digest);
}

/// Tells the other members of queries under which searchers ended here.
fn spread(node: &Arc<Node>) {
    let mut control = node.lock();
    let Control { membership, suspicions, .. } = &mut *control;
    suspicions.spread(Instant::now(), membership);
}

fn tick(node: &Arc<Node>) {
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

/// Beats the pulse and catches up after a pause.
pub(crate) async fn pulse(node: Arc<Node>) {
    loop {
        tokio::select! {
            () = node.stop.cancelled() => return,
            () = tokio::time::sleep(BEAT) => {}
        }
        let Some(gap) = node.awake.tick(Instant::now()) else {
            continue;
        };
        node.meter().pauses.inc();
        log::warn!("node: {} slept for {} ms and catches up.", role(&node), gap.as_millis());
        // A bound on the whole of it: peers that don't answer must not keep us idle.
        let _ = tokio::time::timeout(BEAT * 5, pulls::catch_up(&node, false)).await;
        node.awake.set_caught_up();
    }
}

fn role(node: &Node) -> Role {
    node.me().role
}
