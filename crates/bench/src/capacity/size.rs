//! The design size, and the quantities computed from it.

use bergamot_config::Document;
use serde_json::json;

use crate::capacity::table::Table;

/// The size of a deployment; the default is the design size from the requirements.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Instances, each with an entry and a gather.
    pub instances: usize,
    /// Searchers.
    pub searchers: usize,
    /// Queries per second.
    pub queries: f64,
    /// The searchers, and therefore shards, that a query is sent to.
    pub fan_out: usize,
    /// Regions.
    pub regions: usize,
    /// Availability zones.
    pub zones: usize,
    /// Configuration changes per day.
    pub changes: f64,
    /// Restarts and replacements of instances per day.
    pub restarts: f64,
    /// Instances that fail on an ordinary day.
    pub failures: f64,
    /// The maximum number of connections of a searcher.
    pub limit: usize,
    /// The time that a new connection costs a searcher, in seconds.
    pub connect_cost: f64,
    /// The number of shards of a service.
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

    /// Returns the number of membership changes per second.
    ///
    /// A restart counts as three: a leave, a join, and a possible suspicion in between. A
    /// failure counts as two: a suspicion and a removal.
    pub fn member_changes(&self) -> f64 {
        (3.0 * self.restarts + 2.0 * self.failures) / 86_400.0
    }

    /// Returns a document of this size: two replicas per shard, and at most `shards` shards per
    /// service (the last one has the remainder).
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

    /// Returns the table of connections, computed from the layout.
    pub(crate) fn connections(&self) -> String {
        let document = self.parsed(1);
        let layout = &document.layout;
        let service = document.services.keys().next().expect("there is a service");
        let (homes, share) = (layout.homes as f64, layout.connections_per_home(service) as f64);
        let (cells, searchers) = (layout.cells.len() as f64, self.searchers as f64);
        let (instances, limit) = (self.instances as f64, self.limit as f64);
        let cell = searchers / cells;
        let held = cells * homes / instances;
        let new_connections =
            NEW_HOMES_PER_REPLACEMENT * self.restarts / 2.0 * cell * share / 86_400.0;
        let sub_queries = self.queries * self.fan_out as f64;
        let mut table = Table::new(&["quantity", "sum", "value"]);
        let mut row = |what: &str, sum: String, value: f64| {
            table.row(&[what.into(), sum, format!("{value:.1}")]);
        };
        let daemons = self.daemons();
        row("a flat mesh", format!("{daemons} daemons x {searchers}"), daemons * searchers);
        row("what searchers allow", format!("{searchers} x {limit}"), searchers * limit);
        row("cells", format!("max({searchers} / 128, {instances} / homes)"), cells);
        row("homes of a cell", "instances / 8, between 3 and 12".into(), homes);
        row("searchers of a cell", format!("{searchers} / {cells}"), cell);
        row("cells that a gather homes", format!("{cells} x {homes} / {instances}"), held);
        row(
            "connections of a gather",
            format!("{held:.1} x {cell:.1} x {share}"),
            held * cell * share,
        );
        row("connections of a searcher, steady", format!("{homes} x {share}"), homes * share);
        let sum = format!("2 x {homes} x {share}");
        row("connections of a searcher, all homes replaced at once", sum, 2.0 * homes * share);
        let asked = (self.fan_out as f64 / (cell / 2.0)).ceil();
        row("cells that a query asks", format!("{} / ({cell:.1} / 2)", self.fan_out), asked);
        let sum = format!(
            "{NEW_HOMES_PER_REPLACEMENT} homes x {} / 2 gathers a day x {cell:.1} / 86400",
            self.restarts
        );
        row("new connections a second for restarts", sum, new_connections);
        let sum = format!("{new_connections:.1} x {} ms", self.connect_cost * 1e3);
        row(
            "searchers' time for them, ms a second",
            sum,
            new_connections * self.connect_cost * 1e3,
        );
        let sum = format!("{} x {}", self.queries, self.fan_out);
        row("sub-queries a second", sum, sub_queries);
        row(
            "sub-queries a second a searcher",
            format!("that / {searchers}"),
            sub_queries / searchers,
        );
        row(
            "µs that a slot may take, at 2 slots",
            "2 / that".into(),
            2e6 * searchers / sub_queries,
        );
        row("sub-queries a second a gather", format!("all / {instances}"), sub_queries / instances);
        let percentile = 100.0 * 0.99_f64.powf(1.0 / self.fan_out as f64);
        let what = "percentile of one searcher that the 99th of 980 needs";
        table.row(&[what.into(), "100 x 0.99^(1/980)".into(), format!("{percentile:.4}")]);
        table.text()
    }
}

/// The number of new homes when one gather is replaced, rounded up from the measured mean in
/// the `document` table.
const NEW_HOMES_PER_REPLACEMENT: f64 = 7.0;
