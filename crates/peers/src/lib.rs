//! Membership of daemons that find each other through seeds.
//!
//! The membership is that of `bergamot-members`; this crate gives it a socket. A daemon that
//! starts asks its seeds for some members and compares its view with theirs. See
//! `docs/design/0007-membership.md`, `docs/design/0009-platform.md` and
//! `docs/design/0013-views-that-agree.md`.

mod directory;
mod peers;
mod seat;
mod settings;

pub use directory::{Caller, Place, choose};
pub use peers::Peers;
pub use seat::{Seat, serving};
pub use settings::Settings;
