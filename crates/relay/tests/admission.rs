//! Admission by the coordinator of a pool while its searchers are short.

mod support;

use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bergamot_admission::{Pool, rank_coordinators};
use bergamot_declaration::{Idempotency, Target};
use bergamot_policy::Policy;
use bergamot_registry::Upstream;
use bergamot_relay::{Cause, DelegateMember, Helping, Relay, Reply, Settings};
use bergamot_standin::{ScriptedServer, Step};
use bergamot_wire::{Admission, AdmissionRequest, Coverage};
use support::{
    delegate, gather, here, merged, no_members, ok, record, relay, relay_with, request, route,
    script, upstream,
};

const MEMBERS: [Ipv4Addr; 2] = [Ipv4Addr::new(10, 0, 0, 8), Ipv4Addr::new(10, 0, 0, 9)];

const REFUSED: Admission = Admission::Refused {
    expected: Duration::from_millis(500),
    retry_after: Duration::from_millis(700),
    ahead: 3,
    limit: 2,
};

/// A call to a coordinator.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Call {
    Admit(Ipv4Addr),
    Await(u64),
    /// The grant, and whether the coverage was reached.
    Complete(u64, bool),
}

type Calls = Arc<Mutex<Vec<Call>>>;

/// Calls to coordinators, which answer with `first` and 150 ms later with `decision`; `silent`
/// takes 400 ms for its first answer.
fn coordinators(
    silent: Option<Ipv4Addr>,
    first: Admission,
    decision: Option<Admission>,
) -> (Helping, Calls) {
    let calls = Calls::default();
    let [for_admit, for_await, for_complete] = [&calls; 3].map(Arc::clone);
    let helping = Helping {
        admit: Box::new(move |ip, _, _| {
            for_admit.lock().expect("no test panics").push(Call::Admit(ip));
            let first = first.clone();
            Box::pin(async move {
                if silent == Some(ip) {
                    tokio::time::sleep(Duration::from_millis(400)).await;
                }
                Ok(first)
            })
        }),
        await_grant: Box::new(move |_, grant, _| {
            for_await.lock().expect("no test panics").push(Call::Await(grant));
            let decision = decision.clone();
            Box::pin(async move {
                tokio::time::sleep(Duration::from_millis(150)).await;
                Ok(decision)
            })
        }),
        complete: Box::new(move |_, grant, covered, _| {
            let call = Call::Complete(grant, covered.is_some());
            for_complete.lock().expect("no test panics").push(call);
            Box::pin(async { Ok(()) })
        }),
        ..no_members()
    };
    (helping, calls)
}

/// The calls since the last time.
fn take(calls: &Calls) -> Vec<Call> {
    std::mem::take(&mut calls.lock().expect("no test panics"))
}

/// A searcher whose first answer takes more than 0.75 of the target of 400 ms, and others 30 ms.
async fn slow_once() -> ScriptedServer {
    let is_first = AtomicBool::new(true);
    let wait = move || if is_first.swap(false, Ordering::Relaxed) { 320 } else { 30 };
    script(move |seen| {
        let wait = Step::Wait(Duration::from_millis(wait()));
        [vec![wait], ok(seen, "sig", &record(1))].concat()
    })
    .await
}

/// A relay with a route to `target`, whose searchers are all at `searcher`, and other members of its
/// region that announce `protocol`.
fn relay_among(
    protocol: u32,
    helping: Helping,
    target: Target,
    searcher: &ScriptedServer,
) -> Arc<Relay> {
    relay_with_settings(&here(), protocol, helping, target, searcher)
}

fn relay_with_settings(
    settings: &Settings,
    protocol: u32,
    helping: Helping,
    target: Target,
    searcher: &ScriptedServer,
) -> Arc<Relay> {
    let services = target.services().map(ToString::to_string);
    let upstreams = services.map(|name| upstream(&name, &name, searcher)).collect();
    let routes = vec![route("/q/", Idempotency::Idempotent, target)];
    let relay = relay_with(settings, helping, routes, upstreams);
    let member = |ip| DelegateMember { protocol, ..delegate(ip, "here") };
    relay.set_delegate_members(MEMBERS.map(member).to_vec());
    relay
}

