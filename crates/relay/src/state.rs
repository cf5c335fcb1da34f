//! What changes while a relay runs, under one lock that is never held while waiting.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Instant;

use bergamot_base::Name;
use bergamot_config::Floor;
use bergamot_declaration::{Declaration, Split};
use bergamot_dispatch::{CallerOverhead, RetryBudget, ZoneRoundTrips};
use bergamot_logger::Sampler;
use bergamot_policy::Policy;
use bergamot_registry::{Incarnation, Registry};
use bergamot_upstream::LatencyPercentile;

use crate::coverage::Latest;
use crate::link::Link;

/// How many of a searcher's connections no member opens: one that is being closed still
/// counts at the searcher for a moment.
const SPARE_CONNECTIONS: usize = 1;

/// How many ordinary ends of requests are logged a second; the rest is counted.
const ORDINARY_LINES: u32 = 10;

/// How many connections a searcher is taken to accept where that is not declared.
const ASSUMED_CONNECTIONS: usize = 16;

/// What changes while a relay runs.
pub(crate) struct State {
    pub(crate) floor: Floor,
    pub(crate) declaration: Option<Arc<Declaration>>,
    pub(crate) registry: Registry,
    pub(crate) coverage: Latest,
    pub(crate) crossings: ZoneRoundTrips,
    pub(crate) links: HashMap<Incarnation, Arc<Link>>,
    pub(crate) splits: HashMap<Name, Split>,
    pub(crate) allowances: HashMap<Name, RetryBudget>,
    pub(crate) paces: HashMap<Name, LatencyPercentile>,
    pub(crate) arrivals: HashMap<Name, CallerOverhead>,
    pub(crate) sampler: Sampler,
    pub(crate) members: usize,
    /// Every member that takes work, this one among them.
    pub(crate) fleet: Vec<Ipv4Addr>,
    pub(crate) store_away_since: Option<Instant>,
    /// When records were last lacking that a member had left out.
    pub(crate) lacking: Option<Instant>,
    /// When the store was heard of again after entries of living searchers have expired.
    pub(crate) regained: Option<Instant>,
}

impl State {
    pub(crate) fn new(policy: &Policy) -> Self {
        Self {
            floor: Floor::default(),
            declaration: None,
            registry: Registry::new(policy.doubt),
            coverage: Latest::default(),
            crossings: ZoneRoundTrips::default(),
            links: HashMap::new(),
            splits: HashMap::new(),
            allowances: HashMap::new(),
            paces: HashMap::new(),
            arrivals: HashMap::new(),
            sampler: Sampler::new(ORDINARY_LINES),
            members: 1,
            fleet: Vec::new(),
            store_away_since: None,
            lacking: None,
            regained: None,
        }
    }

    pub(crate) fn allowance(&mut self, service: &Name, now: Instant) -> &mut RetryBudget {
        self.allowances.entry(Name::clone(service)).or_insert_with(|| RetryBudget::new(now))
    }
}

/// Returns how many connections this member may open to each searcher of a service.
pub(crate) fn share(state: &State, service: &str) -> usize {
    let declared = state.declaration.as_ref().and_then(|declared| declared.connections(service));
    let all = declared.unwrap_or(ASSUMED_CONNECTIONS).saturating_sub(SPARE_CONNECTIONS);
    (all / state.members.max(1)).max(1)
}
