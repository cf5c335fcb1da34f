//! Records about members, and the order that decides which of two records is newer.

use std::fmt;
use std::net::Ipv4Addr;

use bergamot_base::{Incarnation, Name, hash_parts};
use serde::{Deserialize, Serialize};

/// The role of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Serves callers.
    #[serde(rename = "e")]
    Entry,
    /// Holds connections to searchers.
    #[serde(rename = "g")]
    Gather,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Entry => "entry",
            Self::Gather => "gather",
        })
    }
}

/// The address of a member. An instance runs at most one daemon of each role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Endpoint {
    /// The IPv4 address of the instance.
    pub ip: Ipv4Addr,
    /// The role of the daemon.
    pub role: Role,
}

impl Endpoint {
    /// Returns a hash for rendezvous hashing that is the same in every process.
    pub fn hash(self) -> u64 {
        hash_parts([&self.ip.octets()[..], &[self.role as u8]])
    }
}

impl fmt::Display for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.role, self.ip)
    }
}

/// The state of one incarnation of a member. Of two records with the same incarnation and counter,
/// the one with the greater state takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// The member answers probes, or there is no evidence of failure.
    #[serde(rename = "a")]
    Alive,
    /// The member did not answer a probe; it can still refute the suspicion.
    #[serde(rename = "s")]
    Suspect,
    /// The member did not refute the suspicion in time. It stays in the placement of cells.
    #[serde(rename = "u")]
    Unreachable,
    /// The member announced that it will stop. Final for the incarnation.
    #[serde(rename = "l")]
    Leaving,
    /// The member is gone for good. Final for the incarnation.
    #[serde(rename = "x")]
    Left,
}

impl State {
    /// Returns whether no later record of the same incarnation can change the state back.
    pub fn is_final(self) -> bool {
        self >= Self::Leaving
    }

    /// Returns whether a member in this state stays in the placement of cells.
    ///
    /// An unreachable member does: otherwise both sides of a network partition would move its cells
    /// to further members.
    pub fn is_placement_candidate(self) -> bool {
        self < Self::Leaving
    }

    /// Returns the state's name for text output.
    pub fn label(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Unreachable => "unreachable",
            Self::Leaving => "leaving",
            Self::Left => "left",
        }
    }

    /// Returns whether new work may be sent to a member in this state.
    pub fn takes_work(self) -> bool {
        self <= Self::Suspect
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

/// The state of one incarnation of a member, as known to some member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The member's address.
    #[serde(rename = "e")]
    pub endpoint: Endpoint,
    /// The availability zone.
    #[serde(rename = "z")]
    pub zone: Name,
    /// The incarnation; zero if the member is known only from the platform's list.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// The number of suspicions that the incarnation has refuted.
    #[serde(rename = "c")]
    pub counter: u32,
    /// The member's state.
    #[serde(rename = "s")]
    pub state: State,
    /// The member's CPU capacity in thousandths of a core; zero if it was not announced.
    #[serde(rename = "w", default)]
    pub weight: u32,
    /// The version of the RPCs that the member serves for others; zero if it was not announced.
    #[serde(rename = "p", default, skip_serializing_if = "is_zero")]
    pub protocol: u32,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes fields by reference")]
fn is_zero(number: &u32) -> bool {
    *number == 0
}

impl Record {
    /// Returns whether this record takes precedence over `other`, a record of the same endpoint.
    ///
    /// A later incarnation always does. Within an incarnation a final state does, whatever the
    /// counters; otherwise the higher counter, and for equal counters the greater state.
    pub fn overrides(&self, other: &Self) -> bool {
        let rank = |record: &Self| {
            let last = record.state.is_final().then_some(record.state);
            (record.incarnation, last, record.counter, record.state)
        };
        rank(self) > rank(other)
    }

    /// Returns a hash of the record; a view's hash combines those of its records.
    pub fn hash(&self) -> u64 {
        hash_parts([
            &self.endpoint.hash().to_le_bytes()[..],
            &self.incarnation.to_le_bytes(),
            &self.counter.to_le_bytes(),
            &[self.state as u8],
        ])
    }
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { endpoint, zone, incarnation, counter, state, weight: _, protocol: _ } = self;
        write!(f, "{endpoint} {zone} {incarnation:x}.{counter} {state}")
    }
}
