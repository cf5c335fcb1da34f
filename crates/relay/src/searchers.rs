//! The searchers that a relay knows: which is asked, its connections, what it may be sent.
//!
//! Invariant: a link lives as long as its incarnation is in the registry, so what was seen of
//! one incarnation never speaks for another.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_base::{Name, hash_bytes};
use bergamot_dispatch::{Crossings, Distance, Need, rank, sufficient};
use bergamot_registry::{Incarnation, Upstream};
use bergamot_upstream::Pace;
use bergamot_wire::QuietPeriod;
use rand::RngExt;

use crate::delegate::Elsewhere;
use crate::link::Link;
use crate::race::Tried;
use crate::relay::Relay;
use crate::settings::Settings;
use crate::state::{State, share};

/// Names an incarnation among the few of a shard.
fn short(searcher: &Incarnation) -> u32 {
    hash_bytes(searcher.to_string().as_bytes()) as u32
}

/// Tells whether a searcher was asked already.
fn asked(tried: &[Tried], searcher: &Incarnation) -> bool {
    tried.iter().any(|tried| matches!(tried, Tried::Searcher(asked) if asked == searcher))
}

impl Relay {
    /// Returns where the searcher is that would be asked, if it is not in our zone.
    pub(crate) fn elsewhere(&self, service: &str) -> Option<Elsewhere> {
        let link = self.choose(service, &[])?;
        let zone = &link.upstream.zone;
        match link.distance {
            Distance::Zone => None,
            Distance::Region => Some(Elsewhere::Zone(Name::clone(zone))),
            Distance::Far => self.settings.regions.get(zone).cloned().map(Elsewhere::Region),
        }
    }

    /// Makes the links to searchers that were published since.
    pub(crate) fn meet(&self, state: &mut State) {
        let Some(declaration) = state.declaration.clone() else {
            return;
        };
        for service in declaration.services.keys() {
            let share = share(state, service);
            let State { registry, links, crossings, .. } = state;
            for (upstream, _missing) in registry.usable(service) {
                self.link(links, crossings, upstream, share);
            }
        }
    }

    /// Chooses the searcher for the next attempt among those not tried yet.
    pub(crate) fn choose(&self, service: &str, tried: &[Tried]) -> Option<Arc<Link>> {
        let now = Instant::now();
        let mut state = self.lock();
        let share = share(&state, service);
        let State { registry, links, crossings, .. } = &mut *state;
        let candidates = registry
            .usable(service)
            .filter(|(upstream, _)| !asked(tried, &upstream.incarnation))
            .map(|(upstream, missing)| {
                self.link(links, crossings, upstream, share).candidate(missing, now)
            })
            .collect();
        drop(state);
        let mut rng = rand::rng();
        rank(candidates, &self.settings.policy.spread, || rng.random()).into_iter().next()
    }

    pub(crate) fn link(
        &self,
        links: &mut HashMap<Incarnation, Arc<Link>>,
        crossings: &Crossings,
        upstream: &Arc<Upstream>,
        share: usize,
    ) -> Arc<Link> {
        let round_trip = crossings.round_trip(&upstream.zone);
        let make = || {
            let upstream = Arc::clone(upstream);
            Link::new(upstream, share, round_trip, self.rhythm.clone(), &self.settings)
        };
        let link = links.entry(upstream.incarnation.clone()).or_insert_with(make);
        if !link.leads_to(upstream) {
            // Its connections would go where it said that it was before.
            link.pool.close();
            *link = make();
        }
        Arc::clone(link)
    }

    /// Notes that a searcher failed a request that another member sent it for us.
    pub(crate) fn note_failure(&self, searcher: &Incarnation) {
        if let Some(link) = self.lock().links.get(searcher) {
            link.outlook().fail(Instant::now());
        }
    }

    /// Lists the silences that are expected soon of searchers beside this member.
    pub(crate) fn quiet(&self, shards: &[Name]) -> Vec<QuietPeriod> {
        let now = Instant::now();
        let state = self.lock();
        let mut quiet = Vec::new();
        for (index, shard) in shards.iter().enumerate() {
            let known = state.registry.usable(shard);
            let links =
                known.filter_map(|(upstream, _missing)| state.links.get(&upstream.incarnation));
            for link in links.filter(|link| link.distance != Distance::Far) {
                let Some((begin, end)) = link.outlook().next_silence(now) else { continue };
                let ms = |moment: Instant| moment.saturating_duration_since(now).as_millis() as u32;
                let searcher = short(&link.upstream.incarnation);
                let (begins_ms, ends_ms) = (ms(begin), ms(end));
                quiet.push(QuietPeriod { index: index as u32, searcher, begins_ms, ends_ms });
            }
        }
        quiet
    }

