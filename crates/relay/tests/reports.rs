//! Replies of members that report on slow searchers.

mod support;

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bergamot_base::hash_bytes;
use bergamot_declaration::{Idempotency, Residency, Route};
use bergamot_registry::Upstream;
use bergamot_relay::{Helping, Relay};
use bergamot_standin::{ScriptedServer, Step};
use bergamot_wire::{ReportedDelay, ReportingReply, ShardOutcome, ShardReply};
use support::{
    at, delegate, gather, merged, no_members, ok, part, record, relay_in, relay_with_members,
    request, route, script, shard_query, upstream,
};

const MEMBER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 9);

fn routes() -> Vec<Route> {
    vec![route("/q/", Idempotency::Idempotent, gather(&["a", "b"], 0.5))]
}

/// Searchers of the shards `a` and `b` in the west, and one of `a` in the east that is still warming
/// up, so that the one in the west is preferred.
fn upstreams(west: &ScriptedServer, east: &ScriptedServer) -> Vec<Upstream> {
    let warm_at = Instant::now() + Duration::from_hours(1);
    vec![
        at("west", upstream("a-west", "a", west)),
        at("west", upstream("b-west", "b", west)),
        Upstream { warm_at, ..at("east", upstream("a-east", "a", east)) },
    ]
}

/// A relay in another region than its searchers, with a member in the west.
fn sender(helping: Helping, upstreams: Vec<Upstream>) -> Arc<Relay> {
    let relay = relay_with_members(helping, routes(), upstreams);
    relay.set_delegate_members(vec![delegate(MEMBER, "west")]);
    relay
}

fn reply() -> ShardReply {
    let shards = vec![ShardOutcome::In(b"s".to_vec()); 2];
    ShardReply { shards, records: record(3), left_out: 0, rest: 0, quiet: Vec::new() }
}

/// Guards against a shard that waits for a slow searcher because only the member near it knows.
#[tokio::test]
async fn a_shard_is_sent_to_another_region_after_its_searcher_was_reported_as_slow() {
    let (asked, east) = (AtomicUsize::new(0), part(2).await);
    let west = script(move |seen| {
        let is_slow = seen.header("x-meant") == Some("a-west")
            && matches!(asked.fetch_add(1, Ordering::Relaxed), 1 | 2);
        let wait = Duration::from_millis(if is_slow { 300 } else { 1 });
        [vec![Step::Wait(wait)], ok(seen, "west", &record(1))].concat()
    })
    .await;
    let searchers = upstreams(&west, &east);
    let near = relay_in("west", routes(), searchers[..2].to_vec());
    let query = || near.answer_reporting_query(shard_query(&["a", "b"]), Residency::default());
    assert!(query().await.delays.is_empty(), "no searcher is slow yet");
    query().await;
    query().await;
    let (member, late) = (Arc::clone(&near), Arc::clone(&near));
    let helping = Helping {
        gather: Box::new(move |_, query, residency, _| {
            let member = Arc::clone(&member);
            Box::pin(async move { Ok(member.answer_reporting_query(query, residency).await) })
        }),
        rest: Box::new(move |_, token, _| {
            let late = Arc::clone(&late);
            Box::pin(async move { Ok(late.next_late_shards(token).await) })
        }),
        ..no_members()
    };
    let relay = sender(helping, searchers);
    assert_eq!(merged(relay.handle(request("/q/")).await).missing, 0);
    assert!(east.requests().is_empty());
    assert_eq!(merged(relay.handle(request("/q/")).await).missing, 0);
    assert_eq!(east.requests().len(), 1);
}

/// Guards against a report that affects other searchers than the one that it names.
#[tokio::test]
async fn a_false_report_affects_only_the_searcher_that_it_names() {
    let (west, east) = (part(1).await, part(2).await);
    let searcher = hash_bytes(b"a-west") as u32;
    let named = |index, searcher| ReportedDelay { index, searcher, delay_ms: u16::MAX };
    let delays = vec![named(0, searcher), named(1, searcher), named(9, searcher), named(0, 1)];
    let helping = Helping {
        gather: Box::new(move |_, _, _, _| {
            let delays = delays.clone();
            Box::pin(async move { Ok(ReportingReply { reply: reply(), delays, busy: 0 }) })
        }),
        ..no_members()
    };
    let relay = sender(helping, upstreams(&west, &east));
    merged(relay.handle(request("/q/")).await);
    let dump = relay.dump();
    let reported: Vec<&str> = dump.lines().filter(|line| line.contains("reported_ms")).collect();
    assert!(matches!(&*reported, [line] if line.starts_with("searcher a-west ")), "{reported:?}");
}
