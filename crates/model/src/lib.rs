//! A model of load and faults, in which the decisions are tried before they meet sockets.
//!
//! Members ask searchers of every shard, as `bergamot-relay` does, with the same deciders
//! (`bergamot-dispatch`): whom to ask, when to hedge, what the allowance covers, when the
//! answer goes out. Searchers have slots, queues, speeds and pauses; some crash, and all
//! members may lose what they know. Time is a number, every draw comes from the seed, and a
//! run takes well below a second. What it leaves out: connections, members that ask for
//! each other, and the cost of processing. Invariant: the same [`Load`] gives the same
//! [`Report`].

pub mod fleet;
mod load;
mod member;
mod report;
mod searcher;
mod world;

pub use load::{Crash, Load, Pauses, Stream};
pub use report::{Outcome, Report};
pub use world::run;
