//! A machine that asks searchers for others is killed and started again while a request waits.
//!
//! A gathered request reaches `front-1`, which asks the searchers of the other zone through
//! `front-2`. Two shards are slow, so the request is still open when `front-2` has been killed,
//! started again, and used by later requests. Rule MIXED: the body of each success is the greatest
//! records of the parts that it names.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::client::{self, Attempt, Request};
use crate::fleet::{Fleet, Machine, SIGKILL, free_subnet};
use crate::http::Message;
use crate::record::Record;
use crate::searcher::{Ledger, Run, Searcher, Settings, Work};
use crate::store::Store;

const HOST: &str = "hives.example";
const SHARDS: usize = 20;
const TOP_K: usize = 50;
/// The records of a part: 1,000 bytes.
const RECORDS: usize = 62;
const RECORD_LEN: usize = 16;
const MIN_COVERAGE: f64 = 0.95;
const DEADLINE: Duration = Duration::from_secs(4);
/// How long a searcher usually works, and the longest work on one request.
const USUAL_WORK: Duration = Duration::from_millis(28);
const LONG_WORK: Duration = Duration::from_millis(100);
/// The factor by which the work of slow searchers takes longer.
const SLOWDOWN: u32 = 12;
/// The shards whose searchers turn slow: a tenth.
const SLOW_SHARDS: [usize; 2] = [10, 11];
/// When the killed process is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// The interval between the requests of the other clients.
const TRAFFIC_INTERVAL: Duration = Duration::from_millis(100);
/// The number of requests of the other clients.
const TRAFFIC: usize = 8;

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<bool, String> {
    let failed = |error: std::io::Error| error.to_string();
    let subnet = free_subnet(2).ok_or("no free ports")?;
    let store = Store::start(&format!("127.{subnet}.2.1")).map_err(failed)?;
    let ledger = Arc::new(Ledger::default());
    let work: Arc<Work> = Arc::new(work);
    let mut searchers = Vec::new();
    for shard in 0..SHARDS {
        let zone = if shard < SHARDS / 2 { "sogndal" } else { "voss" };
        for replica in 1..=2 {
            let id = format!("i-{shard}-{replica}");
            let settings = Settings {
                id: id.clone(),
                service: service(shard),
                zone: zone.to_owned(),
                slots: 2,
                queue: 12,
            };
            let ip = format!("127.{subnet}.1.{replica}");
            let searcher = Searcher::start(&ip, settings, Arc::clone(&work), &ledger, record)
                .map_err(failed)?;
            store.put(&format!("servers/{id}"), &searcher.entry());
            searchers.push((shard, searcher));
        }
    }
    store.put("op/config", &declaration());
    let machine = |(name, zone, cpu_share): (&str, &str, f64)| Machine {
        name: name.to_owned(),
        zone: zone.to_owned(),
        region: "vestland".to_owned(),
        cpu_share,
    };
    let machines = [("front-1", "voss", 0.25), ("front-2", "sogndal", 0.5)];
    let machines = machines.into_iter().map(machine).collect();
    let mut fleet = Fleet::new(subnet, machines, &store, record).map_err(failed)?;
    for index in 0..2 {
        fleet.start(index, true).map_err(failed)?;
    }
    for index in 0..2 {
        fleet.wait_until_ready(index)?;
    }
    // The machines know each other by now; the traffic starts 10 s after the machines at the users'.
    std::thread::sleep(Duration::from_secs(4));
    let (front, other) = (fleet.front(0), IpAddr::V4(fleet.daemons[1].ip));
    for number in 1..=3 {
        let warm_up = client::send(front, &alert(&format!("warm-up-{number}")), record);
        if warm_up.answer.is_none_or(|answer| answer.status() != 200) {
            return Err("a warm-up request was not served".to_owned());
        }
    }
    if trouble {
        record.note("the searchers of two shards turn slow");
        for (_, searcher) in searchers.iter().filter(|(shard, _)| SLOW_SHARDS.contains(shard)) {
            searcher.slowdown.store(SLOWDOWN, Ordering::Relaxed);
        }
    }
    let first = {
        let record = Arc::clone(record);
        std::thread::spawn(move || client::send(front, &report("first"), &record))
    };
    // The other machine has asked its searchers and replied long before.
    std::thread::sleep(Duration::from_millis(250));
    let asked_by_other = ledger.arrivals("report-first", |from| from == other);
    record.note(&format!("front-2 has asked {asked_by_other} searchers for the first request"));
    if trouble {
        fleet.signal(1, SIGKILL);
        fleet.wait_for_end(1, Instant::now() + Duration::from_secs(1));
        std::thread::sleep(RESTART_DELAY);
        fleet.start(1, false).map_err(failed)?;
        fleet.wait_until_ready(1)?;
    }
    let mut clients = vec![first];
    for number in 1..=TRAFFIC {
        let record = Arc::clone(record);
        let request = report(&format!("later-{number}"));
        clients.push(std::thread::spawn(move || client::send(front, &request, &record)));
        std::thread::sleep(TRAFFIC_INTERVAL);
    }
    let mut attempts = Vec::new();
    for client in clients {
        attempts.push(client.join().map_err(|_| "a client has failed".to_owned())?);
    }
    let runs = ledger.runs();
    let mut mixed = 0;
    for attempt in &attempts {
        if let Err(fault) = check(attempt, &runs) {
            mixed += 1;
            record.note(&format!("MIXED: the answer to {}: {fault}", attempt.id));
        }
    }
    let is_success = |answer: &Message| answer.status() == 200;
    let served =
        attempts.iter().filter(|attempt| attempt.answer.as_ref().is_some_and(is_success)).count();
    record.note(&format!("{} requests, {served} served, {mixed} mixed", attempts.len()));
    if !trouble && served < attempts.len() {
        return Err("not all requests were served without the disruption".to_owned());
    }
    Ok(mixed > 0)
}

