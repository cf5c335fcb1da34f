//! Which gathers home which cells: rendezvous hashing with bounded loads.
//!
//! Every daemon computes the homes of all cells from the document's layout and its
//! own view of the members. Cells take turns in a fixed order; each takes the
//! members of the highest weights that have not reached their cap and whose zone has
//! not reached its part. The cap is the mean number of cells a member, rounded up.
//!
//! Invariant: the same layout and the same members give the same homes in every
//! process, no member homes more cells than the cap, and a cell's homes are distinct.
//! Members that can't be reached keep their place, so the homes don't grow on both
//! sides of a partition (docs/design/0002-homes-and-cells.md).

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use bergamot_base::{Cell, Entity, Name, Service, Table, hash_pair};
use bergamot_config::Layout;

use crate::record::{Endpoint, Record};

/// The homes of all cells.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Homes {
    cells: Table<Cell, Vec<Endpoint>>,
}

impl Homes {
    /// Computes the homes from a layout and the gathers that keep their place.
    pub fn compute<'a>(layout: &Layout, gathers: impl Iterator<Item = &'a Record>) -> Self {
        let members: Vec<_> = gathers
            .map(|record| {
                (
                    record.endpoint,
                    record.endpoint.hash(),
                    Name::clone(&record.zone),
                )
            })
            .collect();
        if members.is_empty() {
            return Self {
                cells: layout.cells.keys().map(|_| Vec::new()).collect(),
            };
        }
        let zones = zone_numbers(&members);
        let cap = (layout.cells.len() * layout.homes).div_ceil(members.len());
        let zone_cap = layout
            .homes
            .div_ceil(zones.iter().max().map_or(1, |last| last + 1));
        let mut loads = vec![0; members.len()];
        let mut scratch = Vec::with_capacity(members.len());
        let cells = layout
            .cells
            .keys()
            .map(|cell| {
                scratch.clear();
                scratch.extend((0..members.len()).filter(|i| loads[*i] < cap).map(|i| {
                    (
                        std::cmp::Reverse(hash_pair(members[i].1, cell.index() as u64)),
                        i,
                    )
                }));
                scratch.sort_unstable();
                let chosen = choose(&scratch, &zones, layout.homes, zone_cap);
                for i in &chosen {
                    loads[*i] += 1;
                }
                chosen.into_iter().map(|i| members[i].0).collect()
            })
            .collect();
        Self { cells }
    }

    /// Returns the homes of a cell.
    pub fn of(&self, cell: Cell) -> &[Endpoint] {
        self.cells.get(cell).map_or(&[], Vec::as_slice)
    }

    /// Returns the homes of a cell in the order in which a service's work prefers them.
    ///
    /// All work of a service passes the first home, whose queues know the searchers'
    /// slots; different services prefer different homes.
    pub fn order(&self, cell: Cell, service: Service) -> Vec<Endpoint> {
        let mut order = self.of(cell).to_vec();
        let weight = |home: &Endpoint| hash_pair(home.hash(), !(service.index() as u64));
        order.sort_by_key(|home| std::cmp::Reverse(weight(home)));
        order
    }

    /// Returns the cells that a member homes.
    pub fn cells_of(&self, member: Endpoint) -> Vec<Cell> {
        let homed = self
            .cells
            .iter()
            .filter(|(_, homes)| homes.contains(&member));
        homed.map(|(cell, _)| cell).collect()
    }

    /// Iterates over the cells and their homes.
    pub fn iter(&self) -> impl Iterator<Item = (Cell, &[Endpoint])> {
        self.cells
            .iter()
            .map(|(cell, homes)| (cell, homes.as_slice()))
    }
}

/// Numbers the zones in the order of their names.
fn zone_numbers(members: &[(Endpoint, u64, Name)]) -> Vec<usize> {
    let names: BTreeMap<&str, ()> = members.iter().map(|(_, _, zone)| (&**zone, ())).collect();
    let numbers: HashMap<&str, usize> = names
        .keys()
        .enumerate()
        .map(|(i, name)| (*name, i))
        .collect();
    members
        .iter()
        .map(|(_, _, zone)| numbers[&**zone])
        .collect()
}

/// Takes the best members within the parts of their zones, then fills up with any.
fn choose(
    ranked: &[(std::cmp::Reverse<u64>, usize)],
    zones: &[usize],
    wanted: usize,
    zone_cap: usize,
) -> Vec<usize> {
    let mut used = HashMap::<usize, usize>::new();
    let mut chosen = Vec::with_capacity(wanted);
    for (_, member) in ranked {
        let count = used.entry(zones[*member]).or_default();
        if chosen.len() < wanted && *count < zone_cap {
            *count += 1;
            chosen.push(*member);
        }
    }
    let spare: Vec<_> = ranked.iter().map(|(_, member)| *member).collect();
    for member in spare {
        if chosen.len() < wanted && !chosen.contains(&member) {
            chosen.push(member);
        }
    }
    chosen
}

impl fmt::Display for Homes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (cell, homes) in self.cells.iter() {
            write!(f, "{cell}")?;
            for home in homes {
                write!(f, " {home}")?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
