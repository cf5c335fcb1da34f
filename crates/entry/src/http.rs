//! The HTTP interface for callers: routing, validation and responses.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_base::{Name, Service};
use bergamot_config::row::Preference;
use bergamot_members::{AddressList as Addresses, addresses};
use bergamot_net::{Body, json};
use bergamot_node::ActiveDocument;
use bergamot_query::Shape;
use bergamot_write::Outcome;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};

use crate::request::{
    WriteBody, parse_deadline, parse_key, parse_shape, parse_write_body, read_request_body,
    request_id,
};
use crate::response::{QueryAnswer, RequestError, ServiceAnswer, WriteAnswer};
use crate::search::{Query, QueryResult};
use crate::service::Inner;
use crate::write::WriteRequest;

/// Maximum number of services in one query.
const MAX_SERVICES: usize = 16;
/// Part of the deadline reserved for sending the response, for writes and for services that prefer
/// coverage.
const RESPONSE_MARGIN: Duration = Duration::from_millis(1);
/// Delay after which to retry while the entry is catching up.
const CATCH_UP_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Delay after which to retry a query for which no shard answered.
const EMPTY_RESULT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Delay after which to retry, elsewhere, a query that the stop of the entry has ended.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The target of a request, as named by its path.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Route {
    Addresses,
    Query { workspace: Name, services: Vec<Name> },
    Write { workspace: Name, service: Name },
}

/// Handles a caller's request.
pub(crate) async fn handle(inner: Arc<Inner>, request: Request<Incoming>) -> Response<Body> {
    let started = Instant::now();
    let id = request_id(&inner, request.headers());
    let (name, result) = route_and_run(&inner, &id, request).await;
    let mut response = match result {
        Ok((outcome, response)) => {
            inner.metrics.record(&name, outcome, started.elapsed());
            response
        }
        Err(error) => {
            let outcome = if error.retry_after.is_some() { "refused" } else { "bad" };
            inner.metrics.record(&name, outcome, started.elapsed());
            log::debug!("entry: Request {id} was refused: {:?}.", error.fault);
            error.response(&id)
        }
    };
    if inner.is_draining() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

type HandlerResult = Result<(&'static str, Response<Body>), RequestError>;

async fn route_and_run(
    inner: &Arc<Inner>,
    id: &Name,
    request: Request<Incoming>,
) -> (Name, HandlerResult) {
    match route(request.method(), request.uri().path()) {
        Ok(Route::Addresses) => {
            let zone = zone_of(request.uri().query());
            (Name::from("addresses"), answer_addresses(inner, zone.as_deref()))
        }
        Ok(Route::Query { workspace, services }) => {
            let name = Name::from(format!("{workspace}/{}", services.join(",")));
            let outcome = tokio::select! {
                biased;
                outcome = answer_query(inner, id, request, &workspace, &services) => outcome,
                () = inner.answers_due() => Err(stopping()),
            };
            // Names that callers invent must not become metric labels, or the number of labels
            // would be unbounded.
            let unknown = matches!(&outcome, Err(error) if error.status == StatusCode::NOT_FOUND);
            (if unknown { Name::from("unknown") } else { name }, outcome)
        }
        Ok(Route::Write { workspace, service }) => {
            let name = Name::from(format!("{workspace}/{service}"));
            let outcome = answer_write(inner, id, request, workspace, service).await;
            let unknown = matches!(&outcome, Err(error) if error.status == StatusCode::NOT_FOUND);
            (if unknown { Name::from("unknown") } else { name }, outcome)
        }
        Err(error) => (Name::from("unknown"), Err(error)),
    }
}

fn route(method: &Method, path: &str) -> Result<Route, RequestError> {
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
            return Err(RequestError::invalid_request(StatusCode::NOT_FOUND, "route", allowed));
        }
    };
    let expected = if route == Route::Addresses { Method::GET } else { Method::POST };
    if *method != expected {
        let cause = format!("method {method}, allowed: {expected}");
        return Err(RequestError::invalid_request(StatusCode::METHOD_NOT_ALLOWED, "route", cause));
    }
    Ok(route)
}

fn zone_of(query: Option<&str>) -> Option<String> {
    let pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == "zone").map(|(_, zone)| zone.to_owned())
}

