//! Membership of daemons that discover each other through seeds.
//!
//! Runs the membership protocol of `bergamot-members` over UDP. A daemon that starts asks its
//! seeds for some members and compares its view with theirs. See
//! `docs/design/0007-membership.md`, `docs/design/0009-platform.md` and
//! `docs/design/0013-views-that-agree.md`.

mod directory;
mod peers;
mod serving;
mod settings;

pub use directory::{Caller, InstanceLocation, select_instances};
pub use peers::Peers;
pub use serving::{Candidate, select_serving};
pub use settings::Settings;
