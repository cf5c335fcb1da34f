//! Aggregated log lines are bounded, and no name is lost when all names are logged.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use bergamot_logger::ChangeAggregator;

const TICK: Duration = Duration::from_millis(100);

/// Simulates the repartitioning of an index from 180 to 270 shards with three searchers each: at
/// 400 changes a second, 810 searchers become ready, then 540 drain and are removed. Returns each
/// line with the second in which it was written.
fn repartition(all: bool) -> Vec<(u64, String)> {
    let (start, mut changes) = (Instant::now(), ChangeAggregator::default());
    let mut lines = Vec::new();
    for tick in 0..200_u32 {
        let now = start + TICK * tick;
        for step in 0..40 {
            let number = tick * 40 + step;
            match number {
                0..810 => changes.record(now, "ready", format!("i-{number:08x}")),
                810..1350 => changes.record(now, "draining", format!("i-{:08x}", number - 810)),
                1350..1890 => changes.record(now, "missing", format!("i-{:08x}", number - 1350)),
                _ => {}
            }
        }
        lines.extend(
            changes.take_lines(now, all).into_iter().map(|line| (u64::from(tick / 10), line)),
        );
    }
    lines
}

fn value<'a>(line: &'a str, key: &str) -> &'a str {
    let mut words = line.split(' ').filter_map(|word| word.split_once('='));
    words.find(|(name, _)| *name == key).map_or("", |(_, value)| value)
}

fn count_of(lines: &[(u64, String)], kind: &str) -> usize {
    let of_kind = lines.iter().filter(|(_, line)| value(line, "kind") == kind);
    of_kind.map(|(_, line)| value(line, "count").parse::<usize>().expect("a number")).sum()
}

#[test]
fn a_repartitioning_is_summarized_in_a_few_lines() {
    let lines = repartition(false);
    assert!(lines.len() <= 30, "{} lines", lines.len());
    assert_eq!(count_of(&lines, "ready"), 810);
    assert_eq!(count_of(&lines, "draining"), 540);
    assert_eq!(count_of(&lines, "missing"), 540);
    assert!(lines.iter().all(|(_, line)| line.len() < 200), "lines are short");
}

#[test]
fn every_searcher_is_named_in_a_bounded_number_of_lines() {
    let lines = repartition(true);
    for second in 0..20 {
        let now = lines.iter().filter(|(at, _)| *at == second).count();
        assert!(now < 20, "{now} lines in second {second}");
    }
    assert_eq!(count_of(&lines, "ready"), 810);
    let ready = lines.iter().filter(|(_, line)| value(line, "kind") == "ready");
    let names: BTreeSet<&str> =
        ready.flat_map(|(_, line)| value(line, "names").split(',')).collect();
    assert_eq!(names.len(), 810, "every searcher is named");
}

#[test]
fn a_single_change_is_logged_at_once() {
    let (now, mut changes) = (Instant::now(), ChangeAggregator::default());
    changes.record(now, "gone", "i-7");
    assert_eq!(changes.take_lines(now, false), ["kind=gone count=1 names=i-7 more=0 since_ms=0"]);
    assert!(changes.take_lines(now, false).is_empty(), "each change is logged once");
    // The next change is held back until the flush interval has passed.
    changes.record(now + TICK, "gone", "i-8");
    assert!(changes.take_lines(now + TICK, false).is_empty());
    let later = changes.take_lines(now + TICK * 11, false);
    assert_eq!(later, ["kind=gone count=1 names=i-8 more=0 since_ms=1000"]);
}