/// Checks the answer to a gathered request as the rule MIXED has it.
fn check(attempt: &Attempt, runs: &[Run]) -> Result<(), String> {
    let Some(answer) = attempt.answer.as_ref().filter(|answer| answer.status() / 100 == 2) else {
        return Ok(());
    };
    let stamps: Vec<&str> = answer
        .headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("X-Bergamotstand-Part-Stamps"))
        .flat_map(|(_, value)| value.split(','))
        .map(str::trim)
        .collect();
    let mut services = BTreeSet::new();
    let mut expected = Vec::<[u8; RECORD_LEN]>::new();
    for stamp in &stamps {
        let answered = |run: &&Run| run.ended.is_some_and(|(_, answered)| answered);
        let run = runs.iter().filter(answered).find(|run| run.stamp == *stamp);
        let run = run.ok_or_else(|| format!("{stamp} is no signature of an answer"))?;
        if run.id != attempt.id {
            return Err(format!("{stamp} is the signature of an answer to {}", run.id));
        }
        if !services.insert(&run.service) {
            return Err(format!("two signatures are of {}", run.service));
        }
        let (records, _) = run.body.as_chunks();
        expected.extend(records);
    }
    let missing = answer.header("X-Bergamotstand-Missing-Parts");
    let missing: usize = missing.and_then(|value| value.parse().ok()).unwrap_or(0);
    if stamps.len() + missing != SHARDS {
        return Err(format!("{} parts and {missing} missing of {SHARDS}", stamps.len()));
    }
    if (stamps.len() as f64) < MIN_COVERAGE * SHARDS as f64 {
        return Err(format!("{} parts are less than the required coverage", stamps.len()));
    }
    expected.sort_unstable_by(|a, b| b.cmp(a));
    expected.truncate(TOP_K);
    let (records, _) = answer.body.as_chunks::<RECORD_LEN>();
    if records == expected && records.len() * RECORD_LEN == answer.body.len() {
        return Ok(());
    }
    let lacking = expected.iter().filter(|record| !records.contains(record)).count();
    let foreign: Vec<&[u8; RECORD_LEN]> =
        records.iter().filter(|record| !expected.contains(record)).collect();
    let owner = |record: &[u8; RECORD_LEN]| {
        let holds = |run: &&Run| run.body.as_chunks().0.contains(record);
        runs.iter().find(holds).map_or("nobody", |run| run.id.as_str())
    };
    let owners: BTreeSet<&str> = foreign.iter().map(|record| owner(record)).collect();
    Err(format!(
        "{lacking} of its greatest {TOP_K} records are missing, and {} records of {owners:?} are \
         in their place",
        foreign.len()
    ))
}

