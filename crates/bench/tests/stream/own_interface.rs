//! Searchers of the own interface, through its client.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_base::{Deadline, Name};
use bergamot_query::Shape;
use bergamot_resources::Memory;
use bergamot_standin::{Answer, AnswerHeaders, Part};
use bergamot_upstream::protocol::{self, Receipt, Search, SearchReply, Write};
use bergamot_upstream::{Client, Observer, Pool, PoolSettings, RequestContext, WriteResult};
use proptest::prelude::*;
use tokio_util::sync::CancellationToken;

use crate::{MEMORY, REQUESTS, block_on, config, limits, responses, runs, start_searcher};

const HEADERS: AnswerHeaders =
    AnswerHeaders { id: protocol::REQUEST, signature: protocol::RUN, not_run: protocol::NOT_RUN };

/// The answer to the request with an identifier: a receipt of that name, or that many documents.
fn answer(id: &str) -> Answer {
    let body = match id.strip_prefix('s') {
        Some(number) => {
            let documents = number.parse().unwrap_or_default();
            let reply = SearchReply { shard: 0, epoch: 0, version: 0, documents, hits: Vec::new() };
            serde_json::to_vec(&reply)
        }
        None => serde_json::to_vec(&Receipt { receipt: id.into() }),
    };
    Answer { status: "200 OK", signature: "run1".to_owned(), body: body.expect("it serializes") }
}

fn start_client(remote: SocketAddr, memory: &Arc<Memory>) -> Arc<Client> {
    let settings = PoolSettings {
        remote,
        share: 3,
        limits: limits(),
        memory: Arc::clone(memory),
        ..PoolSettings::default()
    };
    let pool = Pool::new(settings, Observer::default());
    Client::new(remote, pool, 2, 8, Duration::from_millis(5))
}

fn context(id: &str) -> RequestContext {
    let deadline = Deadline::after(Instant::now(), Duration::from_millis(60));
    RequestContext { id: Name::from(id), deadline, cancel: CancellationToken::new() }
}

/// Sends a write and a search in turn and returns what is wrong.
async fn run_case(drawn: Vec<Vec<Part>>) -> Vec<String> {
    let searcher = start_searcher(HEADERS, answer, drawn).await;
    let memory = Memory::new(MEMORY);
    let client = start_client(searcher.address(), &memory);
    let (mut wrong, mut not_run) = (Vec::new(), Vec::new());
    for number in 0..REQUESTS as u64 {
        let (id, write) = (format!("w{number}"), Write { record: "r".into(), body: "b".into() });
        match client.write(&context(&id), &id, &write, || true).await {
            WriteResult::Done(receipt) if *receipt != *id => {
                wrong.push(format!("{id} got the receipt {receipt}"));
            }
            WriteResult::NotRun(_) => not_run.push(id),
            WriteResult::Done(_) | WriteResult::Unknown(_) => {}
        }
        let search = Search { shard: 0, epoch: 0, version: 0, query: Shape::Scan };
        let found = client.search(&context(&format!("s{number}")), &search, || true).await;
        if let Ok(reply) = found
            && reply.documents != number
        {
            wrong.push(format!("s{number} got {} documents", reply.documents));
        }
    }
    let runs = runs(HEADERS.id, std::slice::from_ref(&searcher));
    let twice = runs.iter().filter(|(id, runs)| id.starts_with('w') && **runs > 1);
    wrong.extend(twice.map(|(id, runs)| format!("{id} ran {runs} times")));
    let ran = not_run.iter().filter(|id| runs.contains_key(*id));
    wrong.extend(ran.map(|id| format!("{id} ran and is reported as not run")));
    if memory.usage().peak > MEMORY {
        wrong.push(format!("answers held {:?}", memory.usage()));
    }
    wrong
}

proptest! {
    #![proptest_config(config())]

    /// Guards against any stream of bytes that yields a receipt or hits of another request, a "not
    /// run" of a write that ran, or memory beyond the bound.
    #[test]
    fn replies_are_whole_and_own_whatever_searchers_send(drawn in responses()) {
        let wrong = block_on(run_case(drawn));
        prop_assert!(wrong.is_empty(), "{wrong:#?}");
    }
}
