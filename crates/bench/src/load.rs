//! Seeded open-loop load.
//!
//! Arrivals are drawn ahead of time and don't wait for answers. Latency is measured from
//! the scheduled send time, which avoids coordinated omission.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bergamot_base::{Name, Seed};
use bergamot_config::Settings;
use bergamot_entry::{ErrorBody, QueryAnswer, WriteAnswer};
use bergamot_net::Reply;
use bergamot_query::Hit;
use bergamot_standin::Corpus;
use bergamot_write::Status;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request as HttpRequest, StatusCode};
use rand::RngExt;
use tokio::task::JoinSet;

use crate::caller::{Caller, DEADLINE_GRACE};
use crate::deployment::{Deployment, RequestKind, ServiceSpec};
use crate::history::{Answer, Ending, History, Request};

/// The number of hits that a top query requests.
const TOP_K: usize = 5;

/// A scheduled request.
#[derive(Clone, Debug)]
struct Arrival {
    due: Duration,
    service: usize,
    number: u64,
    zone: usize,
}

/// Draws the arrivals of all services over the duration of a run.
fn arrivals(deployment: &Deployment, seed: Seed, time: Duration, scale: f64) -> Vec<Arrival> {
    let zones = deployment.zones().len();
    let mut arrivals = Vec::new();
    for (service, spec) in deployment.services.iter().enumerate() {
        let mut rng = seed.generator(&format!("arrivals {}", spec.name));
        let mut due = 0.0;
        loop {
            let draw: f64 = rng.random();
            due += -(1.0 - draw).ln() / (spec.rate * scale);
            if due >= time.as_secs_f64() {
                break;
            }
            let (number, zone) = (rng.random(), rng.random_range(0..zones));
            arrivals.push(Arrival { due: Duration::from_secs_f64(due), service, number, zone });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.due);
    arrivals
}

/// The parameters of a load.
#[derive(Clone, Debug)]
pub struct Load {
    /// The seed of the arrivals.
    pub seed: Seed,
    /// The time over which requests arrive.
    pub time: Duration,
    /// A factor on the request rates of the deployment.
    pub scale: f64,
    /// The entries that callers use for address discovery.
    pub entries: Vec<SocketAddr>,
}

impl Load {
    /// Returns the load of a deployment at its configured rates, on all of its instances.
    pub fn of(deployment: &Deployment, time: Duration) -> Self {
        let port = Settings::default().ports.entry_callers;
        let entry = |number| SocketAddr::from((deployment.instance(number), port));
        let entries = (0..deployment.instances).map(entry).collect();
        Self { seed: deployment.seed, time, scale: 1.0, entries }
    }
}

/// Sends load to a deployment and returns the requests with their outcomes.
pub async fn run(deployment: &Deployment, load: Load) -> History {
    let Load { seed, time, scale, entries } = load;
    let callers: Vec<_> = deployment
        .zones()
        .into_iter()
        .map(|(zone, _)| Arc::new(Caller::new(zone, entries.clone())))
        .collect();
    let start = Instant::now();
    let deployment = Arc::new(deployment.clone());
    let requests = Arc::new(Mutex::new(Vec::new()));
    let mut running = JoinSet::new();
    for arrival in arrivals(&deployment, seed, time, scale) {
        let due = start + arrival.due;
        tokio::time::sleep_until(due.into()).await;
        let caller = Arc::clone(&callers[arrival.zone]);
        let (deployment, requests) = (Arc::clone(&deployment), Arc::clone(&requests));
        running.spawn(async move {
            let request = send_request(&deployment, &caller, &arrival, due).await;
            requests.lock().unwrap_or_else(PoisonError::into_inner).push(request);
        });
        while running.try_join_next().is_some() {}
    }
    running.join_all().await;
    let mut requests = requests.lock().unwrap_or_else(PoisonError::into_inner);
    let mut requests = std::mem::take(&mut *requests);
    requests.sort_by_key(|request| request.due_us);
    History { requests, ..History::default() }
}

/// Sends one request and reads its final answer.
async fn send_request(
    deployment: &Deployment,
    caller: &Caller,
    arrival: &Arrival,
    due: Instant,
) -> Request {
    let spec = &deployment.services[arrival.service];
    // Emulates the network delay from the caller to the entry, and below that of the reply.
    tokio::time::sleep(deployment.caller_delay).await;
    let mut request = Request {
        service: Name::from(format!("{}/{}", deployment.workspace, spec.name)),
        due_us: arrival.due.as_micros() as u64,
        took_us: 0,
        deadline_us: spec.deadline.as_micros() as u64,
        ending: Ending::Lost,
        key: None,
        record: matches!(spec.kind, RequestKind::Record | RequestKind::Write)
            .then(|| Corpus::key(arrival.number as usize % spec.documents)),
        answer: None,
        entry: Name::from("no entry"),
    };
    if let Some((entry, prefix)) = caller.address().await {
        request.entry = Name::from(entry.to_string());
        let http = build_request(deployment, spec, arrival, &prefix, &mut request);
        match caller.send(entry, http, spec.deadline + DEADLINE_GRACE).await {
            Ok(reply) => record_reply(spec, &reply, &mut request),
            Err(fault) => {
                log::warn!("load: no final answer to a request to {}: {fault}", request.service);
                caller.invalidate_addresses().await;
            }
        }
    }
    tokio::time::sleep(deployment.caller_delay).await;
    request.took_us = due.elapsed().as_micros() as u64;
    request
}

fn build_request(
    deployment: &Deployment,
    spec: &ServiceSpec,
    arrival: &Arrival,
    prefix: &str,
    request: &mut Request,
) -> HttpRequest<Full<Bytes>> {
    let record = request.record.as_deref().unwrap_or_default();
    let (action, body) = match spec.kind {
        RequestKind::Scan => ("query", serde_json::json!({"shape": "scan"})),
        RequestKind::Top => ("query", serde_json::json!({"shape": "top", "k": TOP_K})),
        RequestKind::Record => ("query", serde_json::json!({"shape": "record", "key": record})),
        RequestKind::Write => ("write", serde_json::json!({"record": record, "body": "entry"})),
    };
    let path = format!("/v1/{}/{}/{action}", deployment.workspace, spec.name);
    let mut http =
        HttpRequest::post(path).header("x-deadline-ms", spec.deadline.as_millis().to_string());
    if spec.kind == RequestKind::Write {
        let key = format!("{prefix}-{:x}", arrival.number);
        http = http.header("idempotency-key", &key);
        request.key = Some(Name::from(key));
    }
    http.body(Full::new(Bytes::from(body.to_string()))).expect("the parts of a request are valid")
}

fn record_reply(spec: &ServiceSpec, reply: &Reply, request: &mut Request) {
    request.ending = error_ending(reply);
    if spec.kind == RequestKind::Write {
        if let Ok(answer) = serde_json::from_slice::<WriteAnswer>(reply.body()) {
            request.ending = match answer.outcome {
                Status::Done => Ending::Complete,
                Status::NotRun => Ending::NotRun,
                Status::Unknown => Ending::Unknown,
            };
        }
        return;
    }
    let Ok(body) = serde_json::from_slice::<QueryAnswer>(reply.body()) else {
        return;
    };
    request.ending = if body.complete { Ending::Complete } else { Ending::Partial };
    let Some(part) = body.services.first() else {
        return;
    };
    let expected = match spec.kind {
        RequestKind::Scan => spec.documents,
        RequestKind::Top => TOP_K,
        RequestKind::Record | RequestKind::Write => 1,
    };
    request.answer = Some(Answer {
        version: part.version,
        epoch: part.epoch,
        asked: part.coverage.asked,
        answered: part.coverage.answered,
        missing: part.coverage.missing.iter().map(|missing| missing.shard).collect(),
        complete: body.complete,
        attempts: body.attempts,
        stamps: stamps(&body.hits),
        hits: body.hits.len(),
        expected,
        foreign: has_foreign_hits(&body.hits, request.record.as_deref()),
    });
}

/// Classifies an error reply by its status and retry-after time.
fn error_ending(reply: &Reply) -> Ending {
    let retry = serde_json::from_slice::<ErrorBody>(reply.body())
        .is_ok_and(|error| error.retry_after_ms.is_some());
    match reply.status() {
        StatusCode::SERVICE_UNAVAILABLE if retry => Ending::Refused,
        _ => Ending::Failed,
    }
}

/// Returns the distinct version and epoch stamps in the hits' bodies, as `v1e1`.
fn stamps(hits: &[Hit]) -> Vec<Name> {
    let stamp = |hit: &Hit| hit.body.split_once('@').map(|(_, stamp)| Name::from(stamp));
    let distinct: HashSet<Name> = hits.iter().filter_map(stamp).collect();
    distinct.into_iter().collect()
}

/// Returns whether a hit is duplicated or has another key than the requested record.
fn has_foreign_hits(hits: &[Hit], record: Option<&str>) -> bool {
    let distinct: HashSet<&str> = hits.iter().map(|hit| &*hit.key).collect();
    let has_other_key = |hit: &Hit| record.is_some_and(|record| record != &*hit.key);
    distinct.len() != hits.len() || hits.iter().any(has_other_key)
}
