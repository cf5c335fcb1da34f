//! Control plane costs: fleets of real nodes in one process, at several sizes.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_base::Name;
use bergamot_config::Settings;
use bergamot_members::Role;
use bergamot_node::Node;
use bergamot_standin::{Instance, Platform};
use tokio::runtime::Runtime;

use crate::capacity::fit::Fit;
use crate::capacity::process::{cpu, memory, runtime};
use crate::capacity::size::Size;
use crate::capacity::state::Costs;
use crate::capacity::table::Table;

/// The measured fleet sizes, in instances with two daemons each.
const FLEETS: [usize; 4] = [4, 16, 32, 64];

/// The fleet sizes with `--quick`.
const QUICK_FLEETS: [usize; 3] = [4, 16, 32];

/// The duration of a traffic measurement.
const MEASUREMENT_PERIOD: Duration = Duration::from_secs(10);

/// The number of revisions published to measure the time until they are in force.
const CHANGES: usize = 10;

/// The timeout of a wait for a change at a node.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);

/// The timeout for the rumours of the start to be disseminated.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(150);

/// The measurements at one fleet size.
struct Row {
    daemons: f64,
    datagrams: f64,
    bytes: f64,
    busy_bytes: f64,
    pulls: f64,
    core: f64,
    total_kb: f64,
    reads: f64,
    list_reads: f64,
    reads_after: f64,
    force_p50: f64,
    force_worst: f64,
    join: f64,
}

/// The measured costs of the control plane.
pub(crate) struct Control {
    rows: Vec<Row>,
}

/// A fleet of nodes without a data path.
struct Fleet {
    nodes: Vec<Arc<Node>>,
    platform: Platform,
    members: Runtime,
    _platform_runtime: Runtime,
    instances: usize,
}

pub(crate) fn measure(quick: bool) -> Control {
    let fleets: &[usize] = if quick { &QUICK_FLEETS } else { &FLEETS };
    let rows = fleets.iter().enumerate().map(|(i, instances)| measure_one(i as u8, *instances));
    Control { rows: rows.collect() }
}

fn measure_one(block: u8, instances: usize) -> Row {
    let before = memory();
    let start = Instant::now();
    let fleet = Fleet::start(block, instances);
    let join = start.elapsed().as_secs_f64();
    let daemons = fleet.nodes.len() as f64;
    // Right after the start there are rumours about all members, so every datagram is full.
    let (at_start, began) = (fleet.sums(), Instant::now());
    std::thread::sleep(MEASUREMENT_PERIOD);
    let busy_bytes = (fleet.sums()[1] - at_start[1]) / began.elapsed().as_secs_f64() / daemons;
    fleet.wait_until_gossip_ends();
    let total_kb = (memory() - before) / 1024.0;
    let (sums, counts, cpu_before) = (fleet.sums(), fleet.platform.counts(), cpu("member"));
    std::thread::sleep(MEASUREMENT_PERIOD);
    let seconds = MEASUREMENT_PERIOD.as_secs_f64();
    let (after, counts_after) = (fleet.sums(), fleet.platform.counts());
    let core = (cpu("member") - cpu_before) / seconds / daemons;
    let per_daemon = |index: usize| (after[index] - sums[index]) / seconds / daemons;
    let (mut times, mut reads_after) = (Vec::new(), 0.0_f64);
    for change in 0..CHANGES {
        let reads = fleet.platform.counts().document;
        times.extend(fleet.change(2 + change as u64));
        std::thread::sleep(Duration::from_secs(1));
        reads_after = reads_after.max((fleet.platform.counts().document - reads) as f64);
    }
    times.sort_by(f64::total_cmp);
    let row = Row {
        daemons,
        datagrams: per_daemon(0),
        bytes: per_daemon(1) + per_daemon(3),
        busy_bytes,
        pulls: per_daemon(2),
        core,
        total_kb,
        reads: (counts_after.document - counts.document) as f64 / seconds,
        list_reads: (counts_after.instances - counts.instances) as f64 / seconds,
        reads_after,
        force_p50: times[times.len() / 2],
        force_worst: times.last().copied().unwrap_or(0.0),
        join,
    };
    fleet.close();
    row
}

