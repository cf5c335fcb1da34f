//! Coverage depends only on the declaration and the searchers.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_base::Name;
use bergamot_declaration::{Idempotency, Target};
use bergamot_registry::{State, Upstream};
use bergamot_relay::Relay;
use support::{gather, part, relay, route, upstream};

fn zones(relay: &Relay) -> Vec<(String, usize)> {
    let coverage = relay.coverage();
    coverage.zones.iter().map(|(zone, count)| (zone.to_string(), *count)).collect()
}

#[tokio::test]
async fn coverage_is_updated_when_searchers_are_added_changed_or_removed() {
    let script = part(1).await;
    let at =
        |id, service, zone: &str| Upstream { zone: zone.into(), ..upstream(id, service, &script) };
    let routes = vec![
        route("/g/", Idempotency::Idempotent, gather(&["a", "b"], 0.5)),
        route("/h/", Idempotency::Idempotent, gather(&["b"], 0.5)),
        route("/s/", Idempotency::Idempotent, Target::Service("c".into())),
    ];
    let relay = relay(routes, vec![at("1", "a", "here"), at("2", "b", "here")]);
    assert_eq!(zones(&relay), [("here".to_owned(), 2)]);
    assert_eq!(relay.coverage().fewest_connections, Some(16));
    // Without a change the cached value is returned.
    assert!(Arc::ptr_eq(&relay.coverage(), &relay.coverage()));
    let publish = |upstream| relay.with_registry(|known| known.publish(upstream, Instant::now()));
    publish(at("3", "c", "west"));
    publish(at("4", "b", "here"));
    publish(at("5", "unknown", "east"));
    assert_eq!(zones(&relay), [("here".to_owned(), 2), ("west".to_owned(), 1)]);
    let regions: Vec<Name> = relay.coverage().regions.keys().cloned().collect();
    assert_eq!(regions, [Name::from("here"), Name::from("west")]);
    publish(Upstream { state: State::Draining, ..at("3", "c", "west") });
    assert_eq!(zones(&relay), [("here".to_owned(), 2)]);
    let start = Instant::now();
    relay.with_registry(|known| known.remove_entry("1", start));
    relay.with_registry(|known| known.expire(start + Duration::from_secs(9), false));
    assert_eq!(zones(&relay), [("here".to_owned(), 1)]);
}
