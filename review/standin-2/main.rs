//! Plays one case of the review: starts the daemons of the deploy file as separate processes, and the
//! platform, the searchers and the clients as stand-ins.
//!
//! `standin CASE DIR` writes DIR/record.txt, and exits with 1 if the rule was broken, 0 if it held
//! and 2 if the case couldn't run. With TROUBLE=0 it does the same without the disruption.

mod cases;
mod http;
mod platform;
mod searcher;

use std::path::Path;
use std::process::ExitCode;

use crate::searcher::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, dir] = &arguments[..] else {
        eprintln!("usage: standin CASE DIR");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    let result = cases::play(case, trouble, &record);
    let (code, verdict) = match result {
        Ok(breaks) if breaks.is_empty() => (0, "the rule held".to_owned()),
        Ok(breaks) => {
            for line in breaks.iter().take(20) {
                record.note(format_args!("BROKEN: {line}"));
            }
            let first = &breaks[0];
            (1, format!("the rule was broken {} times, first: {first}", breaks.len()))
        }
        Err(error) => (2, format!("the case couldn't run: {error}")),
    };
    record.note(format_args!("trouble {trouble}: {verdict}"));
    println!("{case}: {verdict}");
    if let Err(error) = record.write(&Path::new(dir).join("record.txt")) {
        eprintln!("the record can't be written: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