fn service() -> Target {
    Target::Service("s".into())
}

async fn is_answered(relay: &Arc<Relay>) -> bool {
    matches!(relay.handle(request("/q/")).await, Reply::Forwarded(_) | Reply::Merged(_))
}

/// Guards against messages while there are enough searchers, and against RPCs that an old member
/// would take for a malformed message, also where the operator has switched the mechanism off.
#[tokio::test]
async fn nothing_is_sent_without_a_shortage_or_to_an_old_member_or_if_switched_off() {
    let off = Policy::default().without(&["queue"]).expect("it is in the table");
    let cases = [(1, Policy::default(), false), (2, off, false), (2, Policy::default(), true)];
    for (protocol, policy, asks) in cases {
        let (helping, calls) = coordinators(None, REFUSED, None);
        let searcher = slow_once().await;
        let settings = Settings { policy: Arc::new(policy), ..here() };
        let relay = relay_with_settings(&settings, protocol, helping, service(), &searcher);
        assert!(is_answered(&relay).await);
        assert_eq!(take(&calls), []);
        assert_eq!(is_answered(&relay).await, !asks);
        assert_eq!(take(&calls).is_empty(), !asks);
    }
}

/// Guards against a limit for a region that has a single slot of each shard, where one request more
/// or less is all of its load.
#[tokio::test]
async fn a_pool_with_a_single_slot_has_no_coordinator() {
    let (helping, calls) = coordinators(None, REFUSED, None);
    let searcher = slow_once().await;
    let relay = relay_among(2, helping, service(), &searcher);
    let single = Upstream { slots: 1, ..upstream("s", "s", &searcher) };
    relay.with_registry(|registry| registry.publish(single, Instant::now()));
    assert!(is_answered(&relay).await);
    assert!(is_answered(&relay).await);
    assert_eq!(take(&calls), []);
}

/// Guards against a slow coordinator that delays each request, and against its late grants, which
/// nobody uses.
#[tokio::test]
async fn the_next_coordinator_is_asked_if_the_first_is_silent() {
    let services = ["s".into()];
    let ranked = rank_coordinators(Pool::of(&services), &MEMBERS);
    let (helping, calls) = coordinators(Some(ranked[0]), Admission::Granted(5), None);
    let searcher = slow_once().await;
    let relay = relay_among(2, helping, service(), &searcher);
    assert!(is_answered(&relay).await);
    let started = Instant::now();
    assert!(is_answered(&relay).await);
    // A tenth of the target.
    assert!(started.elapsed() >= Duration::from_millis(40));
    let [first, second] = [ranked[0], ranked[1]].map(Call::Admit);
    let done = Call::Complete(5, true);
    assert_eq!(take(&calls), [first, second.clone(), done.clone()]);
    assert!(is_answered(&relay).await);
    assert_eq!(take(&calls), [second, done]);
    tokio::time::sleep(Duration::from_millis(450)).await;
    assert_eq!(take(&calls), [Call::Complete(5, false)]);
}

/// Guards against work for a refused request, and against another retry time than the booked one.
#[tokio::test]
async fn a_request_refused_by_the_coordinator_does_not_run() {
    let (helping, calls) = coordinators(None, REFUSED, None);
    let searcher = slow_once().await;
    let relay = relay_among(2, helping, gather(&["a", "b"], 1.0), &searcher);
    merged(relay.handle(request("/q/")).await);
    let before = searcher.requests().len();
    let Reply::Refused(refusal) = relay.handle(request("/q/")).await else {
        panic!("expected a refusal");
    };
    assert_eq!(refusal.cause, Cause::NotRun);
    assert_eq!(refusal.retry_after, Some(Duration::from_millis(700)));
    assert_eq!(searcher.requests().len(), before);
    assert_eq!(take(&calls).len(), 1);
}

