//! Shards whose searchers are in another region, asked through a member there.
//!
//! The member beside the searchers asks each of them once, merges, and sends one answer
//! over the slow link in place of one for each shard. What it could not get in time, the
//! sender asks of other searchers itself, as it would hedge its own attempts. Invariant:
//! the member makes no attempt beyond the first at a shard, so additional attempts are
//! decided in one place.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bergamot_base::Name;
use bergamot_declaration::Kind;
use bergamot_dispatch::{Outlook, greatest};
use bergamot_wire::{Shard, ShardQuery, ShardReply};
use bytes::Bytes;
use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Uri};
use tokio::time::sleep_until;

use crate::message::{Job, Request};
use crate::race::{Lost, Plan, Race};
use crate::relay::Relay;

/// The least number of shards for which one question to a member is worth its way.
pub(crate) const FEWEST: usize = 2;

/// How long a question and its answer travel between regions: 8 ms each way, and the
/// time that both members take to read and write them.
const ROUND_TRIP: Duration = Duration::from_millis(18);

/// How long after its moment a member's answer is still awaited.
const LATE: Duration = Duration::from_millis(6);

/// The least time that a member is given, which covers the work of a searcher.
const LEAST: Duration = Duration::from_millis(8);

/// How many requests a member is taken to work on at once, for the choice among members.
const MEMBER_SLOTS: usize = 8;

/// Sends a question to a member.
pub type Send = Box<
    dyn Fn(Ipv4Addr, ShardQuery, Instant) -> BoxFuture<'static, Result<ShardReply, String>>
        + std::marker::Send
        + Sync,
>;

/// Another member that may be asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Helper {
    /// Where it is reached.
    pub ip: Ipv4Addr,
    /// Its region.
    pub region: Name,
}

/// The members that may be asked, and what was seen of each.
#[derive(Debug, Default)]
pub(crate) struct Helpers {
    known: Vec<Helper>,
    outlooks: BTreeMap<Ipv4Addr, Outlook>,
}

impl Helpers {
    /// Takes in who may be asked now.
    pub(crate) fn set(&mut self, known: Vec<Helper>) {
        self.outlooks.retain(|ip, _| known.iter().any(|helper| helper.ip == *ip));
        self.known = known;
    }

    /// Chooses a member in a region, unless all of them are silent.
    pub(crate) fn choose(&self, region: &str, now: Instant) -> Option<Ipv4Addr> {
        /// Above this time, in milliseconds, asking the searchers oneself is faster.
        const SILENT: f64 = 120.0;
        let expected = |helper: &Helper| {
            let outlook = self.outlooks.get(&helper.ip);
            outlook.map_or(0.0, |outlook| outlook.expected(now, MEMBER_SLOTS, false))
        };
        let beside = self.known.iter().filter(|helper| &*helper.region == region);
        let timed = beside.map(|helper| (expected(helper), helper.ip));
        let best = timed.min_by(|a, b| a.0.total_cmp(&b.0))?;
        (best.0 < SILENT).then_some(best.1)
    }

    fn outlook(&mut self, ip: Ipv4Addr) -> &mut Outlook {
        self.outlooks.entry(ip).or_insert_with(|| Outlook::new(ROUND_TRIP))
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
                outlook.answer(self.sent, now);
            } else {
                outlook.abandon(self.sent, now);
                outlook.fail(now);
            }
        });
    }
}

/// Asks a member for some shards. Without an answer in time there is none at all.
pub(crate) async fn ask(
    relay: &Relay,
    job: &Job,
    ip: Ipv4Addr,
    shards: Vec<Name>,
    top_k: usize,
    plan: &Plan,
) -> Option<ShardReply> {
    let sent = Instant::now();
    let query = query(job, shards, top_k, plan.delegate.saturating_duration_since(sent), plan);
    relay.with_helpers(|helpers| helpers.outlook(ip).send(sent));
    let mut pending = Pending { relay, ip, sent, answered: false };
    let until = plan.delegate + LATE;
    let answer = tokio::time::timeout_at(until.into(), relay.send(ip, query, until)).await;
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

fn query(job: &Job, shards: Vec<Name>, top_k: usize, left: Duration, plan: &Plan) -> ShardQuery {
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
        top_k: top_k as u32,
        answer_within: left.saturating_sub(ROUND_TRIP).max(LEAST),
        deadline: plan.end.saturating_duration_since(Instant::now()),
    }
}

/// Answers the question of another member.
pub(crate) async fn answer(relay: &Arc<Relay>, query: ShardQuery) -> ShardReply {
    let received = Instant::now();
    let count = query.shards.len();
    let mut shards = vec![Shard::Missing(Vec::new()); count];
    let top_k = query.top_k as usize;
    let (until, end) = (received + query.answer_within, received + query.deadline);
    let names = query.shards.clone();
    let Some(request) = read(query, received) else {
        log::error!("relay: event=query_refused cause=\"the request of a member can't be read\"");
        return ShardReply { shards, records: Vec::new() };
    };
    let (kind, answered) = (Kind::Idempotent, AtomicBool::new(false));
    let job = Arc::new(Job { request, kind, attempts: 1, answered });
    let plan = Plan { offer: until, hedge: None, delegate: until, end, tried: Vec::new() };
    let job = &job;
    let run = |index: usize, name| {
        let race = Race::new(relay, job, name, plan.clone());
        async move { (index, race.run().await) }
    };
    let mut races: FuturesUnordered<_> =
        names.iter().enumerate().map(|(index, name)| run(index, name)).collect();
    let mut parts = Vec::<Bytes>::new();
    loop {
        let ended = tokio::select! {
            ended = races.next() => ended,
            () = sleep_until(until.into()) => None,
        };
        let Some((index, ended)) = ended else { break };
        shards[index] = match ended {
            Ok(passed) => {
                parts.push(passed.body);
                let signature = passed.signature.as_ref().map(HeaderValue::as_bytes);
                Shard::In(signature.unwrap_or_default().to_vec())
            }
            Err(Lost { tried, .. }) => Shard::Missing(tried),
        };
    }
    job.answered.store(true, Ordering::Relaxed);
    ShardReply { shards, records: greatest(&parts, top_k) }
}

fn read(query: ShardQuery, received: Instant) -> Option<Request> {
    let mut headers = HeaderMap::with_capacity(query.headers.len());
    for (name, value) in query.headers {
        let name = HeaderName::try_from(name).ok()?;
        headers.append(name, HeaderValue::from_bytes(&value).ok()?);
    }
    Some(Request {
        id: HeaderValue::from_bytes(&query.id).ok()?,
        host: Name::from(""),
        method: Method::try_from(&*query.method).ok()?,
        uri: Uri::try_from(query.uri).ok()?,
        headers,
        body: Bytes::from(query.body),
        deadline: Some(query.deadline),
        received,
    })
}
