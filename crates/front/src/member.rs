//! RPCs between members: the server for other members' calls, and the calls to them.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_base::Name;
use bergamot_declaration::Residency;
use bergamot_feed::{ChunkQueryFn, FeedState, NewsQueryFn, QueryError, QueryFuture};
use bergamot_net::{Intake, NetworkError};
use bergamot_quarantine::Fingerprint;
use bergamot_registry::Incarnation;
use bergamot_relay::{CallError, Helping, MemberFuture, Relay};
use bergamot_wire::{
    Admission, AdmissionRequest, Channels, Coverage, Item, Late, Member, MemberClient, News,
    NewsQuery, ReportingReply, ShardQuery, ShardReply, run_requests, serve_requests, transport,
};
use tarpc::client::RpcError;
use tarpc::context::Context;
use tarpc::server::Channel;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// How long a response may take in addition to the time for which the query waits for updates.
///
/// Covers several round trips between regions (16 ms) and delayed timers on a slow core.
const RESPONSE_MARGIN: Duration = Duration::from_millis(250);

/// How long a response with chunks may take in addition to the time for which the query waits.
///
/// Twice the time that 16 KB take at a tenth of a link of 14 Mbit/s, since the responses to other
/// members may be sent first.
const CHUNK_RESPONSE_MARGIN: Duration = Duration::from_millis(800);

/// The limit on the time for which a query of another member may wait for updates or chunks.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// RPC connections to other members.
pub(crate) type MemberChannels = Arc<Channels<MemberClient>>;

/// Handles the RPCs of other members.
#[derive(Clone)]
struct Server {
    relay: Arc<Relay>,
    feed: Arc<FeedState>,
}

impl Member for Server {
    async fn gather(self, _context: Context, query: ShardQuery) -> ShardReply {
        self.relay.answer_shard_query(query, Residency::default()).await
    }

    async fn gather_within(
        self,
        _context: Context,
        query: ShardQuery,
        regions: Vec<Name>,
    ) -> ShardReply {
        self.relay.answer_shard_query(query, Residency::within(regions)).await
    }

    async fn gather_reporting(
        self,
        _context: Context,
        query: ShardQuery,
        regions: Vec<Name>,
    ) -> ReportingReply {
        self.relay.answer_reporting_query(query, Residency::within(regions)).await
    }

    async fn gather_parts(
        self,
        context: Context,
        query: ShardQuery,
        regions: Vec<Name>,
    ) -> ReportingReply {
        self.gather_reporting(context, query, regions).await
    }

    async fn permits(
        self,
        _context: Context,
        searchers: Vec<Incarnation>,
        needed: u32,
    ) -> Vec<bool> {
        self.relay.issue_permits(&searchers, needed as usize)
    }

    async fn admit(self, _context: Context, request: AdmissionRequest) -> Admission {
        self.relay.coordinator().admit(request)
    }

    async fn await_grant(self, _context: Context, grant: u64) -> Option<Admission> {
        self.relay.coordinator().await_grant(grant).await
    }

    async fn complete(self, _context: Context, grant: u64, covered: Option<Coverage>) {
        self.relay.coordinator().complete(grant, covered);
    }

    async fn rest(self, _context: Context, token: u64) -> Vec<Late> {
        self.relay.next_late_shards(token).await
    }

    async fn records(self, _context: Context, token: u64) -> Option<Vec<u8>> {
        self.relay.take_left_out_records(token)
    }

    async fn grant(self, _context: Context, fingerprint: Fingerprint) -> bool {
        self.relay.quarantine().grant_trial(Instant::now(), fingerprint)
    }

    async fn news(self, _context: Context, query: NewsQuery) -> News {
        let wait = query.wait.min(MAX_WAIT);
        self.feed.news(NewsQuery { wait, ..query }).await
    }

    async fn record(self, _context: Context, key: Name) -> Option<Item> {
        self.feed.item(&key)
    }

    async fn chunks(self, _context: Context, hashes: Vec<u64>, wait: Duration) -> Vec<Vec<u8>> {
        self.feed.chunks(&hashes, wait.min(MAX_WAIT)).await
    }
}

/// Serves the RPCs of other members until `stop`.
pub(crate) fn serve(
    listener: TcpListener,
    intake: Arc<Intake>,
    relay: Arc<Relay>,
    feed: Arc<FeedState>,
    stop: CancellationToken,
) -> impl Future<Output = ()> + Send {
    let server = Server { relay, feed };
    serve_requests(listener, intake, stop, move |stream, connection| {
        let requests = transport(stream, &connection).execute(Member::serve(server.clone()));
        tokio::spawn(run_requests(requests, connection));
    })
}

