//! What the feed knows about other members, and the callbacks that query them.

use std::fmt;
use std::net::Ipv4Addr;
use std::time::Duration;

use bergamot_base::{Name, Revision};
use bergamot_wire::{Item, News, NewsQuery};
use futures::future::BoxFuture;

use crate::origin::ReadRole;
use crate::source::QueryError;

/// A pending query to a member.
pub type QueryFuture<T> = BoxFuture<'static, Result<T, QueryError>>;

/// Queries a member for updates.
pub type NewsQueryFn = Box<dyn Fn(Ipv4Addr, NewsQuery) -> QueryFuture<News> + Send + Sync>;

/// Queries a member for chunks of large values; the duration is how long the member may wait for
/// the first of them.
pub type ChunkQueryFn =
    Box<dyn Fn(Ipv4Addr, Vec<u64>, Duration) -> QueryFuture<Vec<Vec<u8>>> + Send + Sync>;

/// This member's role and the members it queries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Topology {
    /// The role of this member.
    pub role: ReadRole,
    /// Other members that may have the latest updates, in order of preference.
    pub readers: Vec<Ipv4Addr>,
    /// Other members to query for chunks, in order of preference.
    pub chunk_sources: Vec<Ipv4Addr>,
    /// The number of members.
    pub member_count: usize,
    /// Whether this member hears from no other at the moment.
    pub is_isolated: bool,
}

impl Topology {
    /// Returns what applies until this member knows all others, or `None` if that cannot be
    /// determined yet.
    ///
    /// Seeds read the store, because every member's settings name the same ones. Choosing by an
    /// incomplete view fails: each member that sees only a few others considers itself the first,
    /// and 295 members that lost power together listed the store 293 times. All other members query
    /// the seeds for which `is_reachable` holds, and the members in `up_to_date`.
    pub fn bootstrap(
        own: Ipv4Addr,
        seeds: &[Ipv4Addr],
        is_reachable: impl Fn(Ipv4Addr) -> bool,
        up_to_date: Vec<Ipv4Addr>,
        member_count: usize,
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
        let chunk_sources = readers.clone();
        (!readers.is_empty()).then_some(Self {
            role: ReadRole::Follower,
            readers,
            chunk_sources,
            member_count,
            is_isolated: false,
        })
    }
}

impl Default for Topology {
    /// The state of a member without any others.
    fn default() -> Self {
        Self {
            role: ReadRole::Reader,
            readers: Vec::new(),
            chunk_sources: Vec::new(),
            member_count: 1,
            is_isolated: false,
        }
    }
}

/// Callbacks to other members.
pub struct Members {
    /// Returns the current roles, or `None` while they cannot be determined.
    pub topology: Box<dyn Fn() -> Option<Topology> + Send + Sync>,
    /// Queries a member for updates.
    pub query_news: NewsQueryFn,
    /// Queries a member for chunks.
    pub fetch_chunks: ChunkQueryFn,
    /// Returns a member that reports a later declaration version in force than the given one, if
    /// any does.
    pub find_newer: Box<dyn Fn(Revision) -> Option<Ipv4Addr> + Send + Sync>,
    /// Queries a member for the record of one key.
    pub fetch_record: Box<dyn Fn(Ipv4Addr, Name) -> QueryFuture<Option<Item>> + Send + Sync>,
}

impl fmt::Debug for Members {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Members")
    }
}
