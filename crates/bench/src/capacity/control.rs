//! The control plane: real nodes as tasks of one process, at several sizes.

use std::fmt::Write as _;
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

/// The sizes of fleets, in instances with two daemons each.
const FLEETS: [usize; 5] = [4, 16, 32, 64, 128];

/// The sizes for a quick look.
const QUICK: [usize; 3] = [4, 16, 32];

/// How long the steady state is watched.
const STEADY: Duration = Duration::from_secs(10);

/// How many changes are published for the time to force.
const CHANGES: usize = 10;

/// How long a change may take before the run is given up.
const LONGEST: Duration = Duration::from_secs(30);

/// What was measured at one size.
struct Row {
    daemons: f64,
    datagrams: f64,
    bytes: f64,
    pulls: f64,
    core: f64,
    memory_kb: f64,
    reads: f64,
    list_reads: f64,
    reads_after: f64,
    force_p50: f64,
    force_worst: f64,
    join: f64,
}

/// What was measured of the control plane.
pub(crate) struct Control {
    rows: Vec<Row>,
}

/// A fleet of nodes without a data path.
struct Fleet {
    nodes: Vec<Arc<Node>>,
    platform: Platform,
    members: Runtime,
    _others: Runtime,
    instances: usize,
}

pub(crate) fn measure(quick: bool) -> Control {
    let fleets: &[usize] = if quick { &QUICK } else { &FLEETS };
    let rows = fleets.iter().enumerate().map(|(i, instances)| measure_one(i as u8, *instances));
    Control { rows: rows.collect() }
}

