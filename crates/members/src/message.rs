//! The control datagrams between members.

use bergamot_base::Revision;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::record::{Endpoint, Record};
use crate::rumour::Rumour;
use crate::view::RANGES;

/// What a sender has in force, so that both sides of any exchange notice who is behind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The revision of the document in force.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The hash of that document.
    #[serde(rename = "h")]
    pub hash: u64,
    /// The hash of the members that the sender takes for alive.
    #[serde(rename = "v")]
    pub view: u64,
    /// How many members the sender takes for alive.
    #[serde(rename = "m", default)]
    pub members: u32,
    /// Whether the sender knows the newest of what is published.
    #[serde(rename = "n", default)]
    pub fresh: bool,
    /// The hash of what the sender holds of requests under which searchers ended, zero for nothing.
    #[serde(rename = "q", default, skip_serializing_if = "is_zero")]
    pub suspicions: u64,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes fields by reference")]
fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// The purpose of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
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
    /// Asks a seed for some members.
    #[serde(rename = "j")]
    Join,
    /// Asks the receiver to compare its view with the sender's.
    #[serde(rename = "c")]
    Compare(Box<Summary>),
    /// Says what the sender knows in ranges in which the views differ.
    #[serde(rename = "f")]
    Differ(Prints),
    /// Asks for the records with these prints.
    #[serde(rename = "w")]
    Want(Prints),
    /// Carries records that the receiver lacks; they are no news to others.
    #[serde(rename = "t")]
    Tell,
}

/// The hash of each range of a view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "ByteBuf", into = "ByteBuf")]
pub struct Summary(pub [u32; RANGES]);

impl From<Summary> for ByteBuf {
    fn from(summary: Summary) -> Self {
        pack(&summary.0)
    }
}

impl TryFrom<ByteBuf> for Summary {
    type Error = String;

    fn try_from(bytes: ByteBuf) -> Result<Self, String> {
        let ranges = unpack(&bytes)?;
        let found = ranges.len();
        let ranges =
            ranges.try_into().map_err(|_ranges| format!("{found} ranges, not {RANGES}"))?;
        Ok(Self(ranges))
    }
}

/// The prints of records in some ranges.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prints {
    /// The ranges, one bit each.
    #[serde(rename = "r")]
    pub ranges: u64,
    /// The prints.
    #[serde(rename = "p", with = "packed")]
    pub prints: Vec<u32>,
}

/// Prints as a byte string, four bytes each in place of five.
mod packed {
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use serde_bytes::ByteBuf;

    pub(super) fn serialize<S: Serializer>(prints: &[u32], to: S) -> Result<S::Ok, S::Error> {
        super::pack(prints).serialize(to)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u32>, D::Error> {
        super::unpack(&ByteBuf::deserialize(from)?).map_err(D::Error::custom)
    }
}

fn pack(numbers: &[u32]) -> ByteBuf {
    ByteBuf::from(numbers.iter().flat_map(|number| number.to_le_bytes()).collect::<Vec<_>>())
}

fn unpack(bytes: &[u8]) -> Result<Vec<u32>, String> {
    let (numbers, rest) = bytes.as_chunks();
    if !rest.is_empty() {
        return Err(format!("{} bytes are no whole number of prints", bytes.len()));
    }
    Ok(numbers.iter().map(|bytes| u32::from_le_bytes(*bytes)).collect())
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
    /// The news, or the records that are told.
    #[serde(rename = "n")]
    pub rumours: Vec<Rumour>,
}
