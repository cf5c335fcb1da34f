//! Cut answers that are filled by the answer before on their connection, over real connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_base::Deadline;
use bergamot_standin::{Answer, AnswerHeaders, RecordedRequest, ScriptedServer, Step};
use bergamot_upstream::{Observer, Pool, PoolSettings, Reuse, protocol};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

const HEADERS: AnswerHeaders =
    AnswerHeaders { id: protocol::REQUEST, signature: protocol::RUN, not_run: protocol::NOT_RUN };

/// How many cut and how many sound answers are sent.
const CUT: u64 = 1000;
const SOUND: u64 = 1000;

/// How many connections carry answers at the same time.
const CONNECTIONS: usize = 24;

/// The length of a body, in bytes.
const BODY_LEN: usize = 64;

/// How long after a cut answer its filling begins.
const LATE: Duration = Duration::from_millis(15);

/// The random record of a request. Some records hold text of an answer.
fn answer(id: &str) -> Answer {
    let number: u64 = id.trim_start_matches(char::is_alphabetic).parse().unwrap_or_default();
    let mut rng = StdRng::seed_from_u64(number);
    let mut body: Vec<u8> = (0..BODY_LEN).map(|_| rng.random()).collect();
    if id.starts_with("sound") {
        let text = ["", "", "", "H", "HTTP/1", "HTTP/1.1 200 OK\r\n"][number as usize % 6];
        let behind = if number % 12 > 5 { 0 } else { BODY_LEN / 2 };
        let at = BODY_LEN - behind - text.len();
        body[at..at + text.len()].copy_from_slice(text.as_bytes());
    }
    Answer { status: "200 OK", signature: "run1".to_owned(), body }
}

/// Returns the steps of a searcher that cuts its answers to the requests `cut*` and sends the answer to
/// the request before again.
fn respond(seen: &RecordedRequest) -> Vec<Step> {
    let id = seen.header(HEADERS.id).unwrap_or_default();
    let mut own = HEADERS.encode(&answer(id), &[id]);
    let Some(number) = id.strip_prefix("cut").and_then(|number| number.parse::<usize>().ok())
    else {
        return vec![Step::Send(own)];
    };
    let previous = format!("plain{number}");
    let second = HEADERS.encode(&answer(&previous), &[&previous]);
    own.truncate(own.len() - 1 - number % BODY_LEN);
    let size = [1, 2, 4, 8, 12, 31, 64, second.len()][number / BODY_LEN % 8];
    let interval = Duration::from_millis(1 + number as u64 % 5);
    let mut steps = vec![Step::Send(own), Step::Wait(LATE)];
    for piece in second.chunks(size) {
        steps.extend([Step::Send(piece.to_vec()), Step::Wait(interval)]);
    }
    steps
}

/// Sends a request and returns the body of the answer and how long it took.
async fn send(pool: &Arc<Pool>, id: &str) -> Option<(Bytes, Duration)> {
    let started = Instant::now();
    let deadline = Deadline::after(started, Duration::from_secs(10));
    let mut lease = pool.lease(deadline, Reuse::Usual).await.expect("the searcher listens");
    let request = Request::get("/").header(HEADERS.id, id).body(Full::default()).expect("valid");
    let response = lease.send(request).await.ok()?;
    let body = pool.read_body(response.into_body()).await.ok()?;
    lease.release().await;
    Some((body, started.elapsed()))
}

/// Sends a request on a connection that carried another one.
async fn send_second(remote: SocketAddr, kind: &str, number: u64) -> Option<(Bytes, Duration)> {
    let settings = PoolSettings { remote, share: 1, ..PoolSettings::default() };
    let pool = Pool::new(settings, Observer::default());
    let id = format!("plain{number}");
    let first = send(&pool, &id).await;
    assert!(first.is_some_and(|(body, _)| *body == *answer(&id).body), "{id} is not served");
    send(&pool, &format!("{kind}{number}")).await
}

/// Returns the bodies of all requests of a kind, with how long they took.
async fn send_all(kind: &'static str, count: u64) -> Vec<(String, Option<(Bytes, Duration)>)> {
    let searcher = ScriptedServer::start(respond).await.expect("a free port");
    let (remote, permits) = (searcher.address(), Arc::new(Semaphore::new(CONNECTIONS)));
    let mut tasks = JoinSet::new();
    for number in 0..count {
        let permits = Arc::clone(&permits);
        tasks.spawn(async move {
            let _permit = permits.acquire().await;
            let sent = send_second(remote, kind, number);
            let result = tokio::time::timeout(Duration::from_secs(20), sent).await;
            (format!("{kind}{number}"), result.expect("each answer ends"))
        });
    }
    tasks.join_all().await
}

