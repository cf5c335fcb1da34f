//! One incarnation of a searcher as it published itself.

use std::net::SocketAddr;
use std::time::Instant;

use bergamot_base::Name;

/// What a searcher says about taking new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It takes new work.
    Ready,
    /// It will stop and takes no new work. Final for the incarnation.
    Draining,
}

/// One incarnation of a searcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// The identifier of the incarnation.
    pub id: Name,
    /// The service to which it belongs.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// The availability zone in which it runs.
    pub zone: Name,
    /// How many requests it works on at once.
    pub slots: usize,
    /// What it says about taking new work.
    pub state: State,
    /// Until when it is slow after its start.
    pub warm_at: Instant,
}
