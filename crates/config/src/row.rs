//! The rows of a document's tables.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bergamot_base::{Epoch, Name, Searcher, Service, Shard, Workspace, hash_bytes};

/// Which of response time and coverage a service favors when it cannot have both.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preference {
    /// Respond in time, a margin before the deadline, with the results available by then.
    Time,
    /// Wait for complete results until the deadline.
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
    /// Requests with a person waiting; bulk requests never displace them.
    Interactive,
    /// Large scans, which may use capacity that interactive requests leave idle.
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

/// An availability zone and its region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneRow {
    /// The name of the availability zone.
    pub zone: Name,
    /// The name of the region.
    pub region: Name,
}

/// A workspace of a tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceRow {
    /// The name used in request paths.
    pub name: Name,
    /// The maximum number of requests in flight for this workspace, per entry.
    pub in_flight: usize,
    /// The services of the workspace.
    pub services: Vec<Service>,
}

/// A service of a workspace: an index partitioned into shards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRow {
    /// The workspace to which the service belongs.
    pub workspace: Workspace,
    /// The name used in request paths.
    pub name: Name,
    /// Whether response time or coverage is favored.
    pub preference: Preference,
    /// The admission class.
    pub class: Class,
    /// The epoch of the partition map.
    pub epoch: Epoch,
    /// The default deadline of a request.
    pub deadline: Duration,
    /// The number of requests that a searcher processes concurrently.
    pub slots: usize,
    /// The number of connections that a searcher accepts.
    pub connections: usize,
    /// The maximum share of extra sub-queries added by hedging, in percent.
    pub hedge_percent: u32,
    /// The shards of the partition map, in order.
    pub shards: Vec<Shard>,
}

impl ServiceRow {
    /// Returns the shard that holds the record with the given key.
    pub fn shard_for_key(&self, key: &str) -> Shard {
        self.shards[(hash_bytes(key.as_bytes()) % self.shards.len() as u64) as usize]
    }
}

/// A shard of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardRow {
    /// The service that the shard belongs to.
    pub service: Service,
    /// The position in the service's partition map.
    pub position: usize,
    /// The searchers that serve the shard.
    pub replicas: Vec<Searcher>,
}

/// A searcher: an upstream that serves one replica of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SearcherRow {
    /// The shard that the searcher serves.
    pub shard: Shard,
    /// The address that the searcher listens on.
    pub address: SocketAddr,
    /// The availability zone in which the searcher runs.
    pub zone: Name,
}
