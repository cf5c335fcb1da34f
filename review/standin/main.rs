//! The cases of the review: stand-ins, and the daemons of the project as separate processes.
//!
//! Usage: `standin CASE FOLDER`. The exit status is 1 if the rule of the case was broken, 0 if it
//! held, and 2 if the case couldn't run.

mod client;
mod config;
mod fleet;
mod http;
mod record;
mod searcher;
mod stop;
mod store;
mod token;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use crate::record::Record;

/// The longest time that a case may take.
const CASE_TIMEOUT: Duration = Duration::from_secs(100);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("create record.txt: {error}");
            return ExitCode::from(2);
        }
    };
    std::thread::spawn(|| {
        std::thread::sleep(CASE_TIMEOUT);
        eprintln!("the case takes too long");
        fleet::end_all();
        std::process::exit(2);
    });
    record.note(&format!("case {case}, {} disruption", if trouble { "with" } else { "without" }));
    let result = match case.as_str() {
        "config" => config::run(&record, trouble),
        "stop" => stop::run(&record, trouble),
        "token" => token::run(&record, trouble),
        other => Err(format!("no case is named {other}")),
    };
    fleet::end_all();
    let (status, text) = match result {
        Ok(false) => (0, "the rule held".to_owned()),
        Ok(true) => (1, "the rule was broken".to_owned()),
        Err(cause) => (2, format!("the case could not run: {cause}")),
    };
    record.note(&text);
    println!("{text}");
    ExitCode::from(status)
}
