//! One member's view of all members.
//!
//! Invariant: within a run, a final state is never left, and no report about an
//! earlier run changes anything. The platform's list lags; it can add members that
//! nobody has heard of and remove members that nobody can reach, and nothing else.
//! The hashes tell about the members that take work, and nothing about the others: so a
//! member that is gone can be forgotten without a word, whenever each of the others does.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::Ipv4Addr;

use bergamot_base::{Name, hash_bytes, hash_pair};

use crate::record::{Endpoint, Record, Role, State};

/// An instance as the platform's list gives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// The IPv4 number of the instance.
    pub ip: Ipv4Addr,
    /// The availability zone.
    pub zone: Name,
    /// Whether the platform says that the instance is leaving.
    pub leaving: bool,
}

/// Into how many ranges the members are divided by their hashes.
///
/// At 1,800 members a range holds 28 records, so that the prints of one, 112 bytes, tell which
/// of them differ; their hashes fit one datagram at any size of the fleet.
pub const RANGES: usize = 64;

/// One member's view of all members.
#[derive(Clone, Debug)]
pub struct View {
    records: BTreeMap<Endpoint, Record>,
    listed: BTreeSet<Ipv4Addr>,
    listed_leaving: BTreeSet<Ipv4Addr>,
    hash: u64,
    ranges: [u32; RANGES],
    working: usize,
    changes: u64,
}

impl Default for View {
    fn default() -> Self {
        Self {
            records: BTreeMap::new(),
            listed: BTreeSet::new(),
            listed_leaving: BTreeSet::new(),
            hash: 0,
            ranges: [0; RANGES],
            working: 0,
            changes: 0,
        }
    }
}

/// Returns the range of an endpoint.
pub(crate) fn range(endpoint: Endpoint) -> usize {
    (endpoint.hash() % RANGES as u64) as usize
}

/// Returns a short hash of a record.
///
/// Two records of a fleet of 1,800 share one once in some thousand fleets; then one of them
/// is told by news alone.
pub(crate) fn print(record: &Record) -> u32 {
    record.hash() as u32
}

impl View {
    /// Takes in a report and tells whether it changed the view.
    pub fn apply(&mut self, record: &Record) -> bool {
        let known = self.records.get(&record.endpoint);
        if known.is_some_and(|known| !record.overrides(known)) {
            return false;
        }
        let known = self.records.insert(record.endpoint, record.clone());
        self.count(record, true);
        if let Some(known) = known {
            self.count(&known, false);
        }
        self.changes += 1;
        true
    }

    /// Takes a record into the hashes, or out of them.
    fn count(&mut self, record: &Record, comes: bool) {
        if !record.state.takes_work() {
            return;
        }
        self.hash ^= record.hash();
        self.ranges[range(record.endpoint)] ^= print(record);
        self.working = if comes { self.working + 1 } else { self.working - 1 };
    }

    /// Forgets a member that takes no work.
    pub(crate) fn forget(&mut self, endpoint: Endpoint) {
        if self.records.get(&endpoint).is_some_and(|known| !known.state.takes_work()) {
            self.records.remove(&endpoint);
            self.changes += 1;
        }
    }

    /// Takes in the platform's list and returns the reports that follow from it.
    ///
    /// Members known from elsewhere are left alone, unless they are unreachable and
    /// no longer listed: then they are gone for good.
    pub fn apply_list(&mut self, list: &[Listed]) -> Vec<Record> {
        self.listed = list.iter().map(|listed| listed.ip).collect();
        self.listed_leaving =
            list.iter().filter(|listed| listed.leaving).map(|listed| listed.ip).collect();
        let mut news = Vec::new();
        for listed in list {
            for role in [Role::Entry, Role::Gather] {
                let endpoint = Endpoint { ip: listed.ip, role };
                if !self.records.contains_key(&endpoint) && !listed.leaving {
                    let zone = Name::clone(&listed.zone);
                    let state = State::Alive;
                    let seed =
                        Record { endpoint, zone, incarnation: 0, counter: 0, state, weight: 0 };
                    self.apply(&seed);
                }
            }
        }
        let gone: Vec<_> = self
            .records
            .values()
            .filter(|record| {
                record.state == State::Unreachable && !self.listed.contains(&record.endpoint.ip)
            })
            .map(|record| Record { state: State::Left, ..record.clone() })
            .collect();
        for record in gone {
            self.apply(&record);
            news.push(record);
        }
        news
    }

    /// Returns the report about an endpoint.
    pub fn get(&self, endpoint: Endpoint) -> Option<&Record> {
        self.records.get(&endpoint)
    }

    /// Iterates over all reports.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Iterates over the members of a role that keep their place.
    pub fn placed(&self, role: Role) -> impl Iterator<Item = &Record> {
        self.records
            .values()
            .filter(move |record| record.endpoint.role == role && record.state.keeps_place())
    }

    /// Tells whether new work may be sent to an endpoint.
    pub fn takes_work(&self, endpoint: Endpoint) -> bool {
        self.records.get(&endpoint).is_some_and(|record| record.state.takes_work())
            && !self.listed_leaving.contains(&endpoint.ip)
    }

    /// Returns the hash of the members that take work, to compare views with.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Returns the hash of each range.
    pub(crate) fn ranges(&self) -> &[u32; RANGES] {
        &self.ranges
    }

    /// Iterates over the members that take work.
    pub fn working(&self) -> impl Iterator<Item = &Record> {
        self.records.values().filter(|record| record.state.takes_work())
    }

    /// Returns how many members take work.
    pub fn count_working(&self) -> usize {
        self.working
    }

    /// Returns the hash of the gathers that keep their place, with whether they can be
    /// reached. It changes only when homes may have to change.
    pub fn places_hash(&self) -> u64 {
        self.placed(Role::Gather).fold(0, |sum, record| {
            let reachable = u64::from(record.state.takes_work());
            sum ^ hash_pair(record.endpoint.hash() ^ reachable, hash_bytes(record.zone.as_bytes()))
        })
    }

    /// Counts how often the view has changed.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns how many members are known.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

impl fmt::Display for View {
    /// Writes the text form that dumps and tests use: one line a member.
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
