//! Files with an input and its stated outcome, for tests.
//!
//! A file holds the input, a line of four hyphens and the outcome that is stated for it.
//! Lines of the input that begin with `;` are comments. A trace's lines are
//! `at MS COMMAND ...`; [`trace`] plays them against a state and writes one line of
//! outcome for each command. With `BERGAMOT_BLESS=1` the outcomes are written into the
//! files, to be read line by line before they are committed.

use std::error::Error;
use std::path::Path;
use std::time::{Duration, Instant};

/// The line between the input and the stated outcome.
const BORDER: &str = "----";

/// The variable that asks for outcomes to be written into the files.
const BLESS: &str = "BERGAMOT_BLESS";

/// Compares the outcome of a file's input with the outcome that the file states.
///
/// # Errors
///
/// Returns both outcomes where they differ, or says that the file has no border.
pub fn check(path: &Path, evaluate: impl Fn(&str) -> String) -> Result<(), Box<dyn Error>> {
    let text = std::fs::read_to_string(path)?;
    let (input, stated) = text
        .split_once(&format!("{BORDER}\n"))
        .ok_or_else(|| format!("{} has no line {BORDER}", path.display()))?;
    let input: String = input.lines().filter(|line| !line.starts_with(';')).fold(
        String::new(),
        |mut input, line| {
            input.push_str(line);
            input.push('\n');
            input
        },
    );
    let outcome = evaluate(&input);
    if outcome.trim_end() == stated.trim_end() {
        return Ok(());
    }
    if std::env::var_os(BLESS).is_some() {
        let kept = text.len() - stated.len();
        return Ok(std::fs::write(path, format!("{}{}\n", &text[..kept], outcome.trim_end()))?);
    }
    let message = format!("stated:\n{}\noutcome:\n{}", stated.trim_end(), outcome.trim_end());
    Err(message.into())
}

/// Plays a trace: each line's words go to `step`, with the moment that the line names.
pub fn trace(input: &str, mut step: impl FnMut(Instant, &[&str]) -> String) -> String {
    let start = Instant::now();
    let mut outcome = String::new();
    for line in input.lines().filter(|line| !line.trim().is_empty()) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let ["at", ms, command @ ..] = &*words else {
            return format!("not a trace line: {line}");
        };
        let Ok(ms) = ms.parse() else {
            return format!("not a time: {line}");
        };
        let result = step(start + Duration::from_millis(ms), command);
        outcome += line;
        outcome += " => ";
        outcome += &result;
        outcome.push('\n');
    }
    outcome
}
