//! The cells assigned to a gather under one document, and the clients of their searchers.

use std::collections::BTreeSet;
use std::sync::Arc;

use bergamot_base::{Cell, Searcher, Shard, Version};
use bergamot_config::Settings;
use bergamot_members::{Endpoint, Homes};
use bergamot_node::{ActiveDocument, machine};
use bergamot_resources::{Memory, Shares};
use bergamot_upstream::{Client, ClientSet};

/// The cells that a gather is a home of under one document, and the clients of their searchers.
#[derive(Clone, Debug)]
pub(crate) struct Assignment {
    pub(crate) current: Arc<ActiveDocument>,
    pub(crate) cells: BTreeSet<Cell>,
    pub(crate) clients: ClientSet,
}

impl Assignment {
    /// Computes the assignment for a document and its homes, reusing existing clients.
    pub(crate) fn new(
        previous: Option<&Self>,
        current: Arc<ActiveDocument>,
        homes: &Homes,
        me: Endpoint,
        settings: &Settings,
    ) -> Self {
        let document = &current.document;
        let cells: BTreeSet<Cell> = homes.cells_of(me).into_iter().collect();
        let searchers: Vec<Searcher> = cells
            .iter()
            .flat_map(|cell| &document.layout.cells[*cell].shards)
            .flat_map(|shard| document.shards[*shard].replicas.iter().copied())
            .collect();
        let empty = ClientSet::new(Memory::new(Shares::from(machine(settings)).answer_bytes));
        let clients = previous
            .map_or(&empty, |previous| &previous.clients)
            .reconfigured(document, settings, &searchers);
        Self { current, cells, clients }
    }

    /// Returns whether this gather is a home of the cells of all given shards.
    pub(crate) fn is_home_of(&self, shards: &[Shard]) -> bool {
        let layout = &self.current.document.layout;
        let shard_count = self.current.document.shards.len();
        shards.iter().all(|shard| {
            bergamot_base::Entity::index(*shard) < shard_count
                && self.cells.contains(&layout.cell(*shard))
        })
    }

    /// Iterates over the clients of a shard's replicas.
    pub(crate) fn replica_clients(&self, shard: Shard) -> impl Iterator<Item = &Arc<Client>> {
        let replicas = &self.current.document.shards[shard].replicas;
        replicas.iter().filter_map(|searcher| self.clients.client(*searcher))
    }

    /// Returns the index versions that the replicas of a shard hold, except replicas that are
    /// leaving.
    pub(crate) fn versions(&self, shard: Shard) -> Vec<Version> {
        let mut versions = BTreeSet::new();
        for client in self.replica_clients(shard) {
            let health = client.health();
            if !health.is_leaving() {
                versions.extend(health.versions());
            }
        }
        versions.into_iter().collect()
    }
}
