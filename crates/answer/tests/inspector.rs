//! The inspection of single byte sequences.

use std::sync::Arc;

use bergamot_answer::{Fault, Finding, Inspector, Limit, Limits, MAX_HEADERS};
use bergamot_resources::Memory;

const ID: &[u8] = b"r2";

fn answer(id: Option<&str>, body: &str) -> Vec<u8> {
    let name = id.map_or(String::new(), |id| format!("X-Id: {id}\r\n"));
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\n{name}content-length: {length}\r\n\r\n{body}").into_bytes()
}

/// What was passed on, the findings by name, and the inspector.
fn inspect_with(limits: Limits, parts: &[&[u8]]) -> (Vec<u8>, Vec<&'static str>, Inspector) {
    let mut inspector = Inspector::new("x-id", limits, Arc::new(Memory::default()));
    inspector.begin(ID, false).expect("a new connection");
    let (mut own, mut findings) = (Vec::new(), Vec::new());
    for part in parts {
        inspector.inspect(part, &mut own);
        findings.extend(inspector.take_findings().iter().map(Finding::label));
    }
    (own, findings, inspector)
}

fn inspect(bytes: &[u8]) -> (Vec<u8>, Vec<&'static str>, Inspector) {
    inspect_with(Limits::default(), &[bytes])
}

#[track_caller]
fn assert_found(bytes: &[u8], own: &[u8], expected: &[&str]) {
    let (passed, findings, inspector) = inspect(bytes);
    assert_eq!(String::from_utf8_lossy(&passed), String::from_utf8_lossy(own));
    assert_eq!((findings, inspector.is_clean()), (expected.to_vec(), expected.is_empty()));
}

#[test]
fn answers_that_do_not_name_the_request_alone_are_skipped() {
    let own = answer(Some("r2"), "mine");
    assert_found(&own, &own, &[]);
    for (stray, kind) in [
        (answer(Some("r1"), "late"), "other"),
        (answer(None, "late"), "nobody"),
        (answer(Some("r2\r\nx-ID: r1"), "late"), "several"),
        (answer(Some("r2\r\nx-id: r2"), "late"), "several"),
        (answer(Some("r1"), ""), "other"),
        (b"HTTP/1.1 204 No Content\r\n\r\n".to_vec(), "nobody"),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4;x=y\r\nlate\r\n0\r\na: b\r\n\r\n"
                .to_vec(),
            "nobody",
        ),
    ] {
        assert_found(&[&*stray, &own].concat(), &own, &[kind]);
    }
}

#[test]
fn the_head_of_another_answer_without_its_body_does_not_hide_the_answer() {
    let (own, mut head) = (answer(Some("r2"), "mine"), answer(None, "late"));
    head.truncate(head.len() - 4);
    assert_found(&[&*head, &own].concat(), &own, &["nobody"]);
}

#[test]
fn bytes_behind_the_answer_are_dropped() {
    let own = answer(Some("r2"), "mine");
    for behind in [answer(Some("r2"), "mine"), answer(None, "mine"), b"\0\0".to_vec()] {
        assert_found(&[&*own, &behind].concat(), &own, &["unsolicited"]);
    }
}

#[test]
fn an_answer_that_was_cut_and_filled_by_another_is_not_completed() {
    let whole = answer(Some("r2"), "a body of its own");
    for cut in 1..17 {
        let bytes = [&whole[..whole.len() - cut], &whole].concat();
        let (own, findings, _) = inspect(&bytes);
        assert!(own.len() < whole.len(), "{cut}: {}", String::from_utf8_lossy(&own));
        assert_eq!(findings, ["filled"], "{cut}");
    }
}

#[test]
fn an_answer_without_a_length_that_holds_another_is_not_completed() {
    let end = |bytes: &[u8]| inspect(bytes).2.end();
    let head = &b"HTTP/1.1 200 OK\r\nx-id: r2\r\n\r\n"[..];
    assert_eq!(end(&[head, b"an HTTP/1.x body"].concat()), None);
    assert_eq!(end(&[head, b"body", &answer(None, "late")].concat()), Some(Fault::Filled));
}

#[test]
fn bytes_behind_which_nothing_can_be_attributed_are_faults() {
    for (bytes, kind) in [
        (&b"garbage\r\n\r\n"[..], "malformed"),
        (b"HTTP/1.1 200 OK\r\n\r\nhi", "unframed"),
        (b"HTTP/1.1 200 OK\r\nno colon\r\n\r\n", "malformed"),
        (
            b"HTTP/1.1 200 OK\r\nx-id: r2\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
            "malformed",
        ),
        (b"HTTP/1.1 101 Switching Protocols\r\n\r\n", "malformed"),
    ] {
        let (own, findings, inspector) = inspect(bytes);
        assert_eq!((own.len(), findings.last()), (0, Some(&kind)));
        assert!(inspector.fault().is_some() && !inspector.is_clean());
    }
}

