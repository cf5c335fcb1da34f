//! Catches up with a later declaration that another member has in force.
//!
//! The newest version may be out of reach for some time: the members that are asked for updates or
//! chunks are cut off, or have moved on to versions that are newer still. A version that another
//! member has in force is complete there, so it can be put in force here within a few round trips.
//! Invariant: only members that have stated to be ahead are queried, at most [`MAX_ATTEMPTS`] of them
//! after each failed query of the regular fetch.

use std::net::Ipv4Addr;
use std::time::Duration;

use bergamot_base::{Name, Revision};
use bergamot_wire::{Item, Manifest, Value};

use crate::deliver::Delivery;
use crate::fetch::MAX_CHUNKS_PER_QUERY;
use crate::members::Members;
use crate::state::FeedState;

/// How many members are queried in a row: one that has stated its version a moment ago may be cut off
/// by now.
const MAX_ATTEMPTS: usize = 2;

/// Puts in force the declaration of another member that is ahead of this one, if there is one.
pub(crate) async fn catch_up(delivery: &Delivery, members: &Members) {
    let (shared, key) = (&delivery.shared, &delivery.source.declaration);
    let known = shared.complete_item(key).and_then(|item| item.version);
    for _ in 0..MAX_ATTEMPTS {
        let Some((ip, item)) = fetch_later(members, key, known).await else { continue };
        let Value::Chunked(manifest) = &item.value else { return };
        shared.pin(manifest);
        fetch_chunks(shared, members, (ip, manifest)).await;
        let record = shared.assemble_record(&item);
        if let Some(record) = &record {
            shared.mark_complete(&item);
            delivery.deliver_record(record);
        }
        shared.unpin(manifest);
        if record.is_some() {
            return;
        }
    }
}

/// Fetches the missing chunks of a manifest from one member, as far as it has them.
async fn fetch_chunks(
    shared: &FeedState,
    members: &Members,
    (ip, manifest): (Ipv4Addr, &Manifest),
) {
    loop {
        let mut missing = shared.missing_chunks(manifest);
        if missing.is_empty() {
            return;
        }
        missing.truncate(MAX_CHUNKS_PER_QUERY);
        match (members.fetch_chunks)(ip, missing, Duration::ZERO).await {
            Ok(bodies) if shared.insert_chunks(&bodies) => {}
            Ok(_) => return,
            Err(error) => {
                log::info!("feed: event=chunks_failed member={ip} cause=\"{error}\"");
                return;
            }
        }
    }
}

/// Returns the record of a key from a member that has stated to have a later version than `known` in
/// force, if there is one that still has it.
pub(crate) async fn fetch_later(
    members: &Members,
    key: &Name,
    known: Option<Revision>,
) -> Option<(Ipv4Addr, Item)> {
    let ip = (members.find_newer)(known.unwrap_or(0))?;
    let cause = match (members.fetch_record)(ip, Name::clone(key)).await {
        Ok(Some(item)) if item.version > known => {
            let later = item.version;
            log::info!("feed: event=version_adopted member={ip} known={known:?} later={later:?}");
            return Some((ip, item));
        }
        Ok(Some(_)) => "the member's record is no later".to_owned(),
        Ok(None) => "the member has no such record".to_owned(),
        Err(error) => error.to_string(),
    };
    log::info!("feed: event=adoption_failed member={ip} cause=\"{cause}\"");
    None
}
