//! Decides to which searchers a request may be sent.
//!
//! [`Placement`] is asked by every path that sends a request to a searcher: first attempts, hedges,
//! retries, trials, and the attempts that are made for another member. It applies the regions in
//! which the request may be processed and the [`Evacuations`] of availability zones that the
//! operator has ordered. Which of the permitted searchers is asked is decided elsewhere. This crate
//! does no I/O. See `docs/design/0017-placement.md`.

mod evacuations;
mod placement;

pub use evacuations::{Evacuation, Evacuations};
pub use placement::{Constraints, Placement, Withheld, WithheldCounts};
