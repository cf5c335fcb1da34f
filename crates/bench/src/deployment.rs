//! Descriptions of the two reference tenants at their full size.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bergamot_base::{Name, Seed, Version};
use bergamot_config::Settings;
use bergamot_standin::{Corpus, Instance, Limits, SearcherSettings, Topology};
use serde_json::json;

/// The one-way delay between zones of a region, from the requirements.
const BETWEEN_ZONES: Duration = Duration::from_micros(1500);
/// The one-way delay between regions, from the requirements.
const BETWEEN_REGIONS: Duration = Duration::from_millis(8);
/// The port of the first searcher.
const SEARCHER_PORT: u16 = 9000;

/// The kind of request that callers send to a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Queries that return all documents.
    Scan,
    /// Queries for the top k documents.
    Top,
    /// Queries for one record.
    Record,
    /// Non-idempotent writes.
    Write,
}

/// A service of a tenant.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// The name.
    pub name: &'static str,
    /// The kind of request that callers send to it.
    pub kind: RequestKind,
    /// The number of shards.
    pub shards: usize,
    /// The replicas of each shard.
    pub replicas: usize,
    /// The capacity limits of its searchers.
    pub limits: Limits,
    /// Its preference, `time` or `coverage`, as in the document.
    pub prefer: &'static str,
    /// Its traffic class, as in the document.
    pub class: &'static str,
    /// The deadline of its requests.
    pub deadline: Duration,
    /// Requests per second.
    pub rate: f64,
    /// The number of documents in its index.
    pub documents: usize,
}

/// A tenant with its regions, services and instances.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The workspace.
    pub workspace: &'static str,
    /// The regions, each with two zones.
    pub regions: Vec<&'static str>,
    /// The services.
    pub services: Vec<ServiceSpec>,
    /// The number of instances.
    pub instances: usize,
    /// The one-way delay from a caller to an entry.
    pub caller_delay: Duration,
    /// The second and third octet of the loopback addresses reserved for the deployment.
    pub block: [u8; 2],
    /// The seed of the searchers.
    pub seed: Seed,
}

fn limits(slots: usize, connections: usize, cost_ms: u64) -> Limits {
    let connect_cost = Duration::from_millis(cost_ms);
    Limits { slots, connections, connect_cost, ..Limits::default() }
}

impl Deployment {
    /// Fraser Basin Airport Utility Commission, at the sizes of the requirements.
    pub fn fraser_basin(block: [u8; 2], seed: Seed) -> Self {
        let spec = |name, kind, shards, limits, class, rate| ServiceSpec {
            name,
            kind,
            shards,
            replicas: 2,
            limits,
            prefer: "time",
            class,
            deadline: Duration::from_millis(150),
            rate,
            documents: shards * 20,
        };
        Self {
            workspace: "fraser-basin",
            regions: vec!["yvr-south", "ylw-east", "yxs-main"],
            services: vec![
                spec("queue-board", RequestKind::Scan, 20, limits(2, 25, 6), "bulk", 20.0),
                spec("ramp-desk", RequestKind::Top, 30, limits(2, 25, 6), "interactive", 30.0),
                spec("pad-tablet", RequestKind::Record, 4, limits(2, 110, 1), "interactive", 30.0),
                spec(
                    "glycol-ledger",
                    RequestKind::Write,
                    2,
                    limits(2, 110, 1),
                    "interactive",
                    15.0,
                ),
            ],
            instances: 8,
            caller_delay: Duration::from_millis(1),
            block,
            seed,
        }
    }

    /// Caldermuir Annuity Quotations, at the sizes of the requirements.
    pub fn caldermuir(block: [u8; 2], seed: Seed) -> Self {
        let spec = |name, kind, shards, replicas, limits, class, rate| ServiceSpec {
            name,
            kind,
            shards,
            replicas,
            limits,
            prefer: "coverage",
            class,
            deadline: Duration::from_millis(400),
            rate,
            documents: shards * 20,
        };
        Self {
            workspace: "caldermuir",
            regions: vec!["leith-hall", "govan-hall", "dens-hall"],
            services: vec![
                spec("adviser-desk", RequestKind::Scan, 20, 2, limits(2, 25, 6), "bulk", 20.0),
                spec(
                    "provider-feed",
                    RequestKind::Top,
                    30,
                    2,
                    limits(2, 25, 6),
                    "interactive",
                    30.0,
                ),
                spec(
                    "call-centre",
                    RequestKind::Record,
                    5,
                    2,
                    limits(3, 40, 1),
                    "interactive",
                    30.0,
                ),
                spec(
                    "compliance-log",
                    RequestKind::Write,
                    1,
                    5,
                    limits(3, 40, 1),
                    "interactive",
                    15.0,
                ),
            ],
            instances: 8,
            caller_delay: Duration::from_millis(3),
            block,
            seed,
        }
    }

