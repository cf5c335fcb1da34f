//! What large answers of searchers cost the other tasks of a thread.

use std::future::poll_fn;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::Poll;
use std::time::{Duration, Instant};

use bergamot_base::Deadline;
use bergamot_standin::{RecordedRequest, ScriptedServer, Step};
use bergamot_upstream::{Observer, Pool, PoolSettings, ReadTurns, Reuse, protocol};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinHandle;

const SEARCHERS: usize = 64;

/// The size of the read buffer of a connection, which one read may fill, in bytes.
const READ_BYTES: usize = 64 << 10;

/// The body of a large sound answer, in bytes.
const LARGE_BYTES: usize = 1 << 20;

fn head(seen: &RecordedRequest, length: usize) -> Vec<u8> {
    let id = seen.header(protocol::REQUEST).unwrap_or_default();
    let name = protocol::REQUEST;
    format!("HTTP/1.1 200 OK\r\n{name}: {id}\r\nContent-Length: {length}\r\n\r\n").into_bytes()
}

fn endless(seen: &RecordedRequest) -> Vec<Step> {
    vec![Step::Send(head(seen, 16_000_000)), Step::Repeat(vec![b'b'; 16 << 10])]
}

fn large(seen: &RecordedRequest) -> Vec<Step> {
    vec![Step::Send(head(seen, LARGE_BYTES)), Step::Send(vec![b'b'; LARGE_BYTES])]
}

/// Searchers on threads of their own, and pools that share the turns of the thread of the test.
struct Setting {
    servers: Runtime,
    searchers: Vec<ScriptedServer>,
    turns: ReadTurns,
}

impl Setting {
    fn new() -> Self {
        let servers = Builder::new_multi_thread().worker_threads(2).enable_all().build();
        let servers = servers.expect("threads for the searchers");
        Self { servers, searchers: Vec::new(), turns: ReadTurns::default() }
    }

    fn start(&mut self, respond: fn(&RecordedRequest) -> Vec<Step>) -> Arc<Pool> {
        let searcher = self.servers.block_on(ScriptedServer::start(respond)).expect("a free port");
        let settings = PoolSettings {
            remote: searcher.address(),
            read_turns: self.turns.clone(),
            ..PoolSettings::default()
        };
        self.searchers.push(searcher);
        Pool::new(settings, Observer::default())
    }
}

/// A request whose answer is being received, and the size of the answer so far.
struct Receiver {
    task: JoinHandle<()>,
    size: Arc<AtomicUsize>,
}

impl Receiver {
    fn start(pool: &Arc<Pool>) -> Self {
        let size = Arc::new(AtomicUsize::new(0));
        Self { task: tokio::spawn(receive(Arc::clone(pool), Arc::clone(&size))), size }
    }

    fn size(&self) -> usize {
        self.size.load(Ordering::Relaxed)
    }
}

async fn receive(pool: Arc<Pool>, size: Arc<AtomicUsize>) {
    let deadline = Deadline::after(Instant::now(), Duration::from_secs(20));
    let mut lease = pool.lease(deadline, Reuse::Usual).await.expect("it connects");
    let request = Request::get("/").header(protocol::REQUEST, "q");
    let request = request.body(Full::<Bytes>::default()).expect("valid request");
    let mut body = lease.send(request).await.expect("a head").into_body();
    while let Some(frame) = body.frame().await {
        let frame = frame.expect("the body is within the bounds");
        size.fetch_add(frame.data_ref().map_or(0, Bytes::len), Ordering::Relaxed);
    }
    lease.release().await;
}

/// Lets all other tasks that are ready run once.
async fn run_ready_tasks() {
    let mut has_run = false;
    poll_fn(|context| {
        if std::mem::replace(&mut has_run, true) {
            return Poll::Ready(());
        }
        context.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

/// Returns the largest number of bytes of answers that were received between two runs of a task, from
/// the time at which all answers are large until `bytes` more are received.
async fn largest_step(answers: Vec<Receiver>, bytes: usize) -> usize {
    let sizes = || answers.iter().map(Receiver::size);
    while sizes().any(|size| size < 2 * READ_BYTES) {
        run_ready_tasks().await;
    }
    let (mut largest, first) = (0, sizes().sum::<usize>());
    let mut before = first;
    while before < first + bytes {
        run_ready_tasks().await;
        let now = sizes().sum();
        largest = largest.max(now - before);
        before = now;
    }
    largest
}

fn current_thread() -> Runtime {
    Builder::new_current_thread().enable_all().build().expect("a runtime")
}

/// Guards against requests that get no connection beside answers without end: every step of their
/// tasks waited for a read of each such answer.
#[test]
fn other_tasks_wait_for_two_reads_of_large_answers_at_most() {
    let mut setting = Setting::new();
    let pools: Vec<_> = (0..SEARCHERS).map(|_| setting.start(endless)).collect();
    let largest = current_thread().block_on(async {
        let answers = pools.iter().map(Receiver::start).collect();
        tokio::spawn(largest_step(answers, 64 << 20)).await.expect("it ends")
    });
    println!("read turns: at most {largest} bytes between two runs of a task");
    assert!(largest <= 2 * READ_BYTES, "{largest} bytes");
}

/// Guards against a turn that is lost with the request that held it or waited for it.
#[test]
fn large_answers_are_received_beside_requests_that_end_early() {
    const ROUNDS: usize = 20;
    let mut setting = Setting::new();
    let given_up: Vec<_> = (0..SEARCHERS).map(|_| setting.start(endless)).collect();
    let sound: Vec<_> = (0..4).map(|_| setting.start(large)).collect();
    current_thread().block_on(async {
        for round in 0..ROUNDS {
            let endless: Vec<_> = given_up.iter().map(Receiver::start).collect();
            let answers: Vec<_> = sound.iter().map(Receiver::start).collect();
            for (number, request) in endless.iter().enumerate() {
                for _ in 0..(number * 7 + round) % 13 {
                    run_ready_tasks().await;
                }
                request.task.abort();
            }
            for Receiver { task, size } in answers {
                let ended = tokio::time::timeout(Duration::from_secs(10), task).await;
                ended.expect("a turn for each read").expect("the answer is sound");
                assert_eq!(size.load(Ordering::Relaxed), LARGE_BYTES, "round {round}");
            }
        }
    });
}
