//! `bergamotctl explain`: the log lines that explain one request.

use std::io::Write;
use std::process::{Command, Stdio};

use bergamotstand::explain_request;

const LOG: &str = r#"ts=2026-12-02T10:00:00.900Z level=info relay: event=searchers_changed revision=7 kind=draining count=1 names=i-9 more=0 since_ms=0
ts=2026-12-02T10:00:01.100Z level=info relay: event=attempts_failed request="r1" count=1 how="Unknown=1" first="s i-1 Unknown: reset" searchers=i-1
ts=2026-12-02T10:00:00.500Z level=info relay: event=searchers_changed revision=5 kind=ready count=2 names=i-3,i-1 more=0 since_ms=0
ts=2026-12-02T10:00:00.600Z level=info relay: event=searchers_changed revision=6 kind=ready count=1 names=i-12 more=0 since_ms=0
ts=2026-12-02T10:00:01.050Z level=info relay: event=attempts_failed request="r2" count=1 how="NotRun=1" first="s i-1 NotRun: shed" searchers=i-1
ts=2026-12-02T10:00:01.300Z level=info relay: event=ended request="r1" route=x version=3 outcome=partial missing=1 took_ms=200
ts=2026-12-02T10:00:01.200Z level=info relay: event=shards_left_out request="r1" count=1 how="1 searchers, 1 through a silent member=1" first="t /i-2" searchers=i-2
ts=2026-12-02T10:00:01.150Z level=info relay: event=searchers_changed revision=9 kind=missing count=1 names=i-2 more=0 since_ms=0
ts=2026-12-02T10:00:09.000Z level=info relay: event=searcher_gone searcher=i-2 cause="late"
"#;

#[test]
fn explain_selects_the_lines_of_a_request_and_of_its_searchers() {
    let lines = explain_request(LOG, "r1");
    let events: Vec<&str> =
        lines.iter().filter_map(|line| line.split("event=").nth(1)?.split(' ').next()).collect();
    let expected =
        ["searchers_changed", "attempts_failed", "searchers_changed", "shards_left_out", "ended"];
    assert_eq!(events, expected);
    assert!(lines.iter().all(|line| !line.contains("r2") && !line.contains("i-9")));
}

#[test]
fn explain_reads_standard_input_and_fails_for_an_unknown_request() {
    let run = |id: &str| {
        let mut child = Command::new(env!("CARGO_BIN_EXE_bergamotctl"))
            .args(["explain", id])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program was built with the test");
        let mut input = child.stdin.take().expect("standard input is piped");
        input.write_all(LOG.as_bytes()).expect("the program reads its input");
        drop(input);
        child.wait_with_output().expect("the program exits")
    };
    let known = run("r1");
    assert!(known.status.success());
    assert_eq!(String::from_utf8_lossy(&known.stdout).lines().count(), 5);
    let unknown = run("r7");
    assert_eq!(unknown.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&unknown.stderr).contains("r7"));
}
