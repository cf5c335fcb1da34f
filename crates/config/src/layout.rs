//! Cells: which shards share homes, and how many connections a home may hold.
//!
//! Searchers accept few connections, so not every gather may hold one to each.
//! Shards are grouped in document order into cells; each cell is homed by a few
//! gathers. Everything here is computed from the document alone, never from a
//! view of the members, so that all daemons in possession of one revision agree
//! (docs/design/0002-homes-and-cells.md).
//!
//! Invariant: `connections_per_home * 2 * homes <= limit - SPARE` for the smallest
//! limit in the cell, unless one connection a home is already more than that. Even
//! when every home is replaced at the same time, old and new together stay below
//! the limit.

use std::fmt;

use bergamot_base::{Cell, Service, Shard, Table};

use crate::row::{ServiceRow, ShardRow};

/// Connections of each searcher that are left for operators and their tools.
const SPARE: usize = 1;

/// The most searchers that one cell holds.
const LARGEST_CELL: usize = 128;

/// The most homes of a cell: with twelve homes of one connection each, old and new
/// homes together hold 24 of the 25 connections that a searcher accepts.
const MOST_HOMES: usize = 12;

/// How many instances there are for each home of a cell, between the fewest and the
/// most: a small fleet has few homes with several connections each, so that one queue
/// can fill a searcher's slots; a large one has many homes, so that cells are large and
/// a query goes to few gathers.
const INSTANCES_PER_HOME: usize = 8;

/// The fewest homes of a cell, so that two may fail at once.
const FEWEST_HOMES: usize = 3;

/// A group of shards whose searchers share one set of homes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellRow {
    /// The shards of the cell.
    pub shards: Vec<Shard>,
    /// How many searchers the shards have together.
    pub searchers: usize,
}

/// The cells of a document and the share of each home.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Layout {
    /// The cells.
    pub cells: Table<Cell, CellRow>,
    /// How many gathers home each cell.
    pub homes: usize,
    places: Table<Shard, Cell>,
    shares: Table<Service, usize>,
}

impl Layout {
    /// Computes the layout for the published number of instances.
    pub(crate) fn compute(
        instances: usize,
        services: &Table<Service, ServiceRow>,
        shards: &Table<Shard, ShardRow>,
    ) -> Self {
        let searchers: usize = shards.values().map(|shard| shard.replicas.len()).sum();
        let homes = (instances / INSTANCES_PER_HOME).clamp(FEWEST_HOMES, MOST_HOMES).min(instances);
        let wanted = searchers.div_ceil(LARGEST_CELL).max(instances / homes).max(1);
        let size = searchers.div_ceil(wanted).max(1);
        let cells = fill(shards, size);
        let places =
            cells.iter().flat_map(|(cell, row)| row.shards.iter().map(move |_| cell)).collect();
        let shares = services.values().map(|service| share(service.connections, homes)).collect();
        Self { cells, homes, places, shares }
    }

    /// Returns the cell of a shard.
    pub fn cell(&self, shard: Shard) -> Cell {
        self.places[shard]
    }

    /// Returns how many connections a home holds to each searcher of a service.
    pub fn share(&self, service: Service) -> usize {
        self.shares[service]
    }
}

/// Puts shards into cells in document order; the places table relies on that order.
fn fill(shards: &Table<Shard, ShardRow>, size: usize) -> Table<Cell, CellRow> {
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

fn share(limit: usize, homes: usize) -> usize {
    ((limit - SPARE) / (2 * homes)).max(1)
}

impl fmt::Display for Layout {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let largest = self.cells.values().map(|cell| cell.searchers).max().unwrap_or(0);
        write!(f, "cells {} of at most {largest} searchers, homes {}", self.cells.len(), self.homes)
    }
}
