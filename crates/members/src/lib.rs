//! Membership, failure detection, placement of cells and address lists.
//!
//! Daemons discover each other through seeds or the platform's eventually consistent instance list.
//! They track each other by probing, gossip and anti-entropy comparison of their views
//! ([`Membership`]); the number of messages a period is bounded whatever the fleet's size. From the
//! resulting [`View`] each daemon computes which gathers are the homes of a cell ([`Homes`]), which
//! members read the configuration service ([`readers`]) and which entries callers are sent to
//! ([`addresses`]). The crate does no I/O: time, events and random numbers are inputs, messages and
//! decisions are outputs. See `docs/design/0007-membership.md`.

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

pub use address::{AddressList, EntryAddress, addresses};
pub use homes::Homes;
pub use membership::{Membership, Outgoing};
pub use message::{Datagram, Digest, Kind, RangeHashes, RecordHashes};
pub use prober::Timing;
pub use reader::{rank_members, readers};
pub use record::{Endpoint, Record, Role, State};
pub use rumour::{MAX_RECORDS_PER_DATAGRAM, Rumour};
pub use suspicions::Suspicions;
pub use view::{ListedInstance, RANGE_COUNT, View};
