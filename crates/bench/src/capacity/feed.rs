//! What a declaration costs on its way through the members, at the letter's size.

use bergamot_base::{Name, Position, hash_bytes};
use bergamot_feed::{Chunks, FANOUT, ancestors};
use bergamot_wire::{Manifest, Value};

use crate::capacity::size::Size;
use crate::capacity::state::milliseconds;
use crate::capacity::table::Table;

/// How many routes the declaration has: what the users' largest grows to.
const ROUTES: usize = 2_850;

/// What the slowest links of instances carry, in bytes a second (14 Mbit/s).
const LINK: f64 = 14e6 / 8.0;

/// A round trip between availability zones of a region, in seconds.
const ROUND_TRIP: f64 = 0.003;

/// The largest answer with chunks, in bytes.
const ANSWER: f64 = 16_384.0;

/// How often a cost is measured for its mean.
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

fn cut(chunks: &mut Chunks, revision: u64, value: &[u8]) -> Manifest {
    match chunks.split(&Name::from("declaration"), Position::from(revision).into(), value.to_vec())
    {
        Value::Chunked(manifest) => manifest,
        Value::Deleted | Value::Inline(_) => Manifest { hash: 0, chunks: Vec::new() },
    }
}

/// Returns the table of the feed.
pub(crate) fn table(size: &Size) -> String {
    let (before, after) = (declaration(None), declaration(Some(ROUTES / 2)));
    let mut chunks = Chunks::default();
    let first = cut(&mut chunks, 1, &before);
    let cutting = milliseconds(ROUNDS, || drop(cut(&mut Chunks::default(), 1, &before)));
    let assembling = milliseconds(ROUNDS, || drop(chunks.assemble(&first)));
    let mut follower = chunks.clone();
    let second = cut(&mut chunks, 2, &after);
    follower.register(&Name::from("declaration"), Position::from(2).into(), &second);
    let missing = follower.missing(&second);
    let changed: usize = chunks.select(&missing, usize::MAX).iter().map(Vec::len).sum();
    let members = size.daemons() / size.regions as f64;
    let levels = ancestors(members as usize - 1).count() as f64;
    let kilobytes = |bytes: usize| bytes as f64 / 1024.0;
    let (whole, copies) = (before.len() as f64, FANOUT as f64);
    let down = levels * (copies * ANSWER / LINK + ROUND_TRIP);
    let mut table = Table::new(&["quantity", "from", "value"]);
    let mut row = |what: &str, from: String, value: f64| {
        table.row(&[what.into(), from, format!("{value:.2}")]);
    };
    row("a declaration of 2850 routes, KB", "measured".into(), kilobytes(before.len()));
    row("its chunks", "measured".into(), first.chunks.len() as f64);
    row("its manifest, KB", "8 bytes a chunk".into(), kilobytes(8 * first.chunks.len()));
    row("cutting it, ms", "measured".into(), cutting);
    row("putting it together, ms", "measured".into(), assembling);
    row("a changed route on the wire, KB", "measured".into(), kilobytes(changed));
    row("members a region", format!("{} / {}", size.daemons(), size.regions), members);
    row("levels of the tree", "log2 of them, from the code".into(), levels);
    row(
        "a new declaration at the leaves, s, over links of 14 Mbit/s that do nothing else",
        format!("{copies} x size / link + {levels} x ({copies} x 16 KB / link + 3 ms)"),
        copies * whole / LINK + down,
    );
    row(
        "a changed route at the leaves, s, over the same links",
        "the same with its size".into(),
        copies * changed as f64 / LINK + down,
    );
    let star = members * whole / LINK;
    row("for comparison: the reader sends it to all, s", format!("{members} x size / link"), star);
    row("questions for news a second at a reader", "one a second a member".into(), members);
    table.text()
}
