//! What the pure structures cost at sizes up to the letter's.

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

/// How often a cost is measured for its mean.
const ROUNDS: usize = 20;

/// How many copies of a view make memory large enough to be measured.
const COPIES: usize = 200;

/// How many copies of a document do.
const DOCUMENTS: usize = 10;

/// The sizes of fleets, in instances.
const FLEETS: [usize; 5] = [50, 100, 200, 450, 900];

/// What was measured of the pure structures.
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

/// The costs of one document of the letter's size.
struct DocumentCosts {
    bytes: usize,
    parse_ms: f64,
    assemble_ms: f64,
    memory_kb: f64,
    changed_bytes: usize,
    moved: f64,
    idle: f64,
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
            });
        }
    }
    view
}

pub(crate) fn milliseconds(rounds: usize, mut work: impl FnMut()) -> f64 {
    let start = Instant::now();
    for _ in 0..rounds {
        work();
    }
    start.elapsed().as_secs_f64() * 1e3 / rounds as f64
}

/// Measures what one copy of a value takes, by keeping many.
///
/// The copies are kept by the caller: freed memory would hide what the next ones take.
fn kilobytes<T>(copies: usize, make: impl Fn() -> T) -> (f64, Vec<T>) {
    let before = memory();
    let kept: Vec<T> = (0..copies).map(|_| make()).collect();
    ((memory() - before) / copies as f64 / 1024.0, kept)
}

pub(crate) fn measure(size: &Size) -> Costs {
    let (memory_kb, documents) = kilobytes(DOCUMENTS, || size.parsed(1));
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
        let (view_kb, kept) = kilobytes(COPIES, || view.clone());
        views.push(kept);
        let homes_ms = milliseconds(ROUNDS, || drop(homes()));
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
    // One replica of one shard moves, under a new revision.
    let next = text.replacen("10.0.0.1:9000", "10.9.9.9:9000", 1);
    let next = next.replacen("\"revision\":1", "\"revision\":2", 1);
    let next = Document::parse(next.as_bytes()).expect("the changed document is valid");
    let sent = DocumentTransfer::new(&next).omit(&DocumentTransfer::new(&document).hashes());
    let mut wire = Vec::new();
    ciborium::into_writer(&sent, &mut wire).expect("parcels always serialize");
    let (moved, idle) = replaced(size, &document);
    DocumentCosts {
        bytes: text.len(),
        parse_ms: milliseconds(ROUNDS, || drop(Document::parse(text.as_bytes()))),
        assemble_ms: milliseconds(ROUNDS, || drop(sent.assemble(Some(&document)))),
        memory_kb,
        changed_bytes: wire.len(),
        moved,
        idle,
    }
}

/// Replaces one gather after the other, and returns the mean number of homes that are
/// new for each and the part of gathers that home no cell.
fn replaced(size: &Size, document: &Document) -> (f64, f64) {
    let members: Vec<Record> =
        view(size.instances, size.zones).placement_candidates(Role::Gather).cloned().collect();
    let homes = |members: &[Record]| Homes::compute(&document.layout, size.regions, members.iter());
    let before = homes(&members);
    let idle = members.iter().filter(|member| before.cells_of(member.endpoint).is_empty()).count();
    let mut moved = 0;
    for number in 0..ROUNDS {
        let mut after = members.clone();
        let victim = number * size.instances / ROUNDS;
        after[victim].endpoint.ip = Ipv4Addr::from(0x0a01_0000 + number as u32);
        let after = homes(&after);
        for (cell, of) in after.iter() {
            moved += of.iter().filter(|home| !before.of(cell).contains(home)).count();
        }
    }
    (moved as f64 / ROUNDS as f64, idle as f64 / members.len() as f64)
}

/// Returns the size of a full datagram and of one without news, in bytes.
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
        },
        rumours,
    };
    let rumours = records[1..].iter().cloned().map(Rumour::Member).collect();
    (bergamot_wire::encode(datagram(rumours)).len(), bergamot_wire::encode(datagram(vec![])).len())
}

impl Costs {
    /// The processor time for computing the homes, in parts of a core, at the letter's size.
    pub(crate) fn homes_core(&self, size: &Size) -> f64 {
        size.member_changes() * self.homes.at(size.daemons().powi(2) / 1e6) / 1e3
    }

    /// The processor time for taking in changes of the document, in parts of a core.
    pub(crate) fn document_core(&self, size: &Size) -> f64 {
        size.changes / 86_400.0 * self.document.assemble_ms / 1e3
    }

    /// The memory of the view and of the document in force, old and new at once, in MB.
    pub(crate) fn megabytes(&self, size: &Size) -> f64 {
        (self.view.at(size.daemons()) + 2.0 * self.document.memory_kb) / 1024.0
    }

    /// The bytes a second of documents at one daemon.
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
        row("homes that are new when one gather is replaced, mean of 20", self.moved);
        row("gathers that home no cell, %", self.idle * 100.0);
        row("a control datagram with ten rumours, bytes", full as f64);
        row("a control datagram without rumours, bytes", bare as f64);
        table.text()
    }
}
