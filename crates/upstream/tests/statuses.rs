//! Searchers of the own interface that answer with any status of failure.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bergamot_base::{Budget, Deadline, Entity, Name, Searcher as SearcherId, Seed};
use bergamot_query::{Reason, Shape};
use bergamot_standin::{
    Corpus, Faults, Limits, RecordedRequest, ScriptedServer, Searcher, SearcherSettings,
    StatusFault, Step,
};
use bergamot_upstream::protocol::{self, Receipt, Search, SearchReply, Write};
use bergamot_upstream::{
    Candidate, Client, HedgedRequest, NextAction, Observer, Pool, PoolSettings, RequestContext,
    SearcherError, WriteResult, rank,
};
use tokio_util::sync::CancellationToken;

/// How many failures in a row eject a searcher.
const EJECTING: usize = 3;

/// The version that searchers hold.
const VERSION: u64 = 1;

/// How many callers send requests at the same time, and how many each of them sends.
const CALLERS: usize = 4;
const REQUESTS: usize = 25;

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
        limits: Limits {
            slots: CALLERS,
            connect_cost: Duration::ZERO,
            service_time,
            connections: 64,
        },
        corpus: Corpus { position: 0, shards: 1, epoch: 1, documents: 3 },
        versions: vec![VERSION],
        seed: Seed(1),
        topology: Arc::default(),
    };
    Searcher::start(settings).await.expect("a free port")
}

fn client(searcher: &Searcher, slots: usize) -> Arc<Client> {
    client_of(searcher.address(), slots)
}

