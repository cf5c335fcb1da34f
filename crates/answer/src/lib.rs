//! Whose answer the bytes on a connection to a searcher are, and what one answer may hold.
//!
//! A searcher in trouble may answer twice, or send bytes that are no answer. [`Inspector`] follows
//! the bytes of one connection and passes on only those of the answer that names the waiting
//! request; it skips an answer that doesn't, so that the true one behind it is read. Invariant: a
//! byte is passed on only as a part of an answer that names the waiting request and no other, and
//! nothing is passed on while no request waits.
//!
//! [`Limits`] bounds what one answer may hold or cost, and `bergamot_resources::Memory` what all
//! answers in progress in a process hold together. [`Verdict`] is what a complete answer says of its request. All types
//! are free of I/O; `bergamot-upstream` connects them to sockets. See
//! `docs/design/0020-answers-of-searchers.md`.

mod attribution;
mod fault;
mod filling;
mod framing;
mod inspector;
mod limits;
mod verdict;

pub use attribution::Attribution;
pub use fault::{Fault, Limit};
pub use inspector::{Finding, Inspector, Stray};
pub use limits::{CHUNK_BYTES, Limits, MAX_HEADERS};
pub use verdict::{Statement, Verdict, is_encoding, is_signature, is_status};
