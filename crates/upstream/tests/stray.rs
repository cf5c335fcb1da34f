//! Searchers of the own interface that answer twice, or send bytes that belong to no request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_base::{Deadline, Name};
use bergamot_query::Shape;
use bergamot_standin::{Answer, AnswerHeaders, RecordedRequest, ScriptedServer, Stray, Stutter};
use bergamot_upstream::protocol::{self, Receipt, Search, SearchReply, Write};
use bergamot_upstream::{
    Client, Observer, Pool, PoolSettings, RequestContext, SearcherError, WriteResult,
};
use tokio_util::sync::CancellationToken;

/// How many requests are sent one after the other in each case.
const REQUESTS: u64 = 10;

const HEADERS: AnswerHeaders =
    AnswerHeaders { id: protocol::REQUEST, signature: protocol::RUN, not_run: protocol::NOT_RUN };

/// The answer to the request with an identifier: a receipt of that name, or that many documents.
fn answer(id: &str) -> Answer {
    let body = match id.strip_prefix('s') {
        Some(number) => serde_json::to_vec(&SearchReply {
            shard: 0,
            epoch: 0,
            version: 0,
            documents: number.parse().unwrap_or_default(),
            hits: Vec::new(),
        }),
        None => serde_json::to_vec(&Receipt { receipt: id.into() }),
    };
    Answer { status: "200 OK", signature: "run1".to_owned(), body: body.expect("it serializes") }
}

async fn stuttering(stray: Stray) -> ScriptedServer {
    let stutter = Stutter::new(HEADERS, stray);
    let respond = move |seen: &RecordedRequest| stutter.respond(seen, answer);
    ScriptedServer::start(respond).await.expect("a free port")
}

fn client(remote: SocketAddr) -> Arc<Client> {
    let settings = PoolSettings { remote, ..PoolSettings::default() };
    let pool = Pool::new(settings, Observer::default());
    Client::new(remote, pool, 2, 8, Duration::from_millis(5))
}

fn context(id: &str) -> RequestContext {
    let deadline = Deadline::after(Instant::now(), Duration::from_millis(300));
    RequestContext { id: Name::from(id), deadline, cancel: CancellationToken::new() }
}

async fn search(client: &Arc<Client>, number: u64) -> Result<SearchReply, SearcherError> {
    let search = Search { shard: 0, epoch: 0, version: 0, query: Shape::Scan };
    client.search(&context(&format!("s{number}")), &search, || true).await
}

/// Guards against hits of another sub-query: nothing in a response said which request it answered.
#[tokio::test]
async fn only_a_reply_that_names_the_sub_query_is_returned() {
    let mut wrong = Vec::new();
    for stray in Stray::ALL {
        let searcher = stuttering(stray).await;
        let client = client(searcher.address());
        let mut served = 0;
        for number in 0..REQUESTS {
            match search(&client, number).await {
                Ok(reply) if reply.documents == number => served += 1,
                Ok(reply) => wrong.push(format!("{stray:?}: {number} got {}", reply.documents)),
                Err(_) => {}
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        println!("{stray:?}: {served} of {REQUESTS} searches served");
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against the receipt of another write, and against a "not run" of a write that ran.
#[tokio::test]
async fn only_a_reply_that_names_the_write_is_believed() {
    let mut wrong = Vec::new();
    for stray in Stray::ALL {
        let searcher = stuttering(stray).await;
        let client = client(searcher.address());
        let mut served = 0;
        for number in 0..REQUESTS {
            let (id, write) =
                (format!("w{number}"), Write { record: "r".into(), body: "b".into() });
            match client.write(&context(&id), &id, &write, || true).await {
                WriteResult::Done(receipt) if *receipt == *id => served += 1,
                WriteResult::Done(receipt) => wrong.push(format!("{stray:?}: {id} got {receipt}")),
                WriteResult::NotRun(cause) => {
                    let ran =
                        searcher.requests().iter().any(|seen| seen.header(HEADERS.id) == Some(&id));
                    if ran {
                        wrong.push(format!(
                            "{stray:?}: {id} ran and is reported as not run: {cause}"
                        ));
                    }
                }
                WriteResult::Unknown(_) => {}
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        println!("{stray:?}: {served} of {REQUESTS} writes served");
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against the status of an earlier request: all status requests had one identifier.
#[tokio::test]
async fn each_status_request_has_an_identifier_of_its_own() {
    let searcher = stuttering(Stray::Between).await;
    let client = client(searcher.address());
    for _ in 0..3 {
        let deadline = Deadline::after(Instant::now(), Duration::from_millis(300));
        client.status(deadline).await.expect("the searcher answers");
    }
    let ids: std::collections::BTreeSet<_> = searcher
        .requests()
        .iter()
        .filter_map(|seen| seen.header(HEADERS.id).map(str::to_owned))
        .collect();
    assert_eq!(ids.len(), 3, "{ids:?}");
}
