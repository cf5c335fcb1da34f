//! Connections, slots, replica choice, hedges, retries and drain towards searchers.
//!
//! Searchers have few connections and fewer slots. A home holds its share of
//! connections ([`Pool`]), lets only as many sub-queries through as there are slots
//! ([`Slots`]), picks the better replica ([`rank`]), hedges and retries inside
//! budgets ([`Race`], [`bergamot_base::Budget`]) and sends nothing new to a searcher that leaves
//! ([`Health`]). Decisions are pure and take `now`; only [`Client`] and [`Pool`]
//! touch sockets. See `docs/design/0005-tails-and-scarcity.md`.

mod choose;
mod client;
mod fleet;
mod health;
mod pace;
mod pool;
pub mod protocol;
mod race;
mod slots;

pub use choose::{Candidate, rank};
pub use client::{Call, Client, Effect, Fault};
pub use fleet::{Count, Fleet};
pub use health::Health;
pub use pace::Pace;
pub use pool::{Lease, Pool, Usage};
pub use race::{Next, Race};
pub use slots::{Entry, Slots};
