//! Shards that are delegated to a member near their searchers.

mod support;

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_base::hash_bytes;
use bergamot_declaration::{Idempotency, Residency};
use bergamot_registry::Upstream;
use bergamot_relay::{DelegateMember, Helping, MergedResponse, Relay};
use bergamot_standin::{ScriptedServer, Step};
use bergamot_wire::{Late, QuietPeriod, ShardOutcome, ShardQuery, ShardReply};
use hyper::header::HeaderValue;
use support::{
    at, delegate, gather, incarnation, merged, no_members, ok, part, record, relay_with_members,
    request, route, script, shard_query, upstream,
};

const MEMBER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 9);

const HOUR: Duration = Duration::from_hours(1);

/// A relay whose shards `a` and `b` have searchers in the west, where a member returns `reply` and
/// then `late`. Shard `a` also has a searcher in the east.
fn relay(
    reply: ShardReply,
    late: Vec<Late>,
    west: &ScriptedServer,
    east: &ScriptedServer,
) -> Arc<Relay> {
    relay_after(Duration::ZERO, reply, late, west, east)
}

/// The same, where the member takes some time to reply.
fn relay_after(
    time: Duration,
    reply: ShardReply,
    late: Vec<Late>,
    west: &ScriptedServer,
    east: &ScriptedServer,
) -> Arc<Relay> {
    let helping = Helping {
        gather: Box::new(move |_, _, _, _| {
            let reply = reply.clone();
            Box::pin(async move {
                tokio::time::sleep(time).await;
                Ok(reply.into())
            })
        }),
        rest: Box::new(move |_, token, _| {
            let late = if token == 7 { late.clone() } else { Vec::new() };
            Box::pin(async move {
                tokio::time::sleep(Duration::from_millis(5)).await;
                Ok(late)
            })
        }),
        records: Box::new(move |_, token, _| {
            let others = (token == 8).then(|| [record(7), record(6)].concat());
            Box::pin(async move { Ok(others) })
        }),
        grant: Box::new(|_, _, _| Box::pin(async { Ok(true) })),
        ..no_members()
    };
    let upstreams = vec![
        at("west", upstream("a-west", "a", west)),
        at("west", upstream("b-west", "b", west)),
        // It is still warming up and assumed to be slow, so the one in the west is preferred.
        Upstream { warm_at: Instant::now() + HOUR, ..at("east", upstream("a-east", "a", east)) },
    ];
    let routes = vec![route("/q/", Idempotency::Idempotent, gather(&["a", "b"], 0.5))];
    let relay = relay_with_members(helping, routes, upstreams);
    relay.set_delegate_members(vec![delegate(MEMBER, "west"), delegate(MEMBER, "east")]);
    relay
}

#[tokio::test]
async fn a_merged_reply_of_a_member_counts_each_of_its_shards() {
    let (west, east) = (part(1).await, part(2).await);
    let shards = vec![ShardOutcome::In(b"s1".to_vec()), ShardOutcome::In(b"s2".to_vec())];
    let reply = ShardReply {
        shards,
        records: [record(9), record(3)].concat(),
        left_out: 0,
        rest: 0,
        quiet: Vec::new(),
    };
    let relay = relay(reply, Vec::new(), &west, &east);
    for _ in 0..5 {
        let answer = merged(relay.handle(request("/q/")).await);
        assert_eq!((answer.signatures.len(), answer.missing), (2, 0));
    }
}

#[tokio::test]
async fn a_shard_missing_from_a_members_reply_is_requested_from_another_searcher() {
    let (west, east) = (part(1).await, part(2).await);
    let silent = ShardOutcome::Silent(incarnation("a-west"));
    let shards = vec![silent, ShardOutcome::In(b"s2".to_vec())];
    let reply = ShardReply { shards, records: record(3), left_out: 0, rest: 0, quiet: Vec::new() };
    let relay = relay(reply, Vec::new(), &west, &east);
    let answer = merged(relay.handle(request("/q/")).await);
    assert_eq!((answer.signatures.len(), answer.missing), (2, 0));
    assert!(west.requests().iter().all(|seen| seen.header("x-meant") != Some("a-west")));
}

#[tokio::test]
async fn a_shard_that_arrives_late_at_the_member_is_included_once() {
    let (west, east) = (part(1).await, part(2).await);
    let shards =
        vec![ShardOutcome::In(b"s1".to_vec()), ShardOutcome::Silent(incarnation("b-west"))];
    let reply = ShardReply { shards, records: record(9), left_out: 0, rest: 7, quiet: Vec::new() };
    // Shard `b` has no other searcher, so only the member can deliver it.
    let late = vec![Late {
        index: 1,
        signature: Some(b"late".to_vec()),
        records: record(5),
        ended: false,
    }];
    let relay = relay(reply, late, &west, &east);
    let answer = merged(relay.handle(request("/q/")).await);
    assert_eq!((answer.signatures.len(), answer.missing), (2, 0));
    assert_eq!(&*answer.records, [record(9), record(5)].concat());
}

