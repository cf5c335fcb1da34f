//! The control datagrams between members.

use bergamot_base::Revision;
use serde::{Deserialize, Serialize};

use crate::record::{Endpoint, Record};
use crate::rumour::Rumour;

/// What a sender has in force, so that both sides of any exchange notice who is behind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The revision of the document in force.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The hash of that document.
    #[serde(rename = "h")]
    pub hash: u64,
    /// The hash of the sender's view of the members.
    #[serde(rename = "v")]
    pub view: u64,
}

/// The purpose of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Asks for an acknowledgement with the same number.
    #[serde(rename = "p")]
    Ping(u64),
    /// Acknowledges a ping.
    #[serde(rename = "a")]
    Ack(u64),
    /// Asks the receiver to ping a member in the sender's stead.
    #[serde(rename = "q")]
    Ask(u64, Endpoint),
    /// Carries news and asks for nothing.
    #[serde(rename = "n")]
    News,
}

/// A control datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The purpose.
    #[serde(rename = "k")]
    pub kind: Kind,
    /// The sender's report about itself.
    #[serde(rename = "f")]
    pub from: Record,
    /// What the sender has in force.
    #[serde(rename = "d")]
    pub digest: Digest,
    /// The news.
    #[serde(rename = "n")]
    pub rumours: Vec<Rumour>,
}
