//! Searchers of the own interface that answer with any status of failure.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bergamot_base::{Deadline, Name, Seed};
use bergamot_query::{Reason, Shape};
use bergamot_standin::{Corpus, Faults, Limits, Searcher, SearcherSettings, StatusFault};
use bergamot_upstream::protocol::{Search, SearchReply, Write};
use bergamot_upstream::{
    Client, Observer, Pool, PoolSettings, RequestContext, SearcherError, WriteResult,
};
use tokio_util::sync::CancellationToken;

/// The version that searchers hold.
const VERSION: u64 = 1;

/// The statuses of a failure.
fn statuses() -> impl Iterator<Item = u16> {
    std::iter::once(206).chain(300..=599)
}

fn failing(status: u16, not_run: bool) -> Faults {
    let status = Some(StatusFault { share: 1.0, status, not_run });
    Faults { status, ..Faults::default() }
}

async fn searcher(service_time: Duration) -> Searcher {
    let settings = SearcherSettings {
        address: ([127, 0, 0, 1], 0).into(),
        zone: "zone".into(),
        limits: Limits { slots: 2, connect_cost: Duration::ZERO, service_time, connections: 64 },
        corpus: Corpus { position: 0, shards: 1, epoch: 1, documents: 3 },
        versions: vec![VERSION],
        seed: Seed(1),
        topology: Arc::default(),
    };
    Searcher::start(settings).await.expect("a free port")
}

fn client(searcher: &Searcher, slots: usize) -> Arc<Client> {
    let remote = searcher.address();
    let pool = Pool::new(PoolSettings { remote, ..PoolSettings::default() }, Observer::default());
    Client::new(remote, pool, slots, 8, Duration::from_millis(4))
}

fn context(left: Duration) -> RequestContext {
    static SENT: AtomicU64 = AtomicU64::new(0);
    let id = Name::from(format!("r{}", SENT.fetch_add(1, Ordering::Relaxed)));
    let deadline = Deadline::after(Instant::now(), left);
    RequestContext { id, deadline, cancel: CancellationToken::new() }
}

async fn search(
    client: &Arc<Client>,
    version: u64,
    left: u64,
) -> Result<SearchReply, SearcherError> {
    let search = Search { shard: 0, epoch: 1, version, query: Shape::Scan };
    client.search(&context(Duration::from_millis(left)), &search, || true).await
}

async fn write(client: &Arc<Client>) -> WriteResult {
    let call = context(Duration::from_secs(1));
    let write = Write { record: "record".into(), body: "body".into() };
    client.write(&call, &call.id, &write, || true).await
}

/// Guards against a failure that is taken for hits, for a receipt, or for a write that didn't run.
#[tokio::test]
async fn no_status_makes_hits_or_a_receipt_of_a_failure() {
    let searcher = searcher(Duration::from_millis(1)).await;
    let client = client(&searcher, 2);
    let mut wrong = Vec::new();
    for (status, not_run) in statuses().flat_map(|status| [(status, false), (status, true)]) {
        searcher.set_faults(failing(status, not_run));
        let expected = match status {
            409 => Reason::VersionGone,
            410 => Reason::Leaving,
            503 => Reason::Busy,
            504 => Reason::Deadline,
            _ => Reason::BadReply,
        };
        let found = search(&client, VERSION, 1000).await.map_err(|error| error.reason);
        if found != Err(expected) {
            wrong.push(format!("search: {status} {not_run}: {found:?}"));
        }
        let before = searcher.effects().len();
        let (effect, ran) = (write(&client).await, searcher.effects().len() > before);
        if !matches!(
            (&effect, ran),
            (WriteResult::NotRun(_), false) | (WriteResult::Unknown(_), true)
        ) {
            wrong.push(format!("write: {status} {not_run}: ran {ran}, {effect:?}"));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}
