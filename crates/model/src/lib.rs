//! Discrete-event simulation of load and faults, for evaluating the dispatch logic without
//! sockets.
//!
//! Members query searchers of every shard, as `bergamot-relay` does, and use the same logic
//! (`bergamot-dispatch`) to select searchers, hedge, limit additional attempts and decide when
//! to respond. Searchers have slots, queues, speeds and pauses; some crash, and all members may
//! lose their state. Time is simulated, every random value is derived from the seed, and a run
//! takes well below a second. Not modelled: connections, requests that one member sends on
//! behalf of another, and processing cost. Invariant: the same [`Load`] gives the same
//! [`Report`].

pub mod cold;
pub mod fleet;
mod load;
mod member;
mod report;
mod searcher;
mod simulation;

pub use load::{Crash, Load, Pauses, Stream};
pub use report::{Outcome, Report};
pub use simulation::run;
