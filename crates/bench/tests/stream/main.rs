//! Byte streams of searchers, drawn at random and sent over real connections to both interfaces.
//!
//! To run more cases: `PROPTEST_CASES=2000 cargo test --release -p bergamot-bench --test stream`.

mod own_interface;
mod platform;
#[path = "../../../relay/tests/support/mod.rs"]
mod support;

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use bergamot_answer::Limits;
use bergamot_standin::{
    Answer, AnswerHeaders, Framing, Named, Part, RecordedRequest, ScriptedServer, Step,
};
use proptest::prelude::*;

/// How many requests are sent over the connections of one case.
const REQUESTS: usize = 5;

/// The bound of all answers of a case, in bytes.
const MEMORY: usize = 64 << 10;

/// The number of cases in an ordinary run.
const CASES: u32 = 24;

/// Returns the number of cases: that of the environment if it is set.
fn config() -> ProptestConfig {
    let default = ProptestConfig::default();
    let is_set = std::env::var_os("PROPTEST_CASES").is_some();
    ProptestConfig { cases: if is_set { default.cases } else { CASES }, ..default }
}

/// Returns bounds that endless answers reach at once.
fn limits() -> Limits {
    Limits { body_bytes: 32 << 10, stray_bytes: 32 << 10, ..Limits::default() }
}

/// Parts that do not lead a searcher to send its own answer in pieces.
fn foreign_part() -> impl Strategy<Value = Part> {
    let named = prop_oneof![Just(Named::Previous), Just(Named::Nobody), Just(Named::Both)];
    let framing = prop_oneof![
        Just(Framing::Length),
        Just(Framing::Chunked),
        Just(Framing::Cut),
        Just(Framing::Head)
    ];
    prop_oneof![
        6 => (named.clone(), framing).prop_map(|(named, framing)| Part::Answer(named, framing)),
        2 => named.clone().prop_map(Part::Failure),
        3 => named.prop_map(Part::Refusal),
        1 => Just(Part::Interim),
        1 => prop::collection::vec(any::<u8>(), 1..40).prop_map(Part::Bytes),
        2 => Just(Part::Pause),
    ]
}

/// The end of what a searcher sends: its answer in some form, or none.
fn ending() -> impl Strategy<Value = Vec<Part>> {
    let own = |framing| Part::Answer(Named::Own, framing);
    let endless = |bytes: &[u8]| Part::Endless(bytes.repeat(200));
    prop_oneof![
        8 => Just(vec![own(Framing::Length)]),
        2 => Just(vec![own(Framing::Chunked)]),
        1 => Just(vec![own(Framing::Cut), Part::Close]),
        1 => Just(vec![own(Framing::Head), own(Framing::Length)]),
        1 => Just(vec![own(Framing::Cut), own(Framing::Length)]),
        1 => Just(vec![own(Framing::Length), own(Framing::Length)]),
        1 => Just(vec![own(Framing::Length), Part::Pause, Part::Answer(Named::Nobody, Framing::Length)]),
        1 => Just(vec![Part::Failure(Named::Own)]),
        1 => Just(vec![Part::Close]),
        1 => Just(vec![endless(b"HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n")]),
        1 => Just(vec![endless(b"HTTP/1.1 103 Early Hints\r\n\r\n")]),
        1 => Just(vec![Part::Bytes(b"HTTP/1.1 200 OK\r\nx-signature: s\r\na: ".to_vec()), endless(b"a")]),
        1 => Just(vec![
            Part::Bytes(b"HTTP/1.1 200 OK\r\nx-signature: s\r\n\r\n".to_vec()),
            endless(b"body")
        ]),
    ]
}

fn response() -> impl Strategy<Value = Vec<Part>> {
    (prop::collection::vec(foreign_part(), 0..3), ending())
        .prop_map(|(parts, ending)| [parts, ending].concat())
}

fn responses() -> impl Strategy<Value = Vec<Vec<Part>>> {
    prop::collection::vec(response(), REQUESTS)
}

/// Starts a searcher that sends each drawn response in turn. The first of a connection comes without
/// foreign parts, since there is no request before it.
async fn start_searcher(
    headers: AnswerHeaders,
    answer: fn(&str) -> Answer,
    responses: Vec<Vec<Part>>,
) -> ScriptedServer {
    let (latest, number) = (Mutex::new(HashMap::<usize, String>::new()), AtomicUsize::new(0));
    let respond = move |seen: &RecordedRequest| {
        let id = seen.header(headers.id).unwrap_or_default().to_owned();
        let mut latest = latest.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(previous) = latest.insert(seen.connection, id.clone()) else {
            return vec![Step::Send(headers.encode(&answer(&id), &[&id]))];
        };
        let parts = &responses[number.fetch_add(1, Ordering::Relaxed) % responses.len()];
        parts.iter().map(|part| part.step(&headers, (&previous, &id), answer)).collect()
    };
    ScriptedServer::start(respond).await.expect("a free port")
}

/// Returns how often each request ran, by its identifier in the header `id`.
fn runs(id: &str, searchers: &[ScriptedServer]) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for seen in searchers.iter().flat_map(ScriptedServer::requests) {
        *runs.entry(seen.header(id).unwrap_or_default().to_owned()).or_default() += 1;
    }
    runs
}

/// Runs a case to its end.
fn block_on<T>(case: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(case)
}
