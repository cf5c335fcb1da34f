//! What a process holds for others: the memory of messages, and the places of connections.
//!
//! [`Memory`] bounds the bytes of all messages of one kind, and [`Connections`] the connections of one
//! listener. Both decide from plain values and the time who is let in and who goes first, for both
//! interfaces; sockets stay with the callers of this crate. [`Shares`] divides a machine among them.
//! See `docs/design/0024-what-clients-may-hold.md`.

mod activity;
mod connections;
mod heads;
mod ledger;
mod memory;
mod shares;

pub use activity::{Activity, ConnectionTimeouts, Expired};
pub use connections::{Admission, ConnectionCounts, Connections, Place, Table};
pub use heads::{HeadCopies, head_memory};
pub use ledger::{Cause, Exhausted, Ledger, MemoryLimits, Usage};
pub use memory::{Buffer, Hold, Memory, Reservation};
pub use shares::{Machine, Shares};
