//! Placement of cells on gathers: rendezvous hashing with bounded loads.
//!
//! Each daemon computes the homes of all cells from the document's layout and its own view of the
//! members. Cells are assigned in a fixed order. Each cell takes the members of the highest weights
//! that are below the load cap and whose zone is below its per-cell limit. The load cap is the mean
//! number of cells a member, rounded up.
//!
//! Unreachable members stay in the placement, so that homes are not added on both sides of a
//! network partition. If too few homes of a cell are reachable, the reachable members of the next
//! weights serve the cell as stand-ins. Invariant: the same layout and members give the same homes
//! in every process; the homes of a cell are distinct; and if the fleet is partitioned into `s`
//! parts, where `s` is at most the number of regions, a cell has at most `2 * homes` homes and
//! stand-ins over all parts, for which the connection shares leave room
//! (docs/design/0002-homes-and-cells.md).

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::fmt;

use bergamot_base::{Cell, Entity, Name, Service, Table, hash_pair};
use bergamot_config::Layout;

use crate::record::{Endpoint, Record};

/// The homes of all cells.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Homes {
    cells: Table<Cell, Vec<Endpoint>>,
}

/// The properties of a gather that determine its placement.
struct Member {
    endpoint: Endpoint,
    hash: u64,
    zone: usize,
    reachable: bool,
}

/// The members in the order of their rendezvous weights for one cell, highest first.
type Ranking = Vec<(Reverse<u64>, usize)>;

impl Homes {
    /// Computes the homes from a layout and the gathers in the placement.
    ///
    /// `regions` is the number of regions, and the maximum number of partitions to allow for.
    pub fn compute<'a>(
        layout: &Layout,
        regions: usize,
        gathers: impl Iterator<Item = &'a Record>,
    ) -> Self {
        let members = number_zones(&gathers.collect::<Vec<_>>());
        if members.is_empty() {
            return Self { cells: layout.cells.keys().map(|_| Vec::new()).collect() };
        }
        let zones = 1 + members.iter().map(|member| member.zone).max().unwrap_or(0);
        let cap = (layout.cells.len() * layout.homes).div_ceil(members.len());
        let zone_cap = layout.homes.div_ceil(zones);
        let min_reachable = (layout.homes / regions.saturating_sub(1).max(1)).max(1);
        let mut loads = vec![0; members.len()];
        let mut ranking = Ranking::with_capacity(members.len());
        let cells = layout
            .cells
            .keys()
            .map(|cell| {
                rank(cell, &members, &mut ranking);
                let has_capacity = |member: usize| loads[member] < cap;
                let mut selected = select(&ranking, &members, layout.homes, zone_cap, has_capacity);
                for member in &selected {
                    loads[*member] += 1;
                }
                add_stand_ins(&ranking, &members, min_reachable, &mut selected);
                selected.into_iter().map(|member| members[member].endpoint).collect()
            })
            .collect();
        Self { cells }
    }

    /// Returns the homes of a cell.
    pub fn of(&self, cell: Cell) -> &[Endpoint] {
        self.cells.get(cell).map_or(&[], Vec::as_slice)
    }

    /// Returns the homes of a cell in order of preference for a service's requests.
    ///
    /// All requests of a service go through its first home, whose queues track the searchers'
    /// slots; different services prefer different homes.
    pub fn order(&self, cell: Cell, service: Service) -> Vec<Endpoint> {
        let mut order = self.of(cell).to_vec();
        let weight = |home: &Endpoint| hash_pair(home.hash(), !(service.index() as u64));
        order.sort_by_key(|home| std::cmp::Reverse(weight(home)));
        order
    }

    /// Returns the cells of which a member is a home.
    pub fn cells_of(&self, member: Endpoint) -> Vec<Cell> {
        let homed = self.cells.iter().filter(|(_, homes)| homes.contains(&member));
        homed.map(|(cell, _)| cell).collect()
    }

    /// Iterates over the cells and their homes.
    pub fn iter(&self) -> impl Iterator<Item = (Cell, &[Endpoint])> {
        self.cells.iter().map(|(cell, homes)| (cell, homes.as_slice()))
    }
}

/// Converts records to members, with zones numbered in the order of their names.
fn number_zones(records: &[&Record]) -> Vec<Member> {
    let names: BTreeSet<&Name> = records.iter().map(|record| &record.zone).collect();
    let numbers: HashMap<&Name, usize> = names.iter().enumerate().map(|(i, n)| (*n, i)).collect();
    let member = |record: &&Record| Member {
        endpoint: record.endpoint,
        hash: record.endpoint.hash(),
        zone: numbers[&record.zone],
        reachable: record.state.takes_work(),
    };
    records.iter().map(member).collect()
}

fn rank(cell: Cell, members: &[Member], ranking: &mut Ranking) {
    let weight = |member: &Member| Reverse(hash_pair(member.hash, cell.index() as u64));
    ranking.clear();
    ranking.extend(members.iter().enumerate().map(|(i, member)| (weight(member), i)));
    ranking.sort_unstable();
}

/// Selects the highest-ranked members that have capacity and are within their zone's limit, then
/// any others that have capacity.
fn select(
    ranking: &Ranking,
    members: &[Member],
    wanted: usize,
    zone_cap: usize,
    has_capacity: impl Fn(usize) -> bool,
) -> Vec<usize> {
    let mut used = HashMap::<usize, usize>::new();
    let mut selected = Vec::with_capacity(wanted);
    let mut skipped = Vec::new();
    for (_, member) in ranking {
        if selected.len() == wanted {
            break;
        }
        if !has_capacity(*member) {
            continue;
        }
        let count = used.entry(members[*member].zone).or_default();
        if *count < zone_cap {
            *count += 1;
            selected.push(*member);
        } else {
            skipped.push(*member);
        }
    }
    selected.extend(skipped.into_iter().take(wanted - selected.len()));
    selected
}

/// Adds stand-ins until at least `min_reachable` of the selected members are reachable.
fn add_stand_ins(
    ranking: &Ranking,
    members: &[Member],
    min_reachable: usize,
    selected: &mut Vec<usize>,
) {
    let reachable = selected.iter().filter(|member| members[**member].reachable).count();
    let wanted = min_reachable.saturating_sub(reachable);
    let others = ranking.iter().map(|(_, member)| *member);
    let others = others.filter(|member| members[*member].reachable && !selected.contains(member));
    let stand_ins: Vec<usize> = others.take(wanted).collect();
    selected.extend(stand_ins);
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
