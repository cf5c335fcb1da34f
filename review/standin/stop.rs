//! Requests that a machine takes during its planned stop, some seconds after SIGTERM.
//!
//! The clients use an answer of the directory that they got just before the SIGTERM, and whose time
//! has not passed. Rule LOST: each request that is passed on to a searcher gets a complete answer,
//! unless it was sent no later than 3 s after the SIGTERM and is still at work at the end.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::{self, Request};
use crate::fleet::{Fleet, Machine, SIGTERM, free_subnet};
use crate::record::Record;
use crate::searcher::{Ledger, Searcher, Settings, Work};
use crate::store::Store;

const HOST: &str = "hives.example";
/// The time between SIGTERM and SIGKILL.
const GRACE: Duration = Duration::from_secs(6);
/// When the requests are sent, after the SIGTERM.
const SENT_AFTER: Duration = Duration::from_millis(3600);
/// Up to which time after the SIGTERM a request may be cut in the last sixth of the grace period.
const EXCUSED_UP_TO: Duration = Duration::from_secs(3);
/// The deadline and the timeout of the route.
const DEADLINE: Duration = Duration::from_secs(15);
/// How long a searcher works on a request.
const WORK: Duration = Duration::from_millis(1200);
/// Two for each slot of the service: half of them wait at their searcher for a slot.
const REQUESTS: usize = 8;

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<bool, String> {
    let failed = |error: std::io::Error| error.to_string();
    let subnet = free_subnet(3).ok_or("no free ports")?;
    let store = Store::start(&format!("127.{subnet}.2.1")).map_err(failed)?;
    let ledger = Arc::new(Ledger::default());
    let work: Arc<Work> = Arc::new(|_, request| {
        let is_warm_up = request.target().contains("warm-up");
        (if is_warm_up { Duration::from_millis(20) } else { WORK }, b"history".to_vec())
    });
    for (number, zone) in [(1, "voss"), (2, "hamar")] {
        let id = format!("i-history-{number}");
        let settings = Settings {
            id: id.clone(),
            service: "inspector".to_owned(),
            zone: zone.to_owned(),
            slots: 2,
            queue: 8,
        };
        let ip = format!("127.{subnet}.1.{number}");
        let searcher =
            Searcher::start(&ip, settings, Arc::clone(&work), &ledger, record).map_err(failed)?;
        store.put(&format!("servers/{id}"), &searcher.entry());
    }
    store.put("op/config", &declaration());
    let machine = |(name, zone, region): (&str, &str, &str)| Machine {
        name: name.to_owned(),
        zone: zone.to_owned(),
        region: region.to_owned(),
        cpu_share: 0.25,
    };
    let machines = [
        ("front-1", "voss", "vestland"),
        ("front-2", "hamar", "innlandet"),
        ("front-3", "steinkjer", "trondelag"),
    ];
    let machines = machines.into_iter().map(machine).collect();
    let mut fleet = Fleet::new(subnet, machines, &store, record).map_err(failed)?;
    for index in 0..3 {
        fleet.start(index, true).map_err(failed)?;
    }
    for index in 0..3 {
        fleet.wait_until_ready(index)?;
    }
    // The machines know each other by now; the traffic starts 10 s after the machines at the users'.
    std::thread::sleep(Duration::from_secs(4));
    let warm_up = client::send(fleet.front(0), &request("warm-up"), record);
    if warm_up.answer.is_none_or(|answer| answer.status() != 200) {
        return Err("the warm-up request was not served".to_owned());
    }
    let (addresses, ttl) = client::resolve(fleet.directory(0), HOST, "voss", "vestland")
        .ok_or("the directory has no answer")?;
    let resolved = Instant::now();
    record.note(&format!("directory answers {addresses:?} for {} ms", ttl.as_millis()));
    let address = *addresses.first().ok_or("the directory names no address")?;
    if address != fleet.front(0) {
        return Err("the directory does not name the machine of the clients' zone".to_owned());
    }
    let stop_at = Instant::now();
    if trouble {
        fleet.signal(0, SIGTERM);
    }
    std::thread::sleep((stop_at + SENT_AFTER).saturating_duration_since(Instant::now()));
    if resolved.elapsed() >= ttl {
        return Err("the answer of the directory has expired".to_owned());
    }
    let clients: Vec<_> = (1..=REQUESTS)
        .map(|number| {
            let (record, request) = (Arc::clone(record), request(&format!("r{number}")));
            std::thread::spawn(move || client::send(address, &request, &record))
        })
        .collect();
    if trouble {
        fleet.wait_for_end(0, stop_at + GRACE);
    }
    let mut attempts = Vec::new();
    for client in clients {
        attempts.push(client.join().map_err(|_| "a client has failed".to_owned())?);
    }
    // A searcher notices that a connection was closed within some milliseconds.
    std::thread::sleep(Duration::from_millis(100));
    let runs = ledger.runs();
    let mut lost = 0;
    for attempt in &attempts {
        let Some(sent) = attempt.sent else { continue };
        let is_passed_on = ledger.arrivals(&attempt.id, |_| true) > 0;
        let after = sent.saturating_duration_since(stop_at);
        let is_in_time = attempt.ended.saturating_duration_since(sent) < DEADLINE;
        if attempt.answer.is_some() || !is_passed_on || !is_in_time || after <= EXCUSED_UP_TO {
            continue;
        }
        lost += 1;
        let run = runs.iter().find(|run| run.id == attempt.id);
        let state = run.map_or_else(
            || "waited in the queue of its searcher".to_owned(),
            |run| format!("ran at its searcher from {:.1} ms on", record.millis(run.began)),
        );
        record.note(&format!(
            "LOST: {} was sent {} ms after the SIGTERM, {state}, and its connection ended {} ms \
             after the SIGTERM: {}",
            attempt.id,
            after.as_millis(),
            attempt.ended.saturating_duration_since(stop_at).as_millis(),
            attempt.cause
        ));
    }
    let answered = attempts.iter().filter(|attempt| attempt.answer.is_some()).count();
    record.note(&format!("{REQUESTS} requests, {answered} answered, {lost} lost"));
    if !trouble && answered < REQUESTS {
        return Err("not all requests were answered without the disruption".to_owned());
    }
    Ok(lost > 0)
}

fn request(id: &str) -> Request {
    Request {
        id: format!("stop-{id}"),
        method: "POST",
        host: HOST.to_owned(),
        path: format!("/history/{id}"),
        body: b"hive 7".to_vec(),
        deadline: DEADLINE,
    }
}

fn declaration() -> String {
    let millis = DEADLINE.as_millis();
    format!(
        r#"{{"version":3,"routes":[{{"name":"r-history","host":"{HOST}","prefix":"/history/",
"type":"non_idempotent","timeout_ms":{millis},"target_latency_ms":1000,"priority":2,
"service":"inspector","max_attempts":2}}],
"services":[{{"name":"inspector","health_path":"/health","max_connections":110,"protocol":"h1",
"tls":false}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,
"idle_timeout_ms":15000}}}}"#
    )
}
