//! Requests that end the searchers that run them.
//!
//! A request that crashes whoever runs it comes again, and each time it would take another
//! searcher of every shard along. So a request under which a searcher ended is a suspect: it is
//! sent to one searcher alone ([`Door`] within a caller's attempt, [`Table`] beyond it) and to
//! the others once that one has answered. If searchers keep ending under such trials, the
//! request is condemned, and refused everywhere until the verdict is forgotten.
//!
//! What ends with a searcher isn't all guilty: a crash of a rack takes along whatever was in
//! flight there. Invariants: however many searchers ended while a request was sent to many at
//! once, that counts as one strike; only ends under trials add further ones; and an answer ends
//! every suspicion of before it. See `docs/design/0014-fatal-requests.md`.

mod door;
mod fingerprint;
mod gate;
mod report;
mod shared;
mod table;

pub use door::Door;
pub use fingerprint::Fingerprint;
pub use gate::{Gate, Outcome, Pass};
pub use report::{Report, Strike};
pub use shared::Shared;
pub use table::{Settings, Standing, Table};
