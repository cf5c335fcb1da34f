//! End-to-end tests with separate processes: answers, errors, state and graceful stop.

mod support;

use std::time::Duration;

use bergamot_base::Seed;
use bergamot_bench::deployment::Deployment;
use bergamot_standin::Faults;
use support::{CTL, Testbed, get, post, raw_status, run_program, text_and_code, until};

const SCAN: &str = r#"{"shape": "scan"}"#;
const QUEUE: &str = "/v1/fraser-basin/queue-board/query";
const LEDGER: &str = "/v1/fraser-basin/glycol-ledger/write";

/// A path, headers and a body, with the expected status and step of the error.
type InvalidRequest<'a> = (&'a str, &'a [(&'a str, &'a str)], &'a str, u16, &'a str);

/// Waits until a query on every shard of the queue board is complete.
async fn wait_until_complete(testbed: &Testbed) {
    let entry = testbed.entry(0);
    until("a scan is complete", || async move {
        post(entry, QUEUE, &[], SCAN).await.1["complete"] == true
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_served_end_to_end() {
    let mut testbed = Testbed::start(Deployment::fraser_basin([50, 1], Seed(1)), 2, "").await;
    testbed.add(0).await;
    testbed.add(1).await;
    wait_until_complete(&testbed).await;
    let entry = testbed.entry(1);

    let (status, scan) = post(entry, QUEUE, &[], SCAN).await;
    assert_eq!(status, 200);
    assert_eq!(
        scan["hits"].as_array().map(Vec::len),
        Some(400),
        "every document of the service is returned"
    );
    assert_eq!(scan["services"][0]["coverage"]["answered"], 20);
    assert_eq!(scan["services"][0]["version"], 1);
    assert_eq!(scan["revision"], 1);

    let path = "/v1/fraser-basin/ramp-desk/query";
    let (_, top) = post(entry, path, &[], r#"{"shape": "top", "k": 3}"#).await;
    assert_eq!(top["hits"].as_array().map(Vec::len), Some(3));
    let ranks: Vec<u64> = (0..3).filter_map(|i| top["hits"][i]["rank"].as_u64()).collect();
    assert!(ranks.is_sorted(), "{ranks:?}");

    let path = "/v1/fraser-basin/pad-tablet/query";
    let (_, record) = post(entry, path, &[], r#"{"shape": "record", "key": "doc-7"}"#).await;
    assert_eq!(record["hits"][0]["key"], "doc-7");
    assert_eq!(record["services"][0]["coverage"]["asked"], 1);

    let path = "/v1/fraser-basin/queue-board,ramp-desk/query";
    let (_, both) = post(entry, path, &[], SCAN).await;
    assert_eq!(
        both["services"].as_array().map(Vec::len),
        Some(2),
        "coverage is reported per service"
    );
    assert_eq!(both["complete"], true);

    let path = "/v1/fraser-basin/glycol-ledger/write";
    let write = r#"{"record": "doc-1", "body": "20 l type IV"}"#;
    let (status, done) = post(entry, path, &[], write).await;
    assert_eq!((status, &done["outcome"]), (200, &"done".into()));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_executed_once_across_entries() {
    let mut testbed = Testbed::start(Deployment::fraser_basin([50, 2], Seed(1)), 2, "").await;
    testbed.add(0).await;
    testbed.add(1).await;
    wait_until_complete(&testbed).await;
    let addresses: serde_json::Value =
        serde_json::from_str(&get(testbed.entry(0), "/v1/addresses").await).expect("valid JSON");
    let key = format!("{}-order-1", addresses["write_prefix"].as_str().expect("a prefix"));
    let path = "/v1/fraser-basin/glycol-ledger/write";
    let headers = [("idempotency-key", key.as_str())];
    let write = r#"{"record": "doc-1", "body": "20 l type IV"}"#;
    let mut receipts = Vec::new();
    for entry in [testbed.entry(1), testbed.entry(0), testbed.entry(1)] {
        let (_, answer) = post(entry, path, &headers, write).await;
        assert_eq!(answer["outcome"], "done", "{answer}");
        receipts.push(answer["receipt"].clone());
    }
    receipts.dedup();
    assert_eq!(receipts.len(), 1, "the answers have different receipts");
    let other = r#"{"record": "doc-2", "body": "another"}"#;
    let (_, conflict) = post(testbed.entry(0), path, &headers, other).await;
    assert_eq!(
        conflict["outcome"], "not_run",
        "a key cannot be reused for another request: {conflict}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn errors_for_invalid_requests_name_the_step_and_the_peer() {
    let mut testbed = Testbed::start(Deployment::fraser_basin([50, 3], Seed(1)), 1, "").await;
    testbed.add(0).await;
    wait_until_complete(&testbed).await;
    let entry = testbed.entry(0);
    let big = format!(r#"{{"shape": "scan", "pad": "{}"}}"#, "x".repeat(70_000));
    let cases: [InvalidRequest<'_>; 9] = [
        ("/v1/fraser-basin/nothing/query", &[], SCAN, 404, "find service"),
        ("/v1/nobody/queue-board/query", &[], SCAN, 404, "find service"),
        ("/v2/anything", &[], SCAN, 404, "route"),
        (QUEUE, &[("x-deadline-ms", "soon")], SCAN, 400, "read deadline"),
        (QUEUE, &[("x-deadline-ms", "0")], SCAN, 400, "read deadline"),
        (QUEUE, &[], &big, 413, "read body"),
        (QUEUE, &[], r#"{"shape": "sc"#, 400, "read body"),
        (QUEUE, &[], r#"{"shape": "top", "k": 0}"#, 400, "read body"),
        (
            "/v1/fraser-basin/glycol-ledger/write",
            &[("idempotency-key", "x")],
            "{}",
            400,
            "read key",
        ),
    ];
    for (path, headers, body, status, step) in cases {
        let (got, answer) = post(entry, path, headers, body).await;
        assert_eq!(got, status, "{path} {answer}");
        assert_eq!(answer["error"]["step"], step, "{path} {answer}");
        assert_eq!(answer["error"]["peer"], "caller", "{path} {answer}");
    }
    let (_, after) = post(entry, QUEUE, &[], SCAN).await;
    assert_eq!(
        after["complete"], true,
        "queries are still answered completely after invalid requests"
    );
}

/// Guards against a bound on the number of headers that rejects requests within `[entry] header_bytes`.
#[tokio::test(flavor = "multi_thread")]
async fn requests_within_the_size_of_a_head_are_answered_however_many_headers_they_have() {
    const HEAD_BYTES: usize = 16 << 10;
    let mut testbed = Testbed::start(Deployment::fraser_basin([50, 90], Seed(1)), 1, "").await;
    testbed.add(0).await;
    wait_until_complete(&testbed).await;
    let fixed = format!(
        "POST {QUEUE} HTTP/1.1\r\nhost: entry\r\nconnection: close\r\ncontent-length: {}\r\n",
        SCAN.len()
    );
    let most = 3 + (HEAD_BYTES - fixed.len() - "\r\n".len()) / "h:\r\n".len();
    let full = (Some(HEAD_BYTES), 200);
    let beyond = (Some(HEAD_BYTES + 1), 431);
    let counts = [4, 99, 100, 101, 150].into_iter();
    let counts = counts.flat_map(|count| [(None, 200), full, beyond].map(|size| (count, size)));
    let counts = counts.chain([(most, (None, 200)), (most + 1, (None, 431))]);
    for (headers, (bytes, expected)) in counts {
        let head = format!("{fixed}{}", "h:\r\n".repeat(headers - 3));
        let padding = bytes.map_or(String::new(), |bytes| {
            format!("p:{}\r\n", "x".repeat(bytes - head.len() - "p:\r\n\r\n".len()))
        });
        let status = raw_status(testbed.entry(0), &format!("{head}{padding}\r\n{SCAN}")).await;
        assert_eq!(status, Some(expected), "{headers} headers, {bytes:?} bytes");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn state_and_metrics_have_a_separate_listener() {
    let mut testbed = Testbed::start(Deployment::fraser_basin([50, 4], Seed(1)), 1, "").await;
    testbed.add(0).await;
    wait_until_complete(&testbed).await;
    let admin = testbed.entry_admin(0).to_string();
    let (state, code) = text_and_code(&run_program(CTL, &["dump", &admin]));
    assert_eq!(code, Some(0));
    for section in ["[node]", "document r1", "[members]", "[homes]", "[admission]", "[writes]"] {
        assert!(state.contains(section), "{section} is missing in {state}");
    }
    let gather = get(testbed.gather_admin(0), "/state").await;
    assert!(gather.contains("[upstream]") && gather.contains("connections"), "{gather}");
    let metrics = get(testbed.entry_admin(0), "/metrics").await;
    assert!(metrics.contains("bergamot_requests_total"), "{metrics}");
    let (addresses, code) =
        text_and_code(&run_program(CTL, &["addresses", &testbed.entry(0).to_string()]));
    assert_eq!(code, Some(0));
    assert!(addresses.contains("write_prefix"), "{addresses}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_signal_ends_both_daemons_with_success() {
    let extra = "[entry]\naddress_ttl = 200\n";
    let mut testbed = Testbed::start(Deployment::fraser_basin([50, 5], Seed(1)), 1, extra).await;
    testbed.add(0).await;
    wait_until_complete(&testbed).await;
    let mut instance = testbed.instances.remove(0);
    instance.entry.signal("TERM");
    // A second SIGTERM changes nothing: requests in flight are still completed.
    instance.entry.signal("TERM");
    assert_eq!(instance.entry.wait(), Some(0));
    instance.gather.signal("TERM");
    assert_eq!(instance.gather.wait(), Some(0));
}

/// Guards against a stop that closes the connections of requests whose deadline is later than its
/// end: their callers would not learn whether a write was sent.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_outlast_the_stop_of_an_entry_get_an_answer() {
    let extra = "[entry]\naddress_ttl = 200\ndrain = 500\n";
    let mut testbed = Testbed::start(Deployment::fraser_basin([50, 7], Seed(1)), 1, extra).await;
    testbed.add(0).await;
    wait_until_complete(&testbed).await;
    let silent = Faults { slow_factor: 100_000.0, ..Faults::default() };
    for (_, searcher) in &testbed.stand_ins.searchers {
        searcher.set_faults(silent.clone());
    }
    let entry = testbed.entry(0);
    let query =
        tokio::spawn(async move { post(entry, QUEUE, &[("x-deadline-ms", "20000")], SCAN).await });
    let body = r#"{"record": "doc-7", "body": "entry"}"#;
    let write =
        tokio::spawn(async move { post(entry, LEDGER, &[("x-deadline-ms", "20000")], body).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    testbed.instances[0].entry.signal("TERM");
    let (status, answer) = query.await.expect("the query is answered");
    assert_eq!((status, answer["error"]["step"].as_str()), (503, Some("stop")), "{answer}");
    let (status, answer) = write.await.expect("the write is answered");
    assert_eq!((status, answer["outcome"].as_str()), (202, Some("unknown")), "{answer}");
    assert_eq!(testbed.instances[0].entry.wait(), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn one_instance_serves_if_the_other_listed_ones_never_start() {
    let extra = "[control]\nprobe = 100\nanswer = 40\nsuspicion = 200\n";
    let mut testbed = Testbed::start(Deployment::fraser_basin([50, 6], Seed(1)), 8, extra).await;
    testbed.add(5).await;
    let entry = testbed.entry(5);
    until("a scan is complete", || async move {
        post(entry, QUEUE, &[], SCAN).await.1["complete"] == true
    })
    .await;
    let (_, over) = testbed.stand_ins.connections();
    assert_eq!(over, 0, "connection limits were exceeded");
}
