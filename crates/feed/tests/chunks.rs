//! Chunked transfer of large values, and the tree of members along which chunks are distributed.

use std::collections::HashMap;

use bergamot_base::{Name, Position, hash_bytes};
use bergamot_feed::{Chunks, FANOUT, ancestors};
use bergamot_wire::{Manifest, Rank, Value};
use proptest::prelude::*;

fn rank(revision: u64) -> Rank {
    Position::from(revision).into()
}

fn split(chunks: &mut Chunks, revision: u64, value: &[u8]) -> Manifest {
    match chunks.split(&Name::from("key"), rank(revision), value.to_vec()) {
        Value::Chunked(manifest) => manifest,
        other => panic!("expected a chunked value, got {other:?}"),
    }
}

/// Returns a declaration with the given number of routes, one of which may be changed.
fn declaration(routes: usize, changed: Option<usize>) -> Vec<u8> {
    let route = |number: usize| {
        let name = hash_bytes(&number.to_le_bytes());
        let service = if changed == Some(number) { "another" } else { "a service" };
        format!(r#"{{"name":"r{name:x}","prefix":"/{name:x}/","service":"{service}"}},"#)
    };
    (0..routes).flat_map(|number| route(number).into_bytes()).collect()
}

#[test]
fn small_values_are_sent_inline() {
    let value = Chunks::default().split(&Name::from("key"), rank(1), vec![1; 200]);
    assert_eq!(value, Value::Inline(vec![1; 200]));
}

/// The next version of a declaration changes a route, or inserts one in the middle. A member with
/// the previous version fetches some kilobytes instead of half a megabyte.
#[test]
fn a_changed_route_transfers_only_a_few_chunks() {
    let (mut reader, mut follower) = (Chunks::default(), Chunks::default());
    let before = declaration(2850, None);
    split(&mut follower, 1, &before);
    let inserted =
        [&before[..before.len() / 2], &declaration(1, None), &before[before.len() / 2..]];
    for (revision, after) in [(2, declaration(2850, Some(1200))), (3, inserted.concat())] {
        let manifest = split(&mut reader, revision, &after);
        let missing = follower.missing(&manifest);
        let bytes: usize = reader.select(&missing, usize::MAX).iter().map(Vec::len).sum();
        assert!(bytes < 40 << 10, "fetched {bytes} of {} bytes", after.len());
    }
}

/// Only the chunks of the latest two versions are kept.
#[test]
fn chunks_of_old_versions_are_dropped() {
    let mut chunks = Chunks::default();
    let versions: Vec<Manifest> =
        (1..4).map(|byte| split(&mut chunks, byte.into(), &vec![byte; 100 << 10])).collect();
    let stored: Vec<bool> =
        versions.iter().map(|manifest| chunks.assemble(manifest).is_some()).collect();
    assert_eq!(stored, [false, true, true]);
}

/// Guards against dropping the chunks of a newer version in favour of an older one that arrives
/// later.
#[test]
fn an_older_version_does_not_evict_chunks_of_a_newer_one() {
    let (mut chunks, key) = (Chunks::default(), Name::from("key"));
    let versions: Vec<Manifest> =
        (1..6).map(|byte| split(&mut chunks, byte.into(), &vec![byte; 100 << 10])).collect();
    for (revision, manifest) in (1_u64..).zip(&versions) {
        chunks.register(&key, rank(revision), manifest);
    }
    assert!(chunks.assemble(&versions[4]).is_some());
    split(&mut chunks, 3, &vec![3; 100 << 10]);
    assert!(chunks.assemble(&versions[4]).is_some());
    assert!(chunks.size() <= 200 << 10, "{} bytes are stored", chunks.size());
}

/// Guards against dropping the only version that is complete here for newer ones that are merely known:
/// others may be told that it is in force here.
#[test]
fn a_complete_version_is_kept_while_newer_ones_are_incomplete() {
    let (mut reader, mut chunks, key) = (Chunks::default(), Chunks::default(), Name::from("key"));
    let complete = split(&mut chunks, 1, &vec![1; 100 << 10]);
    for revision in 2..6 {
        let newer = split(&mut reader, revision, &vec![revision as u8; 100 << 10]);
        chunks.register(&key, rank(revision), &newer);
        assert!(chunks.assemble(&complete).is_some(), "after revision {revision}");
    }
    let next = split(&mut chunks, 6, &vec![6; 100 << 10]);
    let after = split(&mut chunks, 7, &vec![7; 100 << 10]);
    assert!(chunks.assemble(&next).is_some() && chunks.assemble(&after).is_some());
    assert!(chunks.assemble(&complete).is_none(), "only the previous complete one is kept");
}

#[test]
fn chunks_without_a_manifest_are_not_stored() {
    let mut chunks = Chunks::default();
    assert!(!chunks.insert(&[7; 100]));
    assert!(chunks.select(&[hash_bytes(&[7; 100])], usize::MAX).is_empty());
}

/// A manifest whose chunks are all present but whose hash does not match is rejected.
#[test]
fn a_value_with_a_hash_mismatch_is_rejected() {
    let mut chunks = Chunks::default();
    let manifest = split(&mut chunks, 1, &declaration(900, None));
    assert!(chunks.assemble(&manifest).is_some());
    let other = Manifest { hash: manifest.hash ^ 1, ..manifest };
    assert!(chunks.assemble(&other).is_none());
}

/// In a region of any size, each member queries one that is closer to the reader, no member has
/// more than two children, and the path to the reader is short.
#[test]
fn fanout_and_depth_of_the_fetch_tree_are_bounded() {
    for members in [1, 2, 25, 450_usize] {
        let mut children_of = HashMap::<usize, usize>::new();
        for member in 0..members {
            let ancestors: Vec<usize> = ancestors(member).collect();
            assert!(ancestors.iter().all(|ancestor| *ancestor < member), "{ancestors:?}");
            assert_eq!(ancestors.last().copied(), (member > 0).then_some(0));
            assert!(ancestors.len() <= 8, "{ancestors:?}");
            if let Some(parent) = ancestors.first() {
                *children_of.entry(*parent).or_default() += 1;
            }
        }
        assert!(children_of.values().all(|children| *children <= FANOUT));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// A member that fetches its missing chunks a few at a time ends up with the value.
    #[test]
    fn a_value_is_assembled_completely(
        bytes in prop::collection::vec(any::<u8>(), 9_000..60_000),
        at in any::<prop::sample::Index>(),
    ) {
        let (mut reader, mut follower) = (Chunks::default(), Chunks::default());
        let mut changed = bytes.clone();
        changed.insert(at.index(bytes.len()), 0);
        for (revision, value) in [(1_u64, bytes), (2, changed)] {
            let manifest = split(&mut reader, revision, &value);
            follower.register(&Name::from("key"), rank(revision), &manifest);
            while follower.assemble(&manifest).is_none() {
                let bodies = reader.select(&follower.missing(&manifest), 1);
                prop_assert!(!bodies.is_empty());
                for body in bodies {
                    prop_assert!(follower.insert(&body));
                }
            }
            prop_assert_eq!(follower.assemble(&manifest), Some(value));
        }
    }
}
