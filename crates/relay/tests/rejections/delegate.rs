//! A zone whose searchers all fail at once, asked through a member.
//!
//! Guards against a sender that never learns of these failures, since they are all that it has of the
//! request, and sends each request there first.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::support::{
    at, delegate, gather, incarnation, no_members, ok, part, record, relay, relay_with_members,
    reply, request, route, script, shard_query, upstream,
};
use bergamot_declaration::{Idempotency, Residency};
use bergamot_relay::{Helping, Reply};
use bergamot_standin::Step;
use bergamot_wire::{ShardOutcome, ShardQuery, ShardReply};

const SHARDS: [&str; 3] = ["a", "b", "c"];

#[tokio::test]
async fn a_member_whose_searchers_all_fail_is_not_asked_for_each_request() {
    let calls = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&calls);
    let helping = Helping {
        gather: Box::new(move |_, _, _, _| {
            counted.fetch_add(1, Ordering::SeqCst);
            let failed = |shard: &str| ShardOutcome::Failed(incarnation(&format!("{shard}-west")));
            let shards = SHARDS.map(failed).to_vec();
            let reply =
                ShardReply { shards, records: Vec::new(), left_out: 0, rest: 0, quiet: Vec::new() };
            Box::pin(async move { Ok(reply.into()) })
        }),
        grant: Box::new(|_, _, _| Box::pin(async { Ok(true) })),
        ..no_members()
    };
    // Slower than a searcher near the member is assumed to be, but in time.
    let work = Duration::from_millis(60);
    let play = move |seen: &_| [vec![Step::Wait(work)], ok(seen, "s", &record(1))].concat();
    let searcher = script(play).await;
    let mut upstreams = Vec::new();
    for shard in SHARDS {
        for zone in ["west", "east"] {
            upstreams.push(at(zone, upstream(&format!("{shard}-{zone}"), shard, &searcher)));
        }
    }
    let routes = vec![route("/q/", Idempotency::Idempotent, gather(&SHARDS, 0.5))];
    let relay = relay_with_members(helping, routes, upstreams);
    relay.set_delegate_members(vec![delegate(Ipv4Addr::new(10, 0, 0, 9), "west")]);
    let (mut whole, mut partial) = (0, 0);
    for _ in 0..20 {
        // Otherwise the relay takes itself for a process that was paused, and requests wait.
        relay.tick(1, true);
        match relay.handle(request("/q/")).await {
            Reply::Merged(merged) if merged.missing == 0 => whole += 1,
            Reply::Merged(_) => partial += 1,
            _ => {}
        }
    }
    let calls = calls.load(Ordering::SeqCst);
    println!("20 requests: {calls} queries to the member, {whole} whole, {partial} partial");
    assert!(calls < 10 && whole == 20, "{calls} queries, {whole} whole, {partial} partial");
}

/// Guards against a member that draws the queries of its location since its replies, all of them
/// failures, are fast.
#[tokio::test]
async fn a_reply_of_failures_is_no_fast_answer_of_a_member() {
    let members = [Ipv4Addr::new(10, 0, 0, 8), Ipv4Addr::new(10, 0, 0, 9)];
    let calls = Arc::new([AtomicUsize::new(0), AtomicUsize::new(0)]);
    let counted = Arc::clone(&calls);
    let helping = Helping {
        gather: Box::new(move |ip, _, _, _| {
            let fails = ip == members[0];
            counted[usize::from(!fails)].fetch_add(1, Ordering::SeqCst);
            let outcome = |shard: &str| {
                if fails {
                    ShardOutcome::Failed(incarnation(&format!("{shard}-unknown")))
                } else {
                    ShardOutcome::In(shard.as_bytes().to_vec())
                }
            };
            let shards = SHARDS.map(outcome).to_vec();
            Box::pin(async move {
                tokio::time::sleep(Duration::from_millis(if fails { 0 } else { 5 })).await;
                let (records, quiet) = (record(1), Vec::new());
                Ok(ShardReply { shards, records, left_out: 0, rest: 0, quiet }.into())
            })
        }),
        ..no_members()
    };
    let searcher = part(1).await;
    let upstreams = SHARDS.map(|shard| at("west", upstream(shard, shard, &searcher))).to_vec();
    let routes = vec![route("/q/", Idempotency::Idempotent, gather(&SHARDS, 0.5))];
    let relay = relay_with_members(helping, routes, upstreams);
    relay.set_delegate_members(members.map(|ip| delegate(ip, "west")).to_vec());
    for _ in 0..40 {
        relay.tick(3, true);
        relay.handle(request("/q/")).await;
    }
    let [failing, sound] = [0, 1].map(|at| calls[at].load(Ordering::SeqCst));
    assert!(failing < sound, "{failing} queries to the failing member, {sound} to the other");
}

/// Guards against a searcher that draws the queries of members since its rejections come after the
/// replies, and aren't held against it.
#[tokio::test]
async fn a_rejection_after_the_reply_counts_beside_shards_that_have_arrived() {
    let late = Duration::from_millis(30);
    let answer = move |status: &'static str| {
        script(move |seen| vec![Step::Wait(late), Step::Send(reply(seen, status, "s", &record(1)))])
    };
    let (prompt, rejecting, sound) =
        (part(1).await, answer("404 No").await, answer("200 OK").await);
    let upstreams = vec![
        upstream("p1", "p", &prompt),
        upstream("q1", "q", &rejecting),
        upstream("q2", "q", &sound),
    ];
    let routes = vec![route("/q/", Idempotency::Idempotent, gather(&["p", "q"], 0.5))];
    let relay = relay(routes, upstreams);
    for _ in 0..12 {
        let answer_within = Duration::from_millis(10);
        let query = ShardQuery { answer_within, ..shard_query(&["p", "q"]) };
        let reply = relay.answer_shard_query(query, Residency::default()).await;
        while !relay.next_late_shards(reply.rest).await.is_empty() {}
    }
    let [rejected, served] = [&rejecting, &sound].map(|searcher| searcher.requests().len());
    assert!(rejected < served, "{rejected} rejected, {served} served");
}

/// Guards against a part without a signature, or with several, in the reply of a member that doesn't
/// keep what its version guarantees. One such part makes the whole answer wrong.
#[tokio::test]
async fn a_part_of_a_member_that_has_not_one_signature_is_no_part() {
    for signature in [&b""[..], b"one, two"] {
        let helping = Helping {
            gather: Box::new(move |_, _, _, _| {
                let shards = SHARDS.map(|_| ShardOutcome::In(signature.to_vec())).to_vec();
                let (records, quiet) = (record(9), Vec::new());
                let reply = ShardReply { shards, records, left_out: 0, rest: 0, quiet };
                Box::pin(async move { Ok(reply.into()) })
            }),
            ..no_members()
        };
        let searcher = part(1).await;
        let upstreams = SHARDS.map(|shard| at("west", upstream(shard, shard, &searcher)));
        let others = SHARDS.map(|shard| upstream(&format!("{shard}-2"), shard, &searcher));
        let upstreams = upstreams.into_iter().chain(others.map(|other| at("east", other)));
        let routes = vec![route("/q/", Idempotency::Idempotent, gather(&SHARDS, 0.5))];
        let relay = relay_with_members(helping, routes, upstreams.collect());
        relay.set_delegate_members(vec![delegate(Ipv4Addr::new(10, 0, 0, 9), "west")]);
        let reply = relay.handle(request("/q/")).await;
        let Reply::Merged(merged) = reply else { panic!("expected a merged response: {reply:?}") };
        assert_eq!(merged.signatures, ["sig1"; 3], "{signature:?}");
    }
}
