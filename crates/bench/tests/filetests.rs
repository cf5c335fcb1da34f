//! Handwritten histories, most of which violate one invariant, with the expected violations.

use std::error::Error;
use std::path::Path;

use bergamot_bench::check::check as check_history;
use bergamot_bench::history::History;
use bergamot_filetest::check;

fn history(path: &Path) -> Result<(), Box<dyn Error>> {
    check(path, |input| match History::load(input.as_bytes()) {
        Ok(history) => {
            let violations = check_history(&history);
            let lines: Vec<_> = violations.iter().map(ToString::to_string).collect();
            if lines.is_empty() { "holds".to_owned() } else { lines.join("\n") }
        }
        Err(error) => error.to_string(),
    })
}

datatest_stable::harness! {
    { test = history, root = "tests/filetests", pattern = r"\.txt$" },
}
