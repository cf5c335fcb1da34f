//! The cost of the platform's request path: a gathered answer, and the periodic work of a member
//! that knows many searchers.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_base::Name;
use bergamot_declaration::{Declaration, Gather, Idempotency, Residency, Route, Service, Target};
use bergamot_net::{listen, serve};
use bergamot_policy::Policy;
use bergamot_registry::{Incarnation, State, Upstream};
use bergamot_relay::{
    CallError, Dialect, Helping, Relay, Reply, Request, RequestMetadata, ResponseMetadata, Settings,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Method, Response, Uri};
use tokio::runtime::Runtime;
use tokio_util::sync::CancellationToken;

use crate::capacity::process::{cpu, runtime};
use crate::capacity::state::mean_millis;
use crate::capacity::table::Table;

/// The measured fan-outs, in shards per request.
const FAN_OUTS: [usize; 4] = [30, 90, 180, 360];

/// The number of requests in progress at the same time.
const CALLERS: usize = 2;

/// The duration of load at each fan-out.
const LOAD_DURATION: Duration = Duration::from_secs(4);

/// The measured numbers of searchers: today's largest fleet, twice that, and the design size.
const SEARCHERS: [usize; 3] = [2208, 4416, 9100];

/// The searchers of one shard in the measurement of the periodic work.
const REPLICAS: usize = 12;

/// The number of repetitions that a mean cost is measured over.
const ROUNDS: usize = 100;

const REQUEST_ID: &str = "x-id";
const SIGNATURE: &str = "x-signature";

const DIALECT: Dialect = Dialect { write_request, request_id: REQUEST_ID, read_response };

fn write_request(metadata: &RequestMetadata<'_>, headers: &mut HeaderMap) {
    headers.insert(REQUEST_ID, metadata.id.clone());
}

fn read_response(parts: &Parts) -> ResponseMetadata {
    let header = |name| parts.headers.get(name).cloned();
    ResponseMetadata { signature: header(SIGNATURE), ..ResponseMetadata::default() }
}

/// Calls to other members that all fail.
fn no_members() -> Helping {
    fn absent<T: Send + 'static>() -> bergamot_relay::MemberFuture<T> {
        Box::pin(async { Err(CallError::NotSent { cause: "no other members".to_owned() }) })
    }
    Helping {
        gather: Box::new(|_, _, _, _| absent()),
        rest: Box::new(|_, _, _| absent()),
        records: Box::new(|_, _, _| absent()),
        permits: Box::new(|_, _, _, _| absent()),
        admit: Box::new(|_, _, _| absent()),
        await_grant: Box::new(|_, _, _| absent()),
        complete: Box::new(|_, _, _, _| absent()),
        disconnect: Box::new(|_| ()),
        grant: Box::new(|_, _, _| absent()),
    }
}

fn shard(number: usize) -> Name {
    Name::from(format!("shard-{number}"))
}

fn searcher(number: usize, shard: Name, address: SocketAddr) -> Upstream {
    Upstream {
        incarnation: Incarnation { id: format!("i{number}").into(), start_time_ms: Some(1) },
        service: shard,
        address,
        zone: "here".into(),
        slots: 4,
        state: State::Ready,
        warm_at: Instant::now(),
    }
}

/// Returns the policy without one mechanism.
fn without(mechanism: &str) -> Arc<Policy> {
    Arc::new(Policy::default().without(&[mechanism]).expect("the mechanism exists"))
}

/// Creates a relay with one route to all shards.
fn relay(shards: usize, policy: Arc<Policy>) -> Arc<Relay> {
    let settings = Settings { zone: "here".into(), policy, ..Settings::default() };
    let relay = Relay::new(settings, DIALECT, no_members());
    let shards: Vec<Name> = (0..shards).map(shard).collect();
    let gather = Gather { shards: shards.clone(), top_k: 10, min_coverage: 0.95 };
    let route = Route {
        name: "all".into(),
        host: "h".into(),
        prefix: "/q/".into(),
        kind: Idempotency::Idempotent,
        timeout: Duration::from_secs(2),
        target_latency: Some(Duration::from_secs(1)),
        attempts: 2,
        priority: 1,
        residency: Residency::default(),
        target: Target::Gather(gather),
    };
    let service = Service { connections: 175, warmup: None };
    let services = shards.into_iter().map(|shard| (shard, service.clone())).collect();
    let declaration =
        Declaration { version: 1, routes: vec![route], services, ..Declaration::default() };
    relay.apply_declaration(declaration.check().expect("the declaration is valid"));
    relay
}

