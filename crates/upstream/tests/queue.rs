//! The queue for the slots of a searcher.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_base::{Deadline, Name};
use bergamot_query::{Reason, Shape};
use bergamot_upstream::protocol::Search;
use bergamot_upstream::{Client, Observer, Pool, PoolSettings, RequestContext, SearcherError};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

const MAX_QUEUED: usize = 2;

/// The deadline of a request that holds the slot, and that of one which shows whether it may wait.
const LONG: Duration = Duration::from_secs(20);
const SHORT: Duration = Duration::from_millis(300);

/// A client of a searcher that answers nothing, with one slot.
fn client(remote: SocketAddr) -> Arc<Client> {
    let pool = Pool::new(PoolSettings { remote, ..PoolSettings::default() }, Observer::default());
    Client::new(remote, pool, 1, MAX_QUEUED, Duration::from_millis(4))
}

async fn search(client: Arc<Client>, left: Duration) -> Result<(), SearcherError> {
    let deadline = Deadline::after(Instant::now(), left);
    let cancel = CancellationToken::new();
    let context = RequestContext { id: Name::from("r1"), deadline, cancel };
    let search = Search { shard: 0, epoch: 1, version: 1, query: Shape::Scan };
    client.search(&context, &search, || true).await.map(drop)
}

/// Guards against cancelled requests that keep their room in the queue, for which others are rejected
/// as if the searcher were busy: losers of a hedge are cancelled all the time.
#[tokio::test]
async fn cancelled_requests_leave_the_queue() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let client = client(listener.local_addr().expect("it is bound"));
    let running = tokio::spawn(search(Arc::clone(&client), LONG));
    while client.slots().load() == 0 {
        sleep(Duration::from_millis(1)).await;
    }
    for _ in 0..MAX_QUEUED {
        let waiting = search(Arc::clone(&client), LONG);
        timeout(Duration::from_millis(10), waiting).await.expect_err("the slot is in use");
    }
    let load = client.slots().load();
    let waited = search(Arc::clone(&client), SHORT).await.expect_err("the slot is in use");
    running.abort();
    assert_eq!((load, waited.reason), (1, Reason::Deadline), "{waited}");
}
