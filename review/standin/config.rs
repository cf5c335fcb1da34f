//! A configuration that the usual readers of the store can't read.
//!
//! The machines that usually read the store, a third of all, are partitioned from it for some
//! seconds, in which the operator moves a route to another service. The others keep their path to
//! the store. Rule CONFIG: 3 s after the acknowledgement, machines in touch no longer handle requests
//! as only the older version allows. Machines that were cut off are in touch again 4 s after the end
//! of the partition.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::{self, Request};
use crate::fleet::{Fleet, Machine, free_subnet};
use crate::http;
use crate::record::Record;
use crate::searcher::{Ledger, Searcher, Settings, Work};
use crate::store::Store;

const HOST: &str = "tablets.example";
const OLD_SERVICE: &str = "pad-tablet";
const NEW_SERVICE: &str = "glycol-ledger";
/// The routes beside the one that is moved, in a deployment of the size of the users'.
const OTHER_ROUTES: usize = 60;
/// The bounds of the users' pages: `config_apply_ms` and `contact_ms`.
const APPLY: Duration = Duration::from_millis(3000);
const CONTACT: Duration = Duration::from_millis(4000);
/// How much later than the bound a request is sent.
const MARGIN: Duration = Duration::from_millis(200);
/// How long the partition lasts, and when the configuration changes after its begin.
const PARTITION: Duration = Duration::from_millis(9000);
const CHANGE_AFTER: Duration = Duration::from_millis(2000);
/// When the machines are asked for the last time, after the end of the partition.
const LAST_LOOK: Duration = Duration::from_secs(20);
/// How often each machine in touch is asked, and the interval.
const ROUNDS: usize = 6;
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// The machines of each zone.
const MACHINES_PER_ZONE: usize = 6;
/// The largest share of the machines that is cut off at once on the users' days.
const LARGEST_SHARE: f64 = 0.35;

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<bool, String> {
    let failed = |error: std::io::Error| error.to_string();
    let subnet = free_subnet(MACHINES_PER_ZONE as u8 * 3).ok_or("no free ports")?;
    let store = Store::start(&format!("127.{subnet}.2.1")).map_err(failed)?;
    let ledger = Arc::new(Ledger::default());
    let work: Arc<Work> = Arc::new(|_, _| (Duration::from_millis(20), b"fluid record".to_vec()));
    let zones = ["yvr-south", "ylw-east", "yxs-main"];
    for service in [OLD_SERVICE, NEW_SERVICE] {
        for (number, zone) in zones.iter().enumerate() {
            let id = format!("i-{service}-{number}");
            let settings = Settings {
                id: id.clone(),
                service: service.to_owned(),
                zone: (*zone).to_owned(),
                slots: 2,
                queue: 8,
            };
            let ip = format!("127.{subnet}.1.{}", number + 1);
            let searcher = Searcher::start(&ip, settings, Arc::clone(&work), &ledger, record)
                .map_err(failed)?;
            store.put(&format!("servers/{id}"), &searcher.entry());
        }
    }
    store.put("op/config", &declaration(3, OLD_SERVICE));
    let mut fleet = Fleet::new(subnet, machines(), &store, record).map_err(failed)?;
    let count = fleet.daemons.len();
    for index in 0..count {
        fleet.start(index, true).map_err(failed)?;
    }
    for index in 0..count {
        fleet.wait_until_ready(index)?;
    }
    // The machines know each other by now; the traffic starts 10 s after the machines at the users'.
    std::thread::sleep(Duration::from_secs(4));
    for index in 0..count {
        let id = format!("before-{index}");
        client::send(fleet.front(index), &request(&id), record);
        if ran_at(&ledger, &id).as_deref() != Some(OLD_SERVICE) {
            return Err(format!("machine {index} did not serve the first version"));
        }
    }
    let mut cut = BTreeSet::new();
    for index in 0..count {
        if duty(&fleet, index).ok_or("a machine has no page for operators")? != "Follower" {
            cut.insert(index);
        }
    }
    if cut.len() as f64 > LARGEST_SHARE * count as f64 {
        return Err(format!("{} of {count} machines read the store", cut.len()));
    }
    let begun = Instant::now();
    if trouble {
        let names: Vec<&str> =
            cut.iter().map(|index| fleet.daemons[*index].machine.name.as_str()).collect();
        record.note(&format!("{names:?} are partitioned from the store"));
        store.cut_off(cut.iter().map(|index| IpAddr::V4(fleet.daemons[*index].ip)).collect());
    } else {
        cut.clear();
    }
    sleep_until(begun + CHANGE_AFTER);
    store.put("op/config", &declaration(5, NEW_SERVICE));
    let acknowledged = Instant::now();
    record.note(&format!("version 5 is acknowledged: the route moves to {NEW_SERVICE}"));
    sleep_until(acknowledged + APPLY + MARGIN);
    let never_cut = |index: &usize| !cut.contains(index);
    let machines: Vec<usize> = (0..count).filter(never_cut).collect();
    let during = ask(&fleet, &machines, "during", &ledger, acknowledged, record);
    sleep_until(begun + PARTITION);
    store.cut_off(BTreeSet::new());
    let healed = Instant::now();
    record.note("the partition has ended");
    sleep_until(healed + CONTACT + MARGIN);
    let machines: Vec<usize> = (0..count).collect();
    let after = ask(&fleet, &machines, "after", &ledger, acknowledged, record);
    sleep_until(healed + LAST_LOOK);
    let later = ask(&fleet, &machines, "later-after", &ledger, acknowledged, record);
    Ok(during + after + later > 0)
}

