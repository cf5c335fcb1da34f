//! The places of a pool, counted against the sockets that its searcher has open.

use std::future::poll_fn;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::Poll;
use std::time::{Duration, Instant};

use bergamot_base::Deadline;
use bergamot_upstream::{Lease, Observer, Pool, PoolSettings, Reuse, Usage, protocol};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

const TURNS: u32 = 100_000;
const SEED: u64 = 1;

/// The largest share of the pool.
const MAX_SHARE: usize = 4;

/// How often a future is polled at most before it is dropped: about twice as often as it takes to
/// open a connection.
const MAX_POLLS: u32 = 12;

/// How many leases are held across turns at most.
const MAX_HELD: usize = 2;

/// How long it may take until the closed sockets are seen.
const REST: Duration = Duration::from_secs(5);

/// A number of things that exist.
#[derive(Clone, Default)]
struct Gauge(Arc<AtomicUsize>);

impl Gauge {
    fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    fn subtract(&self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }

    fn value(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Accepts connections, answers requests and counts the open sockets.
async fn serve(listener: TcpListener, sockets: Gauge) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let sockets = sockets.clone();
        sockets.add();
        // Sockets that wait for late segments would use up the ports.
        stream.set_zero_linger().expect("an open socket");
        tokio::spawn(async move {
            while answer(&mut stream).await.is_some() {}
            sockets.subtract();
        });
    }
}

/// Answers one request; returns nothing once the connection has ended.
async fn answer(stream: &mut TcpStream) -> Option<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_buf(&mut head).await.ok().filter(|count| *count > 0)?;
    }
    let head = String::from_utf8(head).ok()?;
    let (_, id) = head.split_once(protocol::REQUEST)?.1.split_once(' ')?;
    let (id, header) = (id.lines().next()?, protocol::REQUEST);
    let answer = format!("HTTP/1.1 200 OK\r\n{header}: {id}\r\ncontent-length: 2\r\n\r\nok");
    stream.write_all(answer.as_bytes()).await.ok()
}

/// Polls a future some times and drops it then; returns its result if it has ended.
async fn cancel_after<T>(polls: u32, future: impl Future<Output = T>) -> Option<T> {
    let mut future = pin!(future);
    for _ in 0..polls {
        let polled = poll_fn(|cx| Poll::Ready(future.as_mut().poll(cx))).await;
        if let Poll::Ready(result) = polled {
            return Some(result);
        }
        yield_now().await;
    }
    None
}

async fn exchange(pool: &Pool, lease: &mut Lease, number: u32) -> Option<()> {
    let request = Request::get("/").header(protocol::REQUEST, number.to_string());
    let request = request.body(Full::<Bytes>::default()).expect("a valid request");
    let response = lease.send(request).await.ok()?;
    pool.read_body(response.into_body()).await.ok().map(drop)
}

/// Uses a pool once, and stops at a random point.
async fn turn(pool: &Arc<Pool>, held: &mut Vec<Lease>, rng: &mut StdRng, number: u32) {
    let mut polls = || rng.random_range(0..=MAX_POLLS);
    let (first, second, third) = (polls(), polls(), polls());
    match rng.random_range(0..12) {
        0 => drop(cancel_after(first, pool.warm()).await),
        1 => drop(cancel_after(first, pool.searcher_exited()).await),
        2 => pool.resize(rng.random_range(1..=MAX_SHARE)),
        3 if !held.is_empty() => held.swap_remove(0).release_soon(),
        _ => {}
    }
    let deadline = Deadline::after(Instant::now(), REST);
    let reuse = if rng.random_ratio(1, 2) { Reuse::Never } else { Reuse::Usual };
    let Some(Ok(mut lease)) = cancel_after(first, pool.lease(deadline, reuse)).await else {
        return;
    };
    let answered = match rng.random_range(0..4) {
        0 => return drop(lease),
        1 if held.len() < MAX_HELD => return held.push(lease),
        _ => cancel_after(second, exchange(pool, &mut lease, number)).await,
    };
    match (answered.flatten(), rng.random_ratio(1, 2)) {
        (Some(()), true) => lease.release_soon(),
        (Some(()), false) => drop(cancel_after(third, lease.release()).await),
        (None, _) => {}
    }
}