/// Returns how long a searcher works on a request, and the records that it answers with.
///
/// The first report finds most in the shards of one zone; everything else is spread evenly.
fn work(service: &str, request: &Message) -> (Duration, Vec<u8>) {
    let target = request.target();
    let shard: usize = service.trim_start_matches("yard-").parse().unwrap_or(0);
    let is_first = target.ends_with("/first");
    let is_slow_shard = SLOW_SHARDS.contains(&shard);
    let work = match () {
        () if target.starts_with("/alerts/") => Duration::from_millis(9),
        () if is_first && is_slow_shard => LONG_WORK,
        () => USUAL_WORK,
    };
    let count = if target.starts_with("/alerts/") { 6 } else { RECORDS };
    let records = (0..count).flat_map(|index| {
        let hash = hash(&format!("{target} {shard} {index}"));
        let rank = match (is_first, shard < SHARDS / 2) {
            (true, true) => 0x80 | (hash >> 56) as u8,
            (true, false) => (hash >> 56) as u8 >> 2,
            (false, _) => (hash >> 56) as u8,
        };
        let mut record = [rank; RECORD_LEN];
        record[1..9].copy_from_slice(&hash.to_be_bytes());
        record
    });
    (work, records.collect())
}

/// The FNV-1a hash, finished so that its first byte is evenly distributed.
fn hash(text: &str) -> u64 {
    let hash = text.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let mixed = (hash ^ hash >> 33).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ mixed >> 33
}

fn service(shard: usize) -> String {
    format!("yard-{shard}")
}

fn report(id: &str) -> Request {
    request(&format!("report-{id}"), &format!("/reports/{id}"))
}

fn alert(id: &str) -> Request {
    request(&format!("alert-{id}"), &format!("/alerts/{id}"))
}

fn request(id: &str, path: &str) -> Request {
    Request {
        id: id.to_owned(),
        method: "GET",
        host: HOST.to_owned(),
        path: path.to_owned(),
        body: Vec::new(),
        deadline: DEADLINE,
    }
}

fn declaration() -> String {
    let shards: Vec<String> = (0..SHARDS).map(|shard| format!("\"{}\"", service(shard))).collect();
    let described = |shard| {
        format!(
            "{{\"name\":\"{}\",\"health_path\":\"/health\",\"max_connections\":26,\
             \"protocol\":\"h1\",\"tls\":false}}",
            service(shard)
        )
    };
    let services: Vec<String> = (0..SHARDS).map(described).collect();
    let (shards, services) = (shards.join(","), services.join(","));
    let millis = DEADLINE.as_millis();
    format!(
        r#"{{"version":3,"routes":[
{{"name":"r-report","host":"{HOST}","prefix":"/reports/","type":"idempotent",
"timeout_ms":{millis},"target_latency_ms":300,"priority":1,"gather":[{shards}],"max_attempts":2,
"top_k":{TOP_K},"min_coverage":{MIN_COVERAGE}}},
{{"name":"r-alert","host":"{HOST}","prefix":"/alerts/","type":"idempotent","timeout_ms":2000,
"target_latency_ms":120,"priority":2,"gather":[{shards}],"max_attempts":2,"top_k":5,
"min_coverage":0.85}}],
"services":[{services}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,
"idle_timeout_ms":15000}}}}"#
    )
}
