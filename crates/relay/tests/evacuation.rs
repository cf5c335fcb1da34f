//! Availability zones that the operator has evacuated.

mod support;

use std::sync::Arc;
use std::time::Duration;

use bergamot_base::Position;
use bergamot_declaration::{Idempotency, Residency, Target};
use bergamot_relay::{Cause, Reply};
use bergamot_standin::Step;
use bergamot_wire::ShardOutcome;
use support::{
    at, gather, ok, part, record, refused, relay, request, route, script, shard_query, upstream,
};

#[tokio::test]
async fn an_evacuated_zone_receives_nothing_until_the_evacuation_ends() {
    let (here, west) = (part(1).await, part(2).await);
    let upstreams =
        vec![upstream("s-here", "s", &here), at("west", upstream("s-west", "s", &west))];
    let one = route("/s/", Idempotency::Idempotent, Target::Service("s".into()));
    let relay = relay(vec![one], upstreams);
    relay.begin_evacuation(&"here".into(), Position::from(5));
    for _ in 0..5 {
        assert!(matches!(relay.handle(request("/s/")).await, Reply::Forwarded(_)));
    }
    assert_eq!((here.requests().len(), west.requests().len()), (0, 5));
    assert!(relay.dump().contains("evacuation here position 0.5"), "{}", relay.dump());
    relay.begin_evacuation(&"west".into(), Position::from(6));
    assert_eq!(refused(relay.handle(request("/s/")).await), (Cause::NotRun, true));
    relay.end_evacuation("here");
    assert!(matches!(relay.handle(request("/s/")).await, Reply::Forwarded(_)));
    assert_eq!((here.requests().len(), west.requests().len()), (1, 5));
}

/// A request that waits for a connection while its zone is evacuated must not be sent there.
#[tokio::test]
async fn an_evacuation_takes_effect_up_to_the_moment_of_sending() {
    let slow = script(|seen| {
        let mut steps = vec![Step::Wait(Duration::from_millis(300))];
        steps.extend(ok(seen, "sig", &record(1)));
        steps
    })
    .await;
    let one = route("/s/", Idempotency::NonIdempotent, Target::Service("s".into()));
    let relay = relay(vec![one], vec![upstream("s-here", "s", &slow)]);
    relay.tick(16, false);
    let first = tokio::spawn({
        let relay = Arc::clone(&relay);
        async move { relay.handle(request("/s/")).await }
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    let second = tokio::spawn({
        let relay = Arc::clone(&relay);
        async move { relay.handle(request("/s/")).await }
    });
    tokio::time::sleep(Duration::from_millis(20)).await;
    relay.begin_evacuation(&"here".into(), Position::from(5));
    let first = first.await.expect("it ends");
    assert!(matches!(first, Reply::Forwarded(_)), "a request in flight is completed: {first:?}");
    assert_eq!(refused(second.await.expect("it ends")).0, Cause::NotRun);
    assert_eq!(slow.requests().len(), 1);
}

#[tokio::test]
async fn attempts_for_another_member_stay_out_of_evacuated_zones() {
    let (here, west) = (part(1).await, part(2).await);
    let upstreams = vec![upstream("a", "a", &here), at("west", upstream("b", "b", &west))];
    let all = route("/q/", Idempotency::Idempotent, gather(&["a", "b"], 0.5));
    let relay = relay(vec![all], upstreams);
    relay.begin_evacuation(&"west".into(), Position::from(1));
    let query = shard_query(&["a", "b"]);
    let reply = relay.answer_shard_query(query, Residency::default()).await;
    assert!(matches!(&*reply.shards, [ShardOutcome::In(_), ShardOutcome::NotAsked]));
    assert_eq!((here.requests().len(), west.requests().len()), (1, 0));
}
