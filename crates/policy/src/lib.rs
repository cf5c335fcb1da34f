//! The policy of the decisions on one page: each mechanism, its figures, and a switch.
//!
//! The table in [`table`] is the only place that knows a mechanism: what it does, and each
//! figure with its unit, its value and the grounds for it. The structs, their defaults, the
//! text form and the names that can be switched off are made from it. A decision takes the
//! group of figures that it rests on; a group that is off leaves its decision to the plainest
//! rule, so that what a mechanism is worth can be measured without a change of code. See
//! `docs/design/0010-deciding.md`.

mod figure;
mod table;

pub use figure::{Figure, Mechanism};
pub use table::*;
