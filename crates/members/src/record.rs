//! What is known of one member, and which of two reports is newer.

use std::fmt;
use std::net::Ipv4Addr;

use bergamot_base::{Incarnation, Name, hash_parts};
use serde::{Deserialize, Serialize};

/// The duty of a daemon.
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

/// Where a member is found: an instance runs at most one daemon of each role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Endpoint {
    /// The IPv4 number of the instance.
    pub ip: Ipv4Addr,
    /// The duty of the daemon.
    pub role: Role,
}

impl Endpoint {
    /// Returns a number for rendezvous hashing that is the same in every process.
    pub fn hash(self) -> u64 {
        hash_parts([&self.ip.octets()[..], &[self.role as u8]])
    }
}

impl fmt::Display for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.role, self.ip)
    }
}

/// The state of one run of a member, in the order in which reports override.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// It answers probes, or nothing speaks against it.
    #[serde(rename = "a")]
    Alive,
    /// It did not answer a probe and may refute.
    #[serde(rename = "s")]
    Suspect,
    /// It did not refute in time. It keeps its place in the homes.
    #[serde(rename = "u")]
    Unreachable,
    /// It said that it will stop. Final for the run.
    #[serde(rename = "l")]
    Leaving,
    /// It is gone for good. Final for the run.
    #[serde(rename = "x")]
    Left,
}

impl State {
    /// Tells whether no later report about the same run can change the state back.
    pub fn is_final(self) -> bool {
        self >= Self::Leaving
    }

    /// Tells whether a member in this state keeps its place in the homes of cells.
    ///
    /// An unreachable member does: two halves of a split fleet must not both grow.
    pub fn keeps_place(self) -> bool {
        self < Self::Leaving
    }

    /// Returns the name of the state.
    pub fn label(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Unreachable => "unreachable",
            Self::Leaving => "leaving",
            Self::Left => "left",
        }
    }

    /// Tells whether new work may be sent to a member in this state.
    pub fn takes_work(self) -> bool {
        self <= Self::Suspect
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

/// A report about one run of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Where the member is found.
    #[serde(rename = "e")]
    pub endpoint: Endpoint,
    /// The availability zone.
    #[serde(rename = "z")]
    pub zone: Name,
    /// The run; zero where only the platform's list knows of the member.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// How often the run has refuted a suspicion.
    #[serde(rename = "c")]
    pub counter: u32,
    /// The state.
    #[serde(rename = "s")]
    pub state: State,
    /// How much processor time the member has, in thousandths of a core; zero if it did
    /// not say.
    #[serde(rename = "w", default)]
    pub weight: u32,
}

impl Record {
    /// Tells whether this report overrides another about the same endpoint.
    ///
    /// A later run always does. Within a run a final state does, whatever the
    /// counters; else the higher counter, and at the same counter the worse state.
    pub fn overrides(&self, other: &Self) -> bool {
        let rank = |record: &Self| {
            let last = record.state.is_final().then_some(record.state);
            (record.incarnation, last, record.counter, record.state)
        };
        rank(self) > rank(other)
    }

    /// Returns a hash of the report, for the digest of a whole view.
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
        let Self { endpoint, zone, incarnation, counter, state, weight: _ } = self;
        write!(f, "{endpoint} {zone} {incarnation:x}.{counter} {state}")
    }
}