/// Guards against a place that is never given back, since a searcher is reached by one connection
/// fewer for each: a connection that was ready just as its request ended kept its place.
#[tokio::test]
async fn places_equal_sockets_after_requests_that_end_at_any_point() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let remote = listener.local_addr().expect("it is bound");
    let (sockets, observed) = (Gauge::default(), Gauge::default());
    let server = tokio::spawn(serve(listener, sockets.clone()));
    let (opened, closed) = (observed.clone(), observed.clone());
    let observer = Observer {
        opened: Box::new(move || opened.add()),
        closed: Box::new(move |_| closed.subtract()),
        ..Observer::default()
    };
    let settings = PoolSettings { remote, share: MAX_SHARE, ..PoolSettings::default() };
    let pool = Pool::new(settings, observer);
    let (mut held, mut rng) = (Vec::new(), StdRng::seed_from_u64(SEED));
    for number in 0..TURNS {
        turn(&pool, &mut held, &mut rng, number).await;
    }
    pool.resize(MAX_SHARE);
    let count = || (pool.usage().open, pool.usage().idle + held.len(), observed.value());
    let is_equal = || count() == (sockets.value(), sockets.value(), sockets.value());
    let rest = async {
        while !is_equal() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    let _elapsed = timeout(REST, rest).await;
    println!("{:?}, {} sockets", pool.usage(), sockets.value());
    assert!(
        is_equal(),
        "open, idle or leased, observed {:?}: {} sockets",
        count(),
        sockets.value()
    );
    assert!(pool.usage().dials > u64::from(TURNS / 10), "{:?}", pool.usage());
    drop((held, pool));
    assert_eq!(observed.value(), 0, "places outlived their pool");
    server.abort();
}

/// Guards against the loss of a new connection that is ready just as its request ends: the searcher
/// has spent its time on it, and the next request would have to begin anew.
#[tokio::test]
async fn a_connection_that_is_ready_as_its_request_ends_is_kept() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let remote = listener.local_addr().expect("it is bound");
    let pool = Pool::new(PoolSettings { remote, ..PoolSettings::default() }, Observer::default());
    let deadline = Deadline::after(Instant::now(), REST);
    {
        let mut lease = pin!(pool.lease(deadline, Reuse::Usual));
        let polled = poll_fn(|cx| Poll::Ready(lease.as_mut().poll(cx).is_ready())).await;
        assert!(!polled, "a connection is opened within one poll");
        sleep(Duration::from_millis(200)).await;
    }
    let Usage { open, idle, dials, .. } = pool.usage();
    assert_eq!((open, idle, dials), (1, 1, 1));
}

/// Guards against places of connections that their searcher has closed while they were idle: they stayed
/// taken until the connection was tried, which the ones below the last used one never are.
#[tokio::test]
async fn places_of_idle_connections_that_the_searcher_closes_are_given_back() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let remote = listener.local_addr().expect("it is bound");
    let settings = PoolSettings { remote, share: MAX_SHARE, ..PoolSettings::default() };
    let pool = Pool::new(settings, Observer::default());
    let mut sockets = Vec::new();
    for _ in 0..MAX_SHARE {
        assert!(pool.warm().await.expect("the searcher accepts"));
        sockets.push(listener.accept().await.expect("a connection"));
    }
    assert_eq!((pool.usage().open, pool.usage().idle), (MAX_SHARE, MAX_SHARE));
    sockets.truncate(1);
    let closed = async {
        while pool.usage().open > 1 {
            sleep(Duration::from_millis(10)).await;
        }
    };
    let _elapsed = timeout(REST, closed).await;
    assert_eq!((pool.usage().open, pool.usage().idle), (1, 1), "one socket is open");
}
