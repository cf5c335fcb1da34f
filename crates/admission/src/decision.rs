//! The values that a member exchanges with the coordinator of a pool.

use std::time::Duration;

use bergamot_base::Name;

/// What a request asks of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The priority of its route, where zero is the most urgent.
    pub priority: u32,
    /// The availability zone of the member that received it.
    pub origin: Name,
    /// The time left until its target latency.
    pub target: Duration,
    /// The time left until the caller's deadline.
    pub deadline: Duration,
    /// The region's share of the slots of the searchers that bind it.
    pub slots: usize,
}

/// Identifies a request at its coordinator, unique within the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Grant(pub u64);

/// Why a request is refused: the pool has no room for it in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortage {
    /// How long the request would have taken.
    pub expected: Duration,
    /// When the caller should come back.
    pub retry_after: Duration,
    /// The number of requests that were ahead of it.
    pub ahead: usize,
    /// The number of requests that may run at once.
    pub limit: usize,
}

/// What happens to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may run now.
    Granted(Grant),
    /// It waits until a later [`Changes`] names it.
    Queued(Grant),
    /// It must not run.
    Refused(Shortage),
}

/// How a granted request reached its required coverage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Coverage {
    /// The time since the grant.
    pub took: Duration,
    /// Whether, at more searchers than its coverage can do without, the requests of the member that
    /// asked them already used all slots. A request that is slow without this is not slow because of
    /// the others, so running fewer of them would not make it faster.
    pub is_congested: bool,
}

/// How a granted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The required coverage was reached.
    Covered(Coverage),
    /// It ended without.
    Ended,
}

/// What an event changed for requests that were waiting.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// These may run now.
    pub granted: Vec<Grant>,
    /// These can't finish in time any more.
    pub refused: Vec<(Grant, Shortage)>,
}
