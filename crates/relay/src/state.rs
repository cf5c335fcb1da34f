//! The mutable state of a relay, under one lock that is never held across an `await`.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Instant;

use bergamot_base::Name;
use bergamot_config::RevisionTracker;
use bergamot_declaration::{Declaration, WeightedRoundRobin};
use bergamot_dispatch::{CallerDeadlines, CallerRoundTrip, RetryBudget, Share};
use bergamot_logger::Sampler;
use bergamot_placement::{Constraints, Issuer, Placement, Withheld};
use bergamot_registry::{Incarnation, Registry};
use bergamot_upstream::LatencyPercentile;

use crate::choice::UsableSearchers;
use crate::coverage::CachedCoverage;
use crate::link::SearcherLink;
use crate::pool_slots::PoolSlots;
use crate::prewarm::Queue;
use crate::settings::Settings;

/// Connections of each searcher that members leave unused: a connection that is being closed still
/// counts at the searcher for a moment.
const RESERVED_CONNECTIONS: usize = 1;

/// The number of ordinary request ends logged a second; the others are only counted.
const MAX_ORDINARY_LOG_LINES: u32 = 10;

/// The number of connections a searcher is assumed to accept if undeclared.
const DEFAULT_CONNECTIONS: usize = 16;

/// The mutable state of a relay.
pub(crate) struct State {
    pub(crate) version_tracker: RevisionTracker,
    pub(crate) declaration: Option<Arc<Declaration>>,
    pub(crate) registry: Registry,
    /// Where requests may be sent.
    pub(crate) placement: Placement,
    /// The permits for cold searchers that this member has issued.
    pub(crate) issuer: Issuer,
    /// The other members that issue permits and can be reached.
    pub(crate) permit_issuers: Vec<Ipv4Addr>,
    /// Until when an issuer that denied permits is not asked again.
    pub(crate) permit_denials: HashMap<Ipv4Addr, Instant>,
    pub(crate) coverage: CachedCoverage,
    pub(crate) links: HashMap<Incarnation, Arc<SearcherLink>>,
    /// The searchers of each service that may receive requests, as last looked up.
    pub(crate) usable: HashMap<Name, UsableSearchers>,
    /// Whether there is a link to every searcher of the declared services.
    pub(crate) are_links_complete: bool,
    /// The searchers to which a connection is opened in advance.
    pub(crate) prewarm_queue: Queue,
    pub(crate) splits: HashMap<Name, WeightedRoundRobin>,
    pub(crate) retry_budgets: HashMap<Name, RetryBudget>,
    pub(crate) latency_percentiles: HashMap<Name, LatencyPercentile>,
    pub(crate) caller_deadlines: HashMap<Name, CallerDeadlines>,
    pub(crate) caller_round_trip: CallerRoundTrip,
    pub(crate) log_sampler: Sampler,
    /// The share of this member of the bounds that all members keep together.
    pub(crate) share: Share,
    /// Whether this member serves callers, as it does once it knows the other members.
    pub(crate) serves: bool,
    /// The slots that bind the requests to each pool of searchers.
    pub(crate) pool_slots: PoolSlots,
    /// All members that serve requests, including this one.
    pub(crate) serving_members: Vec<Ipv4Addr>,
    pub(crate) store_unavailable_since: Option<Instant>,
    /// When records left out by a member were last needed.
    pub(crate) records_lacking_at: Option<Instant>,
    /// When the store became reachable again after an outage in which entries of live searchers
    /// expired, or was last restored.
    pub(crate) store_recovered_at: Option<Instant>,
}

impl State {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            version_tracker: RevisionTracker::default(),
            declaration: None,
            registry: Registry::new(settings.policy.doubt),
            placement: Placement::new(settings.regions.clone()),
            issuer: Issuer::default(),
            permit_issuers: Vec::new(),
            permit_denials: HashMap::new(),
            coverage: CachedCoverage::default(),
            links: HashMap::new(),
            usable: HashMap::new(),
            are_links_complete: false,
            prewarm_queue: Queue::default(),
            splits: HashMap::new(),
            retry_budgets: HashMap::new(),
            latency_percentiles: HashMap::new(),
            caller_deadlines: HashMap::new(),
            caller_round_trip: CallerRoundTrip::default(),
            log_sampler: Sampler::new(MAX_ORDINARY_LOG_LINES),
            share: Share::OneOf(1),
            serves: false,
            pool_slots: PoolSlots::default(),
            serving_members: Vec::new(),
            store_unavailable_since: None,
            records_lacking_at: None,
            store_recovered_at: None,
        }
    }

    /// Returns the best cold searcher of a service to which the request could be sent with a permit,
    /// if there is no other searcher to which it may be sent.
    pub(crate) fn cold_candidate(
        &self,
        service: &str,
        constraints: &Constraints,
        now: Instant,
    ) -> Result<(), Option<Incarnation>> {
        let mut best = None::<(f64, &Incarnation)>;
        for (upstream, _missing) in self.registry.usable(service) {
            let link = self.links.get(&upstream.incarnation);
            if link.is_some_and(|link| link.has_ended()) {
                continue;
            }
            match self.placement.check(upstream, constraints, now) {
                Ok(()) => return Ok(()),
                Err(Withheld::Cold) => {
                    let delay = link.map_or(f64::INFINITY, |link| link.estimate(true, now).delay);
                    if best.is_none_or(|(least, _)| delay < least) {
                        best = Some((delay, &upstream.incarnation));
                    }
                }
                Err(Withheld::Residency | Withheld::Evacuated) => {}
            }
        }
        Err(best.map(|(_, searcher)| searcher.clone()))
    }

    pub(crate) fn retry_budget(&mut self, service: &Name, now: Instant) -> &mut RetryBudget {
        self.retry_budgets.entry(Name::clone(service)).or_insert_with(|| RetryBudget::new(now))
    }
}

/// Returns the number of connections that this member may open to each searcher of a service.
pub(crate) fn connection_share(state: &State, service: &str) -> usize {
    let declared = state.declaration.as_ref().and_then(|declared| declared.connections(service));
    let all = declared.unwrap_or(DEFAULT_CONNECTIONS).saturating_sub(RESERVED_CONNECTIONS);
    state.share.connections(all)
}