impl Fleet {
    fn start(block: u8, instances: usize) -> Self {
        let (members, platform_runtime) = (runtime("member", 4), runtime("platform", 2));
        let ip = |number: usize| Ipv4Addr::new(127, 43, block, 10 + number as u8);
        let size = Size { instances, searchers: 200, shards: 20, ..Size::default() };
        let zone = |number: usize| Name::from(format!("zone-{:02}", number % size.zones));
        let [configuration, list] =
            [7300, 7301].map(|port| SocketAddr::from(([127, 43, block, 1], port)));
        let platform = platform_runtime
            .block_on(Platform::start(configuration, list))
            .expect("the address block is reserved for this measurement");
        platform.publish(&size.document(1));
        let listed = (0..instances).map(|number| Instance {
            address: Name::from(ip(number).to_string()),
            zone: zone(number),
            state: Name::from("live"),
        });
        platform.set_instances(listed.collect());
        let starts = (0..instances).flat_map(|n| [(n, Role::Entry), (n, Role::Gather)]);
        let starts = starts.map(|(number, role)| {
            let mut settings = Settings::default();
            settings.instance.address = ip(number);
            settings.instance.zone = zone(number);
            settings.platform.configuration = configuration;
            settings.platform.instances = list;
            async move {
                let node = Node::start(Arc::new(settings), role).await?;
                node.join().await;
                Ok::<_, bergamot_net::NetworkError>(node)
            }
        });
        let starts: Vec<_> = starts.map(|start| members.spawn(start)).collect();
        let nodes = members.block_on(async {
            let mut nodes = Vec::new();
            for start in starts {
                let node = start.await.expect("starting a node does not panic");
                nodes.push(node.expect("the addresses are reserved for this measurement"));
            }
            nodes
        });
        Self { nodes, platform, members, _platform_runtime: platform_runtime, instances }
    }

    /// Returns datagrams sent, datagram bytes sent, completed pulls and bytes pulled, summed
    /// over all nodes.
    fn sums(&self) -> [f64; 4] {
        let mut sums = [0.0; 4];
        for metrics in self.nodes.iter().map(|node| node.metrics()) {
            sums[0] += metrics.datagrams.with_label_values(&["out"]).get() as f64;
            sums[1] += metrics.datagram_bytes.with_label_values(&["out"]).get() as f64;
            sums[2] += metrics.pulls.with_label_values(&["done"]).get() as f64;
            sums[3] += metrics.pull_bytes.get() as f64;
        }
        sums
    }

    /// Waits until no node has rumours left to send, or until a timeout.
    fn wait_until_gossip_ends(&self) {
        let end = Instant::now() + SETTLE_TIMEOUT;
        while Instant::now() < end && self.nodes.iter().any(|node| node.rumour_count() > 0) {
            std::thread::sleep(Duration::from_millis(500));
        }
    }

    /// Publishes a revision and returns the time until it was in force at each node, in seconds.
    fn change(&self, revision: u64) -> Vec<f64> {
        let waits: Vec<_> = self
            .nodes
            .iter()
            .map(|node| {
                let node = Arc::clone(node);
                self.members.spawn(async move {
                    let mut changes = node.changes();
                    let has = || {
                        node.active_document().is_some_and(|now| now.document.revision >= revision)
                    };
                    while !has() {
                        let changed = tokio::time::timeout(CHANGE_TIMEOUT, changes.changed()).await;
                        if changed.is_err() {
                            break;
                        }
                    }
                    Instant::now()
                })
            })
            .collect();
        let size =
            Size { instances: self.instances, searchers: 200, shards: 20, ..Size::default() };
        let start = Instant::now();
        self.platform.publish(&size.document(revision));
        let ends = self.members.block_on(futures::future::join_all(waits));
        let took =
            |end: Result<Instant, _>| end.map_or(0.0, |end: Instant| (end - start).as_secs_f64());
        ends.into_iter().map(took).collect()
    }

    fn close(self) {
        for node in &self.nodes {
            node.close();
        }
        drop(self.platform);
        // Remaining tasks end with the runtime.
        self.members.shutdown_timeout(Duration::from_secs(2));
    }
}

/// The columns of the table of measurements.
const COLUMNS: [&str; 13] = [
    "daemons",
    "datagrams out /s each",
    "bytes /s each, steady",
    "bytes /s each, all is news",
    "pulls /s each",
    "core each, %",
    "memory of all, KB",
    "document reads /s, all",
    "list reads /s, all",
    "document reads in the second after a change, all",
    "in force, p50 ms",
    "in force, worst ms",
    "all joined, s",
];

impl Row {
    fn cells(&self) -> [String; 13] {
        let ms = |seconds: f64| format!("{:.0}", seconds * 1e3);
        [
            self.daemons.to_string(),
            format!("{:.2}", self.datagrams),
            format!("{:.0}", self.bytes),
            format!("{:.0}", self.busy_bytes),
            format!("{:.3}", self.pulls),
            format!("{:.3}", self.core * 100.0),
            format!("{:.0}", self.total_kb),
            format!("{:.2}", self.reads),
            format!("{:.2}", self.list_reads),
            format!("{:.0}", self.reads_after),
            ms(self.force_p50),
            ms(self.force_worst),
            format!("{:.2}", self.join),
        ]
    }
}

impl Control {
    fn fit(&self, x: fn(f64) -> f64, y: fn(&Row) -> f64) -> Fit {
        let points: Vec<_> = self.rows.iter().map(|row| (x(row.daemons), y(row))).collect();
        Fit::of(&points)
    }

