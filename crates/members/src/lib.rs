//! Membership, probing, homes of cells and address answers.
//!
//! Daemons find each other through the platform's lagging list and keep track of
//! each other by probing ([`Prober`]), with a constant number of messages a period
//! whatever the size of the fleet. The [`View`] that results decides which gathers
//! home a cell ([`Homes`]), which members read the configuration service
//! ([`readers`]) and which entries callers are sent to ([`addresses`]). All of it is
//! pure: time, events and random draws go in, messages and decisions come out. See
//! `docs/design/0007-membership.md`.

mod address;
mod homes;
mod message;
mod prober;
mod reader;
mod record;
mod rumour;
mod view;

pub use address::{Answer, Target, addresses};
pub use homes::Homes;
pub use message::{Datagram, Digest, Kind};
pub use prober::{Outgoing, Prober, Timing};
pub use reader::{ranked, readers};
pub use record::{Endpoint, Record, Role, State};
pub use rumour::{Rumour, Rumours};
pub use view::{Listed, View};
