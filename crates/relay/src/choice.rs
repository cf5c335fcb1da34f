//! The choice of the searcher for an attempt.
//!
//! A gathered request looks at every searcher of hundreds of shards. The searchers of a service that
//! may receive requests are therefore kept with their links, and looked up again only after one of
//! them has changed. Invariant: whether a request may be sent to a searcher is decided by
//! `bergamot-placement` at each choice.

use std::sync::Arc;
use std::time::Instant;

use bergamot_base::Name;
use bergamot_dispatch::best;
use bergamot_placement::Constraints;
use bergamot_registry::Upstream;
use rand::RngExt;

use crate::link::SearcherLink;
use crate::race::TriedSearcher;
use crate::relay::Relay;
use crate::state::{State, connection_share};

/// A searcher that may receive new requests.
#[derive(Clone, Debug)]
pub(crate) struct UsableSearcher {
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) link: Arc<SearcherLink>,
    /// Whether its entry is missing from the store at the moment.
    missing: bool,
}

/// The usable searchers of one service.
#[derive(Debug, Default)]
pub(crate) struct UsableSearchers {
    /// The revision of the service in the registry that they were looked up at.
    revision: u64,
    searchers: Vec<UsableSearcher>,
}

/// The searcher that a shard is asked for first, and what the shard contributes to the admission of
/// its request.
#[derive(Clone, Debug)]
pub(crate) struct Choice {
    pub(crate) link: Arc<SearcherLink>,
    /// The response time of the shard's fastest searcher, in milliseconds.
    pub(crate) delay: f64,
    /// When the latest sample of that searcher was taken, if there is any.
    pub(crate) sampled_at: Option<Instant>,
    /// Whether the requests of this member alone use all slots of the chosen searcher.
    pub(crate) is_busy: bool,
}

impl Relay {
    /// Chooses the searcher for the next attempt among those that the request may be sent to and
    /// that were not tried yet.
    pub(crate) fn choose_searcher(
        &self,
        service: &Name,
        constraints: &Constraints,
        tried: &[TriedSearcher],
    ) -> Option<Arc<SearcherLink>> {
        let now = Instant::now();
        let mut state = self.lock();
        self.choose(&mut state, service, constraints, tried, now).map(|choice| choice.link)
    }

    /// Chooses the searcher that each of some shards is asked for first; `None` for a shard without
    /// one that the request may be sent to.
    pub(crate) fn choose_searchers(
        &self,
        shards: &[Name],
        constraints: &Constraints,
    ) -> Vec<Option<Choice>> {
        let now = Instant::now();
        let mut state = self.lock();
        let choose = |shard| self.choose(&mut state, shard, constraints, &[], now);
        shards.iter().map(choose).collect()
    }

    fn choose(
        &self,
        state: &mut State,
        service: &Name,
        constraints: &Constraints,
        tried: &[TriedSearcher],
        now: Instant,
    ) -> Option<Choice> {
        self.refresh_usable(state, service);
        let searchers = &state.usable.get(service)?.searchers;
        let placement = &state.placement;
        let (mut delay, mut sampled_at) = (f64::INFINITY, None);
        let candidates = searchers
            .iter()
            .filter(|searcher| placement.check(&searcher.upstream, constraints, now).is_ok())
            .filter(|searcher| !was_tried(tried, &searcher.upstream))
            .map(|UsableSearcher { upstream, link, missing }| {
                let estimate = link.estimate(upstream.is_cold(now), now);
                if estimate.delay < delay {
                    (delay, sampled_at) = (estimate.delay, estimate.sampled_at);
                }
                link.candidate(*missing, estimate.expected)
            });
        let mut rng = rand::rng();
        let link = best(candidates, &self.settings.policy.spread, || rng.random())?;
        let is_busy = link.estimator().in_flight() >= link.upstream.slots;
        Some(Choice { link: Arc::clone(link), delay, sampled_at, is_busy })
    }

    /// Looks up the usable searchers of a service if they have changed.
    pub(crate) fn refresh_usable(&self, state: &mut State, service: &Name) {
        let revision = state.registry.service_revision(service);
        if state.usable.get(service).is_some_and(|usable| usable.revision == revision) {
            return;
        }
        let share = connection_share(state, service);
        let usable = state.registry.usable(service);
        let usable: Vec<(Arc<Upstream>, bool)> =
            usable.map(|(upstream, missing)| (Arc::clone(upstream), missing)).collect();
        let with_link = |(upstream, missing)| {
            let link = self.link_to(state, &upstream, share);
            UsableSearcher { upstream, link, missing }
        };
        let searchers = usable.into_iter().map(with_link).collect();
        state.usable.insert(Name::clone(service), UsableSearchers { revision, searchers });
    }
}

impl State {
    /// Iterates over the links to the searchers of a service that have been looked up.
    pub(crate) fn usable_links(&self, service: &str) -> impl Iterator<Item = &Arc<SearcherLink>> {
        let known = self.usable.get(service).into_iter();
        known.flat_map(|usable| &usable.searchers).map(|searcher| &searcher.link)
    }
}

/// Returns whether a searcher was already asked.
fn was_tried(tried: &[TriedSearcher], searcher: &Upstream) -> bool {
    let is_same = |tried: &TriedSearcher| matches!(tried, TriedSearcher::Known(known) if *known == searcher.incarnation);
    tried.iter().any(is_same)
}
