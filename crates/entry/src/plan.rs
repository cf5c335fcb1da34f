//! Query plans: the pinned snapshot, and the shards to query in each cell.

use std::collections::BTreeMap;
use std::sync::Arc;

use bergamot_base::{Cell, Service, Shard, Version};
use bergamot_node::ActiveDocument;
use bergamot_query::{Merge, Pin, Shape};

/// The plan of a query on one service.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) current: Arc<ActiveDocument>,
    pub(crate) service: Service,
    pub(crate) pin: Pin,
    pub(crate) shape: Shape,
    pub(crate) cells: BTreeMap<Cell, Vec<Shard>>,
}

impl Plan {
    /// Plans a query of one index version.
    pub(crate) fn new(
        current: Arc<ActiveDocument>,
        service: Service,
        shape: Shape,
        version: Version,
    ) -> Self {
        let document = &current.document;
        let row = &document.services[service];
        let pin = Pin { revision: document.revision, epoch: row.epoch, version };
        let mut cells = BTreeMap::<Cell, Vec<Shard>>::new();
        for shard in shape.shards(row) {
            cells.entry(document.layout.cell(shard)).or_default().push(shard);
        }
        Self { current, service, pin, shape, cells }
    }

    /// Creates the merge for the results of the planned shards.
    pub(crate) fn merge(&self) -> Merge {
        let document = &self.current.document;
        let shards = self.cells.values().flatten();
        let positions = shards.map(|shard| (*shard, document.shards[*shard].position));
        Merge::new(self.pin, document.services[self.service].shards.len(), positions)
    }
}
