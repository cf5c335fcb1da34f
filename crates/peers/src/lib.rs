//! Membership of daemons that find each other through seeds.
//!
//! The failure detector and the view are those of `bergamot-members`; this crate gives
//! them sockets: datagrams for probes, short streams for whole views. A daemon that starts
//! asks its seeds for their views, and every member it hears of from there on is a seed
//! as good as those. See `docs/design/0007-membership.md` and `docs/design/0009-platform.md`.

mod directory;
mod peers;
mod seat;
mod settings;

pub use directory::{Caller, Place, choose};
pub use peers::Peers;
pub use seat::{Seat, serving};
pub use settings::Settings;