/// Guards against failures among the parts that a member of an earlier version replies with: it took
/// every signed answer under 500 for a part. Its shards are asked for directly.
#[tokio::test]
async fn a_member_that_does_not_guarantee_its_parts_is_not_asked_for_shards() {
    let (west, east) = (part(1).await, part(2).await);
    let shards = vec![ShardOutcome::In(b"failure".to_vec()), ShardOutcome::In(b"s2".to_vec())];
    let reply = ShardReply { shards, records: record(9), left_out: 0, rest: 0, quiet: Vec::new() };
    for (protocol, is_asked) in [(0, false), (1, false), (2, false), (3, true), (u32::MAX, true)] {
        let relay = relay(reply.clone(), Vec::new(), &west, &east);
        let members = ["west", "east"].map(|zone| delegate(MEMBER, zone));
        let members = members.map(|member| DelegateMember { protocol, ..member });
        relay.set_delegate_members(members.to_vec());
        let answer = merged(relay.handle(request("/q/")).await);
        let names_failure = answer.signatures.iter().any(|signature| signature == "failure");
        assert_eq!((names_failure, answer.missing), (is_asked, 0), "protocol {protocol}");
    }
}

/// The end of a member's late shards must not count for shards that it had already reported as
/// failed: the attempt that followed is still running.
#[tokio::test]
async fn a_retry_of_a_failed_shard_outlives_the_members_late_shards() {
    let west = part(1).await;
    let east = script(|seen| {
        let answer = ok(seen, "sig2", &record(2)).remove(0);
        vec![Step::Wait(Duration::from_millis(60)), answer]
    })
    .await;
    let shards = vec![
        ShardOutcome::Failed(incarnation("a-west")),
        ShardOutcome::Silent(incarnation("b-west")),
    ];
    let reply = ShardReply { shards, records: Vec::new(), left_out: 0, rest: 7, quiet: Vec::new() };
    // The member delivers nothing more, long before the searcher in the east answers.
    let relay = relay(reply, Vec::new(), &west, &east);
    let answer = merged(relay.handle(request("/q/")).await);
    assert_eq!((answer.signatures.len(), answer.missing), (1, 1));
    assert_eq!(&*answer.records, record(2));
}

/// A member that replies some milliseconds later than expected still delivers all its shards, and
/// those that others have delivered in the meantime are counted once.
#[tokio::test]
async fn a_reply_after_the_expected_time_still_delivers_its_shards() {
    let east = part(2).await;
    let silent = script(|_| vec![Step::Hang]).await;
    let shards = vec![ShardOutcome::In(b"s1".to_vec()), ShardOutcome::In(b"s2".to_vec())];
    let records = [record(9), record(3)].concat();
    let reply = ShardReply { shards, records, left_out: 0, rest: 0, quiet: Vec::new() };
    // The reply is expected within 150 ms; the target latency is 400 ms.
    let late = Duration::from_millis(250);
    let relay = relay_after(late, reply, Vec::new(), &silent, &east);
    let answer = merged(relay.handle(request("/q/")).await);
    let mut signatures: Vec<_> = answer.signatures.iter().map(HeaderValue::as_bytes).collect();
    signatures.sort_unstable();
    assert_eq!((signatures, answer.missing), (vec![&b"s1"[..], b"s2"], 0));
    assert_eq!(&*answer.records, [record(9), record(3)].concat());
}

/// A member that could not be reached has asked nobody, so its shards still have all attempts.
#[tokio::test]
async fn the_shards_of_an_unreachable_member_are_requested_at_once() {
    let (west, east) = (part(1).await, part(2).await);
    let helping = no_members();
    let upstreams = vec![
        at("west", upstream("a-west", "a", &west)),
        at("west", upstream("b-west", "b", &west)),
        Upstream { warm_at: Instant::now() + HOUR, ..at("east", upstream("a-east", "a", &east)) },
    ];
    let routes = vec![route("/q/", Idempotency::Idempotent, gather(&["a", "b"], 1.0))];
    let relay = relay_with_members(helping, routes, upstreams);
    relay.set_delegate_members(vec![delegate(MEMBER, "west")]);
    let started = Instant::now();
    let answer = merged(relay.handle(request("/q/")).await);
    assert_eq!((answer.signatures.len(), answer.missing), (2, 0));
    // A hedge would begin after 132 ms.
    assert!(started.elapsed() < Duration::from_millis(100), "{:?}", started.elapsed());
}

