//! A caller's mistake that all searchers reject, except one that is silent.
//!
//! Guards against a mistake that waits for the silent shard until its deadline, and is meanwhile tried at
//! the second searcher of every other shard.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::support::{
    at, delegate, gather, here, no_members, record, relay_with, reply, request, route, script,
    upstream,
};
use bergamot_declaration::Idempotency;
use bergamot_registry::Upstream;
use bergamot_relay::{Helping, Relay, Reply, Settings};
use bergamot_standin::{ScriptedServer, Step};

const SHARDS: [&str; 12] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];

/// Starts the searcher of each shard, which is two in the registry. That of the first is silent.
async fn searchers(zone: &str) -> (Vec<ScriptedServer>, Vec<Upstream>) {
    let (mut searchers, mut upstreams) = (Vec::new(), Vec::new());
    for shard in SHARDS {
        let searcher = script(move |seen| {
            if shard == SHARDS[0] {
                return vec![Step::Hang];
            }
            vec![Step::Send(reply(seen, "404 Missing", "signature", &record(1)))]
        });
        let searcher = searcher.await;
        for replica in ["1", "2"] {
            upstreams.push(at(zone, upstream(&format!("{shard}{replica}"), shard, &searcher)));
        }
        searchers.push(searcher);
    }
    (searchers, upstreams)
}

fn relay_in(zone: &str, helping: Helping, upstreams: &[Upstream]) -> Arc<Relay> {
    let settings = Settings { zone: zone.into(), ..here() };
    let routes = vec![route("/q/", Idempotency::Idempotent, gather(&SHARDS, 0.5))];
    relay_with(&settings, helping, routes, upstreams.to_vec())
}

/// Sends the request, which must be refused in time without many further attempts.
async fn check(relay: &Arc<Relay>, searchers: &[ScriptedServer]) {
    let sent = Instant::now();
    let reply = relay.handle(request("/q/")).await;
    let took = sent.elapsed();
    let arrivals: usize = searchers.iter().map(|searcher| searcher.requests().len()).sum();
    println!("{reply:?}, {took:?}, {arrivals} arrivals");
    assert!(matches!(reply, Reply::Refused(_)));
    // Two at the silent shard, and at most three tests; the deadline is 1.5 s.
    assert!(arrivals <= SHARDS.len() + 4, "{arrivals} arrivals");
    assert!(took < Duration::from_millis(750), "{took:?}");
}

#[tokio::test]
async fn a_silent_shard_does_not_hold_a_request_that_the_others_reject() {
    let (searchers, upstreams) = searchers("here").await;
    check(&relay_in("here", no_members(), &upstreams), &searchers).await;
}

/// Guards against sound searchers that count as failed, and twice the load, since the member must reply
/// before it knows whether a shard accepts the request.
#[tokio::test]
async fn a_silent_shard_at_a_member_does_not_turn_rejections_into_failures() {
    let (searchers, upstreams) = searchers("west").await;
    let member = relay_in("west", no_members(), &upstreams);
    let late = Arc::clone(&member);
    let asked = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&asked);
    let helping = Helping {
        gather: Box::new(move |_, query, residency, _| {
            counted.fetch_add(1, Ordering::SeqCst);
            let member = Arc::clone(&member);
            Box::pin(async move { Ok(member.answer_reporting_query(query, residency).await) })
        }),
        rest: Box::new(move |_, token, _| {
            let late = Arc::clone(&late);
            Box::pin(async move { Ok(late.next_late_shards(token).await) })
        }),
        ..no_members()
    };
    let sender = relay_in("here", helping, &upstreams);
    sender.set_delegate_members(vec![delegate(Ipv4Addr::new(10, 0, 0, 9), "west")]);
    check(&sender, &searchers).await;
    assert_eq!(asked.load(Ordering::SeqCst), 1, "all shards are asked for through the member");
    let mut expected = expected_ms(&sender);
    assert_eq!(expected.len(), 2 * (SHARDS.len() - 1));
    expected.dedup();
    assert_eq!(expected.len(), 1, "none counts as failed: {expected:?}");
}

/// The expected latencies of all searchers but the silent one, in the words of the operators' page.
fn expected_ms(relay: &Relay) -> Vec<String> {
    let text = relay.dump();
    let sound = text.lines().filter(|line| line.contains("expected_ms") && !line.contains(" a "));
    sound.map(|line| line.split("expected_ms ").last().unwrap_or_default().to_owned()).collect()
}
