//! Callers' HTTP: routes, checks of what callers send, and answers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_base::{Deadline, Name, Service};
use bergamot_config::row::Preference;
use bergamot_members::{Answer as Addresses, addresses};
use bergamot_net::{Body, Rejection, json, read_body};
use bergamot_node::Current;
use bergamot_query::Shape;
use bergamot_write::Key;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use serde::Deserialize;

use crate::answer::{Answer, Refused, ServiceAnswer, WriteAnswer};
use crate::search::{Found, Query};
use crate::service::Inner;
use crate::write::Order;

/// The header with which a caller names a request.
const REQUEST_ID: &str = "x-request-id";
/// The header with a caller's deadline, in milliseconds.
const DEADLINE: &str = "x-deadline-ms";
/// The header with a write key.
const KEY: &str = "idempotency-key";
/// The longest name of a request, in bytes.
const LONGEST_ID: usize = 64;
/// The most services that one query may ask.
const MOST_SERVICES: usize = 16;
/// The margin of services that prefer coverage: enough to write the answer out.
const SHORT_MARGIN: Duration = Duration::from_millis(1);
/// When to come back while the entry catches up.
const CATCH_UP_RETRY: Duration = Duration::from_millis(200);
/// When to come back after an answer without a single shard.
const EMPTY_RETRY: Duration = Duration::from_millis(250);

/// The body of a write.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct WriteBody {
    record: Name,
    body: Name,
}

/// The body of a query. It is a type of its own because the form that callers write,
/// with the shape as one of the fields, can't travel in the codec between daemons.
#[derive(Debug, Deserialize)]
#[serde(tag = "shape", rename_all = "snake_case", deny_unknown_fields)]
enum QueryBody {
    Scan {},
    Top { k: u32 },
    Record { key: Name },
}

impl From<QueryBody> for Shape {
    fn from(body: QueryBody) -> Self {
        match body {
            QueryBody::Scan {} => Self::Scan,
            QueryBody::Top { k } => Self::Top { k },
            QueryBody::Record { key } => Self::Record { key },
        }
    }
}

/// What a path names.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Route {
    Addresses,
    Query { workspace: Name, services: Vec<Name> },
    Write { workspace: Name, service: Name },
}

