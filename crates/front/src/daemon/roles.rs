//! What the view of the members says of this one: whether it serves callers, its share of the fleet's
//! bounds, who issues permits and whom shards can be delegated to.
//!
//! Invariant: a change of the view is applied before the share that follows from it.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::sync::{Arc, PoisonError};

use bergamot_base::Name;
use bergamot_dispatch::{Presence, Serving, Share, Spenders};
use bergamot_members::{Endpoint, Record, Role, State, View};
use bergamot_peers::{Candidate, select_serving};
use bergamot_relay::{Coverage, DelegateMember};
use bergamot_wire::Capability;
use tokio::time::Instant;

use super::Inner;

/// What this member's share of the fleet's bounds is determined from.
#[derive(Debug)]
pub(super) struct Shares {
    pub(super) spenders: Spenders,
    /// The members that would serve callers if all were heard that count.
    pub(super) serving: BTreeSet<Ipv4Addr>,
}

/// What the members that serve callers, and those that this one may call, are selected from.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct SelectionBasis {
    /// The number of changes to the view of the members.
    view: u64,
    is_settled: bool,
    seeds: Vec<Ipv4Addr>,
    coverage: Arc<Coverage>,
}

impl Inner {
    /// Returns the members that serve callers and hold connections to searchers.
    pub(super) fn serving(&self) -> BTreeSet<Ipv4Addr> {
        self.serving.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Selects the members that serve callers, and applies the result to this member.
    ///
    /// A member that does not know all others yet does not count as serving: it would take itself
    /// for one of few members. See [`Spenders`] for its share.
    pub(super) fn update_serving(&self) {
        let basis = SelectionBasis {
            view: self.peers.with_view(View::changes),
            is_settled: self.peers.is_settled(),
            seeds: self.peers.seeds(),
            coverage: self.relay.coverage(),
        };
        let mut known = self.selection_basis.lock().unwrap_or_else(PoisonError::into_inner);
        let is_changed = known.as_ref() != Some(&basis);
        if is_changed {
            self.apply_view(&basis);
            *known = Some(basis.clone());
        }
        drop(known);
        let share = self.update_share(&basis, is_changed);
        let serves = basis.is_settled && self.serving().contains(&self.relay.settings().address);
        self.relay.tick(share, serves);
    }

    /// Returns this member's share of the fleet's bounds.
    fn update_share(&self, basis: &SelectionBasis, is_changed: bool) -> Share {
        let now = Instant::now().into();
        let own = self.relay.settings().address;
        let mut shares = self.shares.lock().unwrap_or_else(PoisonError::into_inner);
        let Shares { spenders, serving } = &mut *shares;
        if is_changed {
            self.peers.with_view(|view| spenders.update(now, view.iter().map(presence)));
        }
        if spenders.expire(now) || is_changed {
            *serving =
                self.select_serving(&basis.coverage, |record| spenders.counts(record.endpoint.ip));
        }
        if let Some(statement) = self.peers.take_stated_spenders() {
            spenders.record_statement(now, statement);
        }
        self.peers.set_spenders(spenders.statement(now));
        let serving = Serving { heard: &self.serving(), counted: serving };
        let has_seeds = basis.seeds.iter().any(|seed| *seed != own);
        spenders.share(now, serving, basis.is_settled, has_seeds)
    }

    /// Applies a changed view of the members to the relay.
    fn apply_view(&self, basis: &SelectionBasis) {
        self.relay.set_members(
            self.peers
                .with_view(|view| view.available().map(|record| record.endpoint.ip).collect()),
        );
        self.update_permit_issuers();
        if basis.is_settled {
            let selected = self.select_serving(&basis.coverage, |record| record.state.takes_work());
            *self.serving.lock().unwrap_or_else(PoisonError::into_inner) = selected;
            self.relay.set_delegate_members(self.delegate_members());
        }
    }

    /// Selects the members that serve callers from those for which `is_candidate` holds.
    fn select_serving(
        &self,
        coverage: &Coverage,
        is_candidate: impl Fn(&Record) -> bool,
    ) -> BTreeSet<Ipv4Addr> {
        let count = |zone: &Name| coverage.zones.get(zone).copied().unwrap_or(0);
        let best = coverage.zones.values().copied().max().unwrap_or(0);
        // A zone counts only if it has searchers of more than half as many services as the zone
        // with the most, because some services have a searcher in every zone.
        let has_searchers = |zone: &Name| count(zone) * 2 > best;
        let candidate = |record: &Record| Candidate {
            ip: record.endpoint.ip,
            region: self.region(&record.zone),
            in_searcher_zone: has_searchers(&record.zone),
            weight: record.weight,
        };
        let candidates: Vec<Candidate> = self.peers.with_view(|view| {
            view.iter().filter(|record| is_candidate(record)).map(candidate).collect()
        });
        let connections = coverage.fewest_connections.unwrap_or(usize::MAX);
        select_serving(&candidates, connections, &self.relay.settings().policy.seats)
    }

    /// Tells the relay which members issue permits for cold searchers: the seeds, since all members
    /// are configured with the same ones.
    fn update_permit_issuers(&self) {
        let (own, seeds) = (self.relay.settings().address, self.peers.seeds());
        let is_usable = |ip: &Ipv4Addr| {
            let endpoint = Endpoint { ip: *ip, role: Role::Entry };
            self.peers.with_view(|view| {
                view.takes_work(endpoint)
                    && view
                        .get(endpoint)
                        .is_some_and(|record| Capability::Permits.is_given_by(record.protocol))
            })
        };
        let others = seeds.iter().copied().filter(|ip| *ip != own).filter(is_usable).collect();
        // A member without seeds is the only one.
        let is_issuer = seeds.is_empty() || seeds.contains(&own);
        self.relay.set_permit_issuers(others, is_issuer.then_some(seeds.len()));
    }

    /// Returns the members to which shards of their region can be delegated.
    fn delegate_members(&self) -> Vec<DelegateMember> {
        let settings = self.relay.settings();
        let delegate = |record: &Record| {
            let (zone, region) = (Name::clone(&record.zone), self.region(&record.zone));
            let Record { endpoint, weight, protocol, .. } = *record;
            DelegateMember { ip: endpoint.ip, zone, region, weight, protocol }
        };
        let serving = self.serving();
        let is_eligible = |record: &&Record| {
            let ip = record.endpoint.ip;
            record.state == State::Alive && ip != settings.address && serving.contains(&ip)
        };
        self.peers.with_view(|view| view.iter().filter(is_eligible).map(delegate).collect())
    }
}

/// Returns what a record says of its member's presence.
fn presence(record: &Record) -> (Ipv4Addr, Presence) {
    let presence = match record.state {
        State::Alive | State::Suspect => Presence::Heard,
        State::Unreachable => Presence::Silent,
        State::Leaving | State::Left => Presence::Leaving,
    };
    (record.endpoint.ip, presence)
}
