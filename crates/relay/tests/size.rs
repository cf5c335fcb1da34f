//! What a member does by the clock, with as many searchers as the design allows for.

mod support;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_base::Name;
use bergamot_declaration::{Declaration, Idempotency, Service};
use bergamot_policy::Policy;
use bergamot_registry::{Incarnation, State, Upstream};
use bergamot_relay::{Relay, Settings};
use support::{DIALECT, gather, no_members, route};

/// The number of searchers that the design allows for, and of those that serve one shard.
const SEARCHERS: usize = 9100;
const REPLICAS: usize = 12;

/// The processor time that control may take at most: 1% of a core at ten ticks a second.
const MAX_TICK: Duration = Duration::from_millis(1);

fn shard(number: usize) -> Name {
    Name::from(format!("shard-{}", number / REPLICAS))
}

fn upstream(number: usize) -> Upstream {
    let ip = Ipv4Addr::from(0x7f50_0000 + number as u32);
    Upstream {
        incarnation: Incarnation { id: format!("i{number}").into(), start_time_ms: Some(1) },
        service: shard(number),
        address: SocketAddr::from((ip, 9)),
        zone: "here".into(),
        slots: 2,
        state: State::Ready,
        warm_at: Instant::now(),
    }
}

/// A member that serves requests to all searchers and opens no connections in advance.
fn relay() -> Arc<Relay> {
    let policy = Policy::default().without(&["warm"]).expect("the mechanism exists");
    let settings =
        Settings { zone: "here".into(), policy: Arc::new(policy), ..Settings::default() };
    let relay = Relay::new(settings, DIALECT, no_members());
    let shards: Vec<Name> = (0..SEARCHERS).step_by(REPLICAS).map(shard).collect();
    let names: Vec<&str> = shards.iter().map(|shard| &**shard).collect();
    let routes = vec![route("/q/", Idempotency::Idempotent, gather(&names, 0.9))];
    let service = Service { connections: 175, warmup: None };
    let services = shards.iter().map(|shard| (Name::clone(shard), service.clone())).collect();
    let declaration = Declaration { version: 1, routes, services, ..Declaration::default() };
    relay.apply_declaration(declaration.check().expect("valid declaration"));
    for number in 0..SEARCHERS {
        relay.publish(upstream(number));
    }
    relay
}

/// Returns the shortest of several runs of a tick, so that a busy machine doesn't count.
fn shortest_tick(relay: &Relay, mut before: impl FnMut(usize)) -> Duration {
    let run = |round| {
        before(round);
        let start = Instant::now();
        relay.tick(36, true);
        start.elapsed()
    };
    (0..50).map(run).min().expect("several runs")
}

/// A tick that looks at every searcher, ten times a second, takes more of a small machine than its
/// requests do.
#[tokio::test]
async fn a_tick_costs_no_more_than_what_has_changed() {
    let relay = relay();
    relay.tick(36, true);
    let idle = shortest_tick(&relay, |_| ());
    assert!(idle < MAX_TICK, "{idle:?}");
    let changing = shortest_tick(&relay, |round| {
        relay.publish(Upstream { state: State::Draining, ..upstream(round) });
    });
    assert!(changing < MAX_TICK, "{changing:?}");
}
