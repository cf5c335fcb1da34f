//! Where a searcher is, what it can bear, how it fails and what it did.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use bergamot_base::{Name, Version};
use bergamot_query::Shape;
use serde::{Deserialize, Serialize};

/// Where instances and searchers are, for the latency between them.
#[derive(Clone, Debug, Default)]
pub struct Geography {
    /// The zone of each instance.
    pub zones: HashMap<Ipv4Addr, Name>,
    /// The region of each zone.
    pub regions: HashMap<Name, Name>,
    /// One way between zones of one region.
    pub between_zones: Duration,
    /// One way between regions.
    pub between_regions: Duration,
}

impl Geography {
    /// Returns the latency one way from an instance to a zone.
    pub(crate) fn one_way(&self, from: IpAddr, to: &Name) -> Duration {
        let IpAddr::V4(from) = from else {
            return Duration::ZERO;
        };
        let Some(zone) = self.zones.get(&from) else {
            return Duration::ZERO;
        };
        if zone == to {
            Duration::ZERO
        } else if self.regions.get(zone) == self.regions.get(to) {
            self.between_zones
        } else {
            self.between_regions
        }
    }
}

/// What a searcher can bear.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How many requests it works on at once.
    pub slots: usize,
    /// How many connections it accepts.
    pub connections: usize,
    /// What a new connection costs.
    pub connect_cost: Duration,
    /// The mean time of an ordinary request.
    pub service_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            slots: 2,
            connections: 25,
            connect_cost: Duration::from_millis(6),
            service_time: Duration::from_millis(2),
        }
    }
}

/// How a searcher fails, changed while it runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The part of requests that straggle.
    pub straggle: f64,
    /// By how much a straggler takes longer.
    pub straggle_factor: f64,
    /// By how much every request takes longer.
    pub slow_factor: f64,
    /// The part of requests that are shed.
    pub shed: f64,
    /// Whether the searcher says that it is leaving.
    pub leaving: bool,
    /// Whether new work is refused because the searcher is leaving.
    pub gone: bool,
    /// Whether answers name and hold another version than they say was asked.
    pub wrong_version: bool,
    /// The part of replies that are cut after half of the body.
    pub cut: f64,
    /// The part of writes that take effect and are then cut before the reply.
    pub cut_writes: f64,
    /// The versions that the status claims, where it lies.
    pub claimed: Option<Vec<Version>>,
    /// The query that ends the searcher.
    pub fatal: Option<Shape>,
}

/// What a searcher did, for histories.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "effect", rename_all = "snake_case")]
pub enum Effect {
    /// A sub-query was worked on.
    Search {
        /// The name of the attempt.
        request: Name,
    },
    /// A write took effect.
    Write {
        /// The idempotency key.
        key: Name,
        /// The record.
        record: Name,
        /// The entry.
        body: Name,
    },
}
