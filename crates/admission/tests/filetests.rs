//! Traces of the concurrency limiter of a workspace.

use std::error::Error;
use std::path::Path;
use std::time::Duration;

use bergamot_admission::{Class, ConcurrencyLimiter};
use bergamot_filetest::{check, trace};

fn gate(path: &Path) -> Result<(), Box<dyn Error>> {
    check(path, |input| {
        let mut limiter = ConcurrencyLimiter::new(1);
        trace(input, |_now, command| step(&mut limiter, command))
    })
}

fn step(limiter: &mut ConcurrencyLimiter, command: &[&str]) -> String {
    let class = |word: &str| {
        if word == "bulk" { Class::Bulk } else { Class::Interactive }
    };
    match command {
        ["bound", bound] => limiter.set_limit(bound.parse().unwrap_or(1)),
        ["enter", word] => {
            return match limiter.try_acquire(class(word)) {
                Ok(()) => "admitted".to_owned(),
                Err(refusal) => {
                    format!("refused, retry after {} ms", refusal.retry_after.as_millis())
                }
            };
        }
        ["leave", word, ms] => {
            limiter.release(class(word), Duration::from_millis(ms.parse().unwrap_or(0)));
        }
        _ => return "unknown command".to_owned(),
    }
    limiter.to_string()
}

datatest_stable::harness! {
    { test = gate, root = "tests/filetests", pattern = r"\.txt$" },
}
