//! The size that the users design for, and what follows from it by arithmetic.

use std::fmt::Write as _;

use bergamot_config::Document;
use serde_json::json;

/// The size of the letter.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Instances, each with an entry and a gather.
    pub instances: usize,
    /// Searchers.
    pub searchers: usize,
    /// Queries a second.
    pub queries: f64,
    /// Searchers, and so shards, that a query goes to.
    pub fan_out: usize,
    /// Regions.
    pub regions: usize,
    /// Availability zones.
    pub zones: usize,
    /// Changes of configuration a day.
    pub changes: f64,
    /// Restarts and replacements a day.
    pub restarts: f64,
    /// Instances that fail on an ordinary day.
    pub failures: f64,
    /// The connections that a searcher accepts.
    pub limit: usize,
    /// What a new connection costs, in seconds.
    pub connect_cost: f64,
    /// The shards of a service at that size.
    pub shards: usize,
}

impl Default for Size {
    fn default() -> Self {
        Self {
            instances: 900,
            searchers: 9_100,
            queries: 410_000.0,
            fan_out: 980,
            regions: 4,
            zones: 11,
            changes: 1_800.0,
            restarts: 3_200.0,
            failures: 37.0,
            limit: 25,
            connect_cost: 0.006,
            shards: 980,
        }
    }
}

impl Size {
    /// Returns the number of daemons.
    pub fn daemons(&self) -> f64 {
        2.0 * self.instances as f64
    }

    /// Returns a document of this size: services of 980 shards, as far as the searchers
    /// go, with one replica each but for what is left over.
    pub fn document(&self, revision: u64) -> String {
        let places: Vec<_> = (0..self.zones)
            .map(|z| json!({"zone": format!("zone-{z:02}"), "region": format!("region-{}", z % self.regions)}))
            .collect();
        let replica = |number: usize| {
            let address =
                format!("10.{}.{}.{}:9000", number >> 16, (number >> 8) & 255, number & 255);
            json!({"address": address, "zone": format!("zone-{:02}", number % self.zones)})
        };
        let shards = self.searchers / 2;
        let services = shards.div_ceil(self.shards);
        let services: Vec<_> = (0..services)
            .map(|service| {
                let own = service * self.shards..((service + 1) * self.shards).min(shards);
                let shards: Vec<_> = own
                    .map(|shard| json!({"replicas": [replica(2 * shard), replica(2 * shard + 1)]}))
                    .collect();
                json!({"name": format!("service-{service}"), "prefer": "time", "class": "bulk",
                       "epoch": 1, "deadline_ms": 52, "slots": 2, "connections": self.limit,
                       "shards": shards})
            })
            .collect();
        json!({"revision": revision, "instances": self.instances, "places": places,
               "workspaces": [{"name": "large", "services": services}]})
        .to_string()
    }

    /// Returns the parsed document of this size.
    pub(crate) fn parsed(&self, revision: u64) -> Document {
        Document::parse(self.document(revision).as_bytes()).expect("the large document is valid")
    }

    /// Returns the table of connections, by arithmetic from the layout in the code.
    pub(crate) fn connections(&self) -> String {
        let document = self.parsed(1);
        let layout = &document.layout;
        let service = document.services.keys().next().expect("there is a service");
        let (cells, homes, share) = (layout.cells.len(), layout.homes, layout.share(service));
        let cell = self.searchers as f64 / cells as f64;
        let held = cells as f64 * homes as f64 / self.instances as f64;
        let shards_in_cell = cell / 2.0;
        let cells_asked = (self.fan_out as f64 / shards_in_cell).ceil();
        let per_gather = held * cell * share as f64;
        let flat = self.daemons() * self.searchers as f64;
        let allowed = self.searchers as f64 * self.limit as f64;
        let moved = 7.0 * self.restarts / 2.0 * cell * share as f64 / 86_400.0;
        let mut table = String::from("| quantity | sum | value |\n|---|---|---|\n");
        let mut row = |what: &str, sum: String, value: f64| {
            let _ = writeln!(table, "| {what} | {sum} | {value:.1} |");
        };
        row(
            "connections of a flat mesh",
            format!("{} daemons x {} searchers", self.daemons(), self.searchers),
            flat,
        );
        row(
            "connections that searchers allow",
            format!("{} x {}", self.searchers, self.limit),
            allowed,
        );
        row("cells", format!("max(searchers / 128, {} / 12)", self.instances), cells as f64);
        row("homes of a cell", "instances / 8, between 3 and 12".to_owned(), homes as f64);
        row("searchers of a cell", format!("{} / {cells}", self.searchers), cell);
        row("cells a gather homes", format!("{cells} x {homes} / {}", self.instances), held);
        row(
            "connections a searcher has, steady",
            format!("{homes} x {share}"),
            (homes * share) as f64,
        );
        row(
            "connections a searcher has, all homes replaced at once",
            format!("2 x {homes} x {share}"),
            (2 * homes * share) as f64,
        );
        row("connections a gather holds", format!("{held:.2} x {cell:.1} x {share}"), per_gather);
        row(
            "cells that a query of 980 shards asks",
            format!("{} / {shards_in_cell:.1}", self.fan_out),
            cells_asked,
        );
        row(
            "new connections a second for restarts",
            format!("7 homes moved x {} / 2 gathers a day x {cell:.1} / 86400", self.restarts),
            moved,
        );
        row(
            "searcher time for them, ms a second over all searchers",
            format!("{moved:.1} x {} ms", self.connect_cost * 1e3),
            moved * self.connect_cost * 1e3,
        );
        row(
            "sub-queries a second",
            format!("{} x {}", self.queries, self.fan_out),
            self.queries * self.fan_out as f64,
        );
        row(
            "sub-queries a second a searcher",
            format!("that / {}", self.searchers),
            self.queries * self.fan_out as f64 / self.searchers as f64,
        );
        row(
            "time a slot may take for one, µs, at 2 slots",
            "2 / that".to_owned(),
            2e6 * self.searchers as f64 / (self.queries * self.fan_out as f64),
        );
        row(
            "sub-queries a second a gather",
            format!("sub-queries / {}", self.instances),
            self.queries * self.fan_out as f64 / self.instances as f64,
        );
        row(
            "queries a second an entry",
            format!("{} / {}", self.queries, self.instances),
            self.queries / self.instances as f64,
        );
        row(
            "percentile of one searcher that the 99th of 980 needs, %",
            "100 x 0.99^(1/980)".to_owned(),
            100.0 * 0.99_f64.powf(1.0 / self.fan_out as f64),
        );
        table
    }
}
