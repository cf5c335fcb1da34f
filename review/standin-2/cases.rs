//! The cases.

use std::collections::BTreeSet;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{self, Response};
use crate::platform::{Fleet, Store};
use crate::searcher::{
    DEADLINE, ID, Record, Run, STAMP, Searcher, Verdict, draw, greatest, records,
};

const HOST: &str = "case.example";
const ZONES: [&str; 2] = ["north", "south"];
const TOP_K: usize = 10;
const SHARDS: usize = 8;

/// The clients that send at the same time.
const CLIENTS: usize = 8;

/// Plays a case and returns how the rule was broken.
pub fn play(case: &str, trouble: bool, record: &Arc<Record>) -> io::Result<Vec<String>> {
    match case {
        "failed-part" => failed_part(trouble, record),
        "false-promise" => false_promise(trouble, record),
        "filled-answer" => filled_answer(trouble, record),
        _ => Err(io::Error::other(format!("no case {case}"))),
    }
}

fn work() -> Duration {
    Duration::from_millis(5)
}

/// Declares one route.
fn declare(store: &Store, route: &str, services: &[String]) {
    let services: Vec<String> = services
        .iter()
        .map(|name| format!(r#"{{"name":"{name}","max_connections":26,"health_path":"/health"}}"#))
        .collect();
    let services = services.join(",");
    store.put(
        "op/config",
        &format!(
            r#"{{"version":3,"routes":[{route}],"services":[{services}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":5000,"idle_timeout_ms":20000}}}}"#
        ),
    );
}

/// Sends a request to a daemon, and notes it and its answer.
fn send(
    fleet: &Fleet,
    record: &Record,
    daemon: usize,
    (method, target, id): (&str, &str, &str),
    body: &[u8],
    deadline: u64,
) -> io::Result<Response> {
    let headers =
        [("Host", HOST.to_owned()), (ID, id.to_owned()), (DEADLINE, deadline.to_string())];
    record.note(format_args!("client sends {method} {target} {id} to daemon {daemon}"));
    let timeout = Duration::from_millis(deadline);
    let result = http::call(fleet.front(daemon), method, target, &headers, body, timeout);
    match &result {
        Ok(response) => record.note(format_args!(
            "client gets {} for {id}, {} bytes, stamps {:?} {:?}, missing {:?}",
            response.status,
            response.body.len(),
            response.header(STAMP),
            response.header("X-Bergamotstand-Part-Stamps"),
            response.header("X-Bergamotstand-Missing-Parts"),
        )),
        Err(error) => record.note(format_args!("client gets nothing for {id}: {error}")),
    }
    result
}

/// A searcher of one shard answers part of its requests with a failure that it signs.
fn failed_part(trouble: bool, record: &Arc<Record>) -> io::Result<Vec<String>> {
    let store = Store::start()?;
    let shards: Vec<String> = (0..SHARDS).map(|shard| format!("shard{shard}")).collect();
    let names: Vec<String> = shards.iter().map(|shard| format!(r#""{shard}""#)).collect();
    let route = format!(
        r#"{{"name":"sweep","host":"{HOST}","prefix":"/sweep/","type":"idempotent","timeout_ms":1200,"target_latency_ms":120,"priority":1,"max_attempts":2,"gather":[{}],"top_k":{TOP_K},"min_coverage":0.75}}"#,
        names.join(",")
    );
    declare(&store, &route, &shards);
    let mut searchers = Vec::new();
    for (number, shard) in shards.iter().enumerate() {
        for (zone, place) in ZONES.iter().enumerate() {
            let (id, service) = (format!("i{number}{zone}"), shard.clone());
            let found = move |request: &http::Request| Verdict {
                status: 200,
                body: records(&service, request.header(ID), 12),
                work: work(),
                ..Verdict::default()
            };
            searchers.push(Searcher::start((&id, shard, place), &store, record, found)?);
        }
    }
    let fleet = Fleet::start(&ZONES, store.address)?;
    if trouble {
        // Two of sixteen searchers: 0.125, where the pages allow 0.14.
        for searcher in [&searchers[0], &searchers[5]] {
            record.note(format_args!("{} begins to fail four of ten requests", searcher.id));
            let (id, service) = (searcher.id.clone(), searcher.service.clone());
            searcher.set_behaviour(move |request| {
                let request = request.header(ID);
                if draw(&format!("{id} {request}")) < 0.4 {
                    let body = b"the shard is not loaded on this searcher".to_vec();
                    return Verdict { status: 404, body, work: work(), ..Verdict::default() };
                }
                Verdict {
                    status: 200,
                    body: records(&service, request, 12),
                    work: work(),
                    ..Verdict::default()
                }
            });
        }
    }
    let mut breaks = Vec::new();
    for number in 0..400 {
        let id = format!("a{number:04}");
        let line = ("GET", "/sweep/waiting", &*id);
        let Ok(response) = send(&fleet, record, number % fleet.len(), line, b"", 1200) else {
            continue;
        };
        if response.status / 100 == 2 {
            let runs = record.runs();
            breaks.extend(wrong_merge(&id, &response, &runs, &shards));
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Ok(breaks)
}

/// Returns how a success to a gathered request is wrong.
fn wrong_merge(id: &str, response: &Response, runs: &[Run], shards: &[String]) -> Option<String> {
    let stamps: Vec<&str> =
        response.header("X-Bergamotstand-Part-Stamps").split(',').map(str::trim).collect();
    let missing: usize = response.header("X-Bergamotstand-Missing-Parts").parse().unwrap_or(0);
    let (mut parts, mut services) = (Vec::new(), BTreeSet::new());
    for stamp in &stamps {
        let run = runs.iter().find(|run| run.stamp == *stamp && run.request == id);
        let Some(run) = run else {
            return Some(format!("{id}: {stamp:?} is no signature of an answer to it"));
        };
        if run.status / 100 != 2 {
            let (searcher, status) = (&run.searcher, run.status);
            return Some(format!(
                "{id}: a success names {stamp:?}, with which {searcher} signed its failure {status}"
            ));
        }
        if !services.insert(&run.service) {
            return Some(format!("{id}: two parts of {}", run.service));
        }
        parts.push(run.answer.clone());
    }
    if stamps.len() + missing != shards.len() {
        return Some(format!("{id}: {} parts and {missing} missing", stamps.len()));
    }
    let is_greatest = response.body == greatest(&parts, TOP_K);
    (!is_greatest).then(|| format!("{id}: the body isn't the greatest {TOP_K} records"))
}

/// A searcher runs requests that may run once, and fails part of them with status 503.
fn false_promise(trouble: bool, record: &Arc<Record>) -> io::Result<Vec<String>> {
    let store = Store::start()?;
    let service = "ledger".to_owned();
    let route = format!(
        r#"{{"name":"entry","host":"{HOST}","prefix":"/entry/","type":"non_idempotent","timeout_ms":4000,"target_latency_ms":400,"priority":1,"max_attempts":2,"service":"{service}"}}"#
    );
    declare(&store, &route, std::slice::from_ref(&service));
    let done = |request: &http::Request| Verdict {
        status: 200,
        body: [b"done ", &*request.body].concat(),
        work: Duration::from_millis(30),
        ..Verdict::default()
    };
    let mut searchers = Vec::new();
    for number in 0..8 {
        let id = format!("i{number}");
        let line = (&*id, &*service, ZONES[number % ZONES.len()]);
        searchers.push(Searcher::start(line, &store, record, done)?);
    }
    let fleet = Fleet::start(&ZONES, store.address)?;
    if trouble {
        // One of eight searchers: 0.125, where the pages allow 0.14.
        let searcher = &searchers[0];
        record.note(format_args!("{} begins to fail four of ten requests", searcher.id));
        searcher.set_behaviour(move |request| {
            if draw(request.header(ID)) < 0.4 {
                let body = b"the write is made, its replication timed out".to_vec();
                return Verdict {
                    status: 503,
                    body,
                    work: Duration::from_millis(30),
                    ..Verdict::default()
                };
            }
            done(request)
        });
    }
    let breaks = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (fleet, breaks) = (&fleet, &breaks);
            scope.spawn(move || {
                for number in 0..150 {
                    let sent = spray(fleet, record, (client, number));
                    breaks.lock().unwrap().extend(sent);
                    std::thread::sleep(Duration::from_millis(100));
                }
            });
        }
    });
    Ok(breaks.into_inner().unwrap())
}

/// Sends a request that may run once, and again if the answer promises that it has not run. Returns
/// how such a promise is false.
fn spray(fleet: &Fleet, record: &Record, (client, number): (usize, usize)) -> Option<String> {
    let id = format!("c{client}n{number:03}");
    let body = format!("spray {number} of client {client}");
    let daemon = (client + number) % fleet.len();
    let line = ("POST", "/entry/spray", &*id);
    let response = send(fleet, record, daemon, line, body.as_bytes(), 4000).ok()?;
    if !matches!(response.status, 408 | 421 | 429 | 503) {
        return None;
    }
    let run = record.runs().into_iter().find(|run| run.request == id);
    // The client relies on the promise and sends the spray again, under a new identifier.
    let after = response.header("Retry-After").parse().unwrap_or(0.1_f64);
    std::thread::sleep(Duration::from_secs_f64(after.clamp(0.0, 1.3)));
    let again = format!("{id}r");
    let line = ("POST", "/entry/spray", &*again);
    let _ = send(fleet, record, (daemon + 1) % fleet.len(), line, body.as_bytes(), 2500);
    let (status, searcher) = (response.status, run?.searcher);
    Some(format!("{id}: answered {status}, and {searcher} has run it"))
}

/// Searchers cut some of their answers, and the answer before on the connection comes again, late and
/// in pieces.
fn filled_answer(trouble: bool, record: &Arc<Record>) -> io::Result<Vec<String>> {
    let store = Store::start()?;
    let service = "tablet".to_owned();
    let route = format!(
        r#"{{"name":"record","host":"{HOST}","prefix":"/record/","type":"idempotent","timeout_ms":4000,"target_latency_ms":400,"priority":2,"max_attempts":2,"service":"{service}"}}"#
    );
    declare(&store, &route, std::slice::from_ref(&service));
    let whole = |request: &http::Request| Verdict {
        status: 200,
        body: format!("record for {} ", request.header(ID)).repeat(40).into_bytes(),
        work: work(),
        ..Verdict::default()
    };
    let mut searchers = Vec::new();
    for number in 0..8 {
        let id = format!("i{number}");
        let line = (&*id, &*service, ZONES[number % ZONES.len()]);
        searchers.push(Searcher::start(line, &store, record, whole)?);
    }
    let fleet = Fleet::start(&ZONES, store.address)?;
    if trouble {
        // Four of eight searchers, one of 25 answers: share 0.5, x 0.04.
        for searcher in &searchers[..4] {
            record.note(format_args!("{} begins to stutter", searcher.id));
            searcher.set_behaviour(move |request| {
                let cut = if draw(request.header(ID)) < 0.04 { 40 } else { 0 };
                Verdict { cut, ..whole(request) }
            });
        }
    }
    let breaks = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (fleet, breaks) = (&fleet, &breaks);
            scope.spawn(move || {
                for number in 0..300 {
                    let id = format!("c{client}n{number:03}");
                    let line = ("GET", "/record/aircraft", &*id);
                    let daemon = (client + number) % fleet.len();
                    if let Ok(response) = send(fleet, record, daemon, line, b"", 4000) {
                        breaks.lock().unwrap().extend(wrong_body(&id, &response, &record.runs()));
                    }
                    std::thread::sleep(Duration::from_millis(30));
                }
            });
        }
    });
    Ok(breaks.into_inner().unwrap())
}

/// Returns how a success of one searcher is wrong.
fn wrong_body(id: &str, response: &Response, runs: &[Run]) -> Option<String> {
    if response.status / 100 != 2 {
        return None;
    }
    let stamp = response.header(STAMP);
    let run = runs.iter().find(|run| run.stamp == stamp && run.request == id);
    let Some(run) = run else {
        return Some(format!("{id}: {stamp:?} is no signature of an answer to it"));
    };
    let end = &response.body[response.body.len().saturating_sub(60)..];
    let end = String::from_utf8_lossy(end);
    (response.body != run.answer)
        .then(|| format!("{id}: the body isn't that of {}, it ends with {end:?}", run.searcher))
}