/// Starts a searcher that answers at once with records of 200 bytes in all.
async fn start_searcher(stop: CancellationToken) -> SocketAddr {
    let listener = listen((Ipv4Addr::LOCALHOST, 0).into()).await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(serve(listener, stop, |request, _peer| {
        let id = request.headers().get(REQUEST_ID).cloned();
        async move {
            let mut response = Response::new(Full::new(Bytes::from_static(&[7; 200])));
            if let Some(id) = id {
                response.headers_mut().insert(REQUEST_ID, id);
            }
            response.headers_mut().insert(SIGNATURE, HeaderValue::from_static("s"));
            response
        }
    }));
    address
}

fn request() -> Request {
    Request {
        id: HeaderValue::from_static("9c41d07be2a35f68"),
        host: "h".into(),
        method: Method::GET,
        uri: Uri::from_static("/q/2f"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        deadline: Some(Duration::from_secs(2)),
        received: Instant::now(),
    }
}

/// Sends requests from several callers in a closed loop; returns the number of complete answers.
async fn load(relay: &Arc<Relay>, time: Duration) -> usize {
    let end = Instant::now() + time;
    let callers = (0..CALLERS).map(|_| {
        let relay = Arc::clone(relay);
        tokio::spawn(async move {
            let mut complete = 0;
            while Instant::now() < end {
                let reply = relay.handle(request()).await;
                complete +=
                    usize::from(matches!(reply, Reply::Merged(merged) if merged.missing == 0));
            }
            complete
        })
    });
    futures::future::join_all(callers).await.into_iter().flatten().sum()
}

/// Measures the processor time of one gathered answer, in microseconds.
fn measure_answer(shards: usize, searchers: &Runtime) -> f64 {
    let stop = CancellationToken::new();
    let member = runtime("relay", 1);
    let policy = without("catch_up");
    let relay = relay(shards, policy);
    let addresses: Vec<SocketAddr> = searchers.block_on(async {
        let starts = (0..shards).map(|_| start_searcher(stop.clone()));
        futures::future::join_all(starts).await
    });
    for (number, address) in addresses.into_iter().enumerate() {
        relay.publish(searcher(number, shard(number), address));
    }
    let driver = async {
        load(&relay, Duration::from_millis(500)).await;
        let before = cpu("relay");
        let answers = load(&relay, LOAD_DURATION).await;
        (cpu("relay") - before) * 1e6 / answers.max(1) as f64
    };
    let spent = member.block_on(async { tokio::join!(driver).0 });
    stop.cancel();
    member.shutdown_timeout(Duration::from_secs(1));
    spent
}

/// Returns the table of the costs of gathered answers.
pub(crate) fn answers(quick: bool) -> String {
    let searchers = runtime("searchers", 4);
    let mut table = Table::new(&["shards", "processor an answer, ms", "a shard, µs"]);
    for shards in if quick { &FAN_OUTS[..2] } else { &FAN_OUTS[..] } {
        let spent = measure_answer(*shards, &searchers);
        let (answer, each) = (spent / 1e3, spent / *shards as f64);
        table.row(&[shards.to_string(), format!("{answer:.2}"), format!("{each:.1}")]);
    }
    searchers.shutdown_timeout(Duration::from_secs(1));
    table.text()
}

/// Returns the table of the costs of the periodic work.
pub(crate) fn ticks() -> String {
    let single = runtime("ticks", 1);
    let _context = single.enter();
    let mut table = Table::new(&[
        "searchers",
        "a tick without changes, µs",
        "a tick after a searcher changed, µs",
        "of a core at ten ticks a second, %",
    ]);
    for searchers in SEARCHERS {
        let policy = without("warm");
        let relay = relay(searchers / REPLICAS, policy);
        let publish = |number: usize, state| {
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 9));
            let upstream = searcher(number, shard(number / REPLICAS), address);
            relay.publish(Upstream { state, ..upstream });
        };
        (0..searchers).for_each(|number| publish(number, State::Ready));
        relay.tick(36, true);
        let idle = mean_millis(ROUNDS, || relay.tick(36, true)) * 1e3;
        let mut next = 0;
        let changing = mean_millis(ROUNDS, || {
            publish(next, State::Draining);
            next += 1;
            relay.tick(36, true);
        });
        table.row(&[
            searchers.to_string(),
            format!("{idle:.1}"),
            format!("{:.1}", changing * 1e3),
            format!("{:.3}", idle * 10.0 / 1e6 * 100.0),
        ]);
    }
    table.text()
}