/// Sends requests to machines in touch. Returns how many were handled as only the older version
/// allows.
fn ask(
    fleet: &Fleet,
    machines: &[usize],
    phase: &str,
    ledger: &Ledger,
    acknowledged: Instant,
    record: &Record,
) -> usize {
    let (mut sent, mut stale, mut stale_machines) = (0, 0, BTreeSet::new());
    for round in 0..ROUNDS {
        for index in machines {
            let name = &fleet.daemons[*index].machine.name;
            let id = format!("{phase}-{round}-{name}");
            let late = acknowledged.elapsed().as_millis();
            client::send(fleet.front(*index), &request(&id), record);
            sent += 1;
            if ran_at(ledger, &id).as_deref() == Some(OLD_SERVICE) {
                stale += 1;
                stale_machines.insert(name.as_str());
                record.note(&format!(
                    "CONFIG: {id} was sent {late} ms after the acknowledgement of version 5 and was \
                     run by {OLD_SERVICE}"
                ));
            }
        }
        std::thread::sleep(ROUND_INTERVAL);
    }
    record.note(&format!(
        "{phase} the partition: {sent} requests to {} machines in touch, {stale} handled as only \
         version 3 allows, at {stale_machines:?}",
        machines.len()
    ));
    stale
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Returns the service that ran a request.
fn ran_at(ledger: &Ledger, id: &str) -> Option<String> {
    let runs = ledger.runs();
    runs.into_iter().find(|run| run.id == id).map(|run| run.service)
}

/// Returns the part of a machine in reading the store, from its page for operators.
fn duty(fleet: &Fleet, index: usize) -> Option<String> {
    let address = SocketAddr::from((fleet.daemons[index].ip, 9464));
    let page = http::get(address, "/state", Duration::from_secs(1)).ok()?;
    let page = String::from_utf8(page.body).ok()?;
    page.lines().next()?.split("duty ").nth(1).map(str::to_owned)
}

fn machines() -> Vec<Machine> {
    let zones =
        [("yvr-south", "lower-mainland"), ("ylw-east", "okanagan"), ("yxs-main", "northern-bc")];
    let machine = |number: usize| {
        let (zone, region) = zones[number % zones.len()];
        Machine {
            name: format!("front-{zone}-{}", number / zones.len() + 1),
            zone: zone.to_owned(),
            region: region.to_owned(),
            cpu_share: 0.25,
        }
    };
    (0..MACHINES_PER_ZONE * zones.len()).map(machine).collect()
}

fn request(id: &str) -> Request {
    Request {
        id: id.to_owned(),
        method: "GET",
        host: HOST.to_owned(),
        path: format!("/records/{id}"),
        body: Vec::new(),
        deadline: Duration::from_secs(4),
    }
}

fn declaration(version: u64, service: &str) -> String {
    let others: Vec<String> = (0..OTHER_ROUTES)
        .map(|number| {
            format!(
                "{{\"name\":\"r-other-{number}\",\"host\":\"{HOST}\",\"prefix\":\"/other-{number}/\",\
                 \"type\":\"idempotent\",\"timeout_ms\":4000,\"target_latency_ms\":400,\
                 \"priority\":2,\"service\":\"{OLD_SERVICE}\",\"max_attempts\":2}}"
            )
        })
        .collect();
    let services: Vec<String> = [OLD_SERVICE, NEW_SERVICE]
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":110,\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-records","host":"{HOST}",
"prefix":"/records/","type":"idempotent","timeout_ms":4000,"target_latency_ms":400,"priority":2,
"service":"{service}","max_attempts":2}},{}],"services":[{}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,
"idle_timeout_ms":15000}}}}"#,
        others.join(","),
        services.join(",")
    )
}
