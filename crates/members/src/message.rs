//! Control datagrams between members.

use bergamot_base::Revision;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::record::{Endpoint, Record};
use crate::rumour::Rumour;
use crate::view::RANGE_COUNT;

/// A summary of the sender's state, from which the receiver detects which of the two is behind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The revision of the active document.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The hash of the active document.
    #[serde(rename = "h")]
    pub hash: u64,
    /// The hash of the sender's view of available members.
    #[serde(rename = "v")]
    pub view: u64,
    /// The number of available members in the sender's view.
    #[serde(rename = "m", default)]
    pub members: u32,
    /// Whether the sender has the latest published state.
    #[serde(rename = "n", default)]
    pub fresh: bool,
    /// The hash of the sender's reports on requests that crash searchers; zero if it has none.
    #[serde(rename = "q", default, skip_serializing_if = "is_zero")]
    pub suspicions: u64,
    /// The number of members by which the sender divides the fleet's bounds, silent ones among
    /// them; zero if these are the available ones.
    #[serde(rename = "b", default, skip_serializing_if = "is_none")]
    pub spenders: u32,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes fields by reference")]
fn is_zero(number: &u64) -> bool {
    *number == 0
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes fields by reference")]
fn is_none(number: &u32) -> bool {
    *number == 0
}

/// The type of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Requests an acknowledgement with the same sequence number.
    #[serde(rename = "p")]
    Ping(u64),
    /// Acknowledges the ping with this sequence number.
    #[serde(rename = "a")]
    Ack(u64),
    /// Requests an indirect probe: the receiver pings the endpoint on the sender's behalf.
    #[serde(rename = "q")]
    PingRequest(u64, Endpoint),
    /// Carries gossip; requires no answer.
    #[serde(rename = "n")]
    Gossip,
    /// Requests some members from a seed.
    #[serde(rename = "j")]
    Join,
    /// Starts a comparison of views: carries the sender's range hashes.
    #[serde(rename = "c")]
    Compare(Box<RangeHashes>),
    /// Carries the hashes of the sender's records in ranges in which the views differ.
    #[serde(rename = "f")]
    Differences(RecordHashes),
    /// Requests the records with these hashes.
    #[serde(rename = "w")]
    RecordRequest(RecordHashes),
    /// Carries records, or reports on requests, that the receiver lacks. Records received this way
    /// are not gossiped further.
    #[serde(rename = "t")]
    Records,
}

/// The hash of each range of a view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "ByteBuf", into = "ByteBuf")]
pub struct RangeHashes(pub [u32; RANGE_COUNT]);

impl From<RangeHashes> for ByteBuf {
    fn from(summary: RangeHashes) -> Self {
        pack(&summary.0)
    }
}

impl TryFrom<ByteBuf> for RangeHashes {
    type Error = String;

    fn try_from(bytes: ByteBuf) -> Result<Self, String> {
        let ranges = unpack(&bytes)?;
        let found = ranges.len();
        let ranges =
            ranges.try_into().map_err(|_ranges| format!("{found} ranges, not {RANGE_COUNT}"))?;
        Ok(Self(ranges))
    }
}

/// The short hashes of the records in some ranges.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordHashes {
    /// The ranges, as a bit set.
    #[serde(rename = "r")]
    pub ranges: u64,
    /// The short hashes.
    #[serde(rename = "p", with = "packed")]
    pub hashes: Vec<u32>,
}

/// Encodes short hashes as a byte string: four bytes each, where CBOR integers take five.
mod packed {
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use serde_bytes::ByteBuf;

    pub(super) fn serialize<S: Serializer>(hashes: &[u32], to: S) -> Result<S::Ok, S::Error> {
        super::pack(hashes).serialize(to)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u32>, D::Error> {
        super::unpack(&ByteBuf::deserialize(from)?).map_err(D::Error::custom)
    }
}

fn pack(numbers: &[u32]) -> ByteBuf {
    ByteBuf::from(numbers.iter().flat_map(|number| number.to_le_bytes()).collect::<Vec<_>>())
}

fn unpack(bytes: &[u8]) -> Result<Vec<u32>, String> {
    let (numbers, remainder) = bytes.as_chunks();
    if !remainder.is_empty() {
        return Err(format!("length of {} bytes is not a multiple of 4", bytes.len()));
    }
    Ok(numbers.iter().map(|bytes| u32::from_le_bytes(*bytes)).collect())
}

/// A control datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The type.
    #[serde(rename = "k")]
    pub kind: Kind,
    /// The sender's record of itself.
    #[serde(rename = "f")]
    pub from: Record,
    /// The summary of the sender's state.
    #[serde(rename = "d")]
    pub digest: Digest,
    /// The gossip, or the records that the receiver lacks.
    #[serde(rename = "n")]
    pub rumours: Vec<Rumour>,
}
