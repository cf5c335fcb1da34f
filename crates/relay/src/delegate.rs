//! Shards whose searchers are elsewhere, asked through a member there.
//!
//! Elsewhere is another region, or another availability zone of the same region: bytes
//! between either are paid for. The member beside the searchers asks each of them once, merges, and sends one answer
//! in place of one for each shard. What it could not get in time, the
//! sender asks of other searchers itself, as it would hedge its own attempts, and takes
//! whichever comes first. Invariant: the member makes no attempt beyond the first at a
//! shard, so additional attempts are decided in one place.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_base::Name;
use bergamot_dispatch::{LatencyEstimator, StallPeriod};
use bergamot_policy::{Delegate, Policy};
use bergamot_quarantine::Fingerprint;
use bergamot_wire::{Late, ShardQuery, ShardReply};
use futures::future::BoxFuture;

use crate::message::Job;
use crate::race::Plan;
use crate::relay::Relay;

/// How many requests a member is taken to work on at once, for the choice among members.
const MEMBER_SLOTS: usize = 8;

/// An exchange with a member.
pub type Exchange<T> = BoxFuture<'static, Result<T, String>>;

/// Asks a member for what a token of its earlier answer names, until a moment.
pub type Claim<T> = Box<dyn Fn(Ipv4Addr, u64, Instant) -> Exchange<T> + Send + Sync>;

/// How questions reach other members.
pub struct Helping {
    /// Asks a member for shards, until a moment.
    pub gather: Box<dyn Fn(Ipv4Addr, ShardQuery, Instant) -> Exchange<ShardReply> + Send + Sync>,
    /// Asks a member for what came in since, until a moment.
    pub rest: Claim<Vec<Late>>,
    /// Asks a member for the records that its answer left out, until a moment.
    pub records: Claim<Option<Vec<u8>>>,
    /// Asks a member to grant a trial of a request, until a moment.
    pub grant: Box<dyn Fn(Ipv4Addr, Fingerprint, Instant) -> Exchange<bool> + Send + Sync>,
}

impl std::fmt::Debug for Helping {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Helping")
    }
}

/// Another member that may be asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Helper {
    /// Where it is reached.
    pub ip: Ipv4Addr,
    /// Its availability zone.
    pub zone: Name,
    /// Its region.
    pub region: Name,
}

/// Where searchers are that are asked through a member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Elsewhere {
    /// In another availability zone of our region.
    Zone(Name),
    /// In another region.
    Region(Name),
}

impl Elsewhere {
    /// Returns how much longer a member there is awaited than a searcher nearby, if nothing was
    /// seen of the way.
    fn assumed(&self, policy: &Delegate) -> Duration {
        match self {
            Self::Zone(_) => policy.zone,
            Self::Region(_) => policy.region,
        }
    }

    fn holds(&self, helper: &Helper) -> bool {
        match self {
            Self::Zone(zone) => helper.zone == *zone,
            Self::Region(region) => helper.region == *region,
        }
    }
}

impl Relay {
    /// Returns how much longer a member at a place is awaited than a searcher nearby.
    fn crossing(&self, place: &Elsewhere) -> Duration {
        let policy = &self.settings.policy.delegate;
        let state = self.lock();
        let seen = match place {
            Elsewhere::Zone(zone) => state.crossings.round_trip(zone),
            Elsewhere::Region(region) => {
                state.crossings.shortest_to(|zone| self.is_in(zone, region))
            }
        };
        seen.map_or(place.assumed(policy), |seen| seen + policy.handling)
    }

    /// Returns how much longer a member of the farthest region is awaited than a searcher nearby.
    pub(crate) fn farthest(&self) -> Duration {
        let regions: BTreeSet<&Name> = self.settings.regions.values().collect();
        let places = regions.into_iter().map(|region| Elsewhere::Region(Name::clone(region)));
        let own = self.settings.regions.get(&self.settings.zone);
        let others = places
            .filter(|place| !matches!(place, Elsewhere::Region(region) if Some(region) == own));
        others.map(|place| self.crossing(&place)).max().unwrap_or_default()
    }

    fn is_in(&self, zone: &Name, region: &Name) -> bool {
        self.settings.regions.get(zone) == Some(region)
    }
}