/// Answers a caller's request.
pub(crate) async fn handle(inner: Arc<Inner>, request: Request<Incoming>) -> Response<Body> {
    let started = Instant::now();
    let id = request_id(&inner, request.headers());
    let (name, result) = route_and_run(&inner, &id, request).await;
    let mut response = match result {
        Ok((outcome, response)) => {
            inner.meter.record(&name, outcome, started.elapsed());
            response
        }
        Err(refused) => {
            let outcome = if refused.retry_after.is_some() { "refused" } else { "bad" };
            inner.meter.record(&name, outcome, started.elapsed());
            log::debug!("entry: {id} refused: {:?}.", refused.fault);
            refused.response(&id)
        }
    };
    if inner.is_draining() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

type Outcome = Result<(&'static str, Response<Body>), Refused>;

async fn route_and_run(
    inner: &Arc<Inner>,
    id: &Name,
    request: Request<Incoming>,
) -> (Name, Outcome) {
    match route(request.method(), request.uri().path()) {
        Ok(Route::Addresses) => {
            let zone = zone_of(request.uri().query());
            (Name::from("addresses"), answer_addresses(inner, zone.as_deref()))
        }
        Ok(Route::Query { workspace, services }) => {
            let name = Name::from(format!("{workspace}/{}", services.join(",")));
            let outcome = answer_query(inner, id, request, &workspace, &services).await;
            // A metric label that callers could make up would grow without bound.
            let unknown =
                matches!(&outcome, Err(refused) if refused.status == StatusCode::NOT_FOUND);
            (if unknown { Name::from("unknown") } else { name }, outcome)
        }
        Ok(Route::Write { workspace, service }) => {
            let name = Name::from(format!("{workspace}/{service}"));
            let outcome = answer_write(inner, id, request, workspace, service).await;
            let unknown =
                matches!(&outcome, Err(refused) if refused.status == StatusCode::NOT_FOUND);
            (if unknown { Name::from("unknown") } else { name }, outcome)
        }
        Err(refused) => (Name::from("unknown"), Err(refused)),
    }
}

fn route(method: &Method, path: &str) -> Result<Route, Refused> {
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let route = match parts[..] {
        ["v1", "addresses"] => Route::Addresses,
        ["v1", workspace, services, "query"] => Route::Query {
            workspace: workspace.into(),
            services: services.split(',').map(Name::from).collect(),
        },
        ["v1", workspace, service, "write"] => {
            Route::Write { workspace: workspace.into(), service: service.into() }
        }
        _ => {
            let allowed = "unknown path; use /v1/addresses, /v1/WORKSPACE/SERVICE/query or \
                           /v1/WORKSPACE/SERVICE/write";
            return Err(Refused::bad(StatusCode::NOT_FOUND, "route", allowed));
        }
    };
    let wanted = if route == Route::Addresses { Method::GET } else { Method::POST };
    if *method != wanted {
        let cause = format!("method {method}, allowed: {wanted}");
        return Err(Refused::bad(StatusCode::METHOD_NOT_ALLOWED, "route", cause));
    }
    Ok(route)
}

fn zone_of(query: Option<&str>) -> Option<String> {
    let pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == "zone").map(|(_, zone)| zone.to_owned())
}

fn answer_addresses(inner: &Inner, zone: Option<&str>) -> Outcome {
    let current = current(inner)?;
    let settings = inner.node.settings();
    let zone = zone.unwrap_or(&settings.instance.zone);
    let serial = inner.next_serial();
    let port = settings.ports.entry_callers;
    let targets =
        inner.node.with_view(|view| addresses(view, &current.document, zone, port, serial));
    let answer = Addresses {
        ttl_ms: settings.entry.address_ttl.as_millis() as u64,
        write_prefix: inner.writer.prefix().to_string(),
        addresses: targets,
    };
    let body = serde_json::to_vec(&answer).expect("answer types always serialize");
    Ok(("complete", json(StatusCode::OK, body)))
}

async fn answer_query(
    inner: &Arc<Inner>,
    id: &Name,
    request: Request<Incoming>,
    workspace: &Name,
    names: &[Name],
) -> Outcome {
    let current = current(inner)?;
    let services = find_services(&current, workspace, names)?;
    let first = &current.document.services[services[0]];
    let asked = deadline(inner, request.headers(), first.deadline)?;
    let body = body(inner, request).await?;
    let shape = shape(&body)?;
    let row = &current.document.workspaces[first.workspace];
    let _admitted = inner.door.enter(row, first.class).map_err(|refusal| {
        Refused::later(
            "admit",
            "here",
            "the workspace's requests in flight are at their limit",
            refusal.retry_after,
        )
    })?;
    awake(inner).await?;
    let margin = match first.preference {
        Preference::Time => inner.node.settings().entry.margin,
        Preference::Coverage => SHORT_MARGIN,
    };
    let deadline = asked.less(margin);
    let queries: Vec<_> = services
        .iter()
        .map(|service| Query {
            id: Name::clone(id),
            service: *service,
            shape: shape.clone(),
            deadline,
        })
        .collect();
    let runs = queries.iter().map(|query| inner.searcher.run(query, Arc::clone(&current)));
    let found: Vec<Found> = futures::future::join_all(runs).await.into_iter().flatten().collect();
    if found.len() < services.len() || found.iter().all(|part| part.coverage.answered == 0) {
        let cause = describe_nothing(&found);
        return Err(Refused::later("search", "searchers", cause, EMPTY_RETRY));
    }
    let answer = combine(id, &shape, found);
    let outcome = if answer.complete { "complete" } else { "partial" };
    Ok((outcome, answer.response()))
}

fn describe_nothing(found: &[Found]) -> String {
    let missing = found.iter().flat_map(|part| &part.coverage.missing);
    match missing.map(|missing| missing.reason).min() {
        Some(reason) => format!("no shard answered: {reason}"),
        None => "no version of the index is known yet".to_owned(),
    }
}

fn combine(id: &Name, shape: &Shape, found: Vec<Found>) -> Answer {
    let mut answer = Answer {
        request: Name::clone(id),
        revision: 0,
        complete: true,
        attempts: 0,
        services: Vec::with_capacity(found.len()),
        hits: Vec::new(),
    };
    for part in found {
        let document = &part.plan.current.document;
        answer.revision = answer.revision.max(document.revision);
        answer.complete &= part.coverage.complete;
        answer.attempts += part.attempts;
        answer.hits.extend(part.hits);
        answer.services.push(ServiceAnswer {
            service: Name::clone(&document.services[part.plan.service].name),
            epoch: part.plan.pin.epoch,
            version: part.plan.pin.version,
            coverage: part.coverage,
        });
    }
    if answer.services.len() > 1 {
        shape.arrange(&mut answer.hits);
    }
    answer
}

async fn answer_write(
    inner: &Arc<Inner>,
    id: &Name,
    request: Request<Incoming>,
    workspace: Name,
    service: Name,
) -> Outcome {
    let current = current(inner)?;
    let found = find_services(&current, &workspace, std::slice::from_ref(&service))?[0];
    let row = &current.document.services[found];
    let deadline = deadline(inner, request.headers(), row.deadline)?;
    let key = key(request.headers())?;
    let body = body(inner, request).await?;
    let WriteBody { record, body } = serde_json::from_slice(&body).map_err(|error| {
        let cause = format!("{error}, allowed: {{\"record\": KEY, \"body\": TEXT}}");
        Refused::bad(StatusCode::BAD_REQUEST, "read body", cause)
    })?;
    let workspace_row = &current.document.workspaces[row.workspace];
    let _admitted = inner.door.enter(workspace_row, row.class).map_err(|refusal| {
        Refused::later(
            "admit",
            "here",
            "the workspace's requests in flight are at their limit; the write was not run",
            refusal.retry_after,
        )
    })?;
    awake(inner).await?;
    let key = key.unwrap_or_else(|| inner.writer.own_key());
    let order = Order { workspace, service, record, body, deadline: deadline.less(SHORT_MARGIN) };
    let outcome = inner.writer.run(key.clone(), order).await;
    let answer = WriteAnswer::new(Name::clone(id), Name::from(key.to_string()), outcome);
    let label = match answer.outcome {
        bergamot_write::Status::Done => "done",
        bergamot_write::Status::NotRun => "not_run",
        bergamot_write::Status::Unknown => "unknown",
    };
    Ok((label, answer.response(current.document.revision)))
}

fn current(inner: &Inner) -> Result<Arc<Current>, Refused> {
    inner.node.current().ok_or_else(|| {
        Refused::later("start", "here", "no document is in force yet", CATCH_UP_RETRY)
    })
}

async fn awake(inner: &Inner) -> Result<(), Refused> {
    if inner.node.awake().await {
        return Ok(());
    }
    Err(Refused::later("wake", "here", "the entry slept and catches up", CATCH_UP_RETRY))
}

fn find_services(
    current: &Current,
    workspace: &Name,
    names: &[Name],
) -> Result<Vec<Service>, Refused> {
    let unknown = |cause: String| Refused::bad(StatusCode::NOT_FOUND, "find service", cause);
    if names.len() > MOST_SERVICES {
        return Err(unknown(format!("{} services, allowed: at most {MOST_SERVICES}", names.len())));
    }
    let mut services = Vec::with_capacity(names.len());
    for name in names {
        let found = current.document.service(workspace, name).ok_or_else(|| {
            let revision = current.document.revision;
            unknown(format!("no service {workspace}/{name} in revision {revision}"))
        })?;
        if services.contains(&found) {
            return Err(unknown(format!("service {name} is named twice")));
        }
        services.push(found);
    }
    Ok(services)
}

fn deadline(inner: &Inner, headers: &HeaderMap, default: Duration) -> Result<Deadline, Refused> {
    let now = Instant::now();
    let Some(value) = headers.get(DEADLINE) else {
        return Ok(Deadline::after(now, default));
    };
    let settings = &inner.node.settings().entry;
    let (shortest, longest) = (settings.shortest_deadline, settings.longest_deadline);
    let asked = value.to_str().ok().and_then(|text| text.parse().ok()).map(Duration::from_millis);
    match asked {
        Some(asked) if (shortest..=longest).contains(&asked) => Ok(Deadline::after(now, asked)),
        _ => {
            let (shortest, longest) = (shortest.as_millis(), longest.as_millis());
            let cause = format!(
                "header {DEADLINE} is {value:?}, allowed: whole milliseconds from {shortest} to {longest}"
            );
            Err(Refused::bad(StatusCode::BAD_REQUEST, "read deadline", cause))
        }
    }
}

fn key(headers: &HeaderMap) -> Result<Option<Key>, Refused> {
    let Some(value) = headers.get(KEY) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().map(str::parse::<Key>);
    match parsed {
        Some(Ok(key)) => Ok(Some(key)),
        Some(Err(flaw)) => {
            let cause = format!("header {KEY} is {value:?}, allowed: {flaw}");
            Err(Refused::bad(StatusCode::BAD_REQUEST, "read key", cause))
        }
        None => {
            let cause = format!("header {KEY} is not text");
            Err(Refused::bad(StatusCode::BAD_REQUEST, "read key", cause))
        }
    }
}

async fn body(inner: &Inner, request: Request<Incoming>) -> Result<bytes::Bytes, Refused> {
    let limit = inner.node.settings().entry.body_bytes as usize;
    read_body(request, limit).await.map_err(|rejection| {
        let status = match rejection {
            Rejection::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Rejection::Cut => StatusCode::BAD_REQUEST,
        };
        Refused::bad(status, "read body", format!("{rejection}, allowed: at most {limit} bytes"))
    })
}

fn shape(body: &[u8]) -> Result<Shape, Refused> {
    let bad = |cause: String| Refused::bad(StatusCode::BAD_REQUEST, "read body", cause);
    let body: QueryBody = serde_json::from_slice(body).map_err(|error| {
        bad(format!(
            "{error}, allowed: {{\"shape\":\"scan\"}}, {{\"shape\":\"top\",\"k\":N}} or \
             {{\"shape\":\"record\",\"key\":KEY}}"
        ))
    })?;
    let shape = Shape::from(body);
    match shape.flaw() {
        Some(allowed) => Err(bad(format!("{shape:?}, allowed: {allowed}"))),
        None => Ok(shape),
    }
}

/// Takes the caller's name for the request if it is a fit one, else makes one.
fn request_id(inner: &Inner, headers: &HeaderMap) -> Name {
    let theirs = headers.get(REQUEST_ID).and_then(|value| value.to_str().ok());
    let fit = |id: &&str| {
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
        (1..=LONGEST_ID).contains(&id.len()) && id.bytes().all(allowed)
    };
    // A suffix of our own keeps two callers' equal names apart at the searchers.
    let serial = inner.next_serial();
    let own = format!("{:x}-{serial:x}", inner.node.incarnation());
    match theirs.filter(fit) {
        Some(id) => Name::from(format!("{id}.{own}")),
        None => Name::from(own),
    }
}
