//! Stand-ins for searchers, the configuration service and the instance list.
//!
//! They speak the platform's published protocols and fail on request: stragglers, cold
//! starts, sheds, drains, lying status, refused connections, a service that is down or
//! stale, a list that lags. They are small, are not shipped to users, and record each
//! effect so that histories can be checked. See `docs/RUNNING.md`.

mod border;
mod corpus;
mod platform;
mod script;
mod searcher;
mod terms;

pub use border::{Border, Way};
pub use corpus::Corpus;
pub use platform::{Counts, Instance, Platform};
pub use script::{Script, Seen, Step};
pub use searcher::{Searcher, SearcherSettings};
pub use terms::{Effect, Faults, Geography, Limits};