/// The members that may be asked, and what was seen of each.
#[derive(Debug)]
pub(crate) struct Helpers {
    policy: Arc<Policy>,
    known: Vec<Helper>,
    outlooks: BTreeMap<Ipv4Addr, LatencyEstimator>,
}

impl Helpers {
    pub(crate) fn new(policy: Arc<Policy>) -> Self {
        Self { policy, known: Vec::new(), outlooks: BTreeMap::new() }
    }

    /// Takes in who may be asked now.
    pub(crate) fn set(&mut self, known: Vec<Helper>) {
        self.outlooks.retain(|ip, _| known.iter().any(|helper| helper.ip == *ip));
        self.known = known;
    }

    /// Chooses a member at a place, unless all of them are silent.
    pub(crate) fn choose(&self, place: &Elsewhere, now: Instant) -> Option<Ipv4Addr> {
        let expected = |helper: &Helper| {
            let outlook = self.outlooks.get(&helper.ip);
            outlook.map_or(0.0, |outlook| outlook.expected(now, MEMBER_SLOTS, false))
        };
        let beside = self.known.iter().filter(|helper| place.holds(helper));
        let timed = beside.map(|helper| (expected(helper), helper.ip));
        let best = timed.min_by(|a, b| a.0.total_cmp(&b.0))?;
        (best.0 < self.policy.delegate.silent).then_some(best.1)
    }

    fn outlook(&mut self, ip: Ipv4Addr) -> &mut LatencyEstimator {
        let policy = &self.policy;
        let unseen = || {
            LatencyEstimator::new(
                policy.delegate.region,
                Arc::clone(policy),
                StallPeriod::default(),
            )
        };
        self.outlooks.entry(ip).or_insert_with(unseen)
    }
}

/// A question that is unanswered, for the outlook of the member.
struct Pending<'a> {
    relay: &'a Relay,
    ip: Ipv4Addr,
    sent: Instant,
    answered: bool,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        let now = Instant::now();
        self.relay.with_helpers(|helpers| {
            let outlook = helpers.outlook(self.ip);
            if self.answered {
                outlook.record_answer(self.sent, now);
            } else {
                outlook.record_abandon(self.sent, now);
                outlook.record_failure(now);
            }
        });
    }
}

/// How many records are wanted of a member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wanted {
    /// How many the answer to the caller holds.
    pub(crate) top_k: usize,
    /// How many of these shards' are likely to suffice.
    pub(crate) enough: usize,
}

/// Asks a member for some shards. Without an answer in time there is none at all.
pub(crate) async fn ask(
    relay: &Relay,
    job: &Job,
    (ip, place): (Ipv4Addr, &Elsewhere),
    shards: Vec<Name>,
    wanted: Wanted,
    plan: &Plan,
) -> Option<ShardReply> {
    let sent = Instant::now();
    let usual = plan.usual.saturating_duration_since(sent);
    let policy = relay.settings.policy.delegate;
    let query = query(job, shards, wanted, usual.max(policy.least), plan);
    relay.with_helpers(|helpers| helpers.outlook(ip).record_send(sent));
    let mut pending = Pending { relay, ip, sent, answered: false };
    let until = sent + usual.max(policy.least) + relay.crossing(place) + policy.late;
    let answer =
        tokio::time::timeout_at(until.into(), (relay.helping().gather)(ip, query, until)).await;
    match answer {
        Ok(Ok(reply)) => {
            pending.answered = true;
            Some(reply)
        }
        Ok(Err(cause)) => {
            log::info!(
                "relay: event=helper_failed request={:?} member={ip} cause=\"{cause}\"",
                job.request.id
            );
            None
        }
        Err(_elapsed) => {
            log::info!("relay: event=helper_silent request={:?} member={ip}", job.request.id);
            None
        }
    }
}

fn query(
    job: &Job,
    shards: Vec<Name>,
    wanted: Wanted,
    within: Duration,
    plan: &Plan,
) -> ShardQuery {
    let request = &job.request;
    let headers = request.headers.iter();
    ShardQuery {
        id: request.id.as_bytes().to_vec(),
        method: request.method.to_string(),
        uri: request.uri.to_string(),
        headers: headers
            .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
            .collect(),
        body: request.body.to_vec(),
        shards,
        top_k: wanted.top_k as u32,
        enough: wanted.enough as u32,
        answer_within: within,
        deadline: plan.end.saturating_duration_since(Instant::now()),
    }
}
