//! `bergamotctl losses`: score losses by route, reason and time, from logs.

mod support;

use std::io::Write;
use std::process::{Command, Output, Stdio};

use bergamotstand::Losses;
use support::CTL;

const LOG: &str = r#"   0.1 a-1 ts=2026-12-02T23:59:59.900Z level=info relay: event=ended request="r1" route=x version=3 outcome=complete missing=0 shards=20 took_ms=90 target_ms=100 ordinary_left_out=0
   0.2 a-1 ts=2026-12-02T23:59:59.950Z level=info relay: event=ended request="r2" route=x version=3 outcome=partial missing=2 shards=20 took_ms=80 target_ms=100 ordinary_left_out=0
   0.2 a-1 ts=2026-12-02T23:59:59.951Z level=info relay: event=shards_left_out request="r2" count=2 how="1 searchers, 1 through a silent member, another was denied=1; 2 searchers=1" first="s /i-2; t i-1/i-2" searchers=i-2,i-1,i-2
   3.0 a-2 ts=2026-12-03T00:00:02.000Z level=info relay: event=ended request="r3" route=x version=3 outcome=complete missing=0 shards=20 took_ms=130 target_ms=100 ordinary_left_out=0
   3.0 a-2 ts=2026-12-03T00:00:02.100Z level=info relay: event=refused request="r4" outcome=NotRun cause="17 of 18 shards have a searcher"
   3.0 a-2 ts=2026-12-03T00:00:02.100Z level=info relay: event=ended request="r4" route=x version=3 outcome=not_run retry_after_ms=200 took_ms=0 target_ms=100 ordinary_left_out=0
   3.0 a-2 ts=2026-12-03T00:00:02.200Z level=info relay: event=ended request="r5" route=y version=3 outcome=passed status=200 took_ms=10 target_ms=600 ordinary_left_out=3
   3.0 a-2 ts=2026-12-03T00:00:02.300Z level=info relay: event=ended request="r6" route=y version=3 outcome=passed status=500 took_ms=10 target_ms=600 ordinary_left_out=0
"#;

fn run_with_log(arguments: &[&str], log: &str) -> Output {
    let mut child = Command::new(CTL)
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program was built with the test");
    let mut input = child.stdin.take().expect("standard input is piped");
    input.write_all(log.as_bytes()).expect("the program reads its input");
    drop(input);
    child.wait_with_output().expect("the program exits")
}

#[test]
fn losses_are_reported_by_route_reason_and_time() {
    let losses = Losses::parse(LOG);
    let reasons: Vec<(&str, &str, f64)> = losses
        .reasons
        .iter()
        .map(|((route, reason), count)| (&**route, &**reason, count.lost))
        .collect();
    let partial = 1.0 - 0.9_f64.powi(2);
    let expected = [
        ("x", "late", 1.0),
        ("x", "not_run of 18 shards have a searcher", 1.0),
        ("x", "parts missing", partial),
        ("y", "failed by the searcher", 1.0),
    ];
    assert_eq!(reasons, expected);
    let intervals: Vec<_> =
        losses.intervals.iter().map(|(at, count)| (*at, count.requests)).collect();
    assert_eq!(intervals, [(0, 2.0), (2, 7.0)]);
    let left_out: Vec<_> =
        losses.left_out_shards.iter().map(|(attempts, count)| (&**attempts, *count)).collect();
    let expected =
        [("1 searchers, 1 through a silent member, another was denied", 1), ("2 searchers", 1)];
    assert_eq!(left_out, expected);
    // The three suppressed requests are divided evenly: one lossless request is logged per route.
    assert_eq!((losses.routes["x"].requests, losses.routes["y"].requests), (5.5, 3.5));
}

#[test]
fn the_losses_command_prints_the_table_and_draws_a_chart() {
    let path = std::env::temp_dir().join(format!("bergamot-{}-losses.svg", std::process::id()));
    let output = run_with_log(&["losses", "--plot", &path.to_string_lossy()], LOG);
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success() && text.starts_with("requests=9 lost=35.4"), "{text}");
    let drawn = std::fs::read_to_string(&path).expect("the image was written");
    assert!(drawn.contains("<svg"), "{drawn}");
    std::fs::remove_file(path).expect("the file belongs to this test");
}

#[test]
fn a_log_without_requests_is_rejected() {
    let output = run_with_log(&["losses"], "nothing\n");
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("no log line reports the end of a request"), "{text}");
}
