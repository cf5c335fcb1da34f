//! Forwards requests to one searcher, or to one searcher of each shard, and returns the response.
//!
//! `bergamot-dispatch` makes the decisions; this crate supplies connections and timers. A [`Relay`]
//! holds the current state: the declaration, the registry, and for each searcher incarnation a link
//! with its connections and latency estimates. A [`Dialect`] defines how requests are encoded for
//! searchers; it is a parameter so that several platforms can use the same relay. See
//! `docs/design/0009-platform.md`.

mod admission;
mod attempt;
mod choice;
mod coordinator;
mod coverage;
mod delegate;
mod delegates;
mod dialect;
mod exchange;
mod failure_log;
mod gather;
mod grant;
mod handler;
mod inspection;
mod left_out;
mod link;
mod links;
mod location;
mod member_query;
mod message;
mod meter;
mod monitor;
mod partial_results;
mod planned_stop;
mod pool_slots;
mod prewarm;
mod quarantine;
mod race;
mod refusal;
mod relay;
mod searchers;
mod selection;
mod settings;
mod shard_query;
mod state;
mod store;
mod warmup;

pub use bergamot_placement::ColdBound;
pub use coordinator::PoolCoordinator;
pub use coverage::Coverage;
pub use delegate::{
    AdmitCall, CallError, CompleteCall, GatherCall, Helping, MemberFuture, PermitCall, TokenCall,
};
pub use delegates::DelegateMember;
pub use dialect::{Dialect, RequestMetadata, ResponseMetadata, read_signature};
pub use message::{Cause, MergedResponse, Refusal, Reply, Request, SearcherResponse};
pub use relay::Relay;
pub use settings::Settings;
