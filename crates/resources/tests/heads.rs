//! The memory of heads and of their copies.

use std::time::Duration;

use bergamot_resources::{HeadCopies, head_memory};
use tokio::time::timeout;

const SHORT: Duration = Duration::from_millis(20);

/// Guards against ordinary heads that cost a decision each.
#[test]
fn an_ordinary_head_counts_as_its_connection() {
    assert_eq!(head_memory(1_000, 20), 0);
    assert!(head_memory(16 << 10, 20) > 16 << 10, "a head by its bytes");
    assert!(head_memory(16 << 10, 4_000) > 4_000 * 100, "a head by its headers");
}

/// Guards against copies for many shards that have no bound together.
#[tokio::test]
async fn copies_wait_until_there_is_room() {
    let copies = HeadCopies::new(100 << 10);
    let first = copies.acquire(60 << 10).await;
    assert!(timeout(SHORT, copies.acquire(60 << 10)).await.is_err(), "there is no room");
    assert_eq!(copies.usage(), (60 << 10, 100 << 10));
    let small = timeout(SHORT, copies.acquire(0)).await.expect("a small head needs none");
    assert!(small.is_none());
    drop(first);
    let second = timeout(SHORT, copies.acquire(60 << 10)).await.expect("there is room again");
    assert!(second.is_some());
}

/// Guards against a request that is within the limits and never sent.
#[tokio::test]
async fn a_head_beyond_the_bound_is_copied_alone() {
    let copies = HeadCopies::new(10 << 10);
    let alone = timeout(SHORT, copies.acquire(60 << 10)).await.expect("there is no other copy");
    assert!(timeout(SHORT, copies.acquire(60 << 10)).await.is_err(), "there is one");
    drop(alone);
}
