//! The links to searchers: created for new ones, closed with those that end.
//!
//! Invariants: a link exists as long as its incarnation is in the registry, so that observations of
//! one incarnation are never applied to another; keeping the links up to date costs what has
//! changed, whatever the number of searchers.

use std::sync::Arc;
use std::time::Instant;

use bergamot_base::Name;
use bergamot_registry::{State as UpstreamState, Upstream};
use bergamot_upstream::PoolSettings;
use rand::RngExt;

use crate::link::SearcherLink;
use crate::relay::Relay;
use crate::state::{State, connection_share};

impl Relay {
    /// Applies the changes of the registry to the links. A member that serves has a link to every
    /// searcher of the declared services; the others create links when they need them.
    pub(crate) fn update_links(&self, state: &mut State, serves: bool) {
        for incarnation in state.registry.take_changed() {
            let upstream = state.registry.get(&incarnation).cloned();
            let Some(upstream) = upstream else {
                if let Some(link) = state.links.remove(&incarnation) {
                    link.pool.close();
                    state.usable.remove(&link.upstream.service);
                }
                continue;
            };
            if upstream.state != UpstreamState::Ready {
                if let Some(link) = state.links.get(&incarnation) {
                    link.pool.close();
                }
            } else if serves && state.is_declared(&upstream.service) {
                let share = connection_share(state, &upstream.service);
                self.link_to(state, &upstream, share);
            }
        }
        if serves && !state.are_links_complete {
            self.create_links(state);
        }
        state.are_links_complete = serves;
    }

    /// Creates links to all searchers of the declared services.
    fn create_links(&self, state: &mut State) {
        let Some(declaration) = state.declaration.clone() else {
            return;
        };
        for service in declaration.services.keys() {
            let share = connection_share(state, service);
            let upstreams: Vec<Arc<Upstream>> =
                state.registry.usable(service).map(|(upstream, _)| Arc::clone(upstream)).collect();
            for upstream in upstreams {
                let link = self.link_to(state, &upstream, share);
                if link.pool.usage().open == 0 {
                    self.monitor.record_unconnected(upstream.incarnation.clone());
                }
            }
        }
    }

    /// Returns the link to a searcher, which is created if there is none.
    pub(crate) fn link_to(
        &self,
        state: &mut State,
        upstream: &Arc<Upstream>,
        share: usize,
    ) -> Arc<SearcherLink> {
        if let Some(link) = state.links.get(&upstream.incarnation) {
            if link.is_same_endpoint(upstream) {
                return Arc::clone(link);
            }
            // The existing connections lead to the previous address.
            link.pool.close();
        }
        let link = SearcherLink::new(
            Arc::clone(upstream),
            self.pool_settings(upstream, share),
            &self.monitor,
            self.stall_period.clone(),
            &self.settings,
        );
        state.links.insert(upstream.incarnation.clone(), Arc::clone(&link));
        link
    }

    /// Returns how to connect to a searcher, and what to demand of its responses.
    fn pool_settings(&self, upstream: &Upstream, share: usize) -> PoolSettings {
        PoolSettings {
            local: self.settings.address,
            remote: upstream.address,
            share,
            dial_timeout: self.settings.connect_timeout,
            id_header: self.dialect().request_id,
            limits: self.settings.response_limits,
            memory: Arc::clone(&self.response_memory),
            read_turns: self.read_turns.clone(),
        }
    }

    /// Sets the connection limit of every link to its current share.
    pub(crate) fn resize_pools(state: &State) {
        for (incarnation, link) in &state.links {
            if state.registry.takes_work(incarnation) {
                link.pool.resize(connection_share(state, &link.upstream.service));
            }
        }
    }

    /// Opens connections in advance to searchers that have none.
    ///
    /// A new connection costs a round trip and some of the searcher's time, which delays the first
    /// request on it; a hedge to another region would be late by 20 ms or more. Only a few are
    /// opened at a time, so that the members do not all connect at once.
    pub(crate) fn prewarm(&self, state: &mut State, now: Instant) {
        let policy = self.settings.policy.warm;
        let unconnected = self.monitor.take_unconnected();
        if !policy.on {
            return;
        }
        let mut rng = rand::rng();
        for searcher in unconnected {
            let last = state.links.get(&searcher).and_then(|link| link.last_prewarm());
            let due = last.map_or(now, |last| last + policy.again);
            state.prewarm_queue.push(searcher, due, rng.random());
        }
        let mut opened = 0;
        while opened < policy.at_once
            && let Some(searcher) = state.prewarm_queue.pop(now)
        {
            let Some(link) = state.links.get(&searcher) else { continue };
            if !state.registry.takes_work(&searcher) || link.pool.usage().open > 0 {
                continue;
            }
            if state.placement.evacuations.contains(&link.upstream.zone) {
                state.prewarm_queue.push(searcher, now + policy.again, rng.random());
                continue;
            }
            opened += 1;
            open_connection(link, now);
        }
    }
}

fn open_connection(link: &Arc<SearcherLink>, now: Instant) {
    link.record_prewarm(now);
    let pool = Arc::clone(&link.pool);
    tokio::spawn(async move {
        if let Err(fault) = pool.warm().await {
            log::debug!("relay: event=warm_failed cause=\"{fault}\"");
        }
    });
}

impl State {
    /// Returns whether the declaration names a service.
    fn is_declared(&self, service: &Name) -> bool {
        let declaration = self.declaration.as_ref();
        declaration.is_some_and(|declaration| declaration.services.contains_key(service))
    }
}
