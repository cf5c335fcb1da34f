//! Traces of the decisions towards searchers.

use std::error::Error;
use std::path::Path;
use std::time::{Duration, Instant};

use bergamot_base::{Budget, Deadline, Entity, Name, Searcher};
use bergamot_filetest::{check, trace};
use bergamot_query::Reason;
use bergamot_upstream::{Candidate, Entry, Health, Next, Race, Slots, rank};

fn slots(path: &Path) -> Result<(), Box<dyn Error>> {
    check(path, |input| {
        let mut slots = Slots::new(2, 3);
        trace(input, |now, command| slots_step(&mut slots, now, command))
    })
}

fn slots_step(slots: &mut Slots<String>, now: Instant, command: &[&str]) -> String {
    match command {
        ["enter", name, ms] => {
            let left = Duration::from_millis(number(ms));
            match slots.enter(now, Deadline::after(now, left), (*name).to_owned()) {
                Entry::Go => "go".to_owned(),
                Entry::Wait => "wait".to_owned(),
                Entry::Refuse(after) => format!("come back in {} ms", after.as_millis()),
            }
        }
        ["leave", took] => {
            let next = slots.leave(now, Some(Duration::from_millis(number(took))));
            next.map_or("nobody waits".to_owned(), |name| format!("{name} goes"))
        }
        ["resize", width] => {
            slots.resize(number(width) as usize);
            slots.to_string()
        }
        ["dump"] => slots.to_string(),
        _ => "unknown command".to_owned(),
    }
}

fn race(path: &Path) -> Result<(), Box<dyn Error>> {
    check(path, |input| {
        let mut race = Race::new([]);
        let mut budget = Budget::new(0.5, 1.0);
        trace(input, |_now, command| race_step(&mut race, &mut budget, command))
    })
}

fn race_step(race: &mut Race, budget: &mut Budget, command: &[&str]) -> String {
    let searcher = |word: &str| Searcher::from_index(number(word) as usize);
    match command {
        ["replicas", replicas @ ..] => {
            *race = Race::new(replicas.iter().map(|word| searcher(word)));
            next(race.start())
        }
        ["hedge"] => race.hedge(budget).map_or("none".to_owned(), |next| format!("send {next}")),
        ["fail", word] => next(race.fail(searcher(word), Reason::Busy, budget)),
        ["win", word] => format!("cancel {:?}", race.win(searcher(word))),
        ["earn"] => {
            budget.earn();
            budget.to_string()
        }
        _ => "unknown command".to_owned(),
    }
}

fn next(next: Next) -> String {
    match next {
        Next::Send(searcher) => format!("send {searcher}"),
        Next::Wait => "wait".to_owned(),
        Next::Miss(reason) => format!("miss {reason}"),
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
            ["answered", ms] => health.answered(Duration::from_millis(number(ms))),
            ["failed"] => health.failed(now),
            ["seen", run] => health.seen(now, &Name::from(*run), false),
            ["says_leaving", run] => health.seen(now, &Name::from(*run), true),
            ["told_leaving"] => return format!("news {}", health.told_leaving(None)),
            ["told_leaving", run] => {
                return format!("news {}", health.told_leaving(Some(&Name::from(*run))));
            }
            ["holds", versions] => {
                health.holds(versions.split(',').filter_map(|version| version.parse().ok()));
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
    { test = race, root = "tests/filetests/race", pattern = r"\.txt$" },
    { test = health, root = "tests/filetests/health", pattern = r"\.txt$" },
}