    /// Takes in a silence that another member expects of a searcher of a shard.
    pub(crate) fn note_quiet(&self, shard: &str, quiet: QuietPeriod) {
        let now = Instant::now();
        let at = |ms: u32| now + Duration::from_millis(u64::from(ms));
        let state = self.lock();
        let known = state.registry.usable(shard);
        let mut links =
            known.filter_map(|(upstream, _missing)| state.links.get(&upstream.incarnation));
        if let Some(link) = links.find(|link| short(&link.upstream.incarnation) == quiet.searcher) {
            link.outlook().tell(at(quiet.begins_ms), at(quiet.ends_ms));
        }
    }

    /// Notes how long a first attempt for a route took.
    pub(crate) fn note_pace(&self, route: &Name, took: Duration) {
        let usual = self.settings.policy.hedge.percentile;
        let mut state = self.lock();
        let pace = state.paces.entry(Name::clone(route)).or_insert_with(|| Pace::new(usual));
        pace.record(took);
    }

    /// Opens connections ahead of need to searchers that have none.
    ///
    /// A new connection takes a round trip and some of the searcher's time, so that a first
    /// request on it is late; a hedge to another region would be by 20 ms and more. A few at
    /// a time, so that not all members come at once.
    pub(crate) fn warm(&self, state: &State) {
        let policy = self.settings.policy.warm;
        if !policy.on {
            return;
        }
        let now = Instant::now();
        let cold = |link: &&Arc<Link>| link.pool.usage().open == 0 && link.may_warm(now);
        for link in state.links.values().filter(cold).take(policy.at_once) {
            let pool = Arc::clone(&link.pool);
            tokio::spawn(async move {
                if let Err(fault) = pool.warm().await {
                    log::debug!("relay: event=warm_failed cause=\"{fault}\"");
                }
            });
        }
    }

    /// Estimates how long the fastest searcher of each service will take, in milliseconds,
    /// leaving out services without one.
    pub(crate) fn delays(&self, services: &[Name]) -> Vec<f64> {
        let now = Instant::now();
        let state = self.lock();
        let fastest = |service: &Name| {
            let known = state.registry.usable(service).map(|(upstream, _missing)| {
                // Nothing has been seen of one that has no link yet.
                state.links.get(&upstream.incarnation).map_or(0.0, |link| link.delay(now))
            });
            known.min_by(f64::total_cmp)
        };
        services.iter().filter_map(fastest).collect()
    }

    /// Returns how many records a member is asked for at first.
    pub(crate) fn sufficient(&self, top_k: usize, shards: usize, all: usize) -> usize {
        let policy = &self.settings.policy.brief;
        let lacking = self.lock().lacking.is_some_and(|last| last.elapsed() < policy.again);
        if lacking { top_k } else { sufficient(top_k, shards, all, policy) }
    }

    /// Notes that records were lacking which a member had left out.
    pub(crate) fn note_lacking(&self) {
        self.meter.lacking.inc();
        self.lock().lacking = Some(Instant::now());
    }

    /// Tells whether new work may be sent to an incarnation.
    pub(crate) fn takes_work(&self, searcher: &Incarnation) -> bool {
        self.lock().registry.takes_work(searcher)
    }

    /// Notes that an incarnation has ended, since another answered at its address.
    pub(crate) fn ended(&self, searcher: &Incarnation, other: Option<&str>) {
        let other = other.unwrap_or("unnamed");
        if self.lock().registry.end(searcher) {
            log::info!(
                "relay: event=searcher_gone searcher={searcher} cause=\"{other} has its address\""
            );
        }
    }

    /// Counts a request for a service.
    pub(crate) fn earn(&self, service: &Name) {
        let now = Instant::now();
        let terms = &self.settings.terms;
        self.lock().allowance(service, now).earn(now, terms);
    }

    /// Spends one additional attempt at a service, if the bound has room for it.
    pub(crate) fn spend(&self, service: &Name, need: Need) -> bool {
        let now = Instant::now();
        let mut state = self.lock();
        let members = state.members;
        let Settings { terms, policy, .. } = &self.settings;
        let granted = state.allowance(service, now).spend(now, terms, policy, members, need);
        if !granted {
            self.meter.denied.inc();
        }
        granted
    }

    /// Gives every link its share of connections.
    pub(crate) fn share(state: &State) {
        for link in state.links.values() {
            link.pool.resize(share(state, &link.upstream.service));
        }
    }
}
