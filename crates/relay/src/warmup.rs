//! Permits for requests that only cold searchers can serve.
//!
//! A request whose services have warm searchers needs none. Otherwise one of the members that issue
//! permits is asked for all that the request needs, before anything is sent. `bergamot-placement`
//! makes the decisions; see `docs/design/0017-placement.md`.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use bergamot_declaration::Target;
use bergamot_placement::{Application, Constraints, Permits};
use bergamot_registry::Incarnation;
use rand::seq::SliceRandom;

use crate::relay::Relay;

/// The timeout for the reply of a member that issues permits: a round trip between regions (16 ms)
/// plus late timers of a slow core.
const ISSUER_TIMEOUT: Duration = Duration::from_millis(60);

/// How long an issuer that had no permits left is not asked again, for each member of the fleet:
/// all members together ask it about a thousand times a second.
const DENIAL_BACKOFF_PER_MEMBER: Duration = Duration::from_millis(1);

/// The cold searchers that a request could use, one for each service, and how many it needs.
#[derive(Debug, Default)]
struct Shortage {
    searchers: Vec<Incarnation>,
    needed: usize,
}

impl Relay {
    /// Sets the other members that issue permits and can be reached, and how many members issue
    /// permits if this one is among them.
    pub fn set_permit_issuers(&self, others: Vec<Ipv4Addr>, total: Option<usize>) {
        let mut state = self.lock();
        state.permit_issuers = others;
        state.issuer.set_issuers(total, Instant::now());
    }

    /// Issues permits for cold searchers to another member, or none if `needed` of them cannot be
    /// had. Returns for each searcher whether it was granted.
    pub fn issue_permits(&self, searchers: &[Incarnation], needed: usize) -> Vec<bool> {
        let bound = self.settings.cold_bound;
        let mut state = self.lock();
        let limit = |searcher: &Incarnation| {
            let known = state.registry.get(searcher);
            let rate = known.and_then(|upstream| state.placement.cold_rate(&upstream.service));
            rate.map_or(0.0, |rate| bound.requests(rate))
        };
        let searchers =
            searchers.iter().map(|searcher| (searcher.clone(), limit(searcher))).collect();
        let granted = state.issuer.issue(&Application { searchers, needed }, Instant::now());
        drop(state);
        let count = granted.iter().filter(|granted| **granted).count();
        let label = if count > 0 { "issued" } else { "denied" };
        self.meter.permits.with_label_values(&[label]).inc();
        granted
    }

    /// Obtains the permits without which a request cannot be served.
    pub(crate) async fn obtain_permits(
        &self,
        target: &Target,
        constraints: &Constraints,
    ) -> Permits {
        let Some(Shortage { searchers, needed }) = self.find_shortage(target, constraints) else {
            return Permits::default();
        };
        let requested_at = Instant::now();
        let granted = self.request_permits(&searchers, needed).await;
        let granted = searchers.into_iter().zip(granted).filter(|(_, granted)| *granted);
        Permits::new(granted.map(|(searcher, _)| searcher).collect(), requested_at)
    }

    /// Returns which cold searchers a request needs, if it cannot be served by others.
    fn find_shortage(&self, target: &Target, constraints: &Constraints) -> Option<Shortage> {
        let now = Instant::now();
        let state = self.lock();
        if !state.placement.limits_cold_searchers() {
            return None;
        }
        let (mut served, mut shortage) = (0, Shortage::default());
        for service in target.services() {
            match state.cold_candidate(service, constraints, now) {
                Ok(()) => served += 1,
                Err(searcher) => shortage.searchers.extend(searcher),
            }
        }
        let required = match target {
            Target::Gather(gather) => gather.min_shards(),
            Target::Service(_) | Target::Split(_) => 1,
        };
        shortage.needed = required.saturating_sub(served);
        (shortage.needed > 0 && shortage.searchers.len() >= shortage.needed).then_some(shortage)
    }

    /// Requests permits from this member, if it issues them, and then from the others in random
    /// order, until one has those that are needed.
    async fn request_permits(&self, searchers: &[Incarnation], needed: usize) -> Vec<bool> {
        let granted = self.issue_permits(searchers, needed);
        if granted.contains(&true) {
            return granted;
        }
        for issuer in self.issuers_to_ask() {
            let until = Instant::now() + ISSUER_TIMEOUT;
            let call = (self.helping().permits)(issuer, searchers.to_vec(), needed as u32, until);
            match call.await {
                Ok(granted) if granted.len() == searchers.len() && granted.contains(&true) => {
                    return granted;
                }
                Ok(_denied) => {}
                Err(cause) => {
                    log::info!("relay: event=permits_failed member={issuer} cause=\"{cause}\"");
                }
            }
            self.back_off_from_issuer(issuer);
        }
        vec![false; searchers.len()]
    }

    /// Returns the issuers that have not denied permits a short time ago, in random order.
    fn issuers_to_ask(&self) -> Vec<Ipv4Addr> {
        let now = Instant::now();
        let state = self.lock();
        let is_due =
            |issuer: &Ipv4Addr| state.permit_denials.get(issuer).is_none_or(|until| *until <= now);
        let mut issuers: Vec<Ipv4Addr> =
            state.permit_issuers.iter().copied().filter(is_due).collect();
        issuers.shuffle(&mut rand::rng());
        issuers
    }

    fn back_off_from_issuer(&self, issuer: Ipv4Addr) {
        let mut state = self.lock();
        let backoff = DENIAL_BACKOFF_PER_MEMBER * state.serving_members.len().max(1) as u32;
        state.permit_denials.insert(issuer, Instant::now() + backoff);
    }
}
