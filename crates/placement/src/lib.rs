//! Decides to which searchers a request may be sent.
//!
//! [`Placement`] is asked by every path that sends a request to a searcher: first attempts, hedges,
//! retries, trials, and the attempts that are made for another member. It applies the regions in
//! which the request may be processed, the [`Evacuations`] of availability zones that the operator
//! has ordered, and the [`Permits`] without which a cold searcher receives nothing. Which of the permitted searchers is asked is decided elsewhere. This crate
//! does no I/O. See `docs/design/0017-placement.md`.

mod evacuations;
mod permits;
mod placement;

pub use evacuations::{Evacuation, Evacuations};
pub use permits::{Application, ColdBound, Issuer, PERMIT_VALIDITY, Permits};
pub use placement::{Constraints, Placement, Withheld, WithheldCounts};