/// The member's reply holds only its greatest record. Whether more are needed depends on the other
/// shard, for which the searcher in the east returns the record 2.
async fn merge_with_left_out(first: u8, left_out: u64) -> MergedResponse {
    let (west, east) = (part(1).await, part(2).await);
    // Shard `a` has a silent searcher in the west and another one in the east.
    let shards =
        vec![ShardOutcome::Silent(incarnation("a-west")), ShardOutcome::In(b"s2".to_vec())];
    let reply = ShardReply { shards, records: record(first), left_out, rest: 0, quiet: Vec::new() };
    let relay = relay(reply, Vec::new(), &west, &east);
    merged(relay.handle(request("/q/")).await)
}

#[tokio::test]
async fn omitted_records_are_fetched_if_they_may_be_among_the_greatest() {
    let answer = merge_with_left_out(9, 8).await;
    assert_eq!(&*answer.records, [record(9), record(7)].concat());
    assert_eq!((answer.signatures.len(), answer.missing), (2, 0));
}

#[tokio::test]
async fn omitted_records_are_not_fetched_if_they_cannot_be_among_the_greatest() {
    // All records left out are at most 1, and the response holds two records.
    let answer = merge_with_left_out(1, 8).await;
    assert_eq!(&*answer.records, [record(2), record(1)].concat());
}

#[tokio::test]
async fn a_shard_is_dropped_if_its_omitted_records_cannot_be_fetched() {
    let answer = merge_with_left_out(9, 9).await;
    assert_eq!(&*answer.records, record(2));
    assert_eq!((answer.signatures.len(), answer.missing), (1, 1));
}

#[tokio::test]
async fn a_searcher_with_a_stall_reported_by_a_member_is_avoided() {
    let (west, east) = (part(1).await, part(2).await);
    let shards = vec![ShardOutcome::In(b"s1".to_vec()), ShardOutcome::In(b"s2".to_vec())];
    let searcher = hash_bytes(b"a-west") as u32;
    let quiet = vec![QuietPeriod { index: 0, searcher, begins_ms: 0, ends_ms: 60_000 }];
    let reply = ShardReply { shards, records: record(9), left_out: 0, rest: 0, quiet };
    let relay = relay(reply, Vec::new(), &west, &east);
    merged(relay.handle(request("/q/")).await);
    assert!(east.requests().is_empty());
    merged(relay.handle(request("/q/")).await);
    assert!(east.requests().iter().any(|seen| seen.header("x-meant") == Some("a-east")));
}

/// A member that was asked for the shards `a` and `b`, whose searchers answer after some time or not at
/// all, and the token of the late ones.
async fn member_with_late_shards(
    a: Option<Duration>,
    b: Option<Duration>,
) -> (Arc<Relay>, [ScriptedServer; 2], u64) {
    let after = |time: Option<Duration>| {
        script(move |seen| {
            let wait = time.map_or(Step::Hang, Step::Wait);
            [vec![wait], ok(seen, "s", &record(1))].concat()
        })
    };
    let searchers = [after(a).await, after(b).await];
    let routes = vec![route("/q/", Idempotency::Idempotent, gather(&["a", "b"], 0.5))];
    let upstreams = vec![upstream("a1", "a", &searchers[0]), upstream("b1", "b", &searchers[1])];
    let relay = support::relay(routes, upstreams);
    let (answer_within, deadline) = (Duration::from_millis(20), HOUR);
    let query = ShardQuery { answer_within, deadline, ..shard_query(&["a", "b"]) };
    let rest = relay.answer_shard_query(query, Residency::default()).await.rest;
    (relay, searchers, rest)
}

/// Guards against attempts and their state that a member keeps after the sender has responded, which
/// needs no more once some late shards have arrived.
#[tokio::test]
async fn late_attempts_end_if_their_sender_does_not_claim_the_next_ones() {
    let (relay, [_a, b], rest) =
        member_with_late_shards(Some(Duration::from_millis(250)), None).await;
    assert_eq!(relay.next_late_shards(rest).await.len(), 1);
    let started = Instant::now();
    while b.closed_connections() == 0 {
        assert!(started.elapsed() < Duration::from_secs(2), "the searcher is still at work");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(relay.next_late_shards(rest).await, Vec::new());
}

/// Guards against a late shard that is lost since its sender claimed it a moment after another one.
#[tokio::test]
async fn late_attempts_go_on_while_their_sender_claims_one_after_the_other() {
    let [a, b] = [120, 300].map(Duration::from_millis).map(Some);
    let (relay, _searchers, rest) = member_with_late_shards(a, b).await;
    assert_eq!(relay.next_late_shards(rest).await.len(), 1);
    tokio::time::sleep(Duration::from_millis(60)).await;
    assert_eq!(relay.next_late_shards(rest).await.len(), 1);
}
