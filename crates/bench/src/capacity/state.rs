//! Processor time and memory of the data structures at sizes up to the design size.

use std::net::Ipv4Addr;
use std::time::Instant;

use bergamot_base::Name;
use bergamot_config::{Document, DocumentTransfer};
use bergamot_members::{
    Datagram, Digest, Endpoint, Homes, Kind, Record, Role, Rumour, State, View,
};

use crate::capacity::fit::Fit;
use crate::capacity::process::memory;
use crate::capacity::size::Size;
use crate::capacity::table::Table;

/// The number of repetitions that a mean cost is measured over.
const ROUNDS: usize = 20;

/// The number of copies of a view whose memory is large enough to measure.
const VIEW_COPIES: usize = 200;

/// The number of copies of a document whose memory is large enough to measure.
const DOCUMENT_COPIES: usize = 10;

/// The measured fleet sizes, in instances.
const FLEETS: [usize; 5] = [50, 100, 200, 450, 900];

/// The measured costs of the data structures.
pub(crate) struct Costs {
    rows: Vec<Row>,
    homes: Fit,
    view: Fit,
    document: DocumentCosts,
}

struct Row {
    daemons: f64,
    homes_ms: f64,
    view_kb: f64,
}

/// The costs of one document of the design size.
struct DocumentCosts {
    bytes: usize,
    parse_ms: f64,
    assemble_ms: f64,
    memory_kb: f64,
    changed_bytes: usize,
    new_homes: f64,
    idle_share: f64,
}

fn view(instances: usize, zones: usize) -> View {
    let mut view = View::default();
    for number in 0..instances {
        for role in [Role::Entry, Role::Gather] {
            let ip = Ipv4Addr::from(0x0a00_0000 + number as u32);
            view.apply(&Record {
                endpoint: Endpoint { ip, role },
                zone: Name::from(format!("zone-{:02}", number % zones)),
                incarnation: 1 + number as u64,
                counter: 0,
                state: State::Alive,
                weight: 0,
                protocol: 0,
            });
        }
    }
    view
}

/// Returns the mean time of a call, in milliseconds.
pub(crate) fn mean_millis(rounds: usize, mut work: impl FnMut()) -> f64 {
    let start = Instant::now();
    for _ in 0..rounds {
        work();
    }
    start.elapsed().as_secs_f64() * 1e3 / rounds as f64
}

/// Measures the mean memory of a value, in kilobytes, over several copies.
///
/// The caller must keep the returned copies until its last measurement: the allocator would
/// reuse freed memory, which would hide the memory of later copies.
fn mean_kilobytes<T>(copies: usize, make: impl Fn() -> T) -> (f64, Vec<T>) {
    let before = memory();
    let values: Vec<T> = (0..copies).map(|_| make()).collect();
    ((memory() - before) / copies as f64 / 1024.0, values)
}

pub(crate) fn measure(size: &Size) -> Costs {
    let (memory_kb, documents) = mean_kilobytes(DOCUMENT_COPIES, || size.parsed(1));
    let mut views = Vec::new();
    let mut rows = Vec::new();
    for instances in FLEETS {
        let part = instances as f64 / size.instances as f64;
        let searchers = (size.searchers as f64 * part) as usize;
        let small = Size { instances, searchers, ..*size };
        let document = small.parsed(1);
        let view = view(instances, size.zones);
        let homes = || {
            Homes::compute(&document.layout, size.regions, view.placement_candidates(Role::Gather))
        };
        let (view_kb, copies) = mean_kilobytes(VIEW_COPIES, || view.clone());
        views.push(copies);
        let homes_ms = mean_millis(ROUNDS, || drop(homes()));
        rows.push(Row { daemons: small.daemons(), homes_ms, view_kb });
    }
    let points =
        |y: fn(&Row) -> f64| rows.iter().map(|row| (row.daemons, y(row))).collect::<Vec<_>>();
    let homes = Fit::of(
        &rows.iter().map(|row| (row.daemons.powi(2) / 1e6, row.homes_ms)).collect::<Vec<_>>(),
    );
    let view = Fit::of(&points(|row| row.view_kb));
    drop((documents, views));
    let document = measure_document(size, memory_kb);
    Costs { rows, homes, view, document }
}

fn measure_document(size: &Size, memory_kb: f64) -> DocumentCosts {
    let text = size.document(1);
    let document = size.parsed(1);
    // The next revision changes the address of one replica.
    let next = text.replacen("10.0.0.1:9000", "10.9.9.9:9000", 1);
    let next = next.replacen("\"revision\":1", "\"revision\":2", 1);
    let next = Document::parse(next.as_bytes()).expect("the changed document is valid");
    let sent = DocumentTransfer::new(&next).omit(&DocumentTransfer::new(&document).hashes());
    let mut wire = Vec::new();
    ciborium::into_writer(&sent, &mut wire).expect("parcels always serialize");
    let (new_homes, idle_share) = measure_replacements(size, &document);
    DocumentCosts {
        bytes: text.len(),
        parse_ms: mean_millis(ROUNDS, || drop(Document::parse(text.as_bytes()))),
        assemble_ms: mean_millis(ROUNDS, || drop(sent.assemble(Some(&document)))),
        memory_kb,
        changed_bytes: wire.len(),
        new_homes,
        idle_share,
    }
}

