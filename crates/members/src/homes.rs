//! Which gathers home which cells: rendezvous hashing with bounded loads.
//!
//! Every daemon computes the homes of all cells from the document's layout and its
//! own view of the members. Cells take turns in a fixed order; each takes the
//! members of the highest weights that have not reached their cap and whose zone has
//! not reached its part. The cap is the mean number of cells a member, rounded up.
//!
//! Members that can't be reached keep their place, so that the homes don't grow on both
//! sides of a partition. Where too few homes of a cell can be reached, the reachable
//! members of the next weights stand in for them. Invariant: the same layout and the
//! same members give the same homes in every process; a cell's homes are distinct; and
//! with `s` parts that can't reach each other, where `s` is at most the number of
//! regions, a cell has at most `2 * homes` homes and stand-ins over all parts, which is
//! what the shares leave room for (docs/design/0002-homes-and-cells.md).

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

/// A gather as the computation sees it.
struct Member {
    endpoint: Endpoint,
    hash: u64,
    zone: usize,
    reachable: bool,
}

/// The members in the order of their weights for one cell.
type Ranking = Vec<(Reverse<u64>, usize)>;

impl Homes {
    /// Computes the homes from a layout and the gathers that keep their place.
    ///
    /// `regions` is the number of regions, the parts into which the fleet may fall.
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
        let fewest = (layout.homes / regions.saturating_sub(1).max(1)).max(1);
        let mut loads = vec![0; members.len()];
        let mut ranking = Ranking::with_capacity(members.len());
        let cells = layout
            .cells
            .keys()
            .map(|cell| {
                rank(cell, &members, &mut ranking);
                let room = |member: usize| loads[member] < cap;
                let mut chosen = choose(&ranking, &members, layout.homes, zone_cap, room);
                for member in &chosen {
                    loads[*member] += 1;
                }
                stand_in(&ranking, &members, fewest, &mut chosen);
                chosen.into_iter().map(|member| members[member].endpoint).collect()
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
        let homed = self.cells.iter().filter(|(_, homes)| homes.contains(&member));
        homed.map(|(cell, _)| cell).collect()
    }

    /// Iterates over the cells and their homes.
    pub fn iter(&self) -> impl Iterator<Item = (Cell, &[Endpoint])> {
        self.cells.iter().map(|(cell, homes)| (cell, homes.as_slice()))
    }
}

/// Makes the members with their zones numbered in the order of the names.
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

/// Takes the best members with room within the parts of their zones, then any with room.
fn choose(
    ranking: &Ranking,
    members: &[Member],
    wanted: usize,
    zone_cap: usize,
    room: impl Fn(usize) -> bool,
) -> Vec<usize> {
    let mut used = HashMap::<usize, usize>::new();
    let mut chosen = Vec::with_capacity(wanted);
    let mut passed = Vec::new();
    for (_, member) in ranking {
        if chosen.len() == wanted {
            break;
        }
        if !room(*member) {
            continue;
        }
        let count = used.entry(members[*member].zone).or_default();
        if *count < zone_cap {
            *count += 1;
            chosen.push(*member);
        } else {
            passed.push(*member);
        }
    }
    chosen.extend(passed.into_iter().take(wanted - chosen.len()));
    chosen
}

/// Adds reachable members until `fewest` of the homes can be reached.
fn stand_in(ranking: &Ranking, members: &[Member], fewest: usize, chosen: &mut Vec<usize>) {
    let reachable = chosen.iter().filter(|member| members[**member].reachable).count();
    let wanted = fewest.saturating_sub(reachable);
    let others = ranking.iter().map(|(_, member)| *member);
    let others = others.filter(|member| members[*member].reachable && !chosen.contains(member));
    let more: Vec<usize> = others.take(wanted).collect();
    chosen.extend(more);
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
