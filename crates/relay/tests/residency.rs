//! Requests that may be processed only in some regions.

mod support;

use std::net::Ipv4Addr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bergamot_declaration::{Idempotency, Residency, Route, Target};
use bergamot_relay::{Cause, DelegateMember, Helping, Relay, Reply};
use bergamot_standin::ScriptedServer;
use bergamot_wire::{MEMBER_PROTOCOL, ShardOutcome, ShardQuery, ShardReply};
use support::{
    at, delegate, gather, merged, no_members, not_run, ok, part, record, refused, relay,
    relay_with_members, request, route, script, shard_query, upstream,
};

const MEMBER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 9);

fn within(region: &str, route: Route) -> Route {
    Route { residency: Residency::within([region.into()]), ..route }
}

/// A relay for `kind` requests that may be processed only in the west, with a searcher here and
/// one in the west.
fn bounded_relay(kind: Idempotency, here: &ScriptedServer, west: &ScriptedServer) -> Arc<Relay> {
    let route = within("west", route("/s/", kind, Target::Service("s".into())));
    let upstreams = vec![upstream("s-here", "s", here), at("west", upstream("s-west", "s", west))];
    relay(vec![route], upstreams)
}

#[tokio::test]
async fn a_request_goes_only_to_searchers_in_its_regions() {
    let (here, west) = (part(1).await, part(2).await);
    let relay = bounded_relay(Idempotency::Idempotent, &here, &west);
    for _ in 0..20 {
        let reply = relay.handle(request("/s/")).await;
        assert!(matches!(reply, Reply::Forwarded(_)), "{reply:?}");
    }
    assert_eq!((here.requests().len(), west.requests().len()), (0, 20));
}

/// The hedge of a slow attempt and the retry of a refused one leave the regions of a request as
/// little as the first attempt does.
#[tokio::test]
async fn hedges_and_retries_stay_in_the_regions_of_a_request() {
    let here = part(1).await;
    let slow = script(|seen| {
        let mut steps = vec![bergamot_standin::Step::Wait(Duration::from_millis(600))];
        steps.extend(ok(seen, "sig", &record(2)));
        steps
    })
    .await;
    let relay = bounded_relay(Idempotency::Idempotent, &here, &slow);
    assert!(matches!(relay.handle(request("/s/")).await, Reply::Forwarded(_)));
    let busy = script(|seen| not_run(seen, "503 Service Unavailable")).await;
    let relay = bounded_relay(Idempotency::NonIdempotent, &here, &busy);
    assert_eq!(refused(relay.handle(request("/s/")).await), (Cause::NotRun, true));
    assert_eq!(here.requests().len(), 0);
}

#[tokio::test]
async fn a_request_without_a_searcher_in_its_regions_is_refused_as_not_run() {
    let (here, west) = (part(1).await, part(2).await);
    let upstreams = || vec![upstream("a", "a", &here), at("west", upstream("b", "b", &west))];
    let one = within("east", route("/s/", Idempotency::Idempotent, Target::Service("a".into())));
    let all = within("east", route("/q/", Idempotency::Idempotent, gather(&["a", "b"], 0.5)));
    let relay = relay(vec![one, all], upstreams());
    assert_eq!(refused(relay.handle(request("/s/")).await), (Cause::NotRun, true));
    assert_eq!(refused(relay.handle(request("/q/")).await), (Cause::NotRun, true));
    assert_eq!((here.requests().len(), west.requests().len()), (0, 0));
}

#[tokio::test]
async fn shards_without_a_searcher_in_the_regions_are_reported_missing() {
    let (here, west) = (part(1).await, part(2).await);
    let upstreams = vec![upstream("a", "a", &here), at("west", upstream("b", "b", &west))];
    let all = within("west", route("/q/", Idempotency::Idempotent, gather(&["a", "b"], 0.5)));
    let answer = merged(relay(vec![all], upstreams).handle(request("/q/")).await);
    assert_eq!((answer.signatures.len(), answer.missing), (1, 1));
    assert_eq!(here.requests().len(), 0);
}

/// A relay that asks a member in the west for the shards `a` and `b`, and the regions that it named
/// to that member.
fn delegating_relay(protocol: u32, west: &ScriptedServer) -> (Arc<Relay>, Arc<Mutex<Vec<String>>>) {
    let named = Arc::<Mutex<Vec<String>>>::default();
    let calls = Arc::clone(&named);
    let helping = Helping {
        gather: Box::new(move |_, query: ShardQuery, residency, _| {
            calls.lock().expect("no test panics").push(residency.to_string());
            let shards = query.shards.iter().map(|_| ShardOutcome::In(b"s".to_vec())).collect();
            let reply =
                ShardReply { shards, records: record(3), left_out: 0, rest: 0, quiet: Vec::new() };
            Box::pin(async move { Ok(reply.into()) })
        }),
        ..no_members()
    };
    let upstreams =
        vec![at("west", upstream("a-west", "a", west)), at("west", upstream("b-west", "b", west))];
    let all = within("west", route("/q/", Idempotency::Idempotent, gather(&["a", "b"], 1.0)));
    let relay = relay_with_members(helping, vec![all], upstreams);
    relay.set_delegate_members(vec![DelegateMember { protocol, ..delegate(MEMBER, "west") }]);
    (relay, named)
}

#[tokio::test]
async fn a_member_that_makes_attempts_for_a_request_learns_its_regions() {
    let west = part(1).await;
    let (relay, named) = delegating_relay(MEMBER_PROTOCOL, &west);
    assert_eq!(merged(relay.handle(request("/q/")).await).missing, 0);
    assert_eq!(*named.lock().expect("no test panics"), ["west"]);
    assert_eq!(west.requests().len(), 0);
}

/// A member of an earlier release does not know of regions, and would ask searchers elsewhere.
#[tokio::test]
async fn a_member_that_cannot_bound_its_attempts_is_not_asked() {
    let west = part(1).await;
    let (relay, named) = delegating_relay(0, &west);
    assert_eq!(merged(relay.handle(request("/q/")).await).missing, 0);
    assert!(named.lock().expect("no test panics").is_empty());
    assert_eq!(west.requests().len(), 2, "both shards were asked directly");
}

#[tokio::test]
async fn attempts_for_another_member_stay_in_the_regions() {
    let (here, west, east) = (part(1).await, part(2).await, part(3).await);
    let upstreams = vec![
        upstream("a-here", "a", &here),
        at("west", upstream("a-west", "a", &west)),
        at("east", upstream("b-east", "b", &east)),
    ];
    let relay =
        relay(vec![route("/q/", Idempotency::Idempotent, gather(&["a", "b"], 0.5))], upstreams);
    let bounded = Residency::within(["west".into()]);
    let reply = relay.answer_shard_query(shard_query(&["a", "b"]), bounded).await;
    assert!(matches!(&*reply.shards, [ShardOutcome::In(_), ShardOutcome::NotAsked]));
    let asked = [&here, &west, &east].map(|searcher| searcher.requests().len());
    assert_eq!(asked, [0, 1, 0]);
}
