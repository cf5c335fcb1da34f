//! Golden-file tests.
//!
//! A test file contains the input, a line of four hyphens and the expected output. Lines of the
//! input that begin with `;` are comments. The lines of a trace have the form `at MS COMMAND ...`;
//! [`trace`] executes them in order and writes one line of output for each command. With
//! `BERGAMOT_BLESS=1` the actual output is written into the files; review every changed line
//! before committing it.

use std::error::Error;
use std::path::Path;
use std::time::{Duration, Instant};

/// The line between the input and the expected output.
const SEPARATOR: &str = "----";

/// The environment variable that makes [`check`] update the files.
const BLESS_VARIABLE: &str = "BERGAMOT_BLESS";

/// Compares the output of `evaluate` for the input in a file with the expected output there.
///
/// # Errors
///
/// Returns an error with both outputs if they differ, or if the file can't be read or written or
/// has no separator line.
pub fn check(path: &Path, evaluate: impl Fn(&str) -> String) -> Result<(), Box<dyn Error>> {
    let text = std::fs::read_to_string(path)?;
    let (input, expected) = text
        .split_once(&format!("{SEPARATOR}\n"))
        .ok_or_else(|| format!("{} has no separator line {SEPARATOR}", path.display()))?;
    let input: String = input.lines().filter(|line| !line.starts_with(';')).fold(
        String::new(),
        |mut input, line| {
            input.push_str(line);
            input.push('\n');
            input
        },
    );
    let output = evaluate(&input);
    if output.trim_end() == expected.trim_end() {
        return Ok(());
    }
    if std::env::var_os(BLESS_VARIABLE).is_some() {
        let input_len = text.len() - expected.len();
        return Ok(std::fs::write(path, format!("{}{}\n", &text[..input_len], output.trim_end()))?);
    }
    let message = format!("expected:\n{}\nactual:\n{}", expected.trim_end(), output.trim_end());
    Err(message.into())
}

/// Executes a trace: calls `step` with the time and the words of the command of each line, and
/// returns the lines with their results.
pub fn trace(input: &str, mut step: impl FnMut(Instant, &[&str]) -> String) -> String {
    let start = Instant::now();
    let mut output = String::new();
    for line in input.lines().filter(|line| !line.trim().is_empty()) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let ["at", ms, command @ ..] = &*words else {
            return format!("malformed trace line, expected `at MS COMMAND ...`: {line}");
        };
        let Ok(ms) = ms.parse() else {
            return format!("malformed time in trace line: {line}");
        };
        let result = step(start + Duration::from_millis(ms), command);
        output += line;
        output += " => ";
        output += &result;
        output.push('\n');
    }
    output
}