/// Returns the relay's calls to other members.
pub(crate) fn relay_calls(channels: &MemberChannels, port: u16) -> Helping {
    let (for_gather, for_rest) = (Arc::clone(channels), Arc::clone(channels));
    let (for_records, for_grant) = (Arc::clone(channels), Arc::clone(channels));
    let (for_permits, for_disconnect) = (Arc::clone(channels), Arc::clone(channels));
    let (for_admit, for_await) = (Arc::clone(channels), Arc::clone(channels));
    let for_complete = Arc::clone(channels);
    Helping {
        gather: Box::new(move |ip, query, residency, deadline| {
            call(&for_gather, (ip, port), deadline, |client, context| async move {
                client.gather_parts(context, query, residency.regions().to_vec()).await
            })
        }),
        rest: Box::new(move |ip, token, deadline| {
            call(&for_rest, (ip, port), deadline, move |client, context| async move {
                client.rest(context, token).await
            })
        }),
        records: Box::new(move |ip, token, deadline| {
            call(&for_records, (ip, port), deadline, move |client, context| async move {
                client.records(context, token).await
            })
        }),
        permits: Box::new(move |ip, searchers, needed, deadline| {
            call(&for_permits, (ip, port), deadline, move |client, context| async move {
                client.permits(context, searchers, needed).await
            })
        }),
        disconnect: Box::new(move |ip| {
            let channels = Arc::clone(&for_disconnect);
            tokio::spawn(async move { channels.forget(SocketAddr::from((ip, port))).await });
        }),
        admit: Box::new(move |ip, request, deadline| {
            call(&for_admit, (ip, port), deadline, move |client, context| async move {
                client.admit(context, request).await
            })
        }),
        await_grant: Box::new(move |ip, grant, deadline| {
            call(&for_await, (ip, port), deadline, move |client, context| async move {
                client.await_grant(context, grant).await
            })
        }),
        complete: Box::new(move |ip, grant, covered, deadline| {
            call(&for_complete, (ip, port), deadline, move |client, context| async move {
                client.complete(context, grant, covered).await
            })
        }),
        grant: Box::new(move |ip, fingerprint, deadline| {
            call(&for_grant, (ip, port), deadline, move |client, context| async move {
                client.grant(context, fingerprint).await
            })
        }),
    }
}

/// Calls a member, with a deadline.
fn call<T, F>(
    channels: &MemberChannels,
    peer: (Ipv4Addr, u16),
    deadline: Instant,
    send: impl FnOnce(MemberClient, Context) -> F + Send + 'static,
) -> MemberFuture<T>
where
    T: Send + 'static,
    F: Future<Output = Result<T, RpcError>> + Send,
{
    let (channels, peer) = (Arc::clone(channels), SocketAddr::from(peer));
    Box::pin(async move {
        let result = exchange(&channels, peer, deadline, send).await;
        if result.is_err() {
            // A timeout may be the only sign that a connection is dead.
            channels.forget(peer).await;
        }
        result
    })
}

/// Sends a call on the connection to a member, which is opened if there is none, and waits for the
/// response until a deadline.
async fn exchange<T, F>(
    channels: &MemberChannels,
    peer: SocketAddr,
    deadline: Instant,
    send: impl FnOnce(MemberClient, Context) -> F,
) -> Result<T, CallError>
where
    F: Future<Output = Result<T, RpcError>>,
{
    let not_sent = |cause: String| CallError::NotSent { cause };
    let no_reply = |cause: String| CallError::NoReply { cause };
    let client = tokio::time::timeout_at(deadline.into(), channels.get(peer))
        .await
        .map_err(|elapsed| not_sent(elapsed.to_string()))?
        .map_err(|error| not_sent(error.to_string()))?;
    let mut context = tarpc::context::current();
    context.deadline = deadline;
    tokio::time::timeout_at(deadline.into(), send(client, context))
        .await
        .map_err(|elapsed| no_reply(elapsed.to_string()))?
        .map_err(|error| no_reply(error.to_string()))
}

/// Returns the function that queries a member for updates of the store.
pub(crate) fn news_query(channels: &MemberChannels, port: u16) -> NewsQueryFn {
    let channels = Arc::clone(channels);
    Box::new(move |ip, query: NewsQuery| {
        let deadline = Instant::now() + query.wait + RESPONSE_MARGIN;
        query_member(
            "query updates",
            &channels,
            (ip, port),
            deadline,
            move |client, context| async move { client.news(context, query).await },
        )
    })
}

/// Returns the function that queries a member for the record of one key.
pub(crate) fn record_query(
    channels: &MemberChannels,
    port: u16,
) -> impl Fn(Ipv4Addr, Name) -> QueryFuture<Option<Item>> + Send + Sync + 'static {
    let channels = Arc::clone(channels);
    move |ip, key| {
        let deadline = Instant::now() + RESPONSE_MARGIN;
        query_member(
            "fetch record",
            &channels,
            (ip, port),
            deadline,
            |client, context| async move { client.record(context, key).await },
        )
    }
}

/// Returns the function that queries a member for chunks of large values.
pub(crate) fn chunk_query(channels: &MemberChannels, port: u16) -> ChunkQueryFn {
    let channels = Arc::clone(channels);
    Box::new(move |ip, hashes, wait| {
        let deadline = Instant::now() + wait + CHUNK_RESPONSE_MARGIN;
        query_member(
            "fetch chunks",
            &channels,
            (ip, port),
            deadline,
            move |client, context| async move { client.chunks(context, hashes, wait).await },
        )
    })
}

/// Sends a query of the feed to a member, with a deadline.
fn query_member<T, F>(
    step: &'static str,
    channels: &MemberChannels,
    peer: (Ipv4Addr, u16),
    deadline: Instant,
    send: impl FnOnce(MemberClient, Context) -> F + Send + 'static,
) -> QueryFuture<T>
where
    T: Send + 'static,
    F: Future<Output = Result<T, RpcError>> + Send,
{
    let response = call(channels, peer, deadline, send);
    let fault = move |error: CallError| NetworkError::new(step, SocketAddr::from(peer), error);
    Box::pin(
        async move { response.await.map_err(|error| QueryError::Failed { source: fault(error) }) },
    )
}