#[test]
fn nothing_is_passed_on_while_no_request_waits() {
    let mut inspector = Inspector::new("x-id", Limits::default(), Arc::new(Memory::default()));
    let mut own = Vec::new();
    inspector.inspect(&answer(Some("r2"), "mine"), &mut own);
    assert_eq!((own.len(), inspector.fault()), (0, Some(Fault::Unsolicited)));
    inspector.begin(ID, false).expect_err("the connection must be closed");
}

/// Returns the limit that some parts exceed.
fn exceeded(limits: Limits, parts: &[&[u8]]) -> Option<Limit> {
    match inspect_with(limits, parts).2.fault() {
        Some(Fault::Exceeded { limit }) => Some(limit),
        _ => None,
    }
}

/// Guards against bounds that cut a real answer, and against bytes without end.
#[test]
fn each_limit_holds_and_admits_an_answer_as_large_as_itself() {
    let limits = Limits {
        head_bytes: 100,
        body_bytes: 64,
        chunks: 4,
        interim: 2,
        strays: 2,
        stray_bytes: 200,
    };
    let head = |length: usize| {
        let head = b"HTTP/1.1 200 OK\r\nx-id: r2\r\ncontent-length: 1\r\na: ".to_vec();
        let rest = vec![b'a'; length - head.len() - 4];
        [&*head, &rest, b"\r\n\r\n", b"1"].concat()
    };
    let chunked = |chunks: usize, size: usize| {
        let head = b"HTTP/1.1 200 OK\r\nx-id: r2\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
        let chunk = format!("{size:x}\r\n{}\r\n", "c".repeat(size));
        [&*head, chunk.repeat(chunks).as_bytes(), b"0\r\n\r\n"].concat()
    };
    let (unframed, interim) = (
        |length: usize| [&b"HTTP/1.1 200 OK\r\nx-id: r2\r\n\r\n"[..], &vec![b'u'; length]].concat(),
        &b"HTTP/1.1 103 Early Hints\r\n\r\n"[..],
    );
    let (own, stray) = (answer(Some("r2"), "mine"), answer(None, "late"));
    let cases: [(Vec<u8>, Vec<u8>, Limit); 7] = [
        (head(100), head(101), Limit::Head),
        (answer(Some("r2"), &"b".repeat(64)), answer(Some("r2"), &"b".repeat(65)), Limit::Body),
        (chunked(3, 21), chunked(4, 1), Limit::Chunks),
        (chunked(2, 32), chunked(2, 33), Limit::Body),
        (unframed(64), unframed(65), Limit::Body),
        ([interim, interim, &own].concat(), interim.repeat(3), Limit::Interim),
        ([&*stray, &stray, &own].concat(), stray.repeat(3), Limit::Strays),
    ];
    for (within, beyond, limit) in cases {
        assert_eq!(exceeded(limits, &[&within]), None, "{limit:?}");
        let (passed, _, _) = inspect_with(limits, &[&within]);
        assert!(within.ends_with(&passed) && !passed.is_empty(), "{limit:?}");
        assert_eq!(exceeded(limits, &[&beyond]), Some(limit));
        let bytes: Vec<&[u8]> = beyond.chunks(1).collect();
        assert_eq!(exceeded(limits, &bytes), Some(limit), "byte by byte");
    }
}

/// Guards against an answer that is reported as malformed, or that the HTTP library rejects without a
/// finding, because it has many headers.
#[test]
fn an_answer_may_have_as_many_headers_as_the_limit_and_no_more() {
    let answer = |headers: usize| {
        let named = "x-id: r2\r\ncontent-length: 1\r\n";
        let more = "a: b\r\n".repeat(headers - 2);
        format!("HTTP/1.1 200 OK\r\n{named}{more}\r\n1").into_bytes()
    };
    let at_limit = answer(MAX_HEADERS);
    let (own, findings, _) = inspect(&at_limit);
    assert_eq!((own, findings), (at_limit, Vec::new()));
    let beyond = answer(MAX_HEADERS + 1);
    assert_eq!(exceeded(Limits::default(), &[&beyond]), Some(Limit::Headers));
}

/// Guards against bytes that one reader of the status takes for an answer and another one doesn't.
#[test]
fn a_head_whose_status_http_does_not_know_is_no_answer() {
    for status in ["000", "001", "099", "600", "700", "999"] {
        let text = format!("HTTP/1.1 {status} Status\r\nx-id: r2\r\ncontent-length: 2\r\n\r\nab");
        assert_found(text.as_bytes(), b"", &["malformed"]);
    }
    for status in ["200", "599"] {
        let text = format!("HTTP/1.1 {status} Status\r\nx-id: r2\r\ncontent-length: 2\r\n\r\nab");
        assert_found(text.as_bytes(), text.as_bytes(), &[]);
    }
}
