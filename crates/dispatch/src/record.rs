//! Merges the records of shards: the top k by byte order.
//!
//! A part that another member sends may hold only its greatest records: most of the others are not
//! in the top k of all shards, and the traffic for them is billed. Invariants: equal records all
//! count, and a trailing fragment that is shorter than a record is ignored; a merge is considered
//! complete only if no record that was left out can be in it.

use std::cmp::Reverse;

use bergamot_policy::Brief;
use bytes::Bytes;

/// The length of a record, in bytes.
pub const RECORD_LEN: usize = 16;

/// Returns the `count` greatest records of all parts, in descending order.
pub fn merge_top_k(parts: &[Bytes], count: usize) -> Vec<u8> {
    let mut records: Vec<&[u8]> =
        parts.iter().flat_map(|part| part.chunks_exact(RECORD_LEN)).collect();
    if count < records.len() && count > 0 {
        records.select_nth_unstable_by_key(count - 1, |record| Reverse(*record));
    }
    records.truncate(count);
    records.sort_unstable_by_key(|record| Reverse(*record));
    records.concat()
}

/// Returns how many records of `shards` shards are likely to suffice for the `count` greatest
/// records of `all` shards: the expected number plus several standard deviations.
pub fn sufficient_records(count: usize, shards: usize, all: usize, policy: &Brief) -> usize {
    if !policy.on || shards >= all {
        return count;
    }
    let share = shards as f64 / all as f64;
    let expected = count as f64 * share;
    let deviation = (expected * (1.0 - share)).sqrt();
    ((expected + deviation * policy.deviations).ceil() as usize + 1).min(count)
}

/// Returns whether records that were left out of a part, none of them greater than its last one,
/// may be among the `count` greatest of a merge that includes the part.
pub fn may_be_incomplete(part: &[u8], merged: &[u8], count: usize) -> bool {
    let last = |records: &[u8]| records.chunks_exact(RECORD_LEN).next_back().map(<[u8]>::to_vec);
    merged.len() < count * RECORD_LEN || last(part) > last(merged)
}
