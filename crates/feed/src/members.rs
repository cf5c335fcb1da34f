//! What the feed knows of other members, and how it asks them.

use std::fmt;
use std::net::Ipv4Addr;
use std::time::Duration;

use bergamot_base::{Name, Revision};
use bergamot_wire::{Item, News, NewsQuery};
use futures::future::BoxFuture;

use crate::origin::Duty;
use crate::source::Trouble;

/// A question to a member.
pub type Question<T> = BoxFuture<'static, Result<T, Trouble>>;

/// Asks a member for news.
pub type Asking = Box<dyn Fn(Ipv4Addr, NewsQuery) -> Question<News> + Send + Sync>;

/// Asks a member for chunks of large values, and how long it may wait for the first of them.
pub type Fetching =
    Box<dyn Fn(Ipv4Addr, Vec<u64>, Duration) -> Question<Vec<Vec<u8>>> + Send + Sync>;

/// Who does what for the others' news.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Roster {
    /// What this member does.
    pub duty: Duty,
    /// The others that may know the newest, the preferred first.
    pub readers: Vec<Ipv4Addr>,
    /// The others that are asked for chunks, the preferred first.
    pub lineage: Vec<Ipv4Addr>,
    /// How many members there are.
    pub fleet: usize,
}

impl Roster {
    /// Tells who does what before a member knows all others; nothing if it can't be told yet.
    ///
    /// The seeds read, since the settings of all name them: with a view of a few members each
    /// takes itself for the first of them, and 295 that lost their power together listed the
    /// store 293 times. Everybody else asks `seeds` that are there, or whoever is `fresh`.
    pub fn early(
        own: Ipv4Addr,
        seeds: &[Ipv4Addr],
        is_there: impl Fn(Ipv4Addr) -> bool,
        fresh: Vec<Ipv4Addr>,
        fleet: usize,
    ) -> Option<Self> {
        if fresh.is_empty() && seeds.contains(&own) {
            return None;
        }
        let mut readers = fresh;
        for seed in seeds.iter().copied().filter(|seed| *seed != own && is_there(*seed)) {
            if !readers.contains(&seed) {
                readers.push(seed);
            }
        }
        let lineage = readers.clone();
        (!readers.is_empty()).then_some(Self { duty: Duty::Follower, readers, lineage, fleet })
    }
}

impl Default for Roster {
    /// The roster of a member that is alone.
    fn default() -> Self {
        Self { duty: Duty::Reader, readers: Vec::new(), lineage: Vec::new(), fleet: 1 }
    }
}

/// What the feed knows of other members.
pub struct Members {
    /// Tells who does what; nothing while it can't be told yet.
    pub roster: Box<dyn Fn() -> Option<Roster> + Send + Sync>,
    /// Asks a member for news.
    pub ask: Asking,
    /// Asks a member for chunks.
    pub fetch: Fetching,
    /// Names a member that has a later version of the declaration in force than this one, if any
    /// says so.
    pub ahead: Box<dyn Fn(Revision) -> Option<Ipv4Addr> + Send + Sync>,
    /// Asks a member for the record of one key.
    pub record: Box<dyn Fn(Ipv4Addr, Name) -> Question<Option<Item>> + Send + Sync>,
}

impl fmt::Debug for Members {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Members")
    }
}
