//! Trace tests of `Owner`.

use std::error::Error;
use std::path::Path;
use std::time::{Duration, Instant};

use bergamot_filetest::{check, trace};
use bergamot_write::{Decision, Key, Outcome, Owner};

/// The key window of the owner under test; its incarnation is `a`.
const WINDOW: Duration = Duration::from_secs(1);

fn owner(path: &Path) -> Result<(), Box<dyn Error>> {
    check(path, |input| {
        let mut owner = None;
        trace(input, |now, command| {
            let owner = owner.get_or_insert_with(|| Owner::new(0xa, now, WINDOW));
            step(owner, now, command)
        })
    })
}

fn step(owner: &mut Owner, now: Instant, command: &[&str]) -> String {
    match command {
        ["start"] => owner.prefix(now).to_string(),
        ["begin", key, digest] => match key.parse::<Key>() {
            Ok(key) => begin(owner, now, &key, digest.parse().unwrap_or(0)),
            Err(error) => format!("bad key, allowed: {error}"),
        },
        ["finish", key, status] => {
            let Ok(key) = key.parse::<Key>() else {
                return "bad key".to_owned();
            };
            let outcome = match *status {
                "done" => Outcome::done("r1"),
                "not_run" => Outcome::not_run("said so"),
                _ => Outcome::unknown("in doubt"),
            };
            owner.finish(&key, outcome);
            "ok".to_owned()
        }
        ["dump"] => owner.to_string(),
        _ => "unknown command".to_owned(),
    }
}

fn begin(owner: &mut Owner, now: Instant, key: &Key, digest: u64) -> String {
    match owner.begin(now, key, digest) {
        Decision::Execute => "execute".to_owned(),
        Decision::Join => "join".to_owned(),
        Decision::Replay(outcome) => format!("replay {} ({})", outcome.status, outcome.reason),
        Decision::Forward(incarnation) => format!("forward {incarnation:x}"),
        Decision::Conflict => "conflict".to_owned(),
        Decision::Full => "full".to_owned(),
    }
}

datatest_stable::harness! {
    { test = owner, root = "tests/filetests", pattern = r"\.txt$" },
}
