//! Query shapes and hits.

use std::fmt;

use bergamot_base::Name;
use bergamot_config::row::ServiceRow;
use serde::{Deserialize, Serialize};

/// Maximum number of hits that a caller may request.
pub const MAX_HITS: u32 = 10_000;

/// The kind of a query and its parameters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// All documents of all shards, ordered by key.
    Scan,
    /// The `k` documents with the lowest rank.
    Top {
        /// Maximum number of documents to return.
        k: u32,
    },
    /// The document with the given key.
    Record {
        /// The document's key.
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
    /// Returns the shards that must be queried for this shape.
    pub fn shards(&self, service: &ServiceRow) -> Vec<bergamot_base::Shard> {
        match self {
            Self::Scan | Self::Top { .. } => service.shards.clone(),
            Self::Record { key } => vec![service.shard_for_key(key)],
        }
    }

    /// Sorts the combined hits of all shards and truncates them to the requested number.
    pub fn sort_and_truncate(&self, hits: &mut Vec<Hit>) {
        match self {
            Self::Scan | Self::Record { .. } => hits.sort_unstable_by(|a, b| a.key.cmp(&b.key)),
            Self::Top { k } => {
                hits.sort_unstable_by(|a, b| (a.rank, &a.key).cmp(&(b.rank, &b.key)));
                hits.truncate(*k as usize);
            }
        }
    }

    /// Returns the allowed parameter range if this shape violates it.
    pub fn violated_limit(&self) -> Option<&'static str> {
        match self {
            Self::Top { k } if *k == 0 || *k > MAX_HITS => Some("k from 1 to 10000"),
            Self::Record { key } if key.is_empty() || key.len() > 256 => {
                Some("a key of 1 to 256 bytes")
            }
            _ => None,
        }
    }
}

/// A matching document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hit {
    /// Key of the document, unique within a service.
    pub key: Name,
    /// Rank; lower ranks sort first.
    pub rank: u64,
    /// The document as returned by the searcher.
    pub body: Name,
}
