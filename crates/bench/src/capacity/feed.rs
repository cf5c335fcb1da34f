//! The cost of distributing a declaration to the members, at the design size.

use bergamot_base::{Name, Position, hash_bytes};
use bergamot_feed::{Chunks, FANOUT, ancestors};
use bergamot_wire::{Manifest, Value};

use crate::capacity::size::Size;
use crate::capacity::state::mean_millis;
use crate::capacity::table::Table;

/// The number of routes in the declaration: the expected size of the largest in use.
const ROUTES: usize = 2_850;

/// The bandwidth of the slowest instance links, in bytes per second (14 Mbit/s).
const LINK_BYTES_PER_S: f64 = 14e6 / 8.0;

/// The round-trip time between availability zones of a region, in seconds.
const ROUND_TRIP_S: f64 = 0.003;

/// The maximum size of a reply with chunks, in bytes.
const MAX_REPLY_BYTES: f64 = 16_384.0;

/// The number of repetitions that a mean cost is measured over.
const ROUNDS: usize = 20;

fn declaration(changed: Option<usize>) -> Vec<u8> {
    let route = |number: usize| {
        let name = hash_bytes(&number.to_le_bytes());
        let service = if changed == Some(number) { "service-1" } else { "service-0" };
        format!(
            r#"{{"name":"r{name:x}","host":"x.example","prefix":"/{name:x}/","type":"idempotent","timeout_ms":1000,"target_latency_ms":100,"priority":1,"service":"{service}","max_attempts":2}},"#
        )
    };
    (0..ROUTES).flat_map(|number| route(number).into_bytes()).collect()
}

fn split(chunks: &mut Chunks, revision: u64, value: &[u8]) -> Manifest {
    match chunks.split(&Name::from("declaration"), Position::from(revision).into(), value.to_vec())
    {
        Value::Chunked(manifest) => manifest,
        Value::Deleted | Value::Inline(_) => Manifest { hash: 0, chunks: Vec::new() },
    }
}

/// Returns the table of distribution costs.
pub(crate) fn table(size: &Size) -> String {
    let (before, after) = (declaration(None), declaration(Some(ROUTES / 2)));
    let mut chunks = Chunks::default();
    let first = split(&mut chunks, 1, &before);
    let split_ms = mean_millis(ROUNDS, || drop(split(&mut Chunks::default(), 1, &before)));
    let assemble_ms = mean_millis(ROUNDS, || drop(chunks.assemble(&first)));
    let mut follower = chunks.clone();
    let second = split(&mut chunks, 2, &after);
    follower.register(&Name::from("declaration"), Position::from(2).into(), &second);
    let missing = follower.missing(&second);
    let changed: usize = chunks.select(&missing, usize::MAX).iter().map(Vec::len).sum();
    let members = size.daemons() / size.regions as f64;
    let levels = ancestors(members as usize - 1).count() as f64;
    let kilobytes = |bytes: usize| bytes as f64 / 1024.0;
    let (whole, copies) = (before.len() as f64, FANOUT as f64);
    let descent = levels * (copies * MAX_REPLY_BYTES / LINK_BYTES_PER_S + ROUND_TRIP_S);
    let mut table = Table::new(&["quantity", "from", "value"]);
    let mut row = |what: &str, from: String, value: f64| {
        table.row(&[what.into(), from, format!("{value:.2}")]);
    };
    row("a declaration of 2850 routes, KB", "measured".into(), kilobytes(before.len()));
    row("its chunks", "measured".into(), first.chunks.len() as f64);
    row("its manifest, KB", "8 bytes a chunk".into(), kilobytes(8 * first.chunks.len()));
    row("cutting it, ms", "measured".into(), split_ms);
    row("putting it together, ms", "measured".into(), assemble_ms);
    row("a changed route on the wire, KB", "measured".into(), kilobytes(changed));
    row("members a region", format!("{} / {}", size.daemons(), size.regions), members);
    row("levels of the tree", "log2 of them, from the code".into(), levels);
    row(
        "a new declaration at the leaves, s, over links of 14 Mbit/s that do nothing else",
        format!("{copies} x size / link + {levels} x ({copies} x 16 KB / link + 3 ms)"),
        copies * whole / LINK_BYTES_PER_S + descent,
    );
    row(
        "a changed route at the leaves, s, over the same links",
        "the same with its size".into(),
        copies * changed as f64 / LINK_BYTES_PER_S + descent,
    );
    let star = members * whole / LINK_BYTES_PER_S;
    row("for comparison: the reader sends it to all, s", format!("{members} x size / link"), star);
    row("questions for news a second at a reader", "one a second a member".into(), members);
    table.text()
}
