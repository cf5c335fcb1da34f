//! What a store gives, free of how it is spoken with.

use std::time::Duration;

use bergamot_base::Name;
use bergamot_declaration::Declaration;
use bergamot_net::Fault;
use bergamot_registry::Upstream;
use futures::future::BoxFuture;
use snafu::Snafu;

/// One piece of news.
#[derive(Clone, Debug)]
pub enum News {
    /// The operator declared something; it is checked and was not refused.
    Declared(Box<Declaration>),
    /// A searcher published itself.
    Published(Upstream),
    /// The entry of a searcher disappeared.
    Disappeared(Name),
}

/// Everything that is published.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// The declaration, if there is one.
    pub declaration: Option<Box<Declaration>>,
    /// The searchers.
    pub upstreams: Vec<Upstream>,
    /// The revision of the store from which to watch, so that nothing is missed.
    pub at: u64,
}

/// What has changed since a revision.
#[derive(Clone, Debug, Default)]
pub struct Update {
    /// The changes in their order.
    pub news: Vec<News>,
    /// The revision of the store from which to watch on.
    pub at: u64,
}

/// Why the store gave nothing.
#[derive(Clone, Debug, Snafu)]
pub enum Trouble {
    /// The changes since the revision are no longer kept: everything must be listed anew.
    #[snafu(display("the history is no longer kept"))]
    Forgotten,
    /// The store turned the call away.
    #[snafu(display("the store answered {status}"))]
    Refused {
        /// The status of its answer.
        status: u16,
    },
    /// The exchange failed.
    #[snafu(display("{source}"))]
    Failed {
        /// Why.
        source: Fault,
    },
}

/// A store that can be listed and watched.
pub struct Source {
    /// Lists everything.
    pub list: Box<dyn Fn() -> BoxFuture<'static, Result<Listing, Trouble>> + Send + Sync>,
    /// Waits for changes after a revision, for a time at most.
    pub watch: Watch,
}

/// Waits for changes after a revision, for a time at most.
pub type Watch =
    Box<dyn Fn(u64, Duration) -> BoxFuture<'static, Result<Update, Trouble>> + Send + Sync>;

impl std::fmt::Debug for Source {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Source")
    }
}
