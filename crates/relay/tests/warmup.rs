//! Searchers that tolerate few requests while they are cold.

mod support;

use std::net::Ipv4Addr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bergamot_declaration::{Idempotency, Route, Target};
use bergamot_registry::{Incarnation, Upstream};
use bergamot_relay::{Cause, Helping, Relay, Reply};
use support::{
    cold, gather, incarnation, limit_cold_searchers, merged, no_members, part, refused, relay,
    relay_with_members, request, route, upstream,
};

const ISSUER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 9);

/// How long an issuer waits after its start: the permits of a former run may still be in use.
const ISSUER_START: Duration = Duration::from_millis(1300);

fn single() -> Route {
    route("/s/", Idempotency::Idempotent, Target::Service("s".into()))
}

/// Waits, with the periodic work that shows that the process is not paused.
async fn wait(relay: &Relay, time: Duration) {
    let until = tokio::time::Instant::now() + time;
    while tokio::time::Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(50)).await;
        relay.tick(1, false);
    }
}

fn is_served(reply: &Reply) -> bool {
    matches!(reply, Reply::Forwarded(_))
}

#[tokio::test]
async fn a_cold_searcher_receives_nothing_while_another_one_serves() {
    let (warm, starting) = (part(1).await, part(2).await);
    let upstreams = vec![upstream("warm", "s", &warm), cold(upstream("cold", "s", &starting))];
    let relay = relay(vec![single()], upstreams);
    limit_cold_searchers(&relay, 6.0);
    relay.set_permit_issuers(Vec::new(), Some(1));
    wait(&relay, ISSUER_START).await;
    for _ in 0..50 {
        assert!(is_served(&relay.handle(request("/s/")).await));
    }
    assert_eq!((warm.requests().len(), starting.requests().len()), (50, 0));
}

#[tokio::test]
async fn cold_searchers_without_a_limit_are_used() {
    let starting = part(2).await;
    let relay = relay(vec![single()], vec![cold(upstream("cold", "s", &starting))]);
    assert!(is_served(&relay.handle(request("/s/")).await));
}

/// The only member of a fleet issues its own permits, half of the limit: its settings may change.
#[tokio::test]
async fn requests_beyond_the_limit_are_refused_at_once_until_the_searcher_is_warm() {
    let starting = part(2).await;
    let relay = relay(vec![single()], vec![cold(upstream("cold", "s", &starting))]);
    limit_cold_searchers(&relay, 6.0);
    relay.set_permit_issuers(Vec::new(), Some(1));
    assert_eq!(refused(relay.handle(request("/s/")).await), (Cause::NotRun, true));
    wait(&relay, ISSUER_START).await;
    for _ in 0..3 {
        assert!(is_served(&relay.handle(request("/s/")).await));
    }
    for _ in 0..3 {
        assert_eq!(refused(relay.handle(request("/s/")).await), (Cause::NotRun, true));
    }
    assert_eq!(starting.requests().len(), 3);
    let warm = upstream("cold", "s", &starting);
    relay.publish(warm);
    assert!(is_served(&relay.handle(request("/s/")).await), "its entry says that it is warm");
}

/// What was requested of the issuer: the searchers and how many of them are needed.
type Requests = Arc<Mutex<Vec<(Vec<Incarnation>, u32)>>>;

/// A relay that requests permits from another member, which grants those of the first `granted`
/// searchers of each request.
fn relay_with_issuer(
    granted: usize,
    routes: Vec<Route>,
    upstreams: Vec<Upstream>,
) -> (Arc<Relay>, Requests) {
    let requests = Requests::default();
    let calls = Arc::clone(&requests);
    let helping = Helping {
        permits: Box::new(move |ip, searchers, needed, _| {
            assert_eq!(ip, ISSUER);
            let reply = (0..searchers.len()).map(|index| index < granted).collect();
            calls.lock().expect("no test panics").push((searchers, needed));
            Box::pin(async move { Ok(reply) })
        }),
        ..no_members()
    };
    let relay = relay_with_members(helping, routes, upstreams);
    limit_cold_searchers(&relay, 6.0);
    relay.set_permit_issuers(vec![ISSUER], None);
    (relay, requests)
}

#[tokio::test]
async fn a_request_that_needs_a_cold_searcher_uses_the_permit_of_another_member() {
    let starting = part(2).await;
    let upstreams = vec![cold(upstream("cold", "s", &starting))];
    let (relay, requests) = relay_with_issuer(1, vec![single()], upstreams);
    assert!(is_served(&relay.handle(request("/s/")).await));
    let requests = requests.lock().expect("no test panics").clone();
    assert_eq!(requests, [(vec![incarnation("cold")], 1)]);
}

/// Asking again for each request would only load the member that has none left.
#[tokio::test]
async fn a_member_that_denied_a_permit_is_not_asked_again_for_a_while() {
    let starting = part(2).await;
    let upstreams = vec![cold(upstream("cold", "s", &starting))];
    let (relay, requests) = relay_with_issuer(0, vec![single()], upstreams);
    relay.set_members((1..=100).map(|number| Ipv4Addr::new(10, 0, 1, number)).collect());
    for _ in 0..5 {
        assert_eq!(refused(relay.handle(request("/s/")).await), (Cause::NotRun, true));
    }
    assert_eq!(requests.lock().expect("no test panics").len(), 1);
    wait(&relay, Duration::from_millis(150)).await;
    refused(relay.handle(request("/s/")).await);
    assert_eq!(requests.lock().expect("no test panics").len(), 2);
    assert_eq!(starting.requests().len(), 0);
}

/// Three shards of which two are needed; one has a warm searcher.
#[tokio::test]
async fn a_gathered_request_asks_for_the_shards_that_it_lacks() {
    let searchers = [part(1).await, part(2).await, part(3).await];
    let upstreams = || {
        vec![
            upstream("a", "a", &searchers[0]),
            cold(upstream("b", "b", &searchers[1])),
            cold(upstream("c", "c", &searchers[2])),
        ]
    };
    let all = |min_coverage| {
        vec![route("/q/", Idempotency::Idempotent, gather(&["a", "b", "c"], min_coverage))]
    };
    let (relay, requests) = relay_with_issuer(1, all(0.6), upstreams());
    let answer = merged(relay.handle(request("/q/")).await);
    assert_eq!((answer.signatures.len(), answer.missing), (2, 1));
    let asked = requests.lock().expect("no test panics")[0].clone();
    assert_eq!(asked, (vec![incarnation("b"), incarnation("c")], 1));
    let (relay, requests) = relay_with_issuer(0, all(0.3), upstreams());
    assert_eq!(merged(relay.handle(request("/q/")).await).missing, 2);
    assert!(requests.lock().expect("no test panics").is_empty(), "the answer suffices without");
    let (relay, _) = relay_with_issuer(0, all(0.6), upstreams());
    assert_eq!(refused(relay.handle(request("/q/")).await), (Cause::NotRun, true));
    let asked: Vec<usize> = searchers.iter().map(|searcher| searcher.requests().len()).collect();
    assert_eq!(asked, [2, 1, 0], "nothing is sent for a request that cannot be answered");
}
