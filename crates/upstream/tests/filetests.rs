//! Trace tests of slots, hedged requests, health and replica selection.

use std::error::Error;
use std::path::Path;
use std::time::{Duration, Instant};

use bergamot_base::{Budget, Deadline, Entity, Name, Searcher};
use bergamot_filetest::{check, trace};
use bergamot_query::Reason;
use bergamot_upstream::{Admission, Candidate, Health, HedgedRequest, NextAction, Slots, rank};

fn slots(path: &Path) -> Result<(), Box<dyn Error>> {
    check(path, |input| {
        let mut slots = Slots::new(2, 3);
        trace(input, |now, command| slots_step(&mut slots, now, command))
    })
}

fn slots_step(slots: &mut Slots<String>, now: Instant, command: &[&str]) -> String {
    match command {
        ["acquire", name, ms] => {
            let left = Duration::from_millis(number(ms));
            match slots.acquire(now, Deadline::after(now, left), (*name).to_owned()) {
                Admission::Admitted => "admitted".to_owned(),
                Admission::Queued => "queued".to_owned(),
                Admission::Rejected(after) => {
                    format!("rejected, retry after {} ms", after.as_millis())
                }
            }
        }
        ["release", took] => {
            let next = slots.release(now, Some(Duration::from_millis(number(took))));
            next.map_or("no waiter".to_owned(), |name| format!("{name} admitted"))
        }
        ["resize", width] => {
            slots.resize(number(width) as usize);
            slots.to_string()
        }
        ["dump"] => slots.to_string(),
        _ => "unknown command".to_owned(),
    }
}

fn hedged_request(path: &Path) -> Result<(), Box<dyn Error>> {
    check(path, |input| {
        let mut request = HedgedRequest::new([]);
        let mut budget = Budget::new(0.5, 1.0);
        trace(input, |_now, command| hedged_request_step(&mut request, &mut budget, command))
    })
}

fn hedged_request_step(
    request: &mut HedgedRequest,
    budget: &mut Budget,
    command: &[&str],
) -> String {
    let searcher = |word: &str| Searcher::from_index(number(word) as usize);
    match command {
        ["replicas", replicas @ ..] => {
            *request = HedgedRequest::new(replicas.iter().map(|word| searcher(word)));
            next(request.start())
        }
        ["hedge"] => request.hedge(budget).map_or("none".to_owned(), |next| format!("send {next}")),
        ["fail", word] => next(request.fail(searcher(word), Reason::Busy, budget)),
        ["win", word] => format!("cancel {:?}", request.succeed(searcher(word))),
        ["earn"] => {
            budget.earn();
            budget.to_string()
        }
        _ => "unknown command".to_owned(),
    }
}

fn next(next: NextAction) -> String {
    match next {
        NextAction::Send(searcher) => format!("send {searcher}"),
        NextAction::Wait => "wait".to_owned(),
        NextAction::GiveUp(reason) => format!("miss {reason}"),
    }
}

fn health(path: &Path) -> Result<(), Box<dyn Error>> {
    check(path, |input| {
        let mut healths = [0; 2].map(|_| Health::new(Duration::from_millis(4)));
        trace(input, |now, command| health_step(&mut healths, now, command))
    })
}

fn health_step(healths: &mut [Health; 2], now: Instant, command: &[&str]) -> String {
    let ["rank", version] = command else {
        let [which, command @ ..] = command else {
            return "unknown command".to_owned();
        };
        let health = &mut healths[number(which) as usize];
        match command {
            ["success", ms] => health.record_success(Duration::from_millis(number(ms))),
            ["failure"] => health.record_failure(now),
            ["write", outcome] => health.record_write(now, *outcome == "served"),
            ["writes"] => return format!("ejected {}", health.is_ejected_for_writes(now)),
            ["run", run] => health.record_run(now, &Name::from(*run), false),
            ["run_leaving", run] => health.record_run(now, &Name::from(*run), true),
            ["notice_leaving"] => return format!("new {}", health.record_leaving_notice(None)),
            ["notice_leaving", run] => {
                return format!("new {}", health.record_leaving_notice(Some(&Name::from(*run))));
            }
            ["versions", versions] => {
                health.set_versions(versions.split(',').filter_map(|version| version.parse().ok()));
            }
            _ => return "unknown command".to_owned(),
        }
        return health.to_string();
    };
    let candidates: Vec<_> = healths
        .iter()
        .enumerate()
        .map(|(i, health)| Candidate {
            searcher: Searcher::from_index(i),
            health,
            load: 0,
            slots: 2,
        })
        .collect();
    format!("{:?}", rank(now, Some(number(version)), &candidates))
}

fn number(word: &str) -> u64 {
    word.parse().unwrap_or(0)
}

datatest_stable::harness! {
    { test = slots, root = "tests/filetests/slots", pattern = r"\.txt$" },
    { test = hedged_request, root = "tests/filetests/hedged_request", pattern = r"\.txt$" },
    { test = health, root = "tests/filetests/health", pattern = r"\.txt$" },
}
