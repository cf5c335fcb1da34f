//! What a store gives, free of how it is spoken with.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use bergamot_base::{Name, Position, Revision};
use bergamot_declaration::Declaration;
use bergamot_net::Fault;
use bergamot_registry::Upstream;
use bergamot_wire::Rank;
use futures::future::BoxFuture;
use snafu::Snafu;

/// What a record says.
#[derive(Clone, Debug)]
pub enum News {
    /// What the operator declared; it was checked.
    Declared(Box<Declaration>),
    /// A searcher published itself.
    Published(Upstream),
    /// The entry of a searcher disappeared.
    Disappeared(Name),
    /// What stands in a record can't be used; if the record is that of a searcher, it names
    /// none.
    Unreadable {
        /// The identifier of the searcher whose record it is.
        searcher: Option<Name>,
    },
}

/// Why nothing was learnt.
#[derive(Clone, Debug, Snafu)]
pub enum Trouble {
    /// The changes since the position are not there: everything must be listed anew.
    #[snafu(display("the history is no longer kept"))]
    Forgotten,
    /// The store has been restored from a copy: everything must be listed anew.
    #[snafu(display("the store was restored, it is in era {era}"))]
    Restored {
        /// The era of the answer.
        era: u64,
    },
    /// The answer is older than what is known.
    #[snafu(display("the answer is of {at}, and {known} is known"))]
    Outdated {
        /// The position of the answer.
        at: Position,
        /// The known one.
        known: Position,
    },
    /// The call was turned away.
    #[snafu(display("the store answered {status}"))]
    Refused {
        /// The status of the answer.
        status: u16,
    },
    /// The exchange failed.
    #[snafu(display("{source}"))]
    Failed {
        /// Why.
        source: Fault,
    },
    /// The store did not answer in time.
    #[snafu(display("the store is silent"))]
    Silent,
    /// A member answered that has not heard of the store for too long itself.
    #[snafu(display("the member {}", heard(*age)))]
    Stale {
        /// How long ago it heard of it, if ever.
        age: Option<Duration>,
    },
}

/// Says when a member last heard of the store.
fn heard(age: Option<Duration>) -> String {
    age.map_or_else(
        || "has never heard of the store".to_owned(),
        |age| format!("last heard of the store {} ms ago", age.as_millis()),
    )
}

impl Trouble {
    /// Returns a name for metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Forgotten => "forgotten",
            Self::Restored { .. } => "restored",
            Self::Outdated { .. } => "outdated",
            Self::Refused { .. } => "refused",
            Self::Failed { .. } => "failed",
            Self::Silent => "silent",
            Self::Stale { .. } => "stale",
        }
    }
}

/// One record of the store, as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The key.
    pub key: Name,
    /// The value; none if the record was deleted.
    pub value: Option<Vec<u8>>,
    /// Where in the store's changes it was made.
    pub position: Position,
    /// The version that its writer gave it, if it numbers them.
    pub version: Option<Revision>,
}

impl Record {
    /// Returns how new the record is among those of its key.
    pub fn rank(&self) -> Rank {
        Rank { version: self.version, position: self.position }
    }
}

/// How long a question to the store may take.
///
/// The size of an answer has no bound that is known here, so none of these times is for the
/// whole of it: a record of 700 KB takes 0.4 s of a link of 14 Mbit/s that does nothing else.
#[derive(Clone, Debug)]
pub struct Wait {
    /// How long the store may wait for news.
    pub news: Duration,
    /// How long it may be silent, before its answer begins and midway.
    pub silence: Duration,
    /// Set once an answer is coming in.
    pub arriving: Arc<AtomicBool>,
}

/// Which records a watch tells of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All of them.
    All,
    /// Those of searchers, without the operator's declaration.
    Searchers,
}

/// Records and the position up to which they tell everything.
pub type Records = (Vec<Record>, Position);

/// What a call brings.
pub type Outcome = Result<Records, Trouble>;

/// A call that brings records.
pub type Reading = BoxFuture<'static, Outcome>;

/// What a call for one record brings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found {
    /// The record, if there is one.
    pub record: Option<Record>,
    /// The era of the store that answered.
    pub era: u64,
}

/// A call for one record.
pub type Lookup = BoxFuture<'static, Result<Found, Trouble>>;

/// A store that can be listed and watched.
pub struct Source {
    /// Lists every record.
    pub list: Box<dyn Fn() -> Reading + Send + Sync>,
    /// Waits for changes after a position.
    pub watch: Box<dyn Fn(Position, Scope, Wait) -> Reading + Send + Sync>,
    /// Reads one record.
    pub lookup: Box<dyn Fn(&Name) -> Lookup + Send + Sync>,
    /// The key of the operator's declaration.
    pub declaration: Name,
    /// Reads what a record says, if it is one of those that are followed; one that can't be used
    /// is logged.
    pub decode: fn(&Record) -> Option<News>,
}

impl std::fmt::Debug for Source {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Source")
    }
}
