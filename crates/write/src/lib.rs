//! At-most-once execution of non-idempotent requests by write key.
//!
//! A write key names the only entry incarnation that may execute it. That incarnation
//! keeps every outcome for as long as its keys are valid, so a key takes effect at
//! most once without shared state. See [`Owner`] and `docs/design/0004-writes.md`.

mod key;
mod outcome;
mod owner;

pub use key::{InvalidKey, Key, Prefix};
pub use outcome::{Outcome, Status};
pub use owner::{Decision, Owner};
