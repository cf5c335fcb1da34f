//! The members to which shards can be delegated, and what was observed of each.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_base::Name;
use bergamot_declaration::Residency;
use bergamot_dispatch::{LatencyEstimator, StallPeriod};
use bergamot_policy::Policy;
use bergamot_scatter::Lateness;
use bergamot_wire::Capability;

use crate::location::Location;

/// The number of requests that a member is assumed to process concurrently, used to choose among
/// members.
const MEMBER_SLOTS: usize = 8;

/// Another member to which shards can be delegated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DelegateMember {
    /// The address of the member.
    pub ip: Ipv4Addr,
    /// The availability zone of the member.
    pub zone: Name,
    /// The region of the member.
    pub region: Name,
    /// The processor time available to it, in thousandths of a core.
    pub weight: u32,
    /// The version of the RPCs that it serves.
    pub protocol: u32,
}

impl DelegateMember {
    /// Returns whether the member may make attempts for a request on these terms, and its replies
    /// hold parts.
    fn accepts(&self, residency: &Residency) -> bool {
        Capability::Parts.is_given_by(self.protocol)
            && (!residency.is_bounded() || residency.permits(Some(&self.region)))
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
        let earlier = |known: &[DelegateMember]| {
            known.iter().filter(|member| !Capability::Parts.is_given_by(member.protocol)).count()
        };
        let (members, count) = (known.len(), earlier(&known));
        if count != earlier(&self.known) {
            log::info!("relay: event=members_of_earlier_version count={count} members={members}");
        }
        self.estimators.retain(|ip, _| known.iter().any(|member| member.ip == *ip));
        self.known = known;
    }

    /// Returns the members at a location that may process the request and respond, the one with the
    /// lowest expected delay first. `unmeasured` is the delay of a member that was never queried;
    /// `draw` returns random numbers from 0 to 1, so that senders which have queried nobody yet do
    /// not all choose the same member.
    pub(crate) fn rank(
        &self,
        location: &Location,
        residency: &Residency,
        unmeasured: Duration,
        mut draw: impl FnMut() -> f64,
    ) -> Vec<&DelegateMember> {
        let now = Instant::now();
        let unmeasured = unmeasured.as_secs_f64() * 1e3;
        let spread = if self.policy.spread.on { self.policy.spread.part } else { 0.0 };
        let expected = |member: &DelegateMember| {
            let estimator = self.estimators.get(&member.ip);
            estimator.map_or(unmeasured, |known| known.expected(now, MEMBER_SLOTS, false))
        };
        let local = self.known.iter().filter(|member| location.contains(member));
        let accepting = local.filter(|member| member.accepts(residency));
        let delays = accepting.map(|member| (expected(member), member));
        let responding = delays.filter(|(delay, _)| *delay < self.policy.delegate.silent);
        let mut ranked: Vec<_> =
            responding.map(|(delay, member)| (delay * (1.0 + spread * draw()), member)).collect();
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
        ranked.into_iter().map(|(_, member)| member).collect()
    }

    /// Returns the members of a region that can coordinate pools of searchers.
    pub(crate) fn coordinators(&self, region: &Name) -> Vec<Ipv4Addr> {
        let can_coordinate = |member: &&DelegateMember| {
            member.region == *region && Capability::Admission.is_given_by(member.protocol)
        };
        self.known.iter().filter(can_coordinate).map(|member| member.ip).collect()
    }

    /// Returns the number of regions with a serving member, one of which is `own`.
    pub(crate) fn count_regions(&self, own: &Name) -> usize {
        let regions = self.known.iter().map(|member| &member.region);
        regions.chain([own]).collect::<BTreeSet<_>>().len()
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

    /// Returns the response times observed of a member.
    pub(crate) fn estimator(&mut self, ip: Ipv4Addr) -> &mut LatencyEstimator {
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
