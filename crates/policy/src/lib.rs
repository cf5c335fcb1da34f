//! The configuration of the request handling policy: mechanisms, their parameters, and switches.
//!
//! The table in `table.rs` is the single definition of each mechanism: what it does, and each
//! parameter with its unit, its default and the reason for it. The structs, their defaults, the
//! text form and the names of the switches are generated from it. Each decision takes the
//! parameter group that it depends on. If a mechanism is off, its decision falls back to the
//! simplest rule, so that the effect of a mechanism can be measured without changing code. See
//! `docs/measurements/deciding.md`.

mod parameter;
mod table;

pub use parameter::{Mechanism, Parameter};
pub use table::*;
