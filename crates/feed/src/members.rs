//! What the feed knows about other members, and the callbacks that query them.

use std::fmt;
use std::net::Ipv4Addr;
use std::time::Duration;

use bergamot_base::{Name, Revision};
use bergamot_wire::{Item, News, NewsQuery};
use futures::future::BoxFuture;

use crate::origin::Duty;
use crate::source::Trouble;

/// A pending query to a member.
pub type Question<T> = BoxFuture<'static, Result<T, Trouble>>;

/// Queries a member for updates.
pub type Asking = Box<dyn Fn(Ipv4Addr, NewsQuery) -> Question<News> + Send + Sync>;

/// Queries a member for chunks of large values; the duration is how long the member may wait for
/// the first of them.
pub type Fetching =
    Box<dyn Fn(Ipv4Addr, Vec<u64>, Duration) -> Question<Vec<Vec<u8>>> + Send + Sync>;

/// This member's role and the members it queries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Roster {
    /// The role of this member.
    pub duty: Duty,
    /// Other members that may have the latest updates, in order of preference.
    pub readers: Vec<Ipv4Addr>,
    /// Other members to query for chunks, in order of preference.
    pub lineage: Vec<Ipv4Addr>,
    /// The number of members.
    pub fleet: usize,
}

impl Roster {
    /// Returns what applies until this member knows all others, or `None` if that cannot be
    /// determined yet.
    ///
    /// Seeds read the store, because every member's settings name the same ones. Choosing by an
    /// incomplete view fails: each member that sees only a few others considers itself the first,
    /// and 295 members that lost power together listed the store 293 times. All other members query
    /// the seeds for which `is_reachable` holds, and the members in `up_to_date`.
    pub fn early(
        own: Ipv4Addr,
        seeds: &[Ipv4Addr],
        is_reachable: impl Fn(Ipv4Addr) -> bool,
        up_to_date: Vec<Ipv4Addr>,
        fleet: usize,
    ) -> Option<Self> {
        if up_to_date.is_empty() && seeds.contains(&own) {
            return None;
        }
        let mut readers = up_to_date;
        for seed in seeds.iter().copied().filter(|seed| *seed != own && is_reachable(*seed)) {
            if !readers.contains(&seed) {
                readers.push(seed);
            }
        }
        let lineage = readers.clone();
        (!readers.is_empty()).then_some(Self { duty: Duty::Follower, readers, lineage, fleet })
    }
}

impl Default for Roster {
    /// The state of a member without any others.
    fn default() -> Self {
        Self { duty: Duty::Reader, readers: Vec::new(), lineage: Vec::new(), fleet: 1 }
    }
}

/// Callbacks to other members.
pub struct Members {
    /// Returns the current roles, or `None` while they cannot be determined.
    pub roster: Box<dyn Fn() -> Option<Roster> + Send + Sync>,
    /// Queries a member for updates.
    pub ask: Asking,
    /// Queries a member for chunks.
    pub fetch: Fetching,
    /// Returns a member that reports a later declaration version in force than the given one, if
    /// any does.
    pub ahead: Box<dyn Fn(Revision) -> Option<Ipv4Addr> + Send + Sync>,
    /// Queries a member for the record of one key.
    pub record: Box<dyn Fn(Ipv4Addr, Name) -> Question<Option<Item>> + Send + Sync>,
}

impl fmt::Debug for Members {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Members")
    }
}
