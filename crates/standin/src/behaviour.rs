//! The location, capacity, injected faults and recorded effects of a searcher.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use bergamot_base::{Name, Version};
use bergamot_query::Shape;
use serde::{Deserialize, Serialize};

use crate::distortion::Distortion;

/// The locations of instances and zones, from which the latency between them follows.
#[derive(Clone, Debug, Default)]
pub struct Topology {
    /// The zone of each instance.
    pub zones: HashMap<Ipv4Addr, Name>,
    /// The region of each zone.
    pub regions: HashMap<Name, Name>,
    /// The one-way latency between zones of a region.
    pub between_zones: Duration,
    /// The one-way latency between regions.
    pub between_regions: Duration,
}

impl Topology {
    /// Returns the one-way latency from an instance to a zone, zero for an unknown instance.
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

/// The capacity of a searcher.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The number of requests that it processes concurrently.
    pub slots: usize,
    /// The maximum number of open connections.
    pub connections: usize,
    /// The time to set up a connection.
    pub connect_cost: Duration,
    /// The mean time to process a request without injected faults.
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

/// The faults that a searcher injects. They can be changed while it runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The fraction of requests that are stragglers.
    pub straggle: f64,
    /// The factor on the service time of stragglers.
    pub straggle_factor: f64,
    /// The factor on the service time of all requests.
    pub slow_factor: f64,
    /// The fraction of requests that are shed.
    pub shed: f64,
    /// Whether the searcher announces that it is leaving.
    pub leaving: bool,
    /// Whether the searcher announces that it is leaving and rejects new requests.
    pub gone: bool,
    /// Whether responses contain another version than was requested.
    pub wrong_version: bool,
    /// The fraction of searches whose connection is closed without a response.
    pub cut: f64,
    /// The fraction of writes that take effect but whose connection is closed without a response.
    pub cut_writes: f64,
    /// The versions that the status reports instead of those held.
    pub claimed: Option<Vec<Version>>,
    /// The query on which the searcher crashes.
    pub fatal: Option<Shape>,
    /// How long the listener stays open after the connections when the searcher stops, as when the
    /// kernel closes the descriptors of a process that has many.
    pub listener_lag: Duration,
    /// How responses are distorted.
    pub distortion: Option<Distortion>,
    /// The status with which searches and writes fail.
    pub status: Option<StatusFault>,
}

/// Searches and writes that are answered at once and with a status of failure.
///
/// The body is that of a success, so that a client that overlooks the status takes it for one.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatusFault {
    /// The fraction of requests that fail.
    pub share: f64,
    /// The status.
    pub status: u16,
    /// Whether the response says that the request did not run. A write takes effect unless it
    /// does.
    pub not_run: bool,
}

/// An effect of a request on a searcher, recorded for checks of the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "effect", rename_all = "snake_case")]
pub enum Effect {
    /// A sub-query was processed.
    Search {
        /// The identifier of the attempt.
        request: Name,
    },
    /// A write took effect.
    Write {
        /// The idempotency key.
        key: Name,
        /// The record.
        record: Name,
        /// The body of the write.
        body: Name,
    },
}
