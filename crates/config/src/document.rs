//! The configuration document: parsed, verified and indexed.
//!
//! Parsing walks the whole input and collects every fault; a document with any
//! fault is refused whole. Invariant: a [`Document`] that exists is valid, and its
//! tables refer to each other only by entities that are in range.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bergamot_base::{Name, Peer, Revision, Searcher, Service, Shard, Step, Table, Workspace};
use serde_json::Value;

use crate::flaw::{Flaw, Refusal};
use crate::layout::Layout;
use crate::reader::{Flaws, Reader};
use crate::row::{Class, Place, Preference, SearcherRow, ServiceRow, ShardRow, WorkspaceRow};
use crate::section::{self, Section};

/// The largest document, as the platform's service holds no more.
pub(crate) const LARGEST: usize = 1 << 20;

const MOST_INSTANCES: u64 = 100_000;
const MOST_MILLIS: u64 = 60_000;

const TOP: &[&str] = &["revision", "instances", "places", "workspaces"];
const PLACE: &[&str] = &["zone", "region"];
const WORKSPACE: &[&str] = &["name", "in_flight", "services"];
const SERVICE: &[&str] = &[
    "name",
    "prefer",
    "class",
    "epoch",
    "deadline_ms",
    "slots",
    "connections",
    "hedge_percent",
    "shards",
];
const SHARD: &[&str] = &["replicas"];
const REPLICA: &[&str] = &["address", "zone"];

/// A valid configuration document.
#[derive(Debug)]
pub struct Document {
    /// The revision, which only grows.
    pub revision: Revision,
    /// The hash of the content, to tell two documents of one revision apart.
    pub hash: u64,
    /// How many instances run the system, as operators publish it.
    pub instances: usize,
    /// The availability zones and their regions.
    pub places: Vec<Place>,
    /// The workspaces.
    pub workspaces: Table<Workspace, WorkspaceRow>,
    /// The services of all workspaces.
    pub services: Table<Service, ServiceRow>,
    /// The shards of all services.
    pub shards: Table<Shard, ShardRow>,
    /// The searchers of all shards.
    pub searchers: Table<Searcher, SearcherRow>,
    /// The cells and what each home may hold.
    pub layout: Layout,
    sections: Vec<Section>,
    names: HashMap<(Name, Name), Service>,
}

impl Document {
    /// Parses and verifies a document, or refuses it with every fault.
    pub fn parse(text: &[u8]) -> Result<Self, Refusal> {
        let refuse = |flaws| Refusal { step: Step("check document"), peer: Peer::Here, flaws };
        if text.len() > LARGEST {
            let found = format!("{} bytes", text.len());
            return Err(refuse(vec![Flaw::new("document", found, format!("{LARGEST} bytes"))]));
        }
        let source: Value = serde_json::from_slice(text).map_err(|error| {
            let place = format!("line {} column {}", error.line(), error.column());
            refuse(vec![Flaw::new(place, error.to_string(), "a whole JSON object")])
        })?;
        Self::from_source(source).map_err(refuse)
    }

    /// Verifies a document that is JSON already.
    pub(crate) fn from_source(source: Value) -> Result<Self, Vec<Flaw>> {
        let mut walk = Walk::default();
        walk.top(&source);
        if !walk.flaws.is_empty() {
            return Err(walk.flaws);
        }
        let layout = Layout::compute(walk.instances, &walk.services, &walk.shards);
        let sections = section::split(source);
        let hash = section::hash(&sections);
        Ok(Self {
            revision: walk.revision,
            hash,
            instances: walk.instances,
            places: walk.places,
            workspaces: walk.workspaces,
            services: walk.services,
            shards: walk.shards,
            searchers: walk.searchers,
            layout,
            sections,
            names: walk.names,
        })
    }

    /// Finds a service by the names in a caller's path.
    pub fn service(&self, workspace: &str, service: &str) -> Option<Service> {
        self.names.get(&(Name::from(workspace), Name::from(service))).copied()
    }

    /// Returns the region of a zone, or the zone itself where it is not published.
    pub fn region<'a>(&'a self, zone: &'a str) -> &'a str {
        self.places.iter().find(|place| &*place.zone == zone).map_or(zone, |place| &place.region)
    }

    /// Returns the number of regions.
    pub fn regions(&self) -> usize {
        self.places.iter().map(|place| &place.region).collect::<HashSet<_>>().len()
    }

    /// Returns the parts in which the document travels.
    ///
    /// They are all that is kept of the JSON: the parsed tree of a large document takes
    /// more than ten times as much memory.
    pub fn sections(&self) -> &[Section] {
        &self.sections
    }
}

impl fmt::Display for Document {
    /// Writes the text form that dumps and tests use: one line a service.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "document r{} hash {:016x}", self.revision, self.hash)?;
        writeln!(f, "instances {} zones {}", self.instances, self.places.len())?;
        writeln!(f, "{}", self.layout)?;
        for (id, service) in self.services.iter() {
            let workspace = &self.workspaces[service.workspace].name;
            writeln!(
                f,
                "{id} {workspace}/{} shards {} epoch {} slots {} connections {} prefer {} class {}",
                service.name,
                service.shards.len(),
                service.epoch,
                service.slots,
                service.connections,
                service.preference,
                service.class,
            )?;
        }
        Ok(())
    }
}

