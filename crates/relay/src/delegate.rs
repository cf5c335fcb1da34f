//! Delegation of shards with remote searchers to a member near them.
//!
//! A searcher is remote if it is in another region or in another availability zone of the same
//! region; traffic between either is billed. The member near the searchers asks each shard once,
//! merges the results and returns a single reply instead of one for each shard. Shards missing from
//! that reply are asked by the sender from other searchers, like hedged attempts, and the first
//! response is used. Invariant: the member makes only the first attempt for a shard, so that
//! additional attempts are decided in one place.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use bergamot_base::Name;
use bergamot_declaration::Residency;
use bergamot_quarantine::Fingerprint;
use bergamot_registry::Incarnation;
use bergamot_wire::{
    Admission, AdmissionRequest, Coverage, Late, ReportingReply, ShardOutcome, ShardQuery,
    ShardReply,
};
use futures::future::BoxFuture;
use snafu::Snafu;

use crate::message::Job;
use crate::relay::Relay;

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
pub type GatherCall = Box<
    dyn Fn(Ipv4Addr, ShardQuery, Residency, Instant) -> MemberFuture<ReportingReply> + Send + Sync,
>;

/// Requests permits for cold searchers from a member, with a deadline.
pub type PermitCall =
    Box<dyn Fn(Ipv4Addr, Vec<Incarnation>, u32, Instant) -> MemberFuture<Vec<bool>> + Send + Sync>;

/// Asks a member for admission to a pool that it coordinates, with a deadline.
pub type AdmitCall =
    Box<dyn Fn(Ipv4Addr, AdmissionRequest, Instant) -> MemberFuture<Admission> + Send + Sync>;

/// Ends a grant of a member, with how the required coverage was reached, if it was, and a deadline.
pub type CompleteCall =
    Box<dyn Fn(Ipv4Addr, u64, Option<Coverage>, Instant) -> MemberFuture<()> + Send + Sync>;

/// Calls to other members.
pub struct Helping {
    /// Queries a member that guarantees [`Capability::Parts`](bergamot_wire::Capability::Parts) for
    /// shards.
    pub gather: GatherCall,
    /// Fetches shards that arrived at a member after its reply, with a deadline.
    pub rest: TokenCall<Vec<Late>>,
    /// Fetches the records that a member left out of its reply, with a deadline.
    pub records: TokenCall<Option<Vec<u8>>>,
    /// Asks a member for permits for cold searchers, of which a number is needed, with a deadline.
    pub permits: PermitCall,
    /// Asks a coordinator for admission to a pool.
    pub admit: AdmitCall,
    /// Waits for a coordinator's decision on a queued request, with a deadline; `None` if the
    /// coordinator doesn't know the grant.
    pub await_grant: TokenCall<Option<Admission>>,
    /// Ends a grant of a coordinator.
    pub complete: CompleteCall,
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

/// An unanswered query; updates the statistics of its member on drop.
struct PendingQuery<'a> {
    relay: &'a Relay,
    ip: Ipv4Addr,
    sent: Instant,
    overdue_at: Instant,
    end: QueryEnd,
}

/// How a query ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum QueryEnd {
    /// Without a reply.
    Silent,
    /// With a reply in which no shard has arrived; it may have cost no work, so its latency says nothing.
    Empty,
    /// With a reply in which a shard has arrived.
    Answered,
}

impl Drop for PendingQuery<'_> {
    fn drop(&mut self) {
        let now = Instant::now();
        self.relay.with_delegates(|delegates| {
            let estimator = delegates.estimator(self.ip);
            match self.end {
                QueryEnd::Silent => estimator.record_abandon(self.sent, now),
                QueryEnd::Empty => estimator.record_end(self.sent),
                QueryEnd::Answered => estimator.record_answer(self.sent, now),
            }
        });
        if self.end == QueryEnd::Silent && now >= self.overdue_at {
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
    let mut pending = PendingQuery { relay, ip, sent, overdue_at, end: QueryEnd::Silent };
    let call = call_member(relay, job, ip, query, deadline);
    let result = tokio::time::timeout_at(deadline.into(), call).await;
    let result =
        result.unwrap_or_else(|elapsed| Err(CallError::NoReply { cause: elapsed.to_string() }));
    if let Ok(reply) = &result {
        let has_arrived = reply.shards.iter().any(|shard| matches!(shard, ShardOutcome::In(_)));
        pending.end = if has_arrived { QueryEnd::Answered } else { QueryEnd::Empty };
    }
    result
}

/// Calls a member for some shards and applies what its reply reports.
async fn call_member(
    relay: &Relay,
    job: &Job,
    ip: Ipv4Addr,
    query: ShardQuery,
    deadline: Instant,
) -> Result<ShardReply, CallError> {
    let residency = job.constraints.residency.clone();
    let shards = query.shards.clone();
    let call = (relay.helping().gather)(ip, query, residency, deadline);
    let ReportingReply { reply, delays, busy } = call.await?;
    if relay.settings.policy.report.on {
        job.record_busy(busy as usize);
        relay.apply_reported_delays(&shards, &delays);
    }
    Ok(reply)
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