    fn mean(&self, y: fn(&Row) -> f64) -> f64 {
        self.rows.iter().map(y).sum::<f64>() / self.rows.len() as f64
    }

    pub(crate) fn tables(&self, size: &Size, state: &Costs) -> Vec<(&'static str, String)> {
        let mut measured = Table::new(&COLUMNS);
        for row in &self.rows {
            measured.row(&row.cells());
        }
        let mut at_size =
            Table::new(&["quantity", "from", "at the letter's size", "the letter allows"]);
        self.traffic(size, state, &mut at_size);
        self.processor(size, state, &mut at_size);
        self.memory(state.megabytes(size), &mut at_size);
        self.changes(size, &mut at_size);
        vec![("control", measured.text()), ("control-at-size", at_size.text())]
    }

    fn traffic(&self, size: &Size, state: &Costs, table: &mut Table) {
        let fit = self.fit(|x| x, |row| row.bytes);
        let (steady, documents) = (self.mean(|row| row.bytes), state.document_bytes(size));
        // Each member sends each change a number of times that grows with the logarithm of
        // the fleet size.
        let changes = size.member_changes();
        let repeats = 3.0 * (size.daemons().log2().floor() + 1.0);
        let news = changes * repeats * RUMOUR_BYTES;
        let from = format!(
            "steady mean {steady:.0} B/s (fit {fit}); members' news {changes:.3}/s x {repeats:.0} x {RUMOUR_BYTES} B = {news:.0} B/s; documents {documents:.0} B/s"
        );
        let total = (steady + news + documents) / 1024.0;
        table.row(&["control bytes, KB/s".into(), from, format!("{total:.2}"), "7".into()]);
        let busy = self.rows.iter().map(|row| row.busy_bytes).fold(0.0, f64::max) / 1024.0;
        let from = "most of the runs; every datagram is full then, so it grows no further";
        table.row(&[
            "control bytes while all is news, KB/s".into(),
            from.into(),
            format!("{busy:.2}"),
            "7".into(),
        ]);
    }

    fn processor(&self, size: &Size, state: &Costs, table: &mut Table) {
        let fit = self.fit(|x| x, |row| row.core * 100.0);
        let (homes, documents) =
            (state.homes_core(size) * 100.0, state.document_core(size) * 100.0);
        let steady = self.mean(|row| row.core) * 100.0;
        let from = format!(
            "steady mean {steady:.3}% (fit {fit}); homes {homes:.3}%; documents {documents:.3}%"
        );
        let total = steady + homes + documents;
        table.row(&[
            "control processor time, % of a core".into(),
            from,
            format!("{total:.2}"),
            "1.1".into(),
        ]);
    }

    /// Uses the memory of the smallest fleet's process as an upper bound for one daemon. A
    /// slope can't be measured, because the allocator retains memory between fleets.
    fn memory(&self, structures: f64, table: &mut Table) {
        let whole = self.rows.first().map_or(0.0, |row| row.total_kb) / 1024.0;
        let daemons = self.rows.first().map_or(0.0, |row| row.daemons);
        let from = format!(
            "the whole process of {daemons} daemons, {whole:.1} MB, as a bound for one; view and two documents {structures:.1} MB"
        );
        let total = whole + structures;
        table.row(&["control memory, MB".into(), from, format!("{total:.1}"), "32".into()]);
    }

    fn changes(&self, size: &Size, table: &mut Table) {
        let force = self.fit(f64::log2, |row| row.force_worst);
        let readers = 2.0 * size.zones as f64;
        let zone = size.daemons() / size.zones as f64;
        let mut row = |what: &str, from: String, value: String, allowed: &str| {
            table.row(&[what.into(), from, value, allowed.into()]);
        };
        let at_size = format!("{:.2}", force.at(size.daemons().log2()));
        let from = format!("x = log2 of daemons: {force}");
        row("a change in force everywhere, worst of ten, s", from, at_size, "6");
        let from = format!("{readers} readers / 20 s + 10 direct");
        row("document reads /s, steady", from, format!("{:.1}", readers / 20.0 + 10.0), "2000");
        let from = format!("{readers} readers renew their watch + 10 direct");
        let reads = format!("{:.0}", readers + 10.0);
        row("document reads in the second after a change", from, reads, "2000");
        let from = format!("{} daemons / {} zones, one read each", size.daemons(), size.zones);
        row("document reads when a zone starts at once", from, format!("{zone:.0}"), "2000");
        row("list reads /s, steady", "50 /s over the fleet".into(), "50".into(), "not given");
    }
}

/// The size of a rumour about a member in a datagram, in bytes, rounded up.
const RUMOUR_BYTES: f64 = 50.0;
