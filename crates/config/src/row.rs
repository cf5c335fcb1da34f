//! The rows of a document's tables.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bergamot_base::{Epoch, Name, Searcher, Service, Shard, Workspace, hash_bytes};

/// What a service gives up first when it can't have both.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preference {
    /// Answer at the margin before the deadline with what there is.
    Time,
    /// Wait until the deadline for the whole answer.
    Coverage,
}

impl fmt::Display for Preference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Time => "time",
            Self::Coverage => "coverage",
        })
    }
}

/// The admission class of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// A person is waiting: never displaced by bulk work.
    Interactive,
    /// Large scans, which may borrow what interactive work leaves idle.
    Bulk,
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Interactive => "interactive",
            Self::Bulk => "bulk",
        })
    }
}

/// An availability zone and the region in which it lies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// The availability zone.
    pub zone: Name,
    /// The region.
    pub region: Name,
}

/// A workspace of a tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceRow {
    /// The name in callers' paths.
    pub name: Name,
    /// How many requests one entry runs at once for this workspace.
    pub in_flight: usize,
    /// The services of the workspace.
    pub services: Vec<Service>,
}

/// A service of a workspace: an index cut into shards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRow {
    /// The workspace to which the service belongs.
    pub workspace: Workspace,
    /// The name in callers' paths.
    pub name: Name,
    /// What is given up first.
    pub preference: Preference,
    /// The admission class.
    pub class: Class,
    /// The epoch of the partition map.
    pub epoch: Epoch,
    /// The deadline of a request that names none.
    pub deadline: Duration,
    /// How many requests a searcher works on at once.
    pub slots: usize,
    /// How many connections a searcher accepts.
    pub connections: usize,
    /// Extra sub-queries that hedging may add, in percent.
    pub hedge_percent: u32,
    /// The shards of the partition map, in order.
    pub shards: Vec<Shard>,
}

impl ServiceRow {
    /// Returns the shard that holds the record of a key.
    pub fn holder(&self, key: &str) -> Shard {
        self.shards[(hash_bytes(key.as_bytes()) % self.shards.len() as u64) as usize]
    }
}

/// A shard of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardRow {
    /// The service of which this is a part.
    pub service: Service,
    /// The position in the service's partition map.
    pub position: usize,
    /// The searchers that hold the shard.
    pub replicas: Vec<Searcher>,
}

/// A searcher: an upstream that holds one replica of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SearcherRow {
    /// The shard that the searcher holds.
    pub shard: Shard,
    /// Where the searcher listens.
    pub address: SocketAddr,
    /// The availability zone in which the searcher runs.
    pub zone: Name,
}
