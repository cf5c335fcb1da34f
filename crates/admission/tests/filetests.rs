//! Traces of the concurrency limiter of a workspace.

use std::error::Error;
use std::path::Path;
use std::time::Duration;

use bergamot_admission::{Class, Gate};
use bergamot_filetest::{check, trace};

fn gate(path: &Path) -> Result<(), Box<dyn Error>> {
    check(path, |input| {
        let mut gate = Gate::new(1);
        trace(input, |_now, command| step(&mut gate, command))
    })
}

fn step(gate: &mut Gate, command: &[&str]) -> String {
    let class = |word: &str| {
        if word == "bulk" { Class::Bulk } else { Class::Interactive }
    };
    match command {
        ["bound", bound] => gate.resize(bound.parse().unwrap_or(1)),
        ["enter", word] => {
            return match gate.enter(class(word)) {
                Ok(()) => "admitted".to_owned(),
                Err(refusal) => {
                    format!("refused, retry after {} ms", refusal.retry_after.as_millis())
                }
            };
        }
        ["leave", word, ms] => {
            gate.leave(class(word), Duration::from_millis(ms.parse().unwrap_or(0)));
        }
        _ => return "unknown command".to_owned(),
    }
    gate.to_string()
}

datatest_stable::harness! {
    { test = gate, root = "tests/filetests", pattern = r"\.txt$" },
}
