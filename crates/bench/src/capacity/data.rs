//! Data path costs: one entry and one gather against searchers without service time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_base::Seed;
use bergamot_config::Settings;
use bergamot_net::Client;
use bergamot_standin::{Platform, Searcher};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::Request;

use crate::capacity::fit::Fit;
use crate::capacity::process::{cpu, runtime};
use crate::capacity::size::Size;
use crate::capacity::table::Table;
use crate::deployment::{Deployment, RequestKind, ServiceSpec};

/// The measured fan-outs, in shards per query.
const FAN_OUTS: [usize; 4] = [5, 20, 50, 100];

/// The duration of load at each fan-out.
const LOAD_DURATION: Duration = Duration::from_secs(6);

/// The number of concurrent callers, each with one query at a time.
const CALLERS: usize = 4;

struct Row {
    shards: f64,
    queries: f64,
    entry_us: f64,
    gather_us: f64,
    p50: f64,
    p99: f64,
    attempts: f64,
}

/// The measured costs of the data path.
pub(crate) struct Data {
    rows: Vec<Row>,
}

pub(crate) fn measure(quick: bool) -> Data {
    let shards = if quick { &FAN_OUTS[..2] } else { &FAN_OUTS[..] };
    Data {
        rows: shards.iter().enumerate().map(|(i, shards)| measure_one(i as u8, *shards)).collect(),
    }
}

fn deployment(block: u8, shards: usize) -> Deployment {
    let mut deployment = Deployment::fraser_basin([44, block], Seed(1));
    let template = deployment.services[0].clone();
    let limits = bergamot_standin::Limits {
        slots: 4,
        connections: 25,
        // Leaves only the time of the entry and the gather.
        service_time: Duration::ZERO,
        connect_cost: Duration::ZERO,
    };
    let service = ServiceSpec {
        shards,
        limits,
        kind: RequestKind::Top,
        documents: 20 * shards,
        deadline: Duration::from_secs(1),
        ..template
    };
    deployment.services = vec![service];
    deployment.instances = 1;
    deployment
}

fn measure_one(block: u8, shards: usize) -> Row {
    let deployment = deployment(block, shards);
    let others = runtime("standin", 3);
    let entry_runtime = runtime("entry", 2);
    let gather_runtime = runtime("gather", 2);
    let settings = Arc::new(deployment.settings(0, &Settings::default()));
    let [configuration, list] = deployment.platform();
    let (platform, searchers) = others.block_on(async {
        let platform = Platform::start(configuration, list)
            .await
            .expect("the address block is reserved for this measurement");
        platform.publish(&deployment.document(1));
        platform.set_instances(deployment.list(0..1));
        let mut searchers = Vec::new();
        for (_, mut settings) in deployment.searchers(&[1]) {
            settings.topology = Arc::default();
            searchers.push(
                Searcher::start(settings)
                    .await
                    .expect("the address block is reserved for this measurement"),
            );
        }
        (platform, searchers)
    });
    let (for_gather, for_entry) = (Arc::clone(&settings), settings);
    let gather = gather_runtime
        .block_on(bergamot_gather::Gather::start(for_gather))
        .expect("the address block is reserved for this measurement");
    let entry = entry_runtime
        .block_on(bergamot_entry::Entry::start(for_entry))
        .expect("the address block is reserved for this measurement");
    std::thread::sleep(Duration::from_secs(2));
    others.block_on(send_queries(&deployment, Duration::from_millis(500)));
    let before = (cpu("entry"), cpu("gather"), attempts(&searchers));
    let (times, queries) = others.block_on(send_queries(&deployment, LOAD_DURATION));
    let queries = queries as f64;
    let row = Row {
        shards: shards as f64,
        queries,
        entry_us: (cpu("entry") - before.0) * 1e6 / queries,
        gather_us: (cpu("gather") - before.1) * 1e6 / queries,
        p50: times.value_at_quantile(0.5) as f64 / 1e3,
        p99: times.value_at_quantile(0.99) as f64 / 1e3,
        attempts: (attempts(&searchers) - before.2) as f64 / queries / shards as f64,
    };
    drop((entry, gather, platform, searchers));
    for runtime in [entry_runtime, gather_runtime, others] {
        runtime.shutdown_timeout(Duration::from_secs(1));
    }
    row
}

