//! What a caller asks for, and what a shard finds.

use std::fmt;

use bergamot_base::Name;
use bergamot_config::row::ServiceRow;
use serde::{Deserialize, Serialize};

/// The largest number of hits that a caller may ask for.
pub const MOST_HITS: u32 = 10_000;

/// The shape of a query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// Every document of every shard, in the order of their keys.
    Scan,
    /// The `k` documents of the lowest rank.
    Top {
        /// How many documents are wanted.
        k: u32,
    },
    /// The one document of a key.
    Record {
        /// The key.
        key: Name,
    },
}

impl fmt::Display for Shape {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Scan => f.write_str("scan"),
            Self::Top { k } => write!(f, "top {k}"),
            Self::Record { key } => write!(f, "record {key}"),
        }
    }
}

impl Shape {
    /// Returns the shards that a query of this shape must ask.
    pub fn shards(&self, service: &ServiceRow) -> Vec<bergamot_base::Shard> {
        match self {
            Self::Scan | Self::Top { .. } => service.shards.clone(),
            Self::Record { key } => vec![service.holder(key)],
        }
    }

    /// Puts the hits of all shards into the answer's order and cuts them to size.
    pub fn arrange(&self, hits: &mut Vec<Hit>) {
        match self {
            Self::Scan | Self::Record { .. } => hits.sort_unstable_by(|a, b| a.key.cmp(&b.key)),
            Self::Top { k } => {
                hits.sort_unstable_by(|a, b| (a.rank, &a.key).cmp(&(b.rank, &b.key)));
                hits.truncate(*k as usize);
            }
        }
    }

    /// Says what is wrong with the shape, if anything.
    pub fn flaw(&self) -> Option<&'static str> {
        match self {
            Self::Top { k } if *k == 0 || *k > MOST_HITS => Some("k from 1 to 10000"),
            Self::Record { key } if key.is_empty() || key.len() > 256 => {
                Some("a key of 1 to 256 bytes")
            }
            _ => None,
        }
    }
}

/// A document that matched.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hit {
    /// The key of the document, unique within a service.
    pub key: Name,
    /// The rank, lowest first.
    pub rank: u64,
    /// The document as the searcher gave it.
    pub body: Name,
}
