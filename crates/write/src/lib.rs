//! Write keys, owners and outcomes of non-idempotent requests.
//!
//! A write key names the one run of an entry that may execute it. That run
//! remembers every outcome for as long as its keys can be used, so a key takes
//! effect at most once without shared state; see [`Owner`] and
//! `docs/design/0004-writes.md`.

mod key;
mod outcome;
mod owner;

pub use key::{Flaw, Key, Prefix};
pub use outcome::{Outcome, Status};
pub use owner::{Decision, Owner};