fn attempts(searchers: &[Searcher]) -> usize {
    searchers.iter().map(Searcher::searches).sum()
}

/// Sends queries from several callers in a closed loop; returns the latencies in µs and the
/// number of successful queries.
async fn send_queries(deployment: &Deployment, time: Duration) -> (Histogram<u64>, u64) {
    let entry = (deployment.instance(0), 7400).into();
    let path = format!("/v1/{}/{}/query", deployment.workspace, deployment.services[0].name);
    let callers = (0..CALLERS).map(|_| {
        let path = path.clone();
        tokio::spawn(async move {
            let mut times = Histogram::<u64>::new(3).expect("the precision is valid");
            let local = std::net::Ipv4Addr::UNSPECIFIED;
            let mut client = Client::connect(local, entry, time).await.expect("the entry listens");
            let end = Instant::now() + time;
            while Instant::now() < end {
                let body = Full::new(Bytes::from_static(br#"{"shape": "top", "k": 5}"#));
                let request = Request::post(&path).body(body).expect("a valid request");
                let start = Instant::now();
                if client.send(request).await.is_ok_and(|reply| reply.status().is_success()) {
                    let took = start.elapsed().as_micros() as u64;
                    times.record(took).expect("the histogram grows");
                }
            }
            times
        })
    });
    let mut all = Histogram::<u64>::new(3).expect("the precision is valid");
    for times in futures::future::join_all(callers).await.into_iter().flatten() {
        all.add(times).expect("both histograms have the same precision");
    }
    let count = all.len();
    (all, count)
}

impl Data {
    pub(crate) fn tables(&self, size: &Size) -> Vec<(&'static str, String)> {
        let fit = |y: fn(&Row) -> f64| {
            let points: Vec<_> = self.rows.iter().map(|row| (row.shards, y(row))).collect();
            Fit::of(&points)
        };
        let (entry, gather) = (fit(|row| row.entry_us), fit(|row| row.gather_us));
        let mut measured = Table::new(&COLUMNS);
        for row in &self.rows {
            measured.row(&row.cells());
        }
        measured.note(&format!("Fits (x = shards): entry {entry} µs; gather {gather} µs."));
        vec![("data", measured.text()), ("data-at-size", at_size(size, entry, gather))]
    }
}

/// The columns of the table of measurements.
const COLUMNS: [&str; 7] = [
    "shards",
    "queries answered",
    "entry, µs of processor a query",
    "gather, µs of processor a query",
    "p50 ms",
    "p99 ms",
    "sub-queries a shard",
];

impl Row {
    fn cells(&self) -> [String; 7] {
        [
            self.shards.to_string(),
            self.queries.to_string(),
            format!("{:.0}", self.entry_us),
            format!("{:.0}", self.gather_us),
            format!("{:.2}", self.p50),
            format!("{:.2}", self.p99),
            format!("{:.3}", self.attempts),
        ]
    }
}

/// Extrapolates the fits to the design size.
fn at_size(size: &Size, entry: Fit, gather: Fit) -> String {
    let fan_out = size.fan_out as f64;
    let per_entry = size.queries / size.instances as f64;
    let per_gather = size.queries * fan_out / size.instances as f64;
    let mut table = Table::new(&["quantity", "sum", "value"]);
    let mut row = |what: &str, sum: String, value: f64| {
        table.row(&[what.into(), sum, format!("{value:.1}")]);
    };
    let Fit { base, slope, .. } = entry;
    let sum = format!("{per_entry:.0} queries/s x ({base:.0} + {slope:.1} x {fan_out}) µs");
    row("entry, cores", sum, per_entry * entry.at(fan_out) / 1e6);
    let cores = per_gather * gather.slope / 1e6;
    let sum = format!("{per_gather:.0} sub-queries/s x {:.1} µs", gather.slope);
    row("gather, cores, one HTTP exchange a sub-query", sum, cores);
    row("what batching has to save for 4 cores a gather, times", "cores / 4".into(), cores / 4.0);
    let sum = format!("{per_gather:.0} x {SUB_QUERY_BYTES} B");
    let what = "traffic of a gather at 500 B a sub-query (a guess), MB/s";
    row(what, sum, per_gather * SUB_QUERY_BYTES / 1e6);
    table.text()
}

/// The assumed size of a sub-query and its reply on the wire, in bytes; not measured.
const SUB_QUERY_BYTES: f64 = 500.0;
