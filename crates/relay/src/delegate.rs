//! Delegation of shards with remote searchers to a member near them.
//!
//! A searcher is remote if it is in another region or in another availability zone of the same
//! region; traffic between either is billed. The member near the searchers asks each shard once,
//! merges the results and returns a single reply instead of one for each shard. Shards missing from
//! that reply are asked by the sender from other searchers, like hedged attempts, and the first
//! response is used. Invariant: the member makes only the first attempt for a shard, so that
//! additional attempts are decided in one place.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_base::Name;
use bergamot_declaration::Residency;
use bergamot_dispatch::{LatencyEstimator, StallPeriod};
use bergamot_policy::{Delegate, Policy};
use bergamot_quarantine::Fingerprint;
use bergamot_registry::Incarnation;
use bergamot_scatter::Lateness;
use bergamot_wire::{Late, ShardQuery, ShardReply};
use futures::future::BoxFuture;
use snafu::Snafu;

use crate::message::Job;
use crate::relay::Relay;

/// The number of requests that a member is assumed to process concurrently, used to choose among
/// members.
const MEMBER_SLOTS: usize = 8;

/// The failure of a call to another member.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum CallError {
    /// There was no connection, so the member has not received the call.
    #[snafu(display("not sent: {cause}"))]
    NotSent {
        /// The cause.
        cause: String,
    },
    /// The member may have received the call.
    #[snafu(display("no reply: {cause}"))]
    NoReply {
        /// The cause.
        cause: String,
    },
}

/// The pending result of a call to another member.
pub type MemberFuture<T> = BoxFuture<'static, Result<T, CallError>>;

/// Calls a member with a token from its earlier reply, with a deadline.
pub type TokenCall<T> = Box<dyn Fn(Ipv4Addr, u64, Instant) -> MemberFuture<T> + Send + Sync>;

/// Queries a member for shards of a request that may be processed in some regions, with a deadline.
pub type GatherCall =
    Box<dyn Fn(Ipv4Addr, ShardQuery, Residency, Instant) -> MemberFuture<ShardReply> + Send + Sync>;

/// Requests permits for cold searchers from a member, with a deadline.
pub type PermitCall =
    Box<dyn Fn(Ipv4Addr, Vec<Incarnation>, u32, Instant) -> MemberFuture<Vec<bool>> + Send + Sync>;

/// Calls to other members.
pub struct Helping {
    /// Queries a member for shards.
    pub gather: GatherCall,
    /// Fetches shards that arrived at a member after its reply, with a deadline.
    pub rest: TokenCall<Vec<Late>>,
    /// Fetches the records that a member left out of its reply, with a deadline.
    pub records: TokenCall<Option<Vec<u8>>>,
    /// Asks a member for permits for cold searchers, of which a number is needed, with a deadline.
    pub permits: PermitCall,
    /// Drops the connection to a member, which may be dead: the next call opens a new one.
    pub disconnect: Box<dyn Fn(Ipv4Addr) + Send + Sync>,
    /// Asks a member for permission to run a trial of a request, with a deadline.
    pub grant: Box<dyn Fn(Ipv4Addr, Fingerprint, Instant) -> MemberFuture<bool> + Send + Sync>,
}

impl std::fmt::Debug for Helping {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Helping")
    }
}

/// Another member to which shards can be delegated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DelegateMember {
    /// The address of the member.
    pub ip: Ipv4Addr,
    /// The availability zone of the member.
    pub zone: Name,
    /// The region of the member.
    pub region: Name,
    /// The version of the RPCs that it serves.
    pub protocol: u32,
}

/// The first version of the RPCs between members that carries the regions of a request.
const RESIDENCY_PROTOCOL: u32 = 1;

impl DelegateMember {
    /// Returns whether the member may make attempts for a request on these terms.
    fn accepts(&self, residency: &Residency) -> bool {
        !residency.is_bounded()
            || (residency.permits(Some(&self.region)) && self.protocol >= RESIDENCY_PROTOCOL)
    }
}

/// The location of searchers that are queried through a member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RemoteLocation {
    /// Another availability zone of this region.
    Zone(Name),
    /// Another region.
    Region(Name),
}

impl RemoteLocation {
    /// Returns the additional wait for a member at this location, compared with a nearby searcher,
    /// if no round trip has been measured.
    fn default_delay(&self, policy: &Delegate) -> Duration {
        match self {
            Self::Zone(_) => policy.zone,
            Self::Region(_) => policy.region,
        }
    }

    fn contains(&self, member: &DelegateMember) -> bool {
        match self {
            Self::Zone(zone) => member.zone == *zone,
            Self::Region(region) => member.region == *region,
        }
    }
}

impl Relay {
    /// Returns the additional wait for a member at a location, compared with a nearby searcher.
    pub(crate) fn expected_delay(&self, location: &RemoteLocation) -> Duration {
        let policy = &self.settings.policy.delegate;
        let round_trip = match location {
            RemoteLocation::Zone(zone) => self.monitor.round_trip(zone),
            RemoteLocation::Region(region) => {
                self.monitor.shortest_round_trip(|zone| self.zone_is_in(zone, region))
            }
        };
        round_trip.map_or(location.default_delay(policy), |round_trip| round_trip + policy.handling)
    }

