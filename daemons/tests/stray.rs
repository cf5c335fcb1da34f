//! The daemons of the own interface as processes before searchers whose responses are distorted.
//!
//! Guards against hits or receipts of another request, and against writes that are reported as not
//! run and ran.

mod support;

use std::collections::BTreeSet;

use bergamot_base::Seed;
use bergamot_bench::deployment::Deployment;
use bergamot_standin::{CopyName, Distortion, Effect, Faults};
use support::{Testbed, post, until};

const RECORD: &str = "/v1/fraser-basin/pad-tablet/query";
const LEDGER: &str = "/v1/fraser-basin/glycol-ledger/write";

/// The distortions that leave no answer to be read, on any connection.
const UNREADABLE: [Distortion; 6] = [
    Distortion::Head(CopyName::Own),
    Distortion::Truncated,
    Distortion::Filled,
    Distortion::Garbage,
    Distortion::EndlessHead,
    Distortion::EndlessBody,
];

/// How many lookups and writes are sent beside each distortion.
const REQUESTS: usize = 12;

/// Looks up a document; returns whether it was found, or what is wrong.
async fn look_up(testbed: &Testbed, number: usize) -> Result<bool, String> {
    let key = format!("doc-{}", number % 20);
    let query = format!(r#"{{"shape": "record", "key": "{key}"}}"#);
    let (status, answer) =
        post(testbed.entry(0), RECORD, &[("x-deadline-ms", "300")], &query).await;
    let hits = answer["hits"].as_array().cloned().unwrap_or_default();
    if hits.iter().any(|hit| hit["key"] != key.as_str()) {
        return Err(format!("{key} got {status} {hits:?}"));
    }
    Ok(!hits.is_empty())
}

/// Sends a write with a content of its own and returns its outcome.
async fn write(testbed: &Testbed, content: &str) -> String {
    let body = format!(r#"{{"record": "doc-1", "body": "{content}"}}"#);
    let headers = [("x-deadline-ms", "300")];
    let (_, answer) = post(testbed.entry(0), LEDGER, &headers, &body).await;
    answer["outcome"].as_str().unwrap_or("none").to_owned()
}

/// Returns the contents of all writes that took effect, one for each effect.
fn written(testbed: &Testbed) -> Vec<String> {
    let searchers = testbed.stand_ins.searchers.iter();
    let effects = searchers.flat_map(|(_, searcher)| searcher.effects());
    let content = |effect| match effect {
        Effect::Write { body, .. } => Some(body.to_string()),
        Effect::Search { .. } => None,
    };
    effects.filter_map(content).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_of_the_own_interface_get_their_own_answers_beside_distorted_responses() {
    let mut testbed = Testbed::start(Deployment::fraser_basin([56, 1], Seed(5)), 1, "").await;
    testbed.add(0).await;
    until("a document is found", || async { look_up(&testbed, 7).await == Ok(true) }).await;
    let (mut wrong, mut not_run, mut done) = (Vec::new(), Vec::new(), BTreeSet::new());
    for (form, distortion) in Distortion::ALL.into_iter().enumerate() {
        for (_, searcher) in &testbed.stand_ins.searchers {
            let distortion = Some(distortion);
            searcher.set_faults(Faults { distortion, ..Faults::default() });
        }
        let mut found = 0;
        for number in 0..REQUESTS {
            match look_up(&testbed, number).await {
                Ok(is_found) => found += usize::from(is_found),
                Err(cause) => wrong.push(format!("{distortion:?}: {cause}")),
            }
            let content = format!("{form}-{number}");
            match &*write(&testbed, &content).await {
                "done" => drop(done.insert(content)),
                "not_run" => not_run.push(content),
                _ => {}
            }
        }
        println!("stray: {distortion:?}: {found}/{REQUESTS} found, {} writes done", done.len());
        if !UNREADABLE.contains(&distortion) && found < REQUESTS {
            wrong.push(format!("{distortion:?}: {found} of {REQUESTS} found"));
        }
    }
    let written = written(&testbed);
    let ran: BTreeSet<_> = written.iter().cloned().collect();
    assert_eq!(ran.len(), written.len(), "a write ran twice");
    let refused = not_run.into_iter().filter(|write| ran.contains(write));
    wrong.extend(refused.map(|write| format!("{write} ran and is reported as not run")));
    wrong.extend(done.difference(&ran).map(|write| format!("{write} is done and did not run")));
    assert!(done.len() > REQUESTS, "{} writes are done", done.len());
    assert!(wrong.is_empty(), "{} wrong: {wrong:#?}", wrong.len());
}
