//! Anti-entropy comparison of views: two members exchange only the records that one of them lacks.
//!
//! Each datagram carries the hash of its sender's view. While the hashes differ, a member sends its
//! range hashes to a member whose view differed. The receiver answers with the short hashes of its
//! records in the ranges that differ; the first member then sends the records that the other lacks
//! and requests those that it lacks itself. While members start, each round doubles the number of
//! records known; a single differing record costs some hundred bytes. Invariant: the volume of a
//! comparison is bounded, whatever the views, and a member starts at most one each
//! [`MIN_INTERVAL`].

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use crate::message::{RangeHashes, RecordHashes};
use crate::record::{Endpoint, Record};
use crate::rumour::MAX_RECORDS_PER_DATAGRAM;
use crate::view::{RANGE_COUNT, View, range, short_hash};

/// The minimum interval between two comparisons that a member starts: several round trips within a
/// region, so that the previous one has finished.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// The maximum interval between comparisons that transfer nothing, which happens if one of the two
/// members is behind and cannot catch up.
const MAX_INTERVAL: Duration = Duration::from_secs(2);

/// How long views may differ before they are compared; gossip crosses the fleet within this time.
const COMPARE_DELAY: Duration = Duration::from_millis(250);

/// The maximum number of short hashes in one datagram: 1,024 bytes.
const MAX_HASHES: usize = 256;

/// The maximum number of datagrams with records in answer to one datagram: 7 KB, which take 2 ms on
/// a link of 25 Mbit/s.
const MAX_RECORD_DATAGRAMS: usize = 6;

/// Schedules the comparisons of views.
#[derive(Debug)]
pub(crate) struct Sync {
    /// The last member whose view differed, with its hash, and since when any view has differed.
    ///
    /// Agreement with another member does not clear it: members of a zone hear from each other far
    /// more often than from those of other zones.
    difference: Option<Difference>,
    last_started: Option<Instant>,
    interval: Duration,
    view_changes: u64,
}

#[derive(Clone, Copy, Debug)]
struct Difference {
    since: Instant,
    peer: Endpoint,
    hash: u64,
}

impl Sync {
    pub(crate) fn new() -> Self {
        Self { difference: None, last_started: None, interval: MIN_INTERVAL, view_changes: 0 }
    }

    /// Returns when the next comparison is due; without delay until the view has converged.
    pub(crate) fn due(&self, settled: bool) -> Option<Instant> {
        let Difference { since, .. } = self.difference?;
        let earliest = if settled { since + COMPARE_DELAY } else { since };
        Some(self.last_started.map_or(earliest, |last| earliest.max(last + self.interval)))
    }

    /// Records the hash of a peer's view, compared with the local one.
    pub(crate) fn record_hash(&mut self, now: Instant, peer: Endpoint, hash: u64, local: u64) {
        let remaining = self.difference.filter(|known| known.hash != local && known.peer != peer);
        self.difference = if hash == local {
            remaining
        } else {
            let since = self.difference.map_or(now, |known| known.since);
            Some(Difference { since, peer, hash })
        };
    }

    /// Starts a comparison and returns the peer to compare with.
    pub(crate) fn start(&mut self, now: Instant, changes: u64, settled: bool) -> Option<Endpoint> {
        let Difference { peer, .. } = self.difference?;
        let was_useful = !settled || self.view_changes != changes;
        self.interval = if was_useful { MIN_INTERVAL } else { MAX_INTERVAL.min(self.interval * 2) };
        self.view_changes = changes;
        self.last_started = Some(now);
        Some(peer)
    }
}

/// Returns the short hashes of the records in ranges that differ, as many ranges as fit.
pub(crate) fn differing_hashes(
    view: &View,
    peer: &RangeHashes,
    rng: &mut StdRng,
) -> Option<RecordHashes> {
    let differs = |range: &usize| view.ranges()[*range] != peer.0[*range];
    let mut differing: Vec<usize> = (0..RANGE_COUNT).filter(differs).collect();
    differing.shuffle(rng);
    let mut hashes = vec![Vec::new(); RANGE_COUNT];
    for record in view.available() {
        hashes[range(record.endpoint)].push(short_hash(record));
    }
    let mut answer = RecordHashes { ranges: 0, hashes: Vec::new() };
    for range in differing {
        let in_range = &hashes[range];
        if answer.ranges != 0 && answer.hashes.len() + in_range.len() > MAX_HASHES {
            break;
        }
        answer.ranges |= 1 << range;
        answer.hashes.extend(in_range.iter().take(MAX_HASHES));
    }
    (answer.ranges != 0).then_some(answer)
}

/// Returns the records that the peer lacks and the short hashes of those that are missing here.
pub(crate) fn missing_records(
    view: &View,
    peer: &RecordHashes,
    rng: &mut StdRng,
) -> (Vec<Record>, RecordHashes) {
    let mut wanted: BTreeSet<u32> = peer.hashes.iter().copied().collect();
    let in_ranges = |record: &&Record| peer.ranges & (1 << range(record.endpoint)) != 0;
    let mut records = Vec::new();
    for record in view.available().filter(in_ranges) {
        if !wanted.remove(&short_hash(record)) {
            records.push(record.clone());
        }
    }
    truncate(&mut records, rng);
    let hashes = wanted.into_iter().take(MAX_HASHES).collect();
    (records, RecordHashes { ranges: peer.ranges, hashes })
}

/// Returns the records that a peer requested.
pub(crate) fn requested_records(
    view: &View,
    request: &RecordHashes,
    rng: &mut StdRng,
) -> Vec<Record> {
    let hashes: BTreeSet<u32> = request.hashes.iter().copied().collect();
    let known = view.available().filter(|record| hashes.contains(&short_hash(record)));
    let mut records = known.cloned().collect();
    truncate(&mut records, rng);
    records
}

/// Returns a sample of members for one that has just started. Half of them are of its zone, if it
/// has as many.
pub(crate) fn sample_for_join(view: &View, joining: &Record, rng: &mut StdRng) -> Vec<Record> {
    let others = view.available().filter(|record| record.endpoint != joining.endpoint);
    let (mut local, mut remote): (Vec<_>, Vec<_>) =
        others.partition(|other| other.zone == joining.zone);
    local.shuffle(rng);
    remote.shuffle(rng);
    let from_local = local.len().min(
        (MAX_RECORDS_PER_DATAGRAM / 2).max(MAX_RECORDS_PER_DATAGRAM.saturating_sub(remote.len())),
    );
    local.truncate(from_local);
    remote.truncate(MAX_RECORDS_PER_DATAGRAM - from_local);
    local.into_iter().chain(remote).cloned().collect()
}

/// Truncates the records to a random selection of as many as may be sent at once.
fn truncate(records: &mut Vec<Record>, rng: &mut StdRng) {
    let max = MAX_RECORDS_PER_DATAGRAM * MAX_RECORD_DATAGRAMS;
    if records.len() > max {
        records.shuffle(rng);
        records.truncate(max);
    }
}