fn answer_addresses(inner: &Inner, zone: Option<&str>) -> HandlerResult {
    let current = current_document(inner)?;
    let settings = inner.node.settings();
    let zone = zone.unwrap_or(&settings.instance.zone);
    let serial = inner.next_serial();
    let port = settings.ports.entry_callers;
    let targets =
        inner.node.with_view(|view| addresses(view, &current.document, zone, port, serial));
    let answer = Addresses {
        ttl_ms: settings.entry.address_ttl.as_millis() as u64,
        write_prefix: inner.write_executor.prefix().to_string(),
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
) -> HandlerResult {
    let current = current_document(inner)?;
    let services = find_services(&current, workspace, names)?;
    let first = &current.document.services[services[0]];
    let requested = parse_deadline(inner, request.headers(), first.deadline)?;
    let body = read_request_body(inner, id, request, requested).await?;
    let shape = parse_shape(&body)?;
    let row = &current.document.workspaces[first.workspace];
    let _admitted = inner.admission.admit(row, first.class).map_err(|refusal| {
        RequestError::unavailable(
            "admit",
            "here",
            "the workspace's requests in flight are at their limit",
            refusal.retry_after,
        )
    })?;
    ensure_awake(inner).await?;
    let margin = match first.preference {
        Preference::Time => inner.node.settings().entry.margin,
        Preference::Coverage => RESPONSE_MARGIN,
    };
    let deadline = requested.with_margin(margin);
    let queries: Vec<_> = services
        .iter()
        .map(|service| Query {
            id: Name::clone(id),
            service: *service,
            shape: shape.clone(),
            deadline,
        })
        .collect();
    let executions =
        queries.iter().map(|query| inner.query_executor.run(query, Arc::clone(&current)));
    let found: Vec<QueryResult> =
        futures::future::join_all(executions).await.into_iter().flatten().collect();
    if found.len() < services.len() || found.iter().all(|part| part.coverage.answered == 0) {
        let cause = describe_empty_result(&found);
        return Err(RequestError::unavailable(
            "search",
            "searchers",
            cause,
            EMPTY_RESULT_RETRY_AFTER,
        ));
    }
    let answer = combine_results(id, &shape, found);
    let outcome = if answer.complete { "complete" } else { "partial" };
    Ok((outcome, answer.response()))
}

fn describe_empty_result(found: &[QueryResult]) -> String {
    let missing = found.iter().flat_map(|part| &part.coverage.missing);
    match missing.map(|missing| missing.reason).min() {
        Some(reason) => format!("no shard answered: {reason}"),
        None => "no version of the index is known yet".to_owned(),
    }
}

fn combine_results(id: &Name, shape: &Shape, found: Vec<QueryResult>) -> QueryAnswer {
    let mut answer = QueryAnswer {
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
        shape.sort_and_truncate(&mut answer.hits);
    }
    answer
}

async fn answer_write(
    inner: &Arc<Inner>,
    id: &Name,
    request: Request<Incoming>,
    workspace: Name,
    service: Name,
) -> HandlerResult {
    let current = current_document(inner)?;
    let found = find_services(&current, &workspace, std::slice::from_ref(&service))?[0];
    let row = &current.document.services[found];
    let deadline = parse_deadline(inner, request.headers(), row.deadline)?;
    let key = parse_key(request.headers())?;
    let body = read_request_body(inner, id, request, deadline).await?;
    let WriteBody { record, body } = parse_write_body(&body)?;
    let workspace_row = &current.document.workspaces[row.workspace];
    let _admitted = inner.admission.admit(workspace_row, row.class).map_err(|refusal| {
        RequestError::unavailable(
            "admit",
            "here",
            "the workspace's requests in flight are at their limit; the write was not run",
            refusal.retry_after,
        )
    })?;
    ensure_awake(inner).await?;
    let key = key.unwrap_or_else(|| inner.write_executor.generate_key());
    let write = WriteRequest {
        workspace,
        service,
        record,
        body,
        deadline: deadline.with_margin(RESPONSE_MARGIN),
    };
    let outcome = tokio::select! {
        biased;
        outcome = inner.write_executor.run(key.clone(), write) => outcome,
        () = inner.answers_due() => Outcome::unknown("this entry stops before an outcome has come"),
    };
    let answer = WriteAnswer::new(Name::clone(id), Name::from(key.to_string()), outcome);
    let label = match answer.outcome {
        bergamot_write::Status::Done => "done",
        bergamot_write::Status::NotRun => "not_run",
        bergamot_write::Status::Unknown => "unknown",
    };
    Ok((label, answer.response(current.document.revision)))
}

/// The answer to a query that is still open when a stop requires its final answer.
fn stopping() -> RequestError {
    let cause = "this entry stops before the query is answered";
    RequestError::unavailable("stop", "here", cause, STOPPING_RETRY_AFTER)
}

fn current_document(inner: &Inner) -> Result<Arc<ActiveDocument>, RequestError> {
    inner.node.active_document().ok_or_else(|| {
        RequestError::unavailable(
            "start",
            "here",
            "no document is in force yet",
            CATCH_UP_RETRY_AFTER,
        )
    })
}

async fn ensure_awake(inner: &Inner) -> Result<(), RequestError> {
    if inner.node.wait_until_awake().await {
        return Ok(());
    }
    Err(RequestError::unavailable(
        "wake",
        "here",
        "the entry slept and catches up",
        CATCH_UP_RETRY_AFTER,
    ))
}

fn find_services(
    current: &ActiveDocument,
    workspace: &Name,
    names: &[Name],
) -> Result<Vec<Service>, RequestError> {
    let unknown =
        |cause: String| RequestError::invalid_request(StatusCode::NOT_FOUND, "find service", cause);
    if names.len() > MAX_SERVICES {
        return Err(unknown(format!("{} services, allowed: at most {MAX_SERVICES}", names.len())));
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
