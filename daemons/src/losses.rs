//! Where the worth of a day was lost, from the log lines of any number of instances.
//!
//! A whole answer within the route's target latency is worth one; one that leaves shards out is
//! worth the square of the share that is in; a late, refused or failed one is worth nothing.
//! Ordinary ends are logged up to a settled rate, with how many were left out: those are counted
//! in the second of the line and, by route, in proportion to the lines that were logged.

use std::collections::BTreeMap;
use std::fmt;
use std::time::SystemTime;

use crate::line::value;

/// How many seconds share a row of the table of moments.
pub(crate) const SECONDS_A_ROW: u64 = 2;

/// A count of requests and what they lost.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Count {
    /// How many requests.
    pub requests: f64,
    /// What they lost, where a whole answer in time is worth one.
    pub lost: f64,
}

impl Count {
    fn add(&mut self, requests: f64, lost: f64) {
        self.requests += requests;
        self.lost += lost;
    }
}

/// What was lost, by route and reason, by moment, and why shards were left out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Losses {
    /// All requests of each route.
    pub routes: BTreeMap<String, Count>,
    /// The requests of each route that lost something, by reason.
    pub reasons: BTreeMap<(String, String), Count>,
    /// All requests by moment, in seconds since the first line.
    pub moments: BTreeMap<u64, Count>,
    /// How many shards were left out, by what was tried for them.
    pub left_out: BTreeMap<String, u64>,
}

impl Losses {
    /// Reads log lines, in any order.
    pub fn read(log: &str) -> Self {
        let lines: Vec<Line<'_>> = log.lines().filter_map(Line::read).collect();
        let first = lines.iter().map(|line| line.millis).min().unwrap_or_default();
        let causes: BTreeMap<&str, &str> = lines.iter().filter_map(Line::refusal).collect();
        let mut losses = Self::default();
        let mut ordinary = BTreeMap::<&str, f64>::new();
        let mut unlogged = 0.0;
        for line in &lines {
            match line.value("event") {
                "ended" if !line.value("request").is_empty() => {
                    let second = (line.millis - first) / 1000 / SECONDS_A_ROW * SECONDS_A_ROW;
                    let left_out = line.number("ordinary_left_out");
                    losses.moments.entry(second).or_default().add(left_out, 0.0);
                    unlogged += left_out;
                    losses.end(line, second, &causes, &mut ordinary);
                }
                "shards_left_out" => {
                    for (tried, count) in tried(line.text) {
                        *losses.left_out.entry(tried.to_owned()).or_default() += count;
                    }
                }
                _ => {}
            }
        }
        let logged: f64 = ordinary.values().sum();
        for (route, count) in ordinary {
            let share = unlogged * count / logged.max(1.0);
            losses.routes.entry(route.to_owned()).or_default().add(share, 0.0);
        }
        losses
    }

    fn end<'a>(
        &mut self,
        line: &Line<'a>,
        second: u64,
        causes: &BTreeMap<&str, &str>,
        ordinary: &mut BTreeMap<&'a str, f64>,
    ) {
        let route = line.value("route");
        let (reason, lost) = line.loss(causes);
        self.routes.entry(route.to_owned()).or_default().add(1.0, lost);
        self.moments.entry(second).or_default().add(1.0, lost);
        if lost > 0.0 {
            self.reasons.entry((route.to_owned(), reason)).or_default().add(1.0, lost);
        } else {
            *ordinary.entry(route).or_default() += 1.0;
        }
    }

    /// Returns all requests and what they lost together.
    pub fn total(&self) -> Count {
        let mut total = Count::default();
        for count in self.moments.values() {
            total.add(count.requests, count.lost);
        }
        total
    }
}

impl fmt::Display for Losses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Count { requests, lost } = self.total();
        let share = |part: f64, whole: f64| part * 100.0 / whole.max(1.0);
        writeln!(f, "requests={requests:.0} lost={:.2}%\n", share(lost, requests))?;
        writeln!(f, "| route | requests | reason | of them | lost, % of the route |")?;
        writeln!(f, "|---|---|---|---|---|")?;
        for ((route, reason), count) in &self.reasons {
            let all = self.routes[route].requests;
            let lost = share(count.lost, all);
            writeln!(f, "| {route} | {all:.0} | {reason} | {:.0} | {lost:.2} |", count.requests)?;
        }
        writeln!(f, "\n| from second | requests | lost, % |\n|---|---|---|")?;
        for (second, count) in &self.moments {
            let lost = share(count.lost, count.requests);
            writeln!(f, "| {second} | {:.0} | {lost:.1} |", count.requests)?;
        }
        writeln!(f, "\n| shards left out after | count |\n|---|---|")?;
        self.left_out.iter().try_for_each(|(tried, count)| writeln!(f, "| {tried} | {count} |"))
    }
}

/// One line of a log.
struct Line<'a> {
    text: &'a str,
    /// The time at which it was written, in milliseconds since 1970.
    millis: u64,
}

impl<'a> Line<'a> {
    fn read(text: &'a str) -> Option<Self> {
        let time = humantime::parse_rfc3339(value(text, "ts")).ok()?;
        let since = time.duration_since(SystemTime::UNIX_EPOCH).ok()?;
        Some(Self { text, millis: since.as_millis() as u64 })
    }

    fn value(&self, key: &str) -> &'a str {
        value(self.text, key)
    }

    fn number(&self, key: &str) -> f64 {
        self.value(key).parse().unwrap_or_default()
    }

    /// Returns the request that was refused and the cause, if this line says so.
    fn refusal(&self) -> Option<(&'a str, &'a str)> {
        let cause = self.text.split_once("cause=\"")?.1.split_once('"')?.0;
        (self.value("event") == "refused").then(|| (self.value("request"), cause))
    }

    /// Says why the request of an end lost how much.
    fn loss(&self, causes: &BTreeMap<&str, &str>) -> (String, f64) {
        let outcome = self.value("outcome");
        let target = self.number("target_ms");
        if target > 0.0 && self.number("took_ms") > target && !is_refused(outcome) {
            return ("late".to_owned(), 1.0);
        }
        match outcome {
            "complete" => (String::new(), 0.0),
            "passed" if self.number("status") < 500.0 => (String::new(), 0.0),
            "passed" => ("failed by the searcher".to_owned(), 1.0),
            "partial" => {
                let (missing, shards) = (self.number("missing"), self.number("shards").max(1.0));
                ("parts missing".to_owned(), 1.0 - (1.0 - missing / shards).powi(2))
            }
            _ => {
                let cause =
                    causes.get(self.value("request")).map_or("", |cause| without_numbers(cause));
                (format!("{outcome} {cause}").trim_end().to_owned(), 1.0)
            }
        }
    }
}

fn is_refused(outcome: &str) -> bool {
    matches!(outcome, "not_ready" | "no_route" | "not_run" | "lost" | "late")
}

/// Drops the leading count of a cause, so that like causes fall together.
fn without_numbers(cause: &str) -> &str {
    cause.trim_start_matches(|at: char| at.is_ascii_digit()).trim_start()
}

/// Reads what was tried for shards that were left out, and for how many.
fn tried(line: &str) -> impl Iterator<Item = (&str, u64)> {
    let how = line.split_once("how=\"").and_then(|(_, rest)| rest.split_once('"'));
    let variants = how.map_or("", |(how, _)| how).split("; ");
    variants.filter_map(|variant| {
        let (tried, count) = variant.rsplit_once('=')?;
        Some((tried, count.parse().ok()?))
    })
}
