//! Assignment of shards to cells, and the connection limit of each home.
//!
//! A searcher accepts only a few connections, so not every gather can connect to every
//! searcher. Shards are grouped in document order into cells, and each cell is assigned to
//! a few gathers, its homes. The layout is computed from the document alone and never from
//! a membership view, so that all daemons with the same revision agree on it
//! (docs/design/0002-homes-and-cells.md).
//!
//! Invariant: `connections_per_home * 2 * homes <= limit - RESERVED_CONNECTIONS` for the
//! connection limit of each service, unless a single connection per home already exceeds
//! it. Old and new homes together therefore stay below the limit even if all homes of a
//! cell are replaced at once.

use std::fmt;

use bergamot_base::{Cell, Service, Shard, Table};

use crate::row::{ServiceRow, ShardRow};

/// The number of connections to each searcher that are reserved for operators and their tools.
const RESERVED_CONNECTIONS: usize = 1;

/// The maximum size of a cell in searchers. A cell is closed once it has reached its size, so
/// it can exceed this by less than the replicas of one shard.
const MAX_SEARCHERS_PER_CELL: usize = 128;

/// The maximum number of homes per cell. With twelve homes and one connection each, old and
/// new homes together use 24 of the 25 connections that a searcher accepts.
const MAX_HOMES: usize = 12;

/// The number of instances per home of a cell, within [`MIN_HOMES`] and [`MAX_HOMES`].
///
/// A small fleet has few homes with several connections each, so that a single queue can
/// fill a searcher's slots. A large fleet has many homes, so that cells are large and a
/// query is sent to few gathers.
const INSTANCES_PER_HOME: usize = 8;

/// The minimum number of homes per cell, so that two can fail at the same time.
const MIN_HOMES: usize = 3;

/// A group of shards whose searchers have the same homes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellRow {
    /// The shards of the cell.
    pub shards: Vec<Shard>,
    /// The total number of searchers of these shards.
    pub searchers: usize,
}

/// The cells of a document and the connection limit of each home.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Layout {
    /// The cells, in document order.
    pub cells: Table<Cell, CellRow>,
    /// The number of homes of each cell.
    pub homes: usize,
    shard_cells: Table<Shard, Cell>,
    connections_per_home: Table<Service, usize>,
}

impl Layout {
    /// Computes the layout for `instances`, the number published by the operators.
    pub(crate) fn compute(
        instances: usize,
        services: &Table<Service, ServiceRow>,
        shards: &Table<Shard, ShardRow>,
    ) -> Self {
        let searchers: usize = shards.values().map(|shard| shard.replicas.len()).sum();
        let homes = (instances / INSTANCES_PER_HOME).clamp(MIN_HOMES, MAX_HOMES).min(instances);
        let cell_count = searchers.div_ceil(MAX_SEARCHERS_PER_CELL).max(instances / homes).max(1);
        let size = searchers.div_ceil(cell_count).max(1);
        let cells = group_shards(shards, size);
        let shard_cells =
            cells.iter().flat_map(|(cell, row)| row.shards.iter().map(move |_| cell)).collect();
        let connections_per_home =
            services.values().map(|service| connection_share(service.connections, homes)).collect();
        Self { cells, homes, shard_cells, connections_per_home }
    }

    /// Returns the cell of a shard.
    pub fn cell(&self, shard: Shard) -> Cell {
        self.shard_cells[shard]
    }

    /// Returns how many connections each home opens to each searcher of a service.
    pub fn connections_per_home(&self, service: Service) -> usize {
        self.connections_per_home[service]
    }
}

/// Groups shards into cells in document order; [`Layout::shard_cells`] relies on that order.
fn group_shards(shards: &Table<Shard, ShardRow>, size: usize) -> Table<Cell, CellRow> {
    let mut cells = Table::new();
    let mut current = CellRow { shards: Vec::new(), searchers: 0 };
    for (shard, row) in shards.iter() {
        if current.searchers >= size {
            let full =
                std::mem::replace(&mut current, CellRow { shards: Vec::new(), searchers: 0 });
            cells.push(full);
        }
        current.shards.push(shard);
        current.searchers += row.replicas.len();
    }
    cells.push(current);
    cells
}

fn connection_share(limit: usize, homes: usize) -> usize {
    ((limit - RESERVED_CONNECTIONS) / (2 * homes)).max(1)
}

impl fmt::Display for Layout {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let largest = self.cells.values().map(|cell| cell.searchers).max().unwrap_or(0);
        write!(f, "cells {} of at most {largest} searchers, homes {}", self.cells.len(), self.homes)
    }
}
