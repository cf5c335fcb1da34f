//! Parsing, validation and indexing of the configuration document.
//!
//! Parsing traverses the whole input and collects every error; a document with any
//! error is rejected as a whole. Invariant: every [`Document`] is valid, and the entities
//! that its tables use to refer to each other are in range.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bergamot_base::{Name, Peer, Revision, Searcher, Service, Shard, Step, Table, Workspace};
use serde_json::Value;

use crate::layout::Layout;
use crate::reader::{ObjectReader, Violations};
use crate::row::{Class, Preference, SearcherRow, ServiceRow, ShardRow, WorkspaceRow, ZoneRow};
use crate::section::{self, Section};
use crate::validation::{ValidationError, Violation};

/// The maximum size of a document in bytes, which is the limit of the platform's
/// configuration service.
pub(crate) const MAX_DOCUMENT_BYTES: usize = 1 << 20;

const MAX_INSTANCES: u64 = 100_000;
const MAX_DEADLINE_MS: u64 = 60_000;

const DOCUMENT_KEYS: &[&str] = &["revision", "instances", "places", "workspaces"];
const ZONE_KEYS: &[&str] = &["zone", "region"];
const WORKSPACE_KEYS: &[&str] = &["name", "in_flight", "services"];
const SERVICE_KEYS: &[&str] = &[
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
const SHARD_KEYS: &[&str] = &["replicas"];
const REPLICA_KEYS: &[&str] = &["address", "zone"];

/// A valid configuration document.
#[derive(Debug)]
pub struct Document {
    /// The revision; operators increase it with each publication.
    pub revision: Revision,
    /// The content hash, which distinguishes two documents with the same revision.
    pub hash: u64,
    /// The number of instances in the system, as published by the operators.
    pub instances: usize,
    /// The availability zones and their regions.
    pub zones: Vec<ZoneRow>,
    /// The workspaces of all tenants.
    pub workspaces: Table<Workspace, WorkspaceRow>,
    /// The services of all workspaces.
    pub services: Table<Service, ServiceRow>,
    /// The shards of all services.
    pub shards: Table<Shard, ShardRow>,
    /// The searchers of all shards.
    pub searchers: Table<Searcher, SearcherRow>,
    /// The assignment of shards to cells, and the connection limits of their homes.
    pub layout: Layout,
    sections: Vec<Section>,
    names: HashMap<(Name, Name), Service>,
}

impl Document {
    /// Parses and validates a document; the error lists everything that is invalid.
    pub fn parse(text: &[u8]) -> Result<Self, ValidationError> {
        let reject = |violations| ValidationError {
            step: Step("check document"),
            peer: Peer::Local,
            violations,
        };
        if text.len() > MAX_DOCUMENT_BYTES {
            let found = format!("{} bytes", text.len());
            return Err(reject(vec![Violation::new(
                "document",
                found,
                format!("{MAX_DOCUMENT_BYTES} bytes"),
            )]));
        }
        let source: Value = serde_json::from_slice(text).map_err(|error| {
            let position = format!("line {} column {}", error.line(), error.column());
            reject(vec![Violation::new(position, error.to_string(), "a complete JSON object")])
        })?;
        Self::from_source(source).map_err(reject)
    }

    /// Validates and indexes a parsed JSON document.
    pub(crate) fn from_source(source: Value) -> Result<Self, Vec<Violation>> {
        let mut validator = Validator::default();
        validator.document(&source);
        if !validator.violations.is_empty() {
            return Err(validator.violations);
        }
        let layout = Layout::compute(validator.instances, &validator.services, &validator.shards);
        let sections = section::split(source);
        let hash = section::hash(&sections);
        Ok(Self {
            revision: validator.revision,
            hash,
            instances: validator.instances,
            zones: validator.zones,
            workspaces: validator.workspaces,
            services: validator.services,
            shards: validator.shards,
            searchers: validator.searchers,
            layout,
            sections,
            names: validator.names,
        })
    }

    /// Looks up a service by the workspace and service names in a request path.
    pub fn service(&self, workspace: &str, service: &str) -> Option<Service> {
        self.names.get(&(Name::from(workspace), Name::from(service))).copied()
    }

    /// Returns the region of a zone, or the zone name itself if the zone is not listed.
    pub fn region<'a>(&'a self, zone: &'a str) -> &'a str {
        self.zones.iter().find(|row| &*row.zone == zone).map_or(zone, |row| &row.region)
    }

    /// Returns the number of distinct regions.
    pub fn regions(&self) -> usize {
        self.zones.iter().map(|row| &row.region).collect::<HashSet<_>>().len()
    }

    /// Returns the sections in which the document is transferred.
    ///
    /// Only the section texts are kept of the JSON source: the parsed tree of a large
    /// document takes more than ten times as much memory.
    pub fn sections(&self) -> &[Section] {
        &self.sections
    }
}

impl fmt::Display for Document {
    /// Formats the document for state dumps and tests, with one line per service.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "document r{} hash {:016x}", self.revision, self.hash)?;
        writeln!(f, "instances {} zones {}", self.instances, self.zones.len())?;
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

/// Traverses a JSON document, collecting its tables and its errors.
#[derive(Debug, Default)]
struct Validator {
    violations: Violations,
    revision: Revision,
    instances: usize,
    zones: Vec<ZoneRow>,
    workspaces: Table<Workspace, WorkspaceRow>,
    services: Table<Service, ServiceRow>,
    shards: Table<Shard, ShardRow>,
    searchers: Table<Searcher, SearcherRow>,
    names: HashMap<(Name, Name), Service>,
    addresses: HashSet<SocketAddr>,
}

impl Validator {
    fn document(&mut self, source: &Value) {
        let Some(reader) = ObjectReader::open("", source, DOCUMENT_KEYS, &mut self.violations)
        else {
            return;
        };
        self.revision = reader.number("revision", 1..=u64::MAX >> 1, None, &mut self.violations);
        self.instances =
            reader.number("instances", 1..=MAX_INSTANCES, None, &mut self.violations) as usize;
        for (path, value) in reader.list("places", &mut self.violations) {
            self.zone(path, value);
        }
        for (path, value) in reader.list("workspaces", &mut self.violations) {
            self.workspace(path, value);
        }
    }

    fn zone(&mut self, path: String, value: &Value) {
        let Some(reader) = ObjectReader::open(path, value, ZONE_KEYS, &mut self.violations) else {
            return;
        };
        let zone = reader.name("zone", &mut self.violations);
        let region = reader.name("region", &mut self.violations);
        if self.zones.iter().any(|known| known.zone == zone) {
            self.violations.push(Violation::new(reader.path("zone"), &*zone, "each zone once"));
        }
        self.zones.push(ZoneRow { zone, region });
    }

    fn workspace(&mut self, path: String, value: &Value) {
        let Some(reader) = ObjectReader::open(path, value, WORKSPACE_KEYS, &mut self.violations)
        else {
            return;
        };
        let name = reader.name("name", &mut self.violations);
        let in_flight = reader.number("in_flight", 1..=100_000, Some(256), &mut self.violations);
        if self.workspaces.values().any(|known| known.name == name) {
            self.violations.push(Violation::new(
                reader.path("name"),
                &*name,
                "each workspace once",
            ));
        }
        let id = self.workspaces.push(WorkspaceRow {
            name: Name::clone(&name),
            in_flight: in_flight as usize,
            services: Vec::new(),
        });
        for (path, value) in reader.list("services", &mut self.violations) {
            self.service(path, value, id, &name);
        }
    }

    fn service(
        &mut self,
        path: String,
        value: &Value,
        workspace: Workspace,
        workspace_name: &Name,
    ) {
        let Some(reader) = ObjectReader::open(path, value, SERVICE_KEYS, &mut self.violations)
        else {
            return;
        };
        let name = reader.name("name", &mut self.violations);
        let service = self.service_row(&reader, workspace, Name::clone(&name));
        let id = self.services.push(service);
        self.workspaces[workspace].services.push(id);
        if self.names.insert((Name::clone(workspace_name), Name::clone(&name)), id).is_some() {
            self.violations.push(Violation::new(reader.path("name"), &*name, "each service once"));
        }
        for (position, (path, value)) in
            reader.list("shards", &mut self.violations).into_iter().enumerate()
        {
            self.shard(path, value, id, position);
        }
    }

    fn service_row(
        &mut self,
        reader: &ObjectReader<'_>,
        workspace: Workspace,
        name: Name,
    ) -> ServiceRow {
        let violations = &mut self.violations;
        let preferences = [("time", Preference::Time), ("coverage", Preference::Coverage)];
        let classes = [("interactive", Class::Interactive), ("bulk", Class::Bulk)];
        ServiceRow {
            workspace,
            name,
            preference: reader
                .choice("prefer", &preferences, violations)
                .unwrap_or(Preference::Time),
            class: reader.choice("class", &classes, violations).unwrap_or(Class::Bulk),
            epoch: reader.number("epoch", 1..=u64::MAX >> 1, None, violations),
            deadline: Duration::from_millis(reader.number(
                "deadline_ms",
                1..=MAX_DEADLINE_MS,
                None,
                violations,
            )),
            slots: reader.number("slots", 1..=1_000, None, violations) as usize,
            connections: reader.number("connections", 2..=10_000, None, violations) as usize,
            hedge_percent: reader.number("hedge_percent", 0..=100, Some(5), violations) as u32,
            shards: Vec::new(),
        }
    }

    fn shard(&mut self, path: String, value: &Value, service: Service, position: usize) {
        let Some(reader) = ObjectReader::open(path, value, SHARD_KEYS, &mut self.violations) else {
            return;
        };
        let id = self.shards.push(ShardRow { service, position, replicas: Vec::new() });
        self.services[service].shards.push(id);
        for (path, value) in reader.list("replicas", &mut self.violations) {
            self.replica(path, value, id);
        }
    }

    fn replica(&mut self, path: String, value: &Value, shard: Shard) {
        let Some(reader) = ObjectReader::open(path, value, REPLICA_KEYS, &mut self.violations)
        else {
            return;
        };
        let zone = reader.name("zone", &mut self.violations);
        let Some(address) = reader.parsed::<SocketAddr>(
            "address",
            "an IP address and a port",
            &mut self.violations,
        ) else {
            return;
        };
        if !self.zones.iter().any(|known| known.zone == zone) {
            self.violations.push(Violation::new(
                reader.path("zone"),
                &*zone,
                "a zone listed in places",
            ));
        }
        if !self.addresses.insert(address) {
            let found = address.to_string();
            self.violations.push(Violation::new(
                reader.path("address"),
                found,
                "each searcher once",
            ));
        }
        let id = self.searchers.push(SearcherRow { shard, address, zone });
        self.shards[shard].replicas.push(id);
    }
}
