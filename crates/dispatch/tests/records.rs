//! How many records a member sends initially, for different distributions over the shards.

use bergamot_base::Seed;
use bergamot_dispatch::{RECORD_LEN, may_be_incomplete, merge_top_k, sufficient_records};
use bergamot_policy::Brief;
use bytes::Bytes;
use proptest::prelude::*;

const SHARDS: usize = 20;
const AT_MEMBER: usize = 7;
const TOP: usize = 50;
const REQUESTS: usize = 2000;

/// Generates the parts of a request to all shards: 62 records each, as 1,000 bytes hold. `lift`
/// sets the high bits of the records of the first shard, so that they are the greatest.
fn parts(rng: &mut impl RngExt, lift: u8) -> Vec<Bytes> {
    let record = |shard: usize, rng: &mut dyn FnMut() -> u8| {
        let mut record: Vec<u8> = (0..RECORD_LEN).map(|_| rng()).collect();
        if shard == 0 {
            record[0] |= lift;
        }
        record
    };
    let mut draw = || rng.random::<u8>();
    let part = |shard| (0..62).flat_map(|_| record(shard, &mut draw)).collect::<Vec<u8>>();
    (0..SHARDS).map(part).map(Bytes::from).collect()
}

/// Simulates requests for which a member serves seven of twenty shards; returns the bytes of
/// records that it sent initially and how many requests needed more.
fn simulate(lift: u8) -> (usize, usize) {
    let mut rng = Seed(1).generator("records");
    let enough = sufficient_records(TOP, AT_MEMBER, SHARDS, &Brief::default()) * RECORD_LEN;
    let (mut bytes, mut lacking) = (0, 0);
    for _ in 0..REQUESTS {
        let parts = parts(&mut rng, lift);
        let mut sent = merge_top_k(&parts[..AT_MEMBER], TOP);
        sent.truncate(enough);
        bytes += sent.len();
        let mut all = parts[AT_MEMBER..].to_vec();
        all.push(Bytes::from(sent.clone()));
        let merged = merge_top_k(&all, TOP);
        if may_be_incomplete(&sent, &merged, TOP) {
            lacking += 1;
        } else {
            assert_eq!(merged, merge_top_k(&parts, TOP));
        }
    }
    (bytes, lacking)
}

/// Requests for the top 50 records of twenty shards, seven of them in another region. All 50
/// records of the member are 800 bytes, of which only a third is in the merged top 50.
#[test]
fn a_member_sends_little_more_than_its_records_in_the_merged_top_k() {
    let (bytes, lacking) = simulate(0);
    assert!(bytes < REQUESTS * TOP * RECORD_LEN * 60 / 100, "{bytes} bytes");
    assert!(lacking * 200 < REQUESTS, "{lacking} of {REQUESTS} needed more");
}

/// If the greatest records are in one shard, the member that serves it has to send more, which is
/// always detected (`simulate` compares the merge with the complete one).
#[test]
fn missing_records_are_detected_if_one_shard_has_the_greatest() {
    let (_, lacking) = simulate(0xf0);
    assert!(lacking * 2 > REQUESTS, "{lacking} of {REQUESTS} needed more");
}

#[test]
fn a_member_that_serves_every_shard_sends_all_records() {
    let policy = Brief::default();
    assert_eq!(sufficient_records(TOP, SHARDS, SHARDS, &policy), TOP);
    assert_eq!(sufficient_records(1, 1, 225, &policy), 1);
    assert_eq!(sufficient_records(TOP, 7, SHARDS, &Brief { on: false, ..policy }), TOP);
}

proptest! {
    /// Whatever was left out of a part, a merge that is considered complete equals the full merge.
    #[test]
    fn a_merge_considered_complete_equals_the_full_merge(
        own in prop::collection::vec(0_u8..6, 0..12),
        theirs in prop::collection::vec(0_u8..6, 1..12),
        enough in 1_usize..12,
        top in 1_usize..12,
    ) {
        let records = |bytes: &[u8]| -> Vec<u8> {
            bytes.iter().flat_map(|byte| [*byte; RECORD_LEN]).collect()
        };
        let whole = [Bytes::from(records(&own)), Bytes::from(records(&theirs))];
        let mut sent = merge_top_k(&whole[1..], top);
        let all_sent = sent.len() <= enough * RECORD_LEN;
        sent.truncate(enough * RECORD_LEN);
        let merged = merge_top_k(&[whole[0].clone(), Bytes::from(sent.clone())], top);
        if all_sent || !may_be_incomplete(&sent, &merged, top) {
            prop_assert_eq!(merged, merge_top_k(&whole, top));
        }
    }
}
