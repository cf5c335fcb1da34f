//! What a gather holds under one document: its cells, searchers and their clients.

use std::collections::BTreeSet;
use std::sync::Arc;

use bergamot_base::{Cell, Searcher, Shard, Version};
use bergamot_config::Settings;
use bergamot_members::{Endpoint, Homes};
use bergamot_node::ActiveDocument;
use bergamot_upstream::{Client, ClientSet};

/// What a gather holds under one document.
#[derive(Clone, Debug)]
pub(crate) struct Holding {
    pub(crate) current: Arc<ActiveDocument>,
    pub(crate) cells: BTreeSet<Cell>,
    pub(crate) fleet: ClientSet,
}

impl Holding {
    /// Makes the holding for a document and its homes, keeping the clients held before.
    pub(crate) fn next(
        before: Option<&Self>,
        current: Arc<ActiveDocument>,
        homes: &Homes,
        me: Endpoint,
        settings: &Settings,
    ) -> Self {
        let document = &current.document;
        let cells: BTreeSet<Cell> = homes.cells_of(me).into_iter().collect();
        let held: Vec<Searcher> = cells
            .iter()
            .flat_map(|cell| &document.layout.cells[*cell].shards)
            .flat_map(|shard| document.shards[*shard].replicas.iter().copied())
            .collect();
        let none = ClientSet::default();
        let fleet =
            before.map_or(&none, |before| &before.fleet).reconfigured(document, settings, &held);
        Self { current, cells, fleet }
    }

    /// Tells whether the gather homes the cell of every one of the shards.
    pub(crate) fn homes(&self, shards: &[Shard]) -> bool {
        let layout = &self.current.document.layout;
        let known = self.current.document.shards.len();
        shards.iter().all(|shard| {
            bergamot_base::Entity::index(*shard) < known
                && self.cells.contains(&layout.cell(*shard))
        })
    }

    /// Iterates over the clients of a shard's replicas.
    pub(crate) fn clients(&self, shard: Shard) -> impl Iterator<Item = &Arc<Client>> {
        let replicas = &self.current.document.shards[shard].replicas;
        replicas.iter().filter_map(|searcher| self.fleet.client(*searcher))
    }

    /// Returns the versions that the live replicas of a shard hold.
    pub(crate) fn versions(&self, shard: Shard) -> Vec<Version> {
        let mut versions = BTreeSet::new();
        for client in self.clients(shard) {
            let health = client.health();
            if !health.is_leaving() {
                versions.extend(health.versions());
            }
        }
        versions.into_iter().collect()
    }
}
