//! Rate limiting and the bounded queue report what they suppress or drop.

use std::io::Write;
use std::time::{Duration, Instant};

use bergamot_logger::{Queue, Sampler};

#[test]
fn events_above_the_rate_are_suppressed_and_counted() {
    let (mut sampler, now) = (Sampler::new(3), Instant::now());
    let admitted: Vec<_> = (0..10).filter_map(|_| sampler.admit(now)).collect();
    assert_eq!(admitted, [0, 0, 0]);
    assert_eq!(sampler.admit(now + Duration::from_millis(999)), None);
    assert_eq!(sampler.admit(now + Duration::from_secs(1)), Some(8));
}

#[test]
fn a_full_queue_drops_and_counts_lines() {
    let mut queue = Queue::default();
    for _ in 0..5000 {
        queue.write_all(b"line\n").expect("a queue takes every line");
    }
    let mut out = Vec::new();
    queue.drain(&mut out).expect("a vector takes every line");
    let text = String::from_utf8(out).expect("lines are text");
    assert_eq!(text.lines().filter(|line| *line == "line").count(), 4096);
    assert!(text.ends_with("event=lines_dropped count=904\n"), "{}", &text[text.len() - 80..]);
}