/// Guards against work for a queued request before its grant, and against grants that stay with a
/// request whose caller has left.
#[tokio::test]
async fn a_queued_request_runs_once_it_is_granted() {
    let granted = Some(Admission::Granted(7));
    let (helping, calls) = coordinators(None, Admission::Queued(7), granted);
    let searcher = slow_once().await;
    let relay = relay_among(2, helping, gather(&["a", "b"], 1.0), &searcher);
    merged(relay.handle(request("/q/")).await);
    let before = searcher.requests().len();
    let left = tokio::time::timeout(Duration::from_millis(20), relay.handle(request("/q/")));
    left.await.expect_err("the request is queued for 150 ms");
    assert_eq!(searcher.requests().len(), before);
    assert_eq!(take(&calls)[1..], [Call::Await(7), Call::Complete(7, false)]);
    assert_eq!(merged(relay.handle(request("/q/")).await).missing, 0);
    assert_eq!(take(&calls)[1..], [Call::Await(7), Call::Complete(7, true)]);
}

/// Guards against a hedge for each queued request, which would double the load: without a wait, the
/// hedge is due after 132 ms.
#[tokio::test]
async fn a_queued_request_is_hedged_no_sooner_than_others() {
    let granted = Some(Admission::Granted(7));
    let (helping, _calls) = coordinators(None, Admission::Queued(7), granted);
    let searcher = slow_once().await;
    let relay = relay_among(2, helping, service(), &searcher);
    assert!(is_answered(&relay).await);
    let other = upstream("other", "s", &searcher);
    relay.with_registry(|registry| registry.publish(other, Instant::now()));
    let before = searcher.requests().len();
    assert!(is_answered(&relay).await);
    assert_eq!(searcher.requests().len(), before + 1);
}

/// Guards against requests that are lost with the queue of a process.
#[tokio::test]
async fn a_request_runs_if_its_coordinator_has_restarted() {
    let (helping, calls) = coordinators(None, Admission::Queued(7), None);
    let searcher = slow_once().await;
    let relay = relay_among(2, helping, service(), &searcher);
    assert!(is_answered(&relay).await);
    assert!(is_answered(&relay).await);
    assert_eq!(take(&calls)[1..], [Call::Await(7), Call::Complete(7, false)]);
}

/// Guards against a region with a single member that admits without a queue.
#[tokio::test]
async fn a_member_coordinates_in_process() {
    let searcher = slow_once().await;
    let upstreams = vec![upstream("i", "s", &searcher)];
    let relay = relay(vec![route("/q/", Idempotency::Idempotent, service())], upstreams);
    relay.tick(1, true);
    assert!(is_answered(&relay).await);
    assert!(!relay.dump().contains("pool "));
    assert!(is_answered(&relay).await);
    assert!(relay.dump().contains(" running 0 limit 16 "), "{}", relay.dump());
}

/// Guards against a queued request that is never decided: by a completion, by the passing of time,
/// or because its grant is unknown. The limit is 8 with one slot.
#[tokio::test]
async fn each_queued_request_receives_a_decision() {
    let relay = relay(Vec::new(), Vec::new());
    let coordinator = relay.coordinator();
    let admit = |target_ms| {
        let (target, deadline) = (Duration::from_millis(target_ms), Duration::from_secs(2));
        let origin = "here".into();
        let pool = 1;
        let request = AdmissionRequest { pool, priority: 0, origin, target, deadline, slots: 1 };
        match coordinator.admit(request) {
            Admission::Granted(grant) => (true, grant),
            Admission::Queued(grant) => (false, grant),
            refused @ Admission::Refused { .. } => panic!("{refused:?}"),
        }
    };
    let running: Vec<_> = (0..8).map(|_| admit(1000)).collect();
    assert!(running.iter().all(|(granted, _)| *granted));
    let (first, second) = (admit(1000), admit(100));
    assert!(!first.0 && !second.0);
    let decision = coordinator.await_grant(second.1).await;
    assert!(matches!(decision, Some(Admission::Refused { .. })), "{decision:?}");
    let covered = Coverage { took: Duration::from_millis(100), is_congested: true };
    coordinator.complete(running[0].1, Some(covered));
    assert_eq!(coordinator.await_grant(first.1).await, Some(Admission::Granted(first.1)));
    assert_eq!(coordinator.await_grant(first.1.wrapping_add(1000)).await, None);
}
