//! Connections of a pool to a searcher that is slow to accept them.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_base::Deadline;
use bergamot_upstream::{Observer, Pool, PoolSettings, Reuse};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

/// A searcher that accepts nothing yet, and the connections that fill its queue.
async fn busy_listener() -> (tokio::net::TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind((Ipv4Addr::LOCALHOST, 0).into()).expect("a free port");
    let listener = socket.listen(1).expect("it listens");
    let address = listener.local_addr().expect("it is bound");
    let mut queued = Vec::new();
    while let Ok(Ok(stream)) =
        timeout(Duration::from_millis(200), TcpStream::connect(address)).await
    {
        queued.push(stream);
    }
    (listener, queued)
}

fn pool(remote: SocketAddr) -> Arc<Pool> {
    let settings =
        PoolSettings { remote, dial_timeout: Duration::from_secs(20), ..PoolSettings::default() };
    Pool::new(settings, Observer::default())
}

/// After a start, no request has as much time as it takes to connect to a searcher to which many
/// members connect at once. If each request gave up its connection, none would ever be opened.
#[tokio::test]
async fn a_connection_is_opened_although_its_request_stopped_waiting() {
    let (listener, _queued) = busy_listener().await;
    let pool = pool(listener.local_addr().expect("it is bound"));
    let deadline = Deadline::after(Instant::now(), Duration::from_millis(50));
    pool.lease(deadline, Reuse::Usual).await.expect_err("there is no connection");
    assert_eq!(pool.usage().open, 1);
    let accepting = tokio::spawn(async move {
        let mut accepted = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            accepted.push(stream);
        }
    });
    let idle = async {
        while pool.usage().idle == 0 {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(Duration::from_secs(20), idle).await.expect("the connection is not opened");
    assert_eq!((pool.usage().open, pool.usage().dials), (1, 1));
    accepting.abort();
}

/// The request that opened the connection learns at once that there is nobody.
#[tokio::test]
async fn a_refused_connection_fails_the_request_that_began_it() {
    let (listener, _queued) = busy_listener().await;
    let address = listener.local_addr().expect("it is bound");
    drop(listener);
    let pool = pool(address);
    let start = Instant::now();
    let deadline = Deadline::after(start, Duration::from_secs(20));
    pool.lease(deadline, Reuse::Usual).await.expect_err("there is no connection");
    assert!(start.elapsed() < Duration::from_secs(10), "{:?}", start.elapsed());
    assert_eq!((pool.usage().open, pool.usage().refused), (0, 1));
}