fn measure_one(block: u8, instances: usize) -> Row {
    let before = memory();
    let start = Instant::now();
    let fleet = Fleet::start(block, instances);
    let join = start.elapsed().as_secs_f64();
    // Rumours of the start die down first.
    std::thread::sleep(STEADY);
    let daemons = fleet.nodes.len() as f64;
    let memory_kb = (memory() - before) / daemons / 1024.0;
    let (sums, counts, cpu_before) = (fleet.sums(), fleet.platform.counts(), cpu("member"));
    std::thread::sleep(STEADY);
    let seconds = STEADY.as_secs_f64();
    let (after, counts_after) = (fleet.sums(), fleet.platform.counts());
    let core = (cpu("member") - cpu_before) / seconds / daemons;
    let each = |index: usize| (after[index] - sums[index]) / seconds / daemons;
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
        datagrams: each(0),
        bytes: each(1) + each(3),
        pulls: each(2),
        core,
        memory_kb,
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
        let (members, others) = (runtime("member", 4), runtime("platform", 2));
        let ip = |number: usize| Ipv4Addr::new(127, 43, block, 10 + number as u8);
        let size = Size { instances, searchers: 200, shards: 20, ..Size::default() };
        let zone = |number: usize| Name::from(format!("zone-{:02}", number % size.zones));
        let [configuration, list] =
            [7300, 7301].map(|port| SocketAddr::from(([127, 43, block, 1], port)));
        let platform = others
            .block_on(Platform::start(configuration, list))
            .expect("the block is the measurement's own");
        platform.publish(&size.document(1));
        let listed = (0..instances).map(|number| Instance {
            address: Name::from(ip(number).to_string()),
            zone: zone(number),
            state: Name::from("live"),
        });
        platform.list(listed.collect());
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
                Ok::<_, bergamot_net::Fault>(node)
            }
        });
        let starts: Vec<_> = starts.map(|start| members.spawn(start)).collect();
        let nodes = members.block_on(async {
            let mut nodes = Vec::new();
            for start in starts {
                let node = start.await.expect("starting does not panic");
                nodes.push(node.expect("the addresses are the measurement's own"));
            }
            nodes
        });
        Self { nodes, platform, members, _others: others, instances }
    }

    /// Datagrams and bytes sent, pulls begun and bytes pulled, over all nodes.
    fn sums(&self) -> [f64; 4] {
        let mut sums = [0.0; 4];
        for meter in self.nodes.iter().map(|node| node.meter()) {
            sums[0] += meter.datagrams.with_label_values(&["out"]).get() as f64;
            sums[1] += meter.datagram_bytes.with_label_values(&["out"]).get() as f64;
            sums[2] += meter.pulls.with_label_values(&["done"]).get() as f64;
            sums[3] += meter.pull_bytes.get() as f64;
        }
        sums
    }

    /// Publishes a revision and returns when it was in force at each node, in seconds.
    fn change(&self, revision: u64) -> Vec<f64> {
        let waits: Vec<_> = self
            .nodes
            .iter()
            .map(|node| {
                let node = Arc::clone(node);
                self.members.spawn(async move {
                    let mut changes = node.changes();
                    let has =
                        || node.current().is_some_and(|now| now.document.revision >= revision);
                    while !has() {
                        let changed = tokio::time::timeout(LONGEST, changes.changed()).await;
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
        // What is left of the tasks ends with the runtime.
        self.members.shutdown_timeout(Duration::from_secs(2));
    }
}

impl Control {
    fn fit(&self, x: fn(f64) -> f64, y: fn(&Row) -> f64) -> Fit {
        let points: Vec<_> = self.rows.iter().map(|row| (x(row.daemons), y(row))).collect();
        Fit::of(&points)
    }

    pub(crate) fn tables(&self, size: &Size, state: &Costs) -> Vec<(&'static str, String)> {
        let mut measured = String::from(
            "| daemons | datagrams out /s each | bytes /s each | pulls /s each | core each, % | memory each, KB | document reads /s, all | list reads /s, all | document reads in the second after a change, all | in force, p50 ms | in force, worst ms | all joined, s |\n|---|---|---|---|---|---|---|---|---|---|---|---|\n",
        );
        for row in &self.rows {
            let _ = writeln!(
                measured,
                "| {} | {:.2} | {:.0} | {:.3} | {:.3} | {:.0} | {:.2} | {:.2} | {:.0} | {:.0} | {:.0} | {:.2} |",
                row.daemons,
                row.datagrams,
                row.bytes,
                row.pulls,
                row.core * 100.0,
                row.memory_kb,
                row.reads,
                row.list_reads,
                row.reads_after,
                row.force_p50 * 1e3,
                row.force_worst * 1e3,
                row.join
            );
        }
        vec![("control", measured), ("control-at-size", self.at_size(size, state))]
    }

    /// What the fits give at the letter's size, beside what the letter allows.
    fn at_size(&self, size: &Size, state: &Costs) -> String {
        let daemons = size.daemons();
        let same = |x: f64| x;
        let bytes = self.fit(same, |row| row.bytes);
        let core = self.fit(same, |row| row.core);
        let memory = self.fit(same, |row| row.memory_kb);
        let force = self.fit(f64::log2, |row| row.force_worst);
        let log = f64::log2(daemons);
        // News of members: each change is told by each member a bounded number of times.
        let changes = (3.0 * size.restarts + 2.0 * size.failures) / 86_400.0;
        let repeats = 3.0 * (log.floor() + 1.0);
        let rumour_bytes = changes * repeats * 70.0;
        let mut table = String::from(
            "| quantity | from | at the letter's size | the letter allows |\n|---|---|---|---|\n",
        );
        let mut row = |what: &str, from: String, value: String, allowed: &str| {
            let _ = writeln!(table, "| {what} | {from} | {value} | {allowed} |");
        };
        let total = bytes.at(daemons) + rumour_bytes + state.document_bytes(size);
        row(
            "control bytes out, KB/s",
            format!(
                "steady {bytes}; members' news {changes:.3}/s x {repeats:.0} x 70 B; documents {:.0} B/s",
                state.document_bytes(size)
            ),
            format!("{:.2}", total / 1024.0),
            "7",
        );
        let cores = core.at(daemons) + state.homes_core(size) + state.document_core(size);
        row(
            "control processor time, % of a core",
            format!(
                "steady {core} of a core; homes {:.3}%; documents {:.3}%",
                state.homes_core(size) * 100.0,
                state.document_core(size) * 100.0
            ),
            format!("{:.2}", cores * 100.0),
            "1.1",
        );
        row(
            "control memory, MB",
            format!("node {memory} KB; view and two documents {:.1} MB", state.megabytes(size)),
            format!("{:.1}", memory.at(daemons) / 1024.0 + state.megabytes(size)),
            "32",
        );
        row(
            "a change in force everywhere, worst, s",
            format!("x = log2 of daemons: {force}"),
            format!("{:.2}", force.at(log)),
            "6",
        );
        let readers = 2.0 * size.zones as f64;
        row(
            "document reads /s, steady",
            format!("{readers} readers / 20 s + 10 /s direct"),
            format!("{:.1}", readers / 20.0 + 10.0),
            "2000",
        );
        row(
            "document reads in the second after a change",
            format!("{readers} readers renew their watch + 10 direct"),
            format!("{:.0}", readers + 10.0),
            "2000",
        );
        row(
            "document reads when a zone starts at once",
            format!("{daemons} / {} daemons, one read each", size.zones),
            format!("{:.0}", daemons / size.zones as f64),
            "2000 in a second",
        );
        row(
            "list reads /s, steady",
            "50 /s over the fleet".to_owned(),
            "50".to_owned(),
            "not given",
        );
        table
    }
}
