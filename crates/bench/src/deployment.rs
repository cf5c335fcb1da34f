//! The two tenants of the brief at their sizes, as something that can be started.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bergamot_base::{Name, Seed, Version};
use bergamot_config::Settings;
use bergamot_standin::{Corpus, Instance, Limits, SearcherSettings, Topology};
use serde_json::json;

/// One way between zones of a region, from the brief.
const BETWEEN_ZONES: Duration = Duration::from_micros(1500);
/// One way between regions, from the brief.
const BETWEEN_REGIONS: Duration = Duration::from_millis(8);
/// The first port of searchers.
const SEARCHER_PORT: u16 = 9000;

/// How callers use a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// The whole queue or panel.
    Scan,
    /// The few best.
    Top,
    /// One record.
    Record,
    /// A non-idempotent entry.
    Write,
}

/// A service of a tenant.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// The name.
    pub name: &'static str,
    /// How callers use it.
    pub usage: Use,
    /// The number of shards.
    pub shards: usize,
    /// The replicas of each shard.
    pub replicas: usize,
    /// What its searchers can bear.
    pub limits: Limits,
    /// What it prefers, as in the document.
    pub prefer: &'static str,
    /// Its class, as in the document.
    pub class: &'static str,
    /// The deadline of its requests.
    pub deadline: Duration,
    /// Requests a second.
    pub rate: f64,
    /// How many documents it holds.
    pub documents: usize,
}

/// A tenant with its places, services and instances.
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
    /// One way from a caller to an entry.
    pub to_callers: Duration,
    /// The first two numbers of every address: the deployment's own part of loopback.
    pub block: [u8; 2],
    /// The seed of searchers.
    pub seed: Seed,
}

fn limits(slots: usize, connections: usize, cost_ms: u64) -> Limits {
    let connect_cost = Duration::from_millis(cost_ms);
    Limits { slots, connections, connect_cost, ..Limits::default() }
}

impl Deployment {
    /// Fraser Basin Airport Utility Commission, at the sizes of the brief.
    pub fn fraser_basin(block: [u8; 2], seed: Seed) -> Self {
        let spec = |name, usage, shards, limits, class, rate| ServiceSpec {
            name,
            usage,
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
                spec("queue-board", Use::Scan, 20, limits(2, 25, 6), "bulk", 20.0),
                spec("ramp-desk", Use::Top, 30, limits(2, 25, 6), "interactive", 30.0),
                spec("pad-tablet", Use::Record, 4, limits(2, 110, 1), "interactive", 30.0),
                spec("glycol-ledger", Use::Write, 2, limits(2, 110, 1), "interactive", 15.0),
            ],
            instances: 8,
            to_callers: Duration::from_millis(1),
            block,
            seed,
        }
    }

    /// Caldermuir Annuity Quotations, at the sizes of the brief.
    pub fn caldermuir(block: [u8; 2], seed: Seed) -> Self {
        let spec = |name, usage, shards, replicas, limits, class, rate| ServiceSpec {
            name,
            usage,
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
                spec("adviser-desk", Use::Scan, 20, 2, limits(2, 25, 6), "bulk", 20.0),
                spec("provider-feed", Use::Top, 30, 2, limits(2, 25, 6), "interactive", 30.0),
                spec("call-centre", Use::Record, 5, 2, limits(3, 40, 1), "interactive", 30.0),
                spec("compliance-log", Use::Write, 1, 5, limits(3, 40, 1), "interactive", 15.0),
            ],
            instances: 8,
            to_callers: Duration::from_millis(3),
            block,
            seed,
        }
    }

    /// Returns the zones with their regions.
    pub fn zones(&self) -> Vec<(Name, Name)> {
        let zones = |region: &'static str| {
            ["a", "b"].map(|zone| (Name::from(format!("{region}-{zone}")), Name::from(region)))
        };
        self.regions.iter().flat_map(|region| zones(region)).collect()
    }

    /// Returns the address of an instance, counted from zero.
    pub fn instance(&self, number: usize) -> Ipv4Addr {
        let [a, b] = self.block;
        Ipv4Addr::new(127, a, b, 10 + number as u8)
    }

    /// Returns the zone of an instance, counted from zero.
    pub fn zone(&self, number: usize) -> Name {
        let zones = self.zones();
        Name::clone(&zones[number % zones.len()].0)
    }

    /// Returns where the configuration service and the instance list listen.
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

    /// Returns the address and zone of a searcher, counted over all services. The
    /// replicas of a shard stand in different regions.
    pub fn searcher(&self, number: usize) -> (SocketAddr, Name) {
        let [a, b] = self.block;
        let zones = self.zones();
        // Two zones a region: a stride of three changes the region and the zone.
        let zone = Name::clone(&zones[(number * 3 + number / 2) % zones.len()].0);
        (SocketAddr::from(([127, a, b, 2], SEARCHER_PORT + number as u16)), zone)
    }

    /// Returns the settings of every searcher, with the service of each.
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

    /// Returns how many descriptors both ends of all connections take that searchers accept.
    pub fn descriptors(&self) -> usize {
        let accepts =
            |service: &ServiceSpec| service.shards * service.replicas * service.limits.connections;
        2 * self.services.iter().map(accepts).sum::<usize>()
    }

    /// Returns the instance list with the given instances.
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
