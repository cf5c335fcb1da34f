//! The merge of shards' records: the greatest of all, compared as bytes.
//!
//! A part that comes from another member may hold only its greatest records: most of the
//! others are not among the greatest of all, and their bytes are paid for. Invariants: equal
//! records all count, and what is shorter than a record is none; a merge is taken for the
//! greatest of all only if no record that was left out can be among them.

use std::cmp::Reverse;

use bergamot_policy::Brief;
use bytes::Bytes;

/// The length of a record, in bytes.
pub const RECORD: usize = 16;

/// Returns the `count` greatest records of all parts, the greatest first.
pub fn greatest(parts: &[Bytes], count: usize) -> Vec<u8> {
    let mut records: Vec<&[u8]> = parts.iter().flat_map(|part| part.chunks_exact(RECORD)).collect();
    if count < records.len() && count > 0 {
        records.select_nth_unstable_by_key(count - 1, |record| Reverse(*record));
    }
    records.truncate(count);
    records.sort_unstable_by_key(|record| Reverse(*record));
    records.concat()
}

/// Returns how many records of some of the shards are likely to suffice for the `count` greatest
/// of `all` shards: the expected number and some standard deviations of it.
pub fn sufficient(count: usize, shards: usize, all: usize, policy: &Brief) -> usize {
    if !policy.on || shards >= all {
        return count;
    }
    let share = shards as f64 / all as f64;
    let expected = count as f64 * share;
    let deviation = (expected * (1.0 - share)).sqrt();
    ((expected + deviation * policy.deviations).ceil() as usize + 1).min(count)
}

/// Tells whether records that were left out of a part, none of them greater than its last one,
/// may be among the `count` greatest of a merge that holds the part.
pub fn may_lack(part: &[u8], merged: &[u8], count: usize) -> bool {
    let last = |records: &[u8]| records.chunks_exact(RECORD).next_back().map(<[u8]>::to_vec);
    merged.len() < count * RECORD || last(part) > last(merged)
}
