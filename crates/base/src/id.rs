//! Typed indices and the tables they index.
//!
//! An index is only meaningful for the document that it came from. Messages that contain
//! indices also contain the revision they refer to, and a daemon that has another revision
//! rejects them.

use std::fmt;
use std::marker::PhantomData;
use std::ops::{Index, IndexMut};

use serde::{Deserialize, Serialize};

/// An index into a [`Table`].
pub trait Entity: Copy + Eq {
    /// Creates the entity with the given index.
    fn from_index(index: usize) -> Self;
    /// Returns the index of this entity.
    fn index(self) -> usize;
}

macro_rules! entity {
    ($name:ident, $prefix:literal, $doc:literal) => {
        #[doc = $doc]
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(u32);

        impl Entity for $name {
            fn from_index(index: usize) -> Self {
                Self(
                    u32::try_from(index)
                        .expect("a document has fewer than 2^32 entities of a kind"),
                )
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{}"), self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(self, f)
            }
        }
    };
}

entity!(Workspace, "ws", "A tenant's workspace in a document.");
entity!(Service, "svc", "A service of a workspace.");
entity!(Shard, "shard", "A shard of any service, numbered across the document.");
entity!(Searcher, "searcher", "A searcher, numbered across the document.");
entity!(Cell, "cell", "A group of shards whose searchers have the same homes.");

/// A vector that is indexed by one type of entity only.
#[derive(Clone, PartialEq, Eq)]
pub struct Table<K, V> {
    rows: Vec<V>,
    key: PhantomData<K>,
}

impl<K: Entity, V> Table<K, V> {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self { rows: Vec::new(), key: PhantomData }
    }

    /// Appends a row and returns its entity.
    pub fn push(&mut self, row: V) -> K {
        let key = K::from_index(self.rows.len());
        self.rows.push(row);
        key
    }

    /// Returns the row of an entity, or `None` if the index is out of range, as an entity of
    /// another document may be.
    pub fn get(&self, key: K) -> Option<&V> {
        self.rows.get(key.index())
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the table has no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Iterates over the rows with their entities.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.rows.iter().enumerate().map(|(i, row)| (K::from_index(i), row))
    }

    /// Iterates over the entities.
    pub fn keys(&self) -> impl Iterator<Item = K> + use<K, V> {
        (0..self.rows.len()).map(K::from_index)
    }

    /// Iterates over the rows.
    pub fn values(&self) -> std::slice::Iter<'_, V> {
        self.rows.iter()
    }
}

impl<K: Entity, V> Default for Table<K, V> {
    fn default() -> Self {
        Self::new()
    }
}

impl<K: Entity, V> FromIterator<V> for Table<K, V> {
    fn from_iter<T: IntoIterator<Item = V>>(iter: T) -> Self {
        Self { rows: iter.into_iter().collect(), key: PhantomData }
    }
}

impl<K: Entity, V> Index<K> for Table<K, V> {
    type Output = V;

    fn index(&self, index: K) -> &V {
        &self.rows[index.index()]
    }
}

impl<K: Entity, V> IndexMut<K> for Table<K, V> {
    fn index_mut(&mut self, index: K) -> &mut V {
        &mut self.rows[index.index()]
    }
}

impl<K, V: fmt::Debug> fmt::Debug for Table<K, V> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(&self.rows).finish()
    }
}
