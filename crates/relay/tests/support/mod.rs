//! A relay in front of scripted searchers, with an encoding used only in tests.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_base::Name;
use bergamot_declaration::{
    Declaration, Gather, Idempotency, Residency, Route, Service, Target, Warmup,
};
use bergamot_dispatch::RetryBudgetLimits;
use bergamot_registry::{Incarnation, State, Upstream};
use bergamot_relay::{
    CallError, Cause, DelegateMember, Dialect, Helping, MergedResponse, Relay, Reply, Request,
    RequestMetadata, ResponseMetadata, Settings, read_signature,
};
use bergamot_standin::{RecordedRequest, ScriptedServer, Step};
use bergamot_wire::{MEMBER_PROTOCOL, ShardQuery};
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Method, StatusCode, Uri};

/// The encoding used in tests.
pub const DIALECT: Dialect = Dialect { write_request, request_id: "x-id", read_response };

fn write_request(metadata: &RequestMetadata<'_>, headers: &mut HeaderMap) {
    headers.insert("x-id", metadata.id.clone());
    headers.insert("x-left", HeaderValue::from(metadata.remaining.as_millis() as u64));
    headers.insert("x-meant", metadata.searcher.parse().expect("valid header value"));
}

fn read_response(parts: &Parts) -> ResponseMetadata {
    let misdirected = parts.status == StatusCode::MISDIRECTED_REQUEST;
    let header =
        |name| parts.headers.get(name).and_then(|value| value.to_str().ok()).map(Name::from);
    ResponseMetadata {
        signature: read_signature(&parts.headers, &HeaderName::from_static("x-signature")),
        not_run: parts.headers.contains_key("x-not-run"),
        misdirected,
        searcher: header("x-searcher"),
    }
}

/// A successful response with a signature and a body.
pub fn ok(seen: &RecordedRequest, signature: &str, body: &[u8]) -> Vec<Step> {
    vec![Step::Send(reply(seen, "200 OK", signature, body))]
}

/// The bytes of a response that names the request.
pub fn reply(seen: &RecordedRequest, status: &str, signature: &str, body: &[u8]) -> Vec<u8> {
    let id = seen.header("x-id").unwrap_or_default();
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status}\r\nx-id: {id}\r\nx-signature: {signature}\r\ncontent-length: {length}\r\n\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// A response stating that the request was not run.
pub fn not_run(seen: &RecordedRequest, status: &str) -> Vec<Step> {
    let id = seen.header("x-id").unwrap_or_default();
    let text =
        format!("HTTP/1.1 {status}\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n");
    vec![Step::Send(text.into_bytes())]
}

/// The only incarnation of a searcher.
pub fn incarnation(id: &str) -> Incarnation {
    Incarnation { id: id.into(), start_time_ms: None }
}

/// A ready searcher of a service.
pub fn upstream(id: &str, service: &str, script: &ScriptedServer) -> Upstream {
    Upstream {
        incarnation: incarnation(id),
        service: service.into(),
        address: script.address(),
        zone: "here".into(),
        slots: 2,
        state: State::Ready,
        warm_at: Instant::now(),
    }
}

/// A searcher moved to another zone.
pub fn at(zone: &str, upstream: Upstream) -> Upstream {
    Upstream { zone: zone.into(), ..upstream }
}

/// A route with a target latency of 400 ms and a timeout of 2 s.
pub fn route(prefix: &str, kind: Idempotency, target: Target) -> Route {
    Route {
        name: prefix.into(),
        host: "h".into(),
        prefix: prefix.into(),
        kind,
        timeout: Duration::from_secs(2),
        target_latency: Some(Duration::from_millis(400)),
        attempts: 2,
        priority: 1,
        residency: Residency::default(),
        target,
    }
}

/// A gather over services that requires `min_coverage`.
pub fn gather(shards: &[&str], min_coverage: f64) -> Target {
    let shards = shards.iter().map(|shard| Name::from(*shard)).collect();
    Target::Gather(Gather { shards, top_k: 2, min_coverage })
}

/// A relay with a declaration and searchers, and no other member.
pub fn relay(routes: Vec<Route>, upstreams: Vec<Upstream>) -> Arc<Relay> {
    relay_with_members(no_members(), routes, upstreams)
}

/// The error of a call to a member that does not exist.
fn absent() -> CallError {
    CallError::NotSent { cause: "no other members".to_owned() }
}

/// Calls to other members that all fail.
pub fn no_members() -> Helping {
    Helping {
        disconnect: Box::new(|_| ()),
        gather: Box::new(|_, _, _, _| Box::pin(async { Err(absent()) })),
        rest: Box::new(|_, _, _| Box::pin(async { Err(absent()) })),
        records: Box::new(|_, _, _| Box::pin(async { Err(absent()) })),
        permits: Box::new(|_, _, _, _| Box::pin(async { Err(absent()) })),
        admit: Box::new(|_, _, _| Box::pin(async { Err(absent()) })),
        await_grant: Box::new(|_, _, _| Box::pin(async { Err(absent()) })),
        complete: Box::new(|_, _, _, _| Box::pin(async { Err(absent()) })),
        grant: Box::new(|_, _, _| Box::pin(async { Err(absent()) })),
    }
}

