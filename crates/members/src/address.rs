//! Which entries a caller is told to use.
//!
//! Callers have no balancer: they ask any entry, keep the answer for its time to
//! live and connect themselves. Entries of the caller's zone come first, then those
//! of its region, then the rest. Within a group the order is rotated by a serial
//! number, so that two callers who ask at once are not sent to the same place.
//! Invariant: an entry that leaves, or that the platform lists as leaving, is never
//! named.

use bergamot_base::{Incarnation, Name};
use bergamot_config::Document;
use serde::{Deserialize, Serialize};

use crate::record::{Endpoint, Role, State};
use crate::view::View;

/// The weight of an entry near the caller.
const NEAR: u32 = 100;
/// The weight of an entry in another zone of the caller's region.
const SAME_REGION: u32 = 30;
/// The weight of an entry in another region.
const FAR: u32 = 10;

/// One entry that a caller may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Where the entry listens for callers.
    pub address: String,
    /// The availability zone.
    pub zone: Name,
    /// The region.
    pub region: Name,
    /// How much of the caller's traffic it should get, against the others.
    pub weight: u32,
    /// The run of the entry; zero where only the platform's list knows of it.
    pub incarnation: Incarnation,
}

/// The answer to a caller who asks for addresses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// How long the answer may be kept, in milliseconds.
    pub ttl_ms: u64,
    /// The prefix with which the caller makes write keys for the answering entry.
    pub write_prefix: String,
    /// The entries, the best first.
    pub addresses: Vec<Target>,
}

/// Orders the entries for a caller in a zone.
pub fn addresses(
    view: &View,
    document: &Document,
    zone: &str,
    port: u16,
    serial: u64,
) -> Vec<Target> {
    let region = document.region(zone);
    let mut targets: Vec<_> = view
        .iter()
        .filter(|record| record.endpoint.role == Role::Entry && record.state == State::Alive)
        .filter(|record| view.takes_work(record.endpoint))
        .map(|record| {
            let theirs = document.region(&record.zone);
            let weight = match () {
                () if &*record.zone == zone => NEAR,
                () if theirs == region => SAME_REGION,
                () => FAR,
            };
            let Endpoint { ip, .. } = record.endpoint;
            Target {
                address: format!("{ip}:{port}"),
                zone: Name::clone(&record.zone),
                region: Name::from(theirs),
                weight,
                incarnation: record.incarnation,
            }
        })
        .collect();
    targets.sort_by_key(|target| std::cmp::Reverse(target.weight));
    for group in targets.chunk_by_mut(|a, b| a.weight == b.weight) {
        let turn = serial as usize % group.len();
        group.rotate_left(turn);
    }
    targets
}