/// Replaces single gathers, and returns the mean number of new homes per replacement and
/// the share of gathers that are home to no cell.
fn measure_replacements(size: &Size, document: &Document) -> (f64, f64) {
    let members: Vec<Record> =
        view(size.instances, size.zones).placement_candidates(Role::Gather).cloned().collect();
    let homes = |members: &[Record]| Homes::compute(&document.layout, size.regions, members.iter());
    let before = homes(&members);
    let idle_share =
        members.iter().filter(|member| before.cells_of(member.endpoint).is_empty()).count();
    let mut new_homes = 0;
    for number in 0..ROUNDS {
        let mut after = members.clone();
        let replaced = number * size.instances / ROUNDS;
        after[replaced].endpoint.ip = Ipv4Addr::from(0x0a01_0000 + number as u32);
        let after = homes(&after);
        for (cell, of) in after.iter() {
            new_homes += of.iter().filter(|home| !before.of(cell).contains(home)).count();
        }
    }
    (new_homes as f64 / ROUNDS as f64, idle_share as f64 / members.len() as f64)
}

/// Returns the size of a full datagram and of one without rumours, in bytes.
fn datagram_bytes() -> (usize, usize) {
    let full = view(900, 11);
    let records: Vec<Record> = full.iter().take(11).cloned().collect();
    let datagram = |rumours| Datagram {
        kind: Kind::Ping(1 << 20),
        from: records[0].clone(),
        digest: Digest {
            revision: 1800,
            hash: u64::MAX,
            view: u64::MAX,
            members: 1800,
            fresh: true,
            suspicions: u64::MAX,
            spenders: 0,
        },
        rumours,
    };
    let rumours = records[1..].iter().cloned().map(Rumour::Member).collect();
    (bergamot_wire::encode(datagram(rumours)).len(), bergamot_wire::encode(datagram(vec![])).len())
}

impl Costs {
    /// Returns the processor time for computing homes, as a share of a core.
    pub(crate) fn homes_core(&self, size: &Size) -> f64 {
        size.member_changes() * self.homes.at(size.daemons().powi(2) / 1e6) / 1e3
    }

    /// Returns the processor time for applying document changes, as a share of a core.
    pub(crate) fn document_core(&self, size: &Size) -> f64 {
        size.changes / 86_400.0 * self.document.assemble_ms / 1e3
    }

    /// Returns the memory of the view and of two documents, the old and the new one, in MB.
    pub(crate) fn megabytes(&self, size: &Size) -> f64 {
        (self.view.at(size.daemons()) + 2.0 * self.document.memory_kb) / 1024.0
    }

    /// Returns the traffic of document changes at one daemon, in bytes per second.
    pub(crate) fn document_bytes(&self, size: &Size) -> f64 {
        size.changes / 86_400.0 * self.document.changed_bytes as f64
    }

    pub(crate) fn tables(&self) -> Vec<(&'static str, String)> {
        let mut fleets = Table::new(&["daemons", "homes of all cells, ms", "one view, KB"]);
        for Row { daemons, homes_ms, view_kb } in &self.rows {
            fleets.row(&[daemons.to_string(), format!("{homes_ms:.2}"), format!("{view_kb:.0}")]);
        }
        let Self { homes, view, .. } = self;
        fleets
            .note(&format!("Fits: homes (x = daemons² / 10⁶) {homes}; view (x = daemons) {view}."));
        vec![("state", fleets.text()), ("document", self.document.table())]
    }
}

impl DocumentCosts {
    fn table(&self) -> String {
        let (full, bare) = datagram_bytes();
        let mut table = Table::new(&["quantity", "value"]);
        let mut row = |what: &str, value: f64| table.row(&[what.into(), format!("{value:.1}")]);
        row("the document, KB of JSON", self.bytes as f64 / 1024.0);
        row("parsing and verifying it, ms", self.parse_ms);
        row("assembling it from the changed sections and the held ones, ms", self.assemble_ms);
        row("the document in memory, KB", self.memory_kb);
        row("a change of one replica on the wire, KB", self.changed_bytes as f64 / 1024.0);
        row("homes that are new when one gather is replaced, mean of 20", self.new_homes);
        row("gathers that home no cell, %", self.idle_share * 100.0);
        row("a control datagram with ten rumours, bytes", full as f64);
        row("a control datagram without rumours, bytes", bare as f64);
        table.text()
    }
}
