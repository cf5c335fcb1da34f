//! Whether a refused request is reported as not run exactly if no searcher can have run it.

mod support;

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_declaration::{Idempotency, Target};
use bergamot_quarantine::{Fingerprint, Strike};
use bergamot_relay::{Cause, Relay};
use bergamot_standin::{ScriptedServer, Step};
use support::{
    at, delegate, gather, no_members, not_run, part, refused, relay, relay_with_members, request,
    route, script, upstream,
};

/// A relay with a route to service `b` and one to shards `a` and `b`. Its only connections to the
/// two searchers of `b` are in use by requests that are never answered.
async fn relay_with_busy_searchers(a: &ScriptedServer, b: &ScriptedServer) -> Arc<Relay> {
    let routes = vec![
        route("/b/", Idempotency::NonIdempotent, Target::Service("b".into())),
        route("/q/", Idempotency::Idempotent, gather(&["a", "b"], 1.0)),
    ];
    let upstreams = vec![upstream("i1", "a", a), upstream("i2", "b", b), upstream("i3", "b", b)];
    let relay = relay(routes, upstreams);
    // With this many members, each has one connection to each searcher.
    relay.tick(100, true);
    for _ in 0..2 {
        let busy = Arc::clone(&relay);
        tokio::spawn(async move { drop(busy.handle(request("/b/")).await) });
    }
    while b.requests().len() < 2 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    relay
}

/// Guards against 504 for a request that waited for a connection until its deadline: nothing was
/// sent, so the caller can retry it safely.
#[tokio::test]
async fn a_request_that_got_no_connection_before_its_deadline_has_not_run() {
    let (a, b) = (part(1).await, script(|_| vec![Step::Hang]).await);
    let relay = relay_with_busy_searchers(&a, &b).await;
    let mut late = request("/b/");
    // The deadline passes before the wait for a connection ends.
    late.deadline = Some(Duration::from_millis(60));
    assert_eq!(refused(relay.handle(late).await), (Cause::NotRun, true));
    assert_eq!(b.requests().len(), 2);
}

/// Guards against 502 for a gathered request that fails while a shard still waits for a connection:
/// the wait is given up before anything is sent.
#[tokio::test]
async fn a_refused_shard_beside_one_without_a_connection_has_not_run() {
    let a = script(|seen| not_run(seen, "503 Service Unavailable")).await;
    let b = script(|_| vec![Step::Hang]).await;
    let relay = relay_with_busy_searchers(&a, &b).await;
    assert_eq!(refused(relay.handle(request("/q/")).await), (Cause::NotRun, true));
    assert_eq!(b.requests().len(), 2);
}

/// Guards against 502 for a request whose group went to a member that could not be reached, and
/// whose shards were then all refused by their searchers.
#[tokio::test]
async fn a_request_refused_after_an_unreachable_member_has_not_run() {
    let west = script(|seen| not_run(seen, "503 Service Unavailable")).await;
    let upstreams = vec![
        at("west", upstream("a-west", "a", &west)),
        at("west", upstream("b-west", "b", &west)),
    ];
    let routes = vec![route("/q/", Idempotency::Idempotent, gather(&["a", "b"], 0.5))];
    let relay = relay_with_members(no_members(), routes, upstreams);
    relay.set_delegate_members(vec![delegate(Ipv4Addr::new(10, 0, 0, 9), "west")]);
    assert_eq!(refused(relay.handle(request("/q/")).await), (Cause::NotRun, true));
}

/// Guards against 503 for a suspected request that ran in a trial before too few shards were found
/// to have a searcher.
#[tokio::test]
async fn a_request_that_ran_in_a_trial_is_not_refused_as_not_run() {
    let a = part(1).await;
    let routes = vec![route("/q/", Idempotency::Idempotent, gather(&["a", "b"], 1.0))];
    let relay = relay(routes, vec![upstream("i1", "a", &a)]);
    let fingerprint = Fingerprint::of("POST", "/q/", b"body");
    let strike = Strike::from_fan_out(b"r0");
    relay.quarantine().record_strike(Instant::now(), fingerprint, strike, &"a".into());
    assert_eq!(refused(relay.handle(request("/q/")).await).0, Cause::Lost);
    assert_eq!(a.requests().len(), 1);
}

/// Guards against refusals that are not counted, or counted more than once, and so don't show in the
/// metrics which routes and priorities suffer.
#[tokio::test]
async fn each_refusal_is_counted_once_by_route_priority_and_reason() {
    let routes = vec![route("/q/", Idempotency::Idempotent, gather(&["a", "b"], 1.0))];
    let relay = relay(routes, Vec::new());
    for path in ["/q/", "/q/", "/other/"] {
        refused(relay.handle(request(path)).await);
    }
    let families = relay.metrics().gather();
    let refusals = families.iter().find(|family| family.name() == "bergamot_relay_refusals_total");
    let mut counts = Vec::new();
    for metric in refusals.expect("it is registered").get_metric() {
        let labels: Vec<&str> =
            metric.get_label().iter().map(prometheus::proto::LabelPair::value).collect();
        counts.push(format!("{} {}", labels.join(" "), metric.get_counter().get_value()));
    }
    counts.sort_unstable();
    // The labels are in alphabetical order: priority, reason, route.
    assert_eq!(counts, ["0 no_route none 1", "1 no_searcher /q/ 2"]);
}