/// A member in a zone that is its own region, of the version of this program.
pub fn delegate(ip: Ipv4Addr, zone: &str) -> DelegateMember {
    let (zone, protocol) = (Name::from(zone), MEMBER_PROTOCOL);
    DelegateMember { ip, region: Name::clone(&zone), zone, weight: 1000, protocol }
}

/// A relay that treats a gap of 600 ms between two ticks as a pause.
pub fn relay_with_short_pause(routes: Vec<Route>, upstreams: Vec<Upstream>) -> Arc<Relay> {
    let settings = Settings { pause_threshold: Duration::from_millis(600), ..here() };
    relay_with(&settings, no_members(), routes, upstreams)
}

/// A relay in zone `here`, with other members in zones `west` and `east`, each its own region.
pub fn relay_with_members(
    helping: Helping,
    routes: Vec<Route>,
    upstreams: Vec<Upstream>,
) -> Arc<Relay> {
    relay_with(&here(), helping, routes, upstreams)
}

/// A relay in a zone that is its own region, without other members.
pub fn relay_in(zone: &str, routes: Vec<Route>, upstreams: Vec<Upstream>) -> Arc<Relay> {
    let settings = Settings { zone: zone.into(), ..Settings::default() };
    relay_with(&settings, no_members(), routes, upstreams)
}

/// The settings of a relay in zone `here`.
pub fn here() -> Settings {
    Settings { zone: "here".into(), ..Settings::default() }
}

/// A relay with some settings.
pub fn relay_with(
    settings: &Settings,
    helping: Helping,
    routes: Vec<Route>,
    upstreams: Vec<Upstream>,
) -> Arc<Relay> {
    // The callers' limit on additional attempts.
    let retry_budget_limits =
        RetryBudgetLimits { ratio: 0.2, slack: 56.0, window: Duration::from_secs(10) };
    let zones = ["here", "west", "east"];
    let regions = zones.iter().map(|zone| (Name::from(*zone), Name::from(*zone))).collect();
    let settings = Settings { regions, retry_budget_limits, ..settings.clone() };
    let relay = Relay::new(settings, DIALECT, helping);
    let services = routes.iter().flat_map(|route| route.target.services());
    let services = services
        .map(|name| (Name::clone(name), Service { connections: 16, warmup: None }))
        .collect();
    let declaration = Declaration { version: 1, routes, services, ..Declaration::default() };
    relay.apply_declaration(declaration.check().expect("invalid declaration"));
    for upstream in upstreams {
        relay.with_registry(|registry| registry.publish(upstream, Instant::now()));
    }
    relay
}

/// A caller's request for a path.
pub fn request(path: &'static str) -> Request {
    Request {
        id: HeaderValue::from_static("r1"),
        host: "h".into(),
        method: Method::POST,
        uri: Uri::from_static(path),
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"body"),
        deadline: Some(Duration::from_millis(1500)),
        received: Instant::now(),
    }
}

/// A scripted searcher at a free port.
pub async fn script(
    play: impl Fn(&RecordedRequest) -> Vec<Step> + Send + Sync + 'static,
) -> ScriptedServer {
    ScriptedServer::start(play).await.expect("no free port")
}

/// A record consisting of one repeated byte.
pub fn record(byte: u8) -> Vec<u8> {
    vec![byte; 16]
}

/// A searcher that returns the record of a byte.
pub async fn part(byte: u8) -> ScriptedServer {
    script(move |seen| ok(seen, &format!("sig{byte}"), &record(byte))).await
}

/// Unwraps a merged response.
pub fn merged(reply: Reply) -> MergedResponse {
    match reply {
        Reply::Merged(merged) => merged,
        other => panic!("expected a merged response, got {other:?}"),
    }
}

/// Returns the cause of a refusal and whether it says when to retry.
pub fn refused(reply: Reply) -> (Cause, bool) {
    match reply {
        Reply::Refused(refusal) => (refusal.cause, refusal.retry_after.is_some()),
        other => panic!("expected a refusal, got {other:?}"),
    }
}

/// The query of another member for some shards.
pub fn shard_query(shards: &[&str]) -> ShardQuery {
    ShardQuery {
        id: b"r1".to_vec(),
        method: "GET".to_owned(),
        uri: "/q/".to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
        shards: shards.iter().map(|shard| Name::from(*shard)).collect(),
        top_k: 2,
        enough: 2,
        answer_within: Duration::from_millis(500),
        deadline: Duration::from_secs(1),
    }
}

/// Declares that cold searchers of all services tolerate `requests_per_s`.
pub fn limit_cold_searchers(relay: &Relay, requests_per_s: f64) {
    let declaration = relay.declaration().expect("it has one");
    let mut limited = Declaration { version: declaration.version + 1, ..(*declaration).clone() };
    for service in limited.services.values_mut() {
        service.warmup = Some(Warmup { duration: Duration::from_secs(3), requests_per_s });
    }
    relay.apply_declaration(limited.check().expect("valid declaration"));
}

/// A searcher that stays cold for longer than any test.
pub fn cold(upstream: Upstream) -> Upstream {
    Upstream { warm_at: Instant::now() + Duration::from_hours(1), ..upstream }
}
