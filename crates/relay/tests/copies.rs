//! The copies of a body that queries between members make count in the memory of all requests.

mod support;

use std::net::Ipv4Addr;
use std::sync::{Arc, Mutex, OnceLock};

use bergamot_declaration::{Idempotency, Residency};
use bergamot_relay::{CallError, Helping, Relay, Request, Settings};
use bergamot_standin::ScriptedServer;
use bergamot_wire::{ShardOutcome, ShardQuery};
use bytes::Bytes;
use support::{
    at, delegate, gather, here, merged, no_members, part, relay_with, request, route, shard_query,
    upstream,
};

const MEMBER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 9);

const BODY_BYTES: usize = 30_000;

/// A relay whose shards have a searcher in the west, and the memory that requests held when a member was
/// asked for it.
async fn relay(memory_bytes: usize) -> (Arc<Relay>, Arc<Mutex<Vec<usize>>>, ScriptedServer) {
    let (known, held) =
        (Arc::<OnceLock<Arc<Relay>>>::default(), Arc::<Mutex<Vec<usize>>>::default());
    let (for_call, for_held) = (Arc::clone(&known), Arc::clone(&held));
    let helping = Helping {
        gather: Box::new(move |_, _, _, _| {
            let relay = for_call.get().expect("it was created");
            let usage = relay.request_memory().usage();
            for_held.lock().expect("no panic").push(usage.held);
            let cause = "no member".to_owned();
            Box::pin(async move { Err(CallError::NotSent { cause }) })
        }),
        ..no_members()
    };
    let searcher = part(1).await;
    let upstreams = ["a", "b"].map(|shard| at("west", upstream(shard, shard, &searcher))).to_vec();
    let routes = vec![route("/q/", Idempotency::Idempotent, gather(&["a", "b"], 1.0))];
    let settings = Settings { request_memory_bytes: memory_bytes, ..here() };
    let relay = relay_with(&settings, helping, routes, upstreams);
    relay.set_delegate_members(vec![delegate(MEMBER, "west"), delegate(MEMBER, "east")]);
    known.set(Arc::clone(&relay)).expect("it is set once");
    (relay, held, searcher)
}

fn with_body() -> Request {
    Request { body: Bytes::from(vec![b'b'; BODY_BYTES]), ..request("/q/") }
}

/// Guards against bodies that pass through a member and have no bound together at their sender.
#[tokio::test]
async fn the_copies_in_a_query_to_a_member_count_until_its_reply() {
    let (relay, held, _searcher) = relay(1 << 20).await;
    let answer = merged(relay.handle(with_body()).await);
    assert_eq!(answer.missing, 0);
    let held = held.lock().expect("no panic").clone();
    assert!(held.iter().all(|held| *held >= 2 * BODY_BYTES) && !held.is_empty(), "{held:?}");
    assert_eq!(relay.request_memory().usage().held, 0);
}

/// Guards against a request that fails because no memory is left for the copies of its body.
#[tokio::test]
async fn a_shard_is_asked_directly_if_a_query_finds_no_memory() {
    let (relay, held, _searcher) = relay(BODY_BYTES).await;
    let answer = merged(relay.handle(with_body()).await);
    assert_eq!((answer.missing, held.lock().expect("no panic").len()), (0, 0));
}

/// Guards against bodies in queries of members that have no bound together at their receiver.
#[tokio::test]
async fn a_query_whose_body_finds_no_memory_asks_nobody() {
    let (relay, _, _searcher) = relay(BODY_BYTES).await;
    let query = |bytes| ShardQuery { body: vec![b'b'; bytes], ..shard_query(&["a"]) };
    let small = relay.answer_shard_query(query(100), Residency::default()).await;
    assert!(matches!(small.shards[..], [ShardOutcome::In(_)]), "{small:?}");
    let large = relay.answer_shard_query(query(BODY_BYTES), Residency::default()).await;
    assert_eq!(large.shards, [ShardOutcome::NotAsked]);
}