    /// Returns the additional wait for a member of the farthest region, compared with a nearby
    /// searcher.
    pub(crate) fn max_member_delay(&self) -> Duration {
        let regions: BTreeSet<&Name> = self.settings.regions.values().collect();
        let locations =
            regions.into_iter().map(|region| RemoteLocation::Region(Name::clone(region)));
        let own = self.settings.regions.get(&self.settings.zone);
        let others = locations.filter(
            |location| !matches!(location, RemoteLocation::Region(region) if Some(region) == own),
        );
        others.map(|location| self.expected_delay(&location)).max().unwrap_or_default()
    }

    fn zone_is_in(&self, zone: &Name, region: &Name) -> bool {
        self.settings.regions.get(zone) == Some(region)
    }
}

/// The members available for delegation, with the response times observed for each.
#[derive(Debug)]
pub(crate) struct DelegateMembers {
    policy: Arc<Policy>,
    known: Vec<DelegateMember>,
    estimators: BTreeMap<Ipv4Addr, LatencyEstimator>,
    /// How late replies are. All members count together: a single one is queried too seldom.
    lateness: Lateness,
}

impl DelegateMembers {
    pub(crate) fn new(policy: Arc<Policy>) -> Self {
        Self {
            policy,
            known: Vec::new(),
            estimators: BTreeMap::new(),
            lateness: Lateness::default(),
        }
    }

    /// Replaces the set of available members.
    pub(crate) fn set(&mut self, known: Vec<DelegateMember>) {
        self.estimators.retain(|ip, _| known.iter().any(|member| member.ip == *ip));
        self.known = known;
    }

    /// Chooses the member at a location with the lowest expected delay. Returns `None` if there is
    /// no member that may process the request or none of them responds.
    pub(crate) fn choose(
        &self,
        location: &RemoteLocation,
        residency: &Residency,
        now: Instant,
    ) -> Option<Ipv4Addr> {
        let expected = |member: &DelegateMember| {
            let estimator = self.estimators.get(&member.ip);
            estimator.map_or(0.0, |estimator| estimator.expected(now, MEMBER_SLOTS, false))
        };
        let accepts = |member: &&DelegateMember| member.accepts(residency);
        let local = self.known.iter().filter(|member| location.contains(member)).filter(accepts);
        let delays = local.map(|member| (expected(member), member.ip));
        let (delay, ip) = delays.min_by(|a, b| a.0.total_cmp(&b.0))?;
        (delay < self.policy.delegate.silent).then_some(ip)
    }

    /// Records by how much a reply was late that had to be sent.
    pub(crate) fn record_lateness(&mut self, late: Duration) {
        self.lateness.record(late);
    }

    /// Returns how late a reply may be before it is overdue.
    pub(crate) fn allowance(&self) -> Duration {
        let policy = &self.policy.delegate;
        // A member whose reply takes longer is not queried either.
        let most = Duration::from_secs_f64(policy.silent / 1e3);
        self.lateness.allowance(policy.late).min(most)
    }

    /// Records that a query to a member has failed or is overdue.
    pub(crate) fn record_failure(&mut self, ip: Ipv4Addr) {
        self.estimator(ip).record_failure(Instant::now());
    }

    fn estimator(&mut self, ip: Ipv4Addr) -> &mut LatencyEstimator {
        let policy = &self.policy;
        let new_estimator = || {
            LatencyEstimator::new(
                policy.delegate.region,
                Arc::clone(policy),
                StallPeriod::default(),
            )
        };
        self.estimators.entry(ip).or_insert_with(new_estimator)
    }
}

/// An unanswered query; updates the statistics of its member on drop.
struct PendingQuery<'a> {
    relay: &'a Relay,
    ip: Ipv4Addr,
    sent: Instant,
    overdue_at: Instant,
    answered: bool,
}

impl Drop for PendingQuery<'_> {
    fn drop(&mut self) {
        let now = Instant::now();
        self.relay.with_delegates(|delegates| {
            let estimator = delegates.estimator(self.ip);
            if self.answered {
                estimator.record_answer(self.sent, now);
            } else {
                estimator.record_abandon(self.sent, now);
            }
        });
        if !self.answered && now >= self.overdue_at {
            // Only the missing reply shows that a connection is dead.
            (self.relay.helping().disconnect)(self.ip);
        }
    }
}

/// The number of records requested from a member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecordLimits {
    /// The number of records in the response to the caller.
    pub(crate) top_k: usize,
    /// The number of records of these shards that is likely to suffice.
    pub(crate) sufficient: usize,
}

/// Queries a member for some shards and waits for its reply until the deadline of the request.
pub(crate) async fn query_shards(
    relay: &Relay,
    job: &Job,
    ip: Ipv4Addr,
    query: ShardQuery,
    overdue_at: Instant,
    deadline: Instant,
) -> Result<ShardReply, CallError> {
    let sent = Instant::now();
    relay.with_delegates(|delegates| delegates.estimator(ip).record_send(sent));
    let mut pending = PendingQuery { relay, ip, sent, overdue_at, answered: false };
    let residency = job.constraints.residency.clone();
    let call = (relay.helping().gather)(ip, query, residency, deadline);
    let result = tokio::time::timeout_at(deadline.into(), call).await;
    let result =
        result.unwrap_or_else(|elapsed| Err(CallError::NoReply { cause: elapsed.to_string() }));
    pending.answered = result.is_ok();
    result
}

/// Creates the query for some shards; the member replies within a time.
pub(crate) fn build_query(
    job: &Job,
    shards: Vec<Name>,
    limits: RecordLimits,
    within: Duration,
    deadline: Instant,
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
        top_k: limits.top_k as u32,
        enough: limits.sufficient as u32,
        answer_within: within,
        deadline: deadline.saturating_duration_since(Instant::now()),
    }
}
