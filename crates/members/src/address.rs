//! Selects the entries that a caller is told to use.
//!
//! There is no load balancer in front of the entries: callers ask any entry for addresses, cache
//! the answer for its time to live and connect directly. Entries in the caller's zone come first,
//! then those in its region, then the rest. Within each group the order is rotated by a serial
//! number, so that callers that ask at the same time are spread over the entries. Invariant: an
//! entry that is leaving, or that the platform lists as leaving, is never returned.

use bergamot_base::{Incarnation, Name};
use bergamot_config::Document;
use serde::{Deserialize, Serialize};

use crate::record::{Endpoint, Role, State};
use crate::view::View;

/// The weight of an entry in the caller's zone.
const SAME_ZONE_WEIGHT: u32 = 100;
/// The weight of an entry in another zone of the caller's region.
const SAME_REGION_WEIGHT: u32 = 30;
/// The weight of an entry in another region.
const OTHER_REGION_WEIGHT: u32 = 10;

/// An entry that a caller may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// The address and port on which the entry accepts callers.
    pub address: String,
    /// The availability zone.
    pub zone: Name,
    /// The region.
    pub region: Name,
    /// The share of the caller's traffic that the entry should get, relative to the other weights.
    pub weight: u32,
    /// The entry's incarnation; zero if the entry is known only from the platform's list.
    pub incarnation: Incarnation,
}

/// The answer to a caller who asks for addresses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressList {
    /// The time to live of the answer, in milliseconds.
    pub ttl_ms: u64,
    /// The prefix of the write keys that the caller creates for the answering entry.
    pub write_prefix: String,
    /// The entries, most preferred first.
    pub addresses: Vec<EntryAddress>,
}

/// Returns the available entries in order of preference for a caller in `zone`.
pub fn addresses(
    view: &View,
    document: &Document,
    zone: &str,
    port: u16,
    serial: u64,
) -> Vec<EntryAddress> {
    let region = document.region(zone);
    let mut targets: Vec<_> = view
        .iter()
        .filter(|record| record.endpoint.role == Role::Entry && record.state == State::Alive)
        .filter(|record| view.takes_work(record.endpoint))
        .map(|record| {
            let entry_region = document.region(&record.zone);
            let weight = match () {
                () if &*record.zone == zone => SAME_ZONE_WEIGHT,
                () if entry_region == region => SAME_REGION_WEIGHT,
                () => OTHER_REGION_WEIGHT,
            };
            let Endpoint { ip, .. } = record.endpoint;
            EntryAddress {
                address: format!("{ip}:{port}"),
                zone: Name::clone(&record.zone),
                region: Name::from(entry_region),
                weight,
                incarnation: record.incarnation,
            }
        })
        .collect();
    targets.sort_by_key(|target| std::cmp::Reverse(target.weight));
    for group in targets.chunk_by_mut(|a, b| a.weight == b.weight) {
        let offset = serial as usize % group.len();
        group.rotate_left(offset);
    }
    targets
}