/// Guards against a success whose body ends with the beginning of another answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cut_answer_that_is_filled_in_pieces_is_not_delivered() {
    let results = send_all("cut", CUT).await;
    let wrong = |(id, result): &&(String, Option<(Bytes, Duration)>)| {
        result.as_ref().is_some_and(|(body, _)| *body != answer(id).body)
    };
    let wrong: Vec<_> = results.iter().filter(wrong).map(|(id, _)| id).collect();
    println!("{} of {CUT} cut answers were delivered", wrong.len());
    assert!(wrong.is_empty(), "{} of {CUT}, the first: {:?}", wrong.len(), wrong[0]);
}

/// Guards against a pause of the process that is taken for a quiet connection.
#[tokio::test]
async fn a_pause_of_the_process_is_no_quiet_connection() {
    let respond = |seen: &RecordedRequest| {
        let id = seen.header(HEADERS.id).unwrap_or_default();
        let own = HEADERS.encode(&answer(id), &[id]);
        let second = HEADERS.encode(&answer("plain0"), &["plain0"]);
        let cut = own[..own.len() - 30].to_vec();
        let (filling, rest) = second.split_at(30);
        let (filling, rest) = (Step::Send(filling.to_vec()), Step::Send(rest.to_vec()));
        let wait = Step::Wait(Duration::from_millis(4));
        vec![Step::Send(cut), wait.clone(), filling, wait, rest]
    };
    let searcher = ScriptedServer::start(respond).await.expect("a free port");
    for number in 0..20 {
        let settings = PoolSettings { remote: searcher.address(), ..PoolSettings::default() };
        let pool = Pool::new(settings, Observer::default());
        let pause = async {
            tokio::time::sleep(Duration::from_millis(6)).await;
            std::thread::sleep(Duration::from_millis(150));
        };
        let id = format!("plain{number}");
        let (delivered, ()) = tokio::join!(send(&pool, &id), pause);
        assert!(delivered.is_none(), "{number}: {delivered:?}");
    }
}

/// Guards against answers that are held back when nothing can follow them, or when nobody waits for
/// them.
#[tokio::test]
async fn the_end_of_the_connection_or_of_the_caller_ends_the_wait() {
    let respond = |seen: &RecordedRequest| {
        let id = seen.header(HEADERS.id).unwrap_or_default();
        let answer = Answer { body: b"HTTP/1.1 200 OK".to_vec(), ..answer(id) };
        let end = if id == "closed" { Step::Close } else { Step::Hang };
        vec![Step::Send(HEADERS.encode(&answer, &[id])), end]
    };
    let searcher = ScriptedServer::start(respond).await.expect("a free port");
    let settings = PoolSettings { remote: searcher.address(), ..PoolSettings::default() };
    let pool = Pool::new(settings, Observer::default());
    let (body, _) = send(&pool, "closed").await.expect("a sound answer");
    assert_eq!(&*body, b"HTTP/1.1 200 OK");
    let left = tokio::time::timeout(Duration::from_millis(30), send(&pool, "open")).await;
    left.expect_err("the answer is held back");
    let closed = async {
        while searcher.closed_connections() < 2 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(10), closed).await.expect("the connection is closed");
    assert_eq!((pool.usage().open, pool.usage().idle), (0, 0));
}

/// Guards against sound answers that are refused, cost their connection, or wait without a sign.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sound_answers_with_the_text_of_an_answer_are_delivered() {
    let results = send_all("sound", SOUND).await;
    let (mut plain, mut brief, mut held, mut lost) = (vec![], vec![], vec![], vec![]);
    for (id, result) in results {
        let body = answer(&id).body;
        let holds =
            body.ends_with(b"HTTP/1") || body.windows(12).any(|part| part == b"HTTP/1.1 200");
        match result {
            Some((received, took)) if received == body => match body.last() {
                _ if holds => &mut held,
                Some(b'H') => &mut brief,
                _ => &mut plain,
            }
            .push(took),
            _ => lost.push(id),
        }
    }
    let median = |times: &mut Vec<Duration>| {
        times.sort();
        times[times.len() / 2]
    };
    let medians = [median(&mut plain), median(&mut brief), median(&mut held)];
    let counts = [plain.len(), brief.len(), held.len()];
    println!("without a sign, with `H`, with text: {counts:?} answers, {medians:?}");
    assert!(lost.is_empty(), "{} of {SOUND}, the first: {:?}", lost.len(), lost[0]);
    assert!(medians.is_sorted(), "{medians:?}");
}