fn client_of(remote: SocketAddr, slots: usize) -> Arc<Client> {
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

fn is_ejected(client: &Client) -> bool {
    client.health().is_ejected(Instant::now())
}

/// Returns a response with content that would be a success, and these encodings in a header each.
fn encoded(seen: &RecordedRequest, encodings: &[&str]) -> Vec<Step> {
    let body = if seen.head.starts_with("POST /search") {
        let (shard, epoch, version) = (0, 1, VERSION);
        serde_json::to_string(&SearchReply { shard, epoch, version, documents: 0, hits: vec![] })
    } else {
        serde_json::to_string(&Receipt { receipt: "1".into() })
    };
    let body = body.expect("a serializable body");
    let id = seen.header(protocol::REQUEST).unwrap_or_default();
    let header = |encoding: &&str| format!("content-encoding: {encoding}\r\n");
    let headers = encodings.iter().map(header).collect::<Vec<_>>().concat();
    let (name, length) = (protocol::REQUEST, body.len());
    let head = format!("HTTP/1.1 200 OK\r\n{name}: {id}\r\ncontent-length: {length}\r\n{headers}");
    vec![Step::Send(format!("{head}\r\n{body}").into_bytes())]
}

/// Guards against an encoded body that is taken for content because only the first of several headers
/// is read.
#[tokio::test]
async fn no_encoding_makes_hits_or_a_receipt_of_a_body() {
    let forms: [&[&str]; 5] =
        [&[], &["identity"], &["gzip"], &["gzip", "identity"], &["identity", "gzip"]];
    for encodings in forms {
        let respond = move |seen: &RecordedRequest| encoded(seen, encodings);
        let searcher = ScriptedServer::start(respond).await.expect("a free port");
        let client = client_of(searcher.address(), 2);
        let is_plain = !encodings.contains(&"gzip");
        let found = search(&client, VERSION, 1000).await;
        assert_eq!(found.is_ok(), is_plain, "{encodings:?}: {found:?}");
        let effect = write(&client).await;
        assert_eq!(matches!(effect, WriteResult::Done(_)), is_plain, "{encodings:?}: {effect:?}");
    }
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

/// Guards against searchers that fail at once and keep drawing requests: searches failing with 409,
/// 410 or 504 never counted as failures.
#[tokio::test]
async fn every_status_of_failure_ejects_a_searcher() {
    let searcher = searcher(Duration::from_millis(1)).await;
    let mut kept = Vec::new();
    for status in statuses() {
        searcher.set_faults(failing(status, false));
        let client = client(&searcher, 2);
        for _ in 0..EJECTING {
            search(&client, VERSION, 1000).await.expect_err("it fails");
        }
        if !is_ejected(&client) {
            kept.push(status);
        }
    }
    assert!(kept.is_empty(), "{kept:?}");
}

/// Guards against writes that keep going to a searcher that fails each of them, and against taking a
/// searcher that fails writes from searches.
#[tokio::test]
async fn every_status_of_a_failed_write_ejects_a_searcher_for_writes() {
    let searcher = searcher(Duration::from_millis(1)).await;
    let mut kept = Vec::new();
    for (status, not_run) in statuses().flat_map(|status| [(status, false), (status, true)]) {
        searcher.set_faults(failing(status, not_run));
        let client = client(&searcher, 2);
        for _ in 0..EJECTING {
            write(&client).await;
        }
        if !client.health().is_ejected_for_writes(Instant::now()) || is_ejected(&client) {
            kept.push((status, not_run));
        }
    }
    assert!(kept.is_empty(), "{} of {}: {kept:?}", kept.len(), 2 * statuses().count());
    searcher.set_faults(Faults::default());
    let client = client(&searcher, 2);
    for turn in 0..3 * EJECTING {
        let status = StatusFault { share: 1.0, status: 500, not_run: false };
        searcher.set_faults(Faults {
            status: (turn % EJECTING != 0).then_some(status),
            ..Faults::default()
        });
        write(&client).await;
    }
    assert!(
        !client.health().is_ejected_for_writes(Instant::now()),
        "a served write ends the count"
    );
}

/// Guards against ejecting a searcher for what is no fault of its own: a version that it doesn't
/// hold, a stop that it has announced, and a deadline that passed.
#[tokio::test]
async fn a_rejection_that_is_borne_out_is_no_failure() {
    let searcher = searcher(Duration::from_millis(40)).await;
    for (faults, version, left, reason) in [
        (Faults::default(), VERSION + 1, 1000, Reason::VersionGone),
        (Faults { gone: true, ..Faults::default() }, VERSION, 1000, Reason::Leaving),
        (Faults::default(), VERSION, 10, Reason::Deadline),
    ] {
        searcher.set_faults(faults);
        for _ in 0..2 {
            let client = client(&searcher, 2);
            // The searcher is not asked again after it has announced its stop.
            let attempts = if reason == Reason::Leaving { 1 } else { EJECTING };
            for _ in 0..attempts {
                let error = search(&client, version, left).await.expect_err("it fails");
                assert_eq!(error.reason, reason, "{error}");
            }
            assert!(!is_ejected(&client), "{reason}");
            assert!(client.health().to_string().contains("failures 0"), "{reason}");
        }
    }
}

/// Guards against a failure that counts as a completed service time: requests were queued that
/// could not finish by their deadlines, instead of being rejected at once.
#[tokio::test]
async fn failures_do_not_shorten_the_expected_wait() {
    let searcher = searcher(Duration::from_millis(20)).await;
    let client = client(&searcher, 1);
    for _ in 0..24 {
        search(&client, VERSION, 1000).await.expect("it answers");
    }
    searcher.set_faults(failing(404, false));
    for _ in 0..24 {
        search(&client, VERSION, 1000).await.expect_err("it fails");
    }
    searcher.set_faults(Faults::default());
    let (running, late) = tokio::join!(search(&client, VERSION, 1000), search(&client, VERSION, 8));
    running.expect("a slot is free");
    let late = late.expect_err("there is one slot");
    assert_eq!(late.reason, Reason::Busy, "{late}; {}", client.slots());
}

/// Sends the requests of all callers to two searchers, of which one has faults and is fast; returns how many reached that one and how many were answered.
async fn beside_a_failing_searcher(faults: Faults) -> (usize, usize) {
    let searchers =
        [searcher(Duration::from_millis(1)).await, searcher(Duration::from_millis(20)).await];
    searchers[0].set_faults(faults);
    let clients = [client(&searchers[0], CALLERS), client(&searchers[1], CALLERS)];
    // As in a gather, a second attempt takes a token of the service.
    let retries = std::sync::Mutex::new(Budget::new(0.1, 20.0));
    let ask = || async {
        let health: Vec<_> = clients.iter().map(|client| client.health().clone()).collect();
        let loads: Vec<_> = clients.iter().map(|client| client.slots().load()).collect();
        let candidate = |at: usize| Candidate {
            searcher: SearcherId::from_index(at),
            health: &health[at],
            load: loads[at],
            slots: CALLERS,
        };
        let order = rank(Instant::now(), Some(VERSION), &[candidate(0), candidate(1)]);
        let mut request = HedgedRequest::new(order);
        retries.lock().expect("no panic").earn();
        let mut next = request.start();
        while let NextAction::Send(id) = next {
            match search(&clients[id.index()], VERSION, 1000).await {
                Ok(reply) if reply.version == VERSION => return true,
                Ok(_other) => {
                    let mut retries = retries.lock().expect("no panic");
                    next = request.fail(id, Reason::WrongSnapshot, &mut retries);
                }
                Err(error) => {
                    let mut retries = retries.lock().expect("no panic");
                    next = request.fail(id, error.reason, &mut retries);
                }
            }
        }
        false
    };
    let caller = || async {
        let mut answered = 0;
        for _ in 0..REQUESTS {
            answered += usize::from(ask().await);
        }
        answered
    };
    let (a, b, c, d) = tokio::join!(caller(), caller(), caller(), caller());
    (searchers[0].searches(), a + b + c + d)
}

/// Guards against a searcher that fails at once and draws the work of its service.
#[tokio::test]
async fn a_searcher_that_fails_at_once_draws_no_more_work_in_any_way() {
    let (sent, answered) = beside_a_failing_searcher(failing(500, false)).await;
    let mut wrong = Vec::new();
    let wrong_version = Faults { wrong_version: true, ..Faults::default() };
    let ways = [206, 404, 409, 410, 504].map(|status| failing(status, false));
    for faults in ways.into_iter().chain([wrong_version]) {
        let (sent_here, answered_here) = beside_a_failing_searcher(faults.clone()).await;
        // The callers ask at the same moment when an ejection ends.
        if sent_here > sent + CALLERS || answered_here < answered {
            wrong.push((faults.status, sent_here, answered_here));
        }
    }
    assert_eq!(answered, CALLERS * REQUESTS);
    assert!(wrong.is_empty(), "500: {sent} sent, {answered} answered; {wrong:?}");
}
