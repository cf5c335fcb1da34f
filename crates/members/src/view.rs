//! One member's view of all members.
//!
//! Invariant: within an incarnation, a final state is never left, and no record of an earlier
//! incarnation changes the view. The platform's list is eventually consistent; it can add unknown
//! members and remove unreachable ones, and changes nothing else. The hashes cover only the members
//! that accept work, so each member can forget departed members at its own time without making the
//! views differ.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::Ipv4Addr;

use bergamot_base::{Name, hash_bytes, hash_pair};

use crate::record::{Endpoint, Record, Role, State};

/// An instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedInstance {
    /// The IPv4 address of the instance.
    pub ip: Ipv4Addr,
    /// The availability zone.
    pub zone: Name,
    /// Whether the platform reports the instance as leaving.
    pub leaving: bool,
}

/// The number of ranges into which members are divided by their hashes.
///
/// At 1,800 members a range has 28 records, so the short hashes of one range take 112 bytes; the
/// hashes of all ranges fit one datagram at any fleet size.
pub const RANGE_COUNT: usize = 64;

/// One member's view of all members.
#[derive(Clone, Debug)]
pub struct View {
    records: BTreeMap<Endpoint, Record>,
    listed: BTreeSet<Ipv4Addr>,
    listed_leaving: BTreeSet<Ipv4Addr>,
    hash: u64,
    ranges: [u32; RANGE_COUNT],
    available: usize,
    changes: u64,
}

impl Default for View {
    fn default() -> Self {
        Self {
            records: BTreeMap::new(),
            listed: BTreeSet::new(),
            listed_leaving: BTreeSet::new(),
            hash: 0,
            ranges: [0; RANGE_COUNT],
            available: 0,
            changes: 0,
        }
    }
}

/// Returns the range of an endpoint.
pub(crate) fn range(endpoint: Endpoint) -> usize {
    (endpoint.hash() % RANGE_COUNT as u64) as usize
}

/// Returns a 32-bit hash of a record.
///
/// In a fleet of 1,800, two records collide in about one of a thousand fleets; then one of them is
/// spread by gossip alone.
pub(crate) fn short_hash(record: &Record) -> u32 {
    record.hash() as u32
}

impl View {
    /// Merges a record and returns whether the view changed.
    pub fn apply(&mut self, record: &Record) -> bool {
        if let Some(known) = self.records.get_mut(&record.endpoint)
            && !record.overrides(known)
        {
            if !known.overrides(record) {
                // A member of an earlier release passes records on without this field.
                self.changes += u64::from(known.protocol < record.protocol);
                known.protocol = known.protocol.max(record.protocol);
            }
            return false;
        }
        let known = self.records.insert(record.endpoint, record.clone());
        self.update_hashes(record, true);
        if let Some(known) = known {
            self.update_hashes(&known, false);
        }
        self.changes += 1;
        true
    }

    /// Adds a record to the hashes and the count, or removes it from them.
    fn update_hashes(&mut self, record: &Record, added: bool) {
        if !record.state.takes_work() {
            return;
        }
        self.hash ^= record.hash();
        self.ranges[range(record.endpoint)] ^= short_hash(record);
        self.available = if added { self.available + 1 } else { self.available - 1 };
    }

    /// Removes a member that does not accept work.
    pub(crate) fn forget(&mut self, endpoint: Endpoint) {
        if self.records.get(&endpoint).is_some_and(|known| !known.state.takes_work()) {
            self.records.remove(&endpoint);
            self.changes += 1;
        }
    }

    /// Applies the platform's list and returns the records that changed and are to be gossiped.
    ///
    /// Records known from other sources are unchanged, except that an unreachable member that is no
    /// longer listed is marked as left.
    pub fn apply_list(&mut self, list: &[ListedInstance]) -> Vec<Record> {
        self.listed = list.iter().map(|listed| listed.ip).collect();
        self.listed_leaving =
            list.iter().filter(|listed| listed.leaving).map(|listed| listed.ip).collect();
        let mut updates = Vec::new();
        for listed in list {
            for role in [Role::Entry, Role::Gather] {
                let endpoint = Endpoint { ip: listed.ip, role };
                if !self.records.contains_key(&endpoint) && !listed.leaving {
                    let zone = Name::clone(&listed.zone);
                    let state = State::Alive;
                    let record = Record {
                        endpoint,
                        zone,
                        incarnation: 0,
                        counter: 0,
                        state,
                        weight: 0,
                        protocol: 0,
                    };
                    self.apply(&record);
                }
            }
        }
        let departed: Vec<_> = self
            .records
            .values()
            .filter(|record| {
                record.state == State::Unreachable && !self.listed.contains(&record.endpoint.ip)
            })
            .map(|record| Record { state: State::Left, ..record.clone() })
            .collect();
        for record in departed {
            self.apply(&record);
            updates.push(record);
        }
        updates
    }

    /// Returns the record of an endpoint.
    pub fn get(&self, endpoint: Endpoint) -> Option<&Record> {
        self.records.get(&endpoint)
    }

    /// Iterates over all records.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Iterates over the members of a role that stay in the placement of cells.
    pub fn placement_candidates(&self, role: Role) -> impl Iterator<Item = &Record> {
        self.records.values().filter(move |record| {
            record.endpoint.role == role && record.state.is_placement_candidate()
        })
    }

    /// Returns whether new work may be sent to an endpoint.
    pub fn takes_work(&self, endpoint: Endpoint) -> bool {
        self.records.get(&endpoint).is_some_and(|record| record.state.takes_work())
            && !self.listed_leaving.contains(&endpoint.ip)
    }

    /// Returns the hash of the members that accept work, by which views are compared.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Returns the hash of each range.
    pub(crate) fn ranges(&self) -> &[u32; RANGE_COUNT] {
        &self.ranges
    }

    /// Iterates over the members that accept work.
    pub fn available(&self) -> impl Iterator<Item = &Record> {
        self.records.values().filter(|record| record.state.takes_work())
    }

    /// Returns the number of members that accept work.
    pub fn available_count(&self) -> usize {
        self.available
    }

    /// Returns a hash of the gathers in the placement of cells and of whether each is reachable. It
    /// changes only if the homes of cells may have to change.
    pub fn placement_hash(&self) -> u64 {
        self.placement_candidates(Role::Gather).fold(0, |sum, record| {
            let reachable = u64::from(record.state.takes_work());
            sum ^ hash_pair(record.endpoint.hash() ^ reachable, hash_bytes(record.zone.as_bytes()))
        })
    }

    /// Returns the number of changes to the view so far.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the number of known members.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

impl fmt::Display for View {
    /// Writes the text form for dumps and tests: one line for each member.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for record in self.records.values() {
            write!(f, "{record}")?;
            if self.listed_leaving.contains(&record.endpoint.ip) {
                f.write_str(" listed-leaving")?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