/// The state of a walk over the input.
#[derive(Debug, Default)]
struct Walk {
    flaws: Flaws,
    revision: Revision,
    instances: usize,
    places: Vec<Place>,
    workspaces: Table<Workspace, WorkspaceRow>,
    services: Table<Service, ServiceRow>,
    shards: Table<Shard, ShardRow>,
    searchers: Table<Searcher, SearcherRow>,
    names: HashMap<(Name, Name), Service>,
    addresses: HashSet<SocketAddr>,
}

impl Walk {
    fn top(&mut self, source: &Value) {
        let Some(top) = Reader::open("", source, TOP, &mut self.flaws) else {
            return;
        };
        self.revision = top.number("revision", 1..=u64::MAX >> 1, None, &mut self.flaws);
        self.instances =
            top.number("instances", 1..=MOST_INSTANCES, None, &mut self.flaws) as usize;
        for (place, value) in top.list("places", &mut self.flaws) {
            self.place(place, value);
        }
        for (place, value) in top.list("workspaces", &mut self.flaws) {
            self.workspace(place, value);
        }
    }

    fn place(&mut self, place: String, value: &Value) {
        let Some(reader) = Reader::open(place, value, PLACE, &mut self.flaws) else {
            return;
        };
        let zone = reader.name("zone", &mut self.flaws);
        let region = reader.name("region", &mut self.flaws);
        if self.places.iter().any(|known| known.zone == zone) {
            self.flaws.push(Flaw::new(reader.path("zone"), &*zone, "each zone once"));
        }
        self.places.push(Place { zone, region });
    }

    fn workspace(&mut self, place: String, value: &Value) {
        let Some(reader) = Reader::open(place, value, WORKSPACE, &mut self.flaws) else {
            return;
        };
        let name = reader.name("name", &mut self.flaws);
        let in_flight = reader.number("in_flight", 1..=100_000, Some(256), &mut self.flaws);
        if self.workspaces.values().any(|known| known.name == name) {
            self.flaws.push(Flaw::new(reader.path("name"), &*name, "each workspace once"));
        }
        let id = self.workspaces.push(WorkspaceRow {
            name: Name::clone(&name),
            in_flight: in_flight as usize,
            services: Vec::new(),
        });
        for (place, value) in reader.list("services", &mut self.flaws) {
            self.service(place, value, id, &name);
        }
    }

    fn service(&mut self, place: String, value: &Value, workspace: Workspace, owner: &Name) {
        let Some(reader) = Reader::open(place, value, SERVICE, &mut self.flaws) else {
            return;
        };
        let name = reader.name("name", &mut self.flaws);
        let service = self.service_row(&reader, workspace, Name::clone(&name));
        let id = self.services.push(service);
        self.workspaces[workspace].services.push(id);
        if self.names.insert((Name::clone(owner), Name::clone(&name)), id).is_some() {
            self.flaws.push(Flaw::new(reader.path("name"), &*name, "each service once"));
        }
        for (position, (place, value)) in
            reader.list("shards", &mut self.flaws).into_iter().enumerate()
        {
            self.shard(place, value, id, position);
        }
    }

    fn service_row(&mut self, reader: &Reader<'_>, workspace: Workspace, name: Name) -> ServiceRow {
        let flaws = &mut self.flaws;
        let preferences = [("time", Preference::Time), ("coverage", Preference::Coverage)];
        let classes = [("interactive", Class::Interactive), ("bulk", Class::Bulk)];
        ServiceRow {
            workspace,
            name,
            preference: reader.choice("prefer", &preferences, flaws).unwrap_or(Preference::Time),
            class: reader.choice("class", &classes, flaws).unwrap_or(Class::Bulk),
            epoch: reader.number("epoch", 1..=u64::MAX >> 1, None, flaws),
            deadline: Duration::from_millis(reader.number(
                "deadline_ms",
                1..=MOST_MILLIS,
                None,
                flaws,
            )),
            slots: reader.number("slots", 1..=1_000, None, flaws) as usize,
            connections: reader.number("connections", 2..=10_000, None, flaws) as usize,
            hedge_percent: reader.number("hedge_percent", 0..=100, Some(5), flaws) as u32,
            shards: Vec::new(),
        }
    }

    fn shard(&mut self, place: String, value: &Value, service: Service, position: usize) {
        let Some(reader) = Reader::open(place, value, SHARD, &mut self.flaws) else {
            return;
        };
        let id = self.shards.push(ShardRow { service, position, replicas: Vec::new() });
        self.services[service].shards.push(id);
        for (place, value) in reader.list("replicas", &mut self.flaws) {
            self.replica(place, value, id);
        }
    }

    fn replica(&mut self, place: String, value: &Value, shard: Shard) {
        let Some(reader) = Reader::open(place, value, REPLICA, &mut self.flaws) else {
            return;
        };
        let zone = reader.name("zone", &mut self.flaws);
        let Some(address) =
            reader.parsed::<SocketAddr>("address", "an IP number and a port", &mut self.flaws)
        else {
            return;
        };
        if !self.places.iter().any(|known| known.zone == zone) {
            self.flaws.push(Flaw::new(reader.path("zone"), &*zone, "a zone listed in places"));
        }
        if !self.addresses.insert(address) {
            let found = address.to_string();
            self.flaws.push(Flaw::new(reader.path("address"), found, "each searcher once"));
        }
        let id = self.searchers.push(SearcherRow { shard, address, zone });
        self.shards[shard].replicas.push(id);
    }
}
