//! The parameters and the results of a simulation.

use std::time::Duration;

/// The parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub members: usize,
    pub regions: usize,
    /// The number of routes in the declaration.
    pub routes: usize,
    /// The time between two changes.
    pub pause: Duration,
    /// How long changes are published.
    pub duration: Duration,
    /// The capacity of a member's link, in bytes a second.
    pub rate: u64,
    /// The response time of the store in addition to the usual one.
    pub store_delay: Duration,
    /// When the reader of the first region is lost, counted from the first change.
    pub reader_lost_at: Option<Duration>,
    /// A restore of the store from a copy, if there is one.
    pub restore: Option<Restore>,
    /// What a member is cut off from, by the time since the start of the simulation.
    pub cut: fn(usize, Duration) -> Cut,
}

/// What a member is cut off from. Queries that cross a cut get no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    None,
    Store,
    Everything,
}

/// A restore of the store from a copy.
#[derive(Clone, Copy, Debug, Default)]
pub struct Restore {
    /// When the store goes down, counted from the first change.
    pub at: Duration,
    /// How long it is down.
    pub downtime: Duration,
    /// How many versions the copy lacks.
    pub lost_versions: usize,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            members: 6,
            regions: 3,
            routes: 18,
            pause: Duration::from_millis(50),
            duration: Duration::from_secs(8),
            rate: 125_000_000,
            store_delay: Duration::ZERO,
            reader_lost_at: None,
            restore: None,
            cut: |_, _| Cut::None,
        }
    }
}

/// The results of a simulation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Results {
    /// The longest time for which a member had an older version in force than the last one
    /// acknowledged to the operator, among the members that are never cut off.
    pub max_lag: Duration,
    /// The same among the members that are cut off, not counting the time until the end of the cut.
    pub max_lag_after_cut: Duration,
    /// How many members do not have the last version in force at the end.
    pub members_behind: usize,
    /// The bytes sent by the member that sent the most.
    pub max_bytes_sent: u64,
    /// The number of calls to the store.
    pub store_calls: usize,
    /// The largest total size of chunks stored by any member, in bytes.
    pub max_chunk_bytes: usize,
}
