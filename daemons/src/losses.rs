//! Attributes score losses to routes, reasons and times, from the logs of any number of instances.
//!
//! A complete answer within the route's target latency scores one. An answer that leaves shards
//! out scores the square of the share of shards that it contains. A late, refused or failed answer
//! scores zero. The log of requests that ended without a loss is rate-limited, and each line says
//! how many lines were suppressed before it. The suppressed requests are counted at the time of
//! that line, and are distributed over the routes in proportion to the lines that were logged.

use std::collections::BTreeMap;
use std::fmt;
use std::time::SystemTime;

use crate::log_line::field;

/// The length of an interval of [`Losses::intervals`], in seconds.
pub(crate) const INTERVAL_SECONDS: u64 = 2;

/// The number of requests and the score that they lost.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LossCount {
    /// The number of requests; suppressed log lines can make it fractional.
    pub requests: f64,
    /// The lost score, where a complete answer in time scores one.
    pub lost: f64,
}

impl LossCount {
    fn add(&mut self, requests: f64, lost: f64) {
        self.requests += requests;
        self.lost += lost;
    }
}

/// The lost score by route, by reason and over time, and the attempts for shards left out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Losses {
    /// All requests of each route.
    pub routes: BTreeMap<String, LossCount>,
    /// The requests of each route that lost something, by reason.
    pub reasons: BTreeMap<(String, String), LossCount>,
    /// All requests by interval; the key is its start in seconds since the first line.
    pub intervals: BTreeMap<u64, LossCount>,
    /// The number of shards left out, by the attempts that were made for them.
    pub left_out_shards: BTreeMap<String, u64>,
}

impl Losses {
    /// Parses log lines, in any order.
    pub fn parse(log: &str) -> Self {
        let lines: Vec<Line<'_>> = log.lines().filter_map(Line::parse).collect();
        let first = lines.iter().map(|line| line.unix_millis).min().unwrap_or_default();
        let causes: BTreeMap<&str, &str> = lines.iter().filter_map(Line::refusal).collect();
        let mut losses = Self::default();
        let mut lossless = BTreeMap::<&str, f64>::new();
        let mut suppressed = 0.0;
        for line in &lines {
            match line.field("event") {
                "ended" if !line.field("request").is_empty() => {
                    let interval =
                        (line.unix_millis - first) / 1000 / INTERVAL_SECONDS * INTERVAL_SECONDS;
                    let suppressed_before = line.number("ordinary_left_out");
                    losses.intervals.entry(interval).or_default().add(suppressed_before, 0.0);
                    suppressed += suppressed_before;
                    losses.add_end(line, interval, &causes, &mut lossless);
                }
                "shards_left_out" => {
                    for (attempts, count) in left_out_shards(line.text) {
                        *losses.left_out_shards.entry(attempts.to_owned()).or_default() += count;
                    }
                }
                _ => {}
            }
        }
        let logged: f64 = lossless.values().sum();
        for (route, count) in lossless {
            let share = suppressed * count / logged.max(1.0);
            losses.routes.entry(route.to_owned()).or_default().add(share, 0.0);
        }
        losses
    }

    /// Counts a request from the line that reports its end.
    fn add_end<'a>(
        &mut self,
        line: &Line<'a>,
        interval: u64,
        causes: &BTreeMap<&str, &str>,
        lossless: &mut BTreeMap<&'a str, f64>,
    ) {
        let route = line.field("route");
        let (reason, lost) = line.loss(causes);
        self.routes.entry(route.to_owned()).or_default().add(1.0, lost);
        self.intervals.entry(interval).or_default().add(1.0, lost);
        if lost > 0.0 {
            self.reasons.entry((route.to_owned(), reason)).or_default().add(1.0, lost);
        } else {
            *lossless.entry(route).or_default() += 1.0;
        }
    }

    /// Returns the number of all requests and the score that they lost.
    pub fn total(&self) -> LossCount {
        let mut total = LossCount::default();
        for count in self.intervals.values() {
            total.add(count.requests, count.lost);
        }
        total
    }
}

impl fmt::Display for Losses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let LossCount { requests, lost } = self.total();
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
        for (second, count) in &self.intervals {
            let lost = share(count.lost, count.requests);
            writeln!(f, "| {second} | {:.0} | {lost:.1} |", count.requests)?;
        }
        writeln!(f, "\n| shards left out after | count |\n|---|---|")?;
        self.left_out_shards
            .iter()
            .try_for_each(|(attempts, count)| writeln!(f, "| {attempts} | {count} |"))
    }
}

/// One line of a log.
struct Line<'a> {
    text: &'a str,
    /// When the line was written, in milliseconds since the Unix epoch.
    unix_millis: u64,
}

impl<'a> Line<'a> {
    fn parse(text: &'a str) -> Option<Self> {
        let time = humantime::parse_rfc3339(field(text, "ts")).ok()?;
        let since = time.duration_since(SystemTime::UNIX_EPOCH).ok()?;
        Some(Self { text, unix_millis: since.as_millis() as u64 })
    }

    fn field(&self, key: &str) -> &'a str {
        field(self.text, key)
    }

    fn number(&self, key: &str) -> f64 {
        self.field(key).parse().unwrap_or_default()
    }

    /// Returns the request and the cause if this line reports a refusal.
    fn refusal(&self) -> Option<(&'a str, &'a str)> {
        let cause = self.text.split_once("cause=\"")?.1.split_once('"')?.0;
        (self.field("event") == "refused").then(|| (self.field("request"), cause))
    }

    /// Returns the reason for the loss and the lost score, for a line that reports the end of a
    /// request.
    fn loss(&self, causes: &BTreeMap<&str, &str>) -> (String, f64) {
        let outcome = self.field("outcome");
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
                let cause = causes
                    .get(self.field("request"))
                    .map_or("", |cause| strip_leading_count(cause));
                (format!("{outcome} {cause}").trim_end().to_owned(), 1.0)
            }
        }
    }
}

fn is_refused(outcome: &str) -> bool {
    matches!(outcome, "not_ready" | "no_route" | "not_run" | "lost" | "late")
}

/// Removes the leading count of a cause, so that causes that differ only in it are grouped.
fn strip_leading_count(cause: &str) -> &str {
    cause.trim_start_matches(|c: char| c.is_ascii_digit()).trim_start()
}

/// Parses the `how` field: the attempts that were made for shards left out, and the number of
/// these shards.
fn left_out_shards(line: &str) -> impl Iterator<Item = (&str, u64)> {
    let how = line.split_once("how=\"").and_then(|(_, rest)| rest.split_once('"'));
    let variants = how.map_or("", |(how, _)| how).split("; ");
    variants.filter_map(|variant| {
        let (attempts, count) = variant.rsplit_once('=')?;
        Some((attempts, count.parse().ok()?))
    })
}
