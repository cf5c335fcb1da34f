//! The plan of a query: its snapshot and which cell answers which shards.

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
    /// Plans a query for a version of the index.
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

    /// Starts the merge of the plan's answers.
    pub(crate) fn merge(&self) -> Merge {
        let document = &self.current.document;
        let asked = self.cells.values().flatten();
        let positions = asked.map(|shard| (*shard, document.shards[*shard].position));
        Merge::new(self.pin, document.services[self.service].shards.len(), positions)
    }
}
