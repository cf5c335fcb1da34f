//! Membership, probing, homes of cells and address answers.
//!
//! Daemons find each other through seeds or the platform's lagging list, and keep track of
//! each other by probing, news and comparisons of their views ([`Membership`]), with a bounded
//! number of messages a period whatever the size of the fleet. The [`View`] that results decides which gathers
//! home a cell ([`Homes`]), which members read the configuration service
//! ([`readers`]) and which entries callers are sent to ([`addresses`]). All of it is
//! pure: time, events and random draws go in, messages and decisions come out. See
//! `docs/design/0007-membership.md`.

mod address;
mod homes;
mod membership;
mod message;
mod prober;
mod reader;
mod record;
mod rumour;
mod suspicions;
mod sync;
mod view;

pub use address::{Answer, Target, addresses};
pub use homes::Homes;
pub use membership::{Membership, Outgoing};
pub use message::{Datagram, Digest, Kind, Prints, Summary};
pub use prober::Timing;
pub use reader::{ranked, readers};
pub use record::{Endpoint, Record, Role, State};
pub use rumour::{PER_DATAGRAM, Rumour};
pub use suspicions::Suspicions;
pub use view::{Listed, RANGES, View};