    /// Returns each zone with its region.
    pub fn zones(&self) -> Vec<(Name, Name)> {
        let zones = |region: &'static str| {
            ["a", "b"].map(|zone| (Name::from(format!("{region}-{zone}")), Name::from(region)))
        };
        self.regions.iter().flat_map(|region| zones(region)).collect()
    }

    /// Returns the address of an instance, numbered from zero.
    pub fn instance(&self, number: usize) -> Ipv4Addr {
        let [a, b] = self.block;
        Ipv4Addr::new(127, a, b, 10 + number as u8)
    }

    /// Returns the zone of an instance, numbered from zero.
    pub fn zone(&self, number: usize) -> Name {
        let zones = self.zones();
        Name::clone(&zones[number % zones.len()].0)
    }

    /// Returns the addresses of the configuration service and of the instance list.
    pub fn platform(&self) -> [SocketAddr; 2] {
        let [a, b] = self.block;
        [7300, 7301].map(|port| SocketAddr::from(([127, a, b, 1], port)))
    }

    /// Returns the document at a revision.
    pub fn document(&self, revision: u64) -> String {
        let zones = self.zones();
        let places: Vec<_> = zones
            .iter()
            .map(|(zone, region)| json!({"zone": &**zone, "region": &**region}))
            .collect();
        let mut number = 0;
        let services: Vec<_> = self
            .services
            .iter()
            .map(|service| {
                let shards: Vec<_> = (0..service.shards)
                    .map(|_| {
                        let replicas: Vec<_> = (0..service.replicas)
                            .map(|_| {
                                let (address, zone) = self.searcher(number);
                                number += 1;
                                json!({"address": address.to_string(), "zone": &*zone})
                            })
                            .collect();
                        json!({"replicas": replicas})
                    })
                    .collect();
                json!({
                    "name": service.name,
                    "prefer": service.prefer,
                    "class": service.class,
                    "epoch": 1,
                    "deadline_ms": service.deadline.as_millis() as u64,
                    "slots": service.limits.slots,
                    "connections": service.limits.connections,
                    "hedge_percent": 5,
                    "shards": shards,
                })
            })
            .collect();
        json!({
            "revision": revision,
            "instances": self.instances,
            "places": places,
            "workspaces": [{"name": self.workspace, "services": services}],
        })
        .to_string()
    }

    /// Returns the address and zone of a searcher, numbered over all services. The
    /// replicas of a shard are placed in different regions.
    pub fn searcher(&self, number: usize) -> (SocketAddr, Name) {
        let [a, b] = self.block;
        let zones = self.zones();
        // Regions have two zones each, so a stride of three changes the region and the zone.
        let zone = Name::clone(&zones[(number * 3 + number / 2) % zones.len()].0);
        (SocketAddr::from(([127, a, b, 2], SEARCHER_PORT + number as u16)), zone)
    }

    /// Returns the settings of every searcher, each with the index of its service.
    pub fn searchers(&self, versions: &[Version]) -> Vec<(usize, SearcherSettings)> {
        let topology = Arc::new(self.topology());
        let mut settings = Vec::new();
        for (index, service) in self.services.iter().enumerate() {
            for position in 0..service.shards {
                for _ in 0..service.replicas {
                    let (address, zone) = self.searcher(settings.len());
                    let corpus = Corpus {
                        position,
                        shards: service.shards,
                        epoch: 1,
                        documents: service.documents,
                    };
                    let searcher = SearcherSettings {
                        address,
                        zone,
                        limits: service.limits,
                        corpus,
                        versions: versions.to_vec(),
                        seed: self.seed,
                        topology: Arc::clone(&topology),
                    };
                    settings.push((index, searcher));
                }
            }
        }
        settings
    }

    fn topology(&self) -> Topology {
        let zones = (0..self.instances).map(|n| (self.instance(n), self.zone(n))).collect();
        let regions: HashMap<Name, Name> = self.zones().into_iter().collect();
        Topology { zones, regions, between_zones: BETWEEN_ZONES, between_regions: BETWEEN_REGIONS }
    }

    /// Returns the number of file descriptors for both ends of all connections that the
    /// searchers accept.
    pub fn descriptors(&self) -> usize {
        let accepts =
            |service: &ServiceSpec| service.shards * service.replicas * service.limits.connections;
        2 * self.services.iter().map(accepts).sum::<usize>()
    }

    /// Returns an instance list with the given instances.
    pub fn list(&self, numbers: impl IntoIterator<Item = usize>) -> Vec<Instance> {
        let instance = |number| Instance {
            address: Name::from(self.instance(number).to_string()),
            zone: self.zone(number),
            state: Name::from("live"),
        };
        numbers.into_iter().map(instance).collect()
    }

    /// Returns the settings of an instance's daemons.
    pub fn settings(&self, number: usize, base: &Settings) -> Settings {
        let mut settings = base.clone();
        settings.instance.address = self.instance(number);
        settings.instance.zone = self.zone(number);
        [settings.platform.configuration, settings.platform.instances] = self.platform();
        settings
    }
}
