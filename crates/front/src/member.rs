//! What this member does for others, and how it asks them.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_base::Name;
use bergamot_feed::{ChunkQueryFn, FeedState, NewsQueryFn, QueryError, QueryFuture};
use bergamot_net::NetworkError;
use bergamot_quarantine::Fingerprint;
use bergamot_relay::{Helping, MemberFuture, Relay};
use bergamot_wire::{
    Channels, Item, Late, Member, MemberClient, News, NewsQuery, ShardQuery, ShardReply,
    run_requests, serve_requests, transport,
};
use tarpc::client::RpcError;
use tarpc::context::Context;
use tarpc::server::Channel;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// How long an answer may take beyond the time that the question waits for news: several
/// round trips between regions (16 ms), and late timers of a slow core.
const ANSWER: Duration = Duration::from_millis(250);

/// How long an answer with chunks may take beyond the time that it waits for them: 16 KB at a
/// tenth of a link of 14 Mbit/s, twice over, since others are sent theirs before.
const ANSWER_WITH_CHUNKS: Duration = Duration::from_millis(800);

/// The longest time that a question for news may wait.
const LONGEST_WAIT: Duration = Duration::from_secs(30);

/// The connections to other members.
pub(crate) type Links = Arc<Channels<MemberClient>>;

#[derive(Clone)]
struct Server {
    relay: Arc<Relay>,
    feed: Arc<FeedState>,
}

impl Member for Server {
    async fn gather(self, _context: Context, query: ShardQuery) -> ShardReply {
        self.relay.answer_shard_query(query).await
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
        let wait = query.wait.min(LONGEST_WAIT);
        self.feed.news(NewsQuery { wait, ..query }).await
    }

    async fn record(self, _context: Context, key: Name) -> Option<Item> {
        self.feed.item(&key)
    }

    async fn chunks(self, _context: Context, hashes: Vec<u64>, wait: Duration) -> Vec<Vec<u8>> {
        self.feed.chunks(&hashes, wait.min(LONGEST_WAIT)).await
    }
}

/// Answers other members until `stop`.
pub(crate) fn serve(
    listener: TcpListener,
    relay: Arc<Relay>,
    feed: Arc<FeedState>,
    stop: CancellationToken,
) -> impl Future<Output = ()> + Send {
    let server = Server { relay, feed };
    serve_requests(listener, stop, move |stream, open| {
        let requests = transport(stream).execute(Member::serve(server.clone()));
        tokio::spawn(run_requests(requests, open));
    })
}

/// Makes the functions that ask members for shards.
pub(crate) fn helping(links: &Links, port: u16) -> Helping {
    let (gathering, resting, fetching) = (Arc::clone(links), Arc::clone(links), Arc::clone(links));
    let granting = Arc::clone(links);
    Helping {
        gather: Box::new(move |ip, query, until| {
            call(&gathering, (ip, port), until, |client, context| async move {
                client.gather(context, query).await
            })
        }),
        rest: Box::new(move |ip, token, until| {
            call(&resting, (ip, port), until, move |client, context| async move {
                client.rest(context, token).await
            })
        }),
        records: Box::new(move |ip, token, until| {
            call(&fetching, (ip, port), until, move |client, context| async move {
                client.records(context, token).await
            })
        }),
        grant: Box::new(move |ip, fingerprint, until| {
            call(&granting, (ip, port), until, move |client, context| async move {
                client.grant(context, fingerprint).await
            })
        }),
    }
}

/// Asks a member, until a moment.
fn call<T, F>(
    links: &Links,
    peer: (Ipv4Addr, u16),
    until: Instant,
    ask: impl FnOnce(MemberClient, Context) -> F + Send + 'static,
) -> MemberFuture<T>
where
    T: Send + 'static,
    F: Future<Output = Result<T, RpcError>> + Send,
{
    let (links, peer) = (Arc::clone(links), SocketAddr::from(peer));
    Box::pin(async move {
        let exchange = async {
            let client = links.get(peer).await.map_err(|fault| fault.to_string())?;
            let mut context = tarpc::context::current();
            context.deadline = until;
            ask(client, context).await.map_err(|error| error.to_string())
        };
        within(&links, peer, until, exchange).await
    })
}

/// Makes the function that asks a member for news of the store.
pub(crate) fn asking(links: &Links, port: u16) -> NewsQueryFn {
    let links = Arc::clone(links);
    Box::new(move |ip, query: NewsQuery| {
        let until = Instant::now() + query.wait + ANSWER;
        question("ask for news", &links, (ip, port), until, move |client, context| async move {
            client.news(context, query).await
        })
    })
}

/// Makes the function that asks a member for the record of one key.
pub(crate) fn looking_up(
    links: &Links,
    port: u16,
) -> impl Fn(Ipv4Addr, Name) -> QueryFuture<Option<Item>> + Send + Sync + 'static {
    let links = Arc::clone(links);
    move |ip, key| {
        let until = Instant::now() + ANSWER;
        question("ask for a record", &links, (ip, port), until, |client, context| async move {
            client.record(context, key).await
        })
    }
}

/// Makes the function that asks a member for chunks of large values.
pub(crate) fn fetching(links: &Links, port: u16) -> ChunkQueryFn {
    let links = Arc::clone(links);
    Box::new(move |ip, hashes, wait| {
        let until = Instant::now() + wait + ANSWER_WITH_CHUNKS;
        question("ask for chunks", &links, (ip, port), until, move |client, context| async move {
            client.chunks(context, hashes, wait).await
        })
    })
}

/// Asks a member a question of the feed, until a moment.
fn question<T, F>(
    step: &'static str,
    links: &Links,
    peer: (Ipv4Addr, u16),
    until: Instant,
    ask: impl FnOnce(MemberClient, Context) -> F + Send + 'static,
) -> QueryFuture<T>
where
    T: Send + 'static,
    F: Future<Output = Result<T, RpcError>> + Send,
{
    let asked = call(links, peer, until, ask);
    let failed = move |cause| NetworkError::new(step, SocketAddr::from(peer), cause);
    Box::pin(
        async move { asked.await.map_err(|cause| QueryError::Failed { source: failed(cause) }) },
    )
}

/// Waits for an exchange until a moment. A connection that failed or went silent is not
/// used again, since nothing but the silence may show that it is dead.
async fn within<T>(
    links: &Links,
    peer: SocketAddr,
    until: Instant,
    exchange: impl Future<Output = Result<T, String>>,
) -> Result<T, String> {
    let elapsed = |elapsed: tokio::time::error::Elapsed| elapsed.to_string();
    let ended = tokio::time::timeout_at(until.into(), exchange).await;
    let ended = ended.map_err(elapsed).and_then(|ended| ended);
    if ended.is_err() {
        links.forget(peer).await;
    }
    ended
}
