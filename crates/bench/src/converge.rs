//! How long the members of a fleet take to know each other, by the model.

use std::fmt;
use std::time::{Duration, Instant};

use bergamot_model::fleet::{FIRST_CHANGE_AT, Fleet, Report, START_SPREAD, run};

/// The share of the living members that everybody must know.
const KNOWN: f64 = 0.99;

/// How long after the last event control is steady, and is measured until the end.
const STEADY: Duration = Duration::from_secs(10);

/// One load at one size.
#[derive(Debug)]
pub struct Row {
    load: &'static str,
    members: usize,
    known: Option<Duration>,
    agreed: Option<Duration>,
    /// What the mean and the busiest member sent because of it, in bytes.
    sent: (f64, u64),
    /// What all sent between zones because of it, in bytes.
    between_zones: u64,
    /// The time of this machine's processor that a member's core took over the whole run.
    work: Duration,
}

/// Plays every load at each size.
pub fn measure(sizes: &[usize], seed: u64) -> Vec<Row> {
    sizes.iter().flat_map(|members| rows(*members, seed)).collect()
}

fn rows(members: usize, seed: u64) -> Vec<Row> {
    let back = FIRST_CHANGE_AT + Duration::from_millis(1400) + START_SPREAD;
    let healed = FIRST_CHANGE_AT + Duration::from_secs(10);
    let replaced = Fleet::with_replacements(members);
    let last = replaced.duration.saturating_sub(STEADY);
    let lossy = Fleet { loss: 0.1, ..Fleet::starting(members) };
    let loads = [
        ("all start at once", Fleet::starting(members), Duration::ZERO, START_SPREAD),
        ("all lose power at once", Fleet::with_power_failure(members), FIRST_CHANGE_AT, back),
        ("one dies", Fleet::with_crash(members), FIRST_CHANGE_AT, FIRST_CHANGE_AT),
        ("a third was cut off for 10 s", Fleet::with_partition(members), healed, healed),
        ("replaced, 3,200 a day", replaced, last, last),
        ("start, one datagram in ten lost", lossy, Duration::ZERO, START_SPREAD),
    ];
    let row = |(load, fleet, begun, from): (&'static str, Fleet, Duration, Duration)| {
        let fleet = Fleet { seed, ..fleet };
        let begin = Instant::now();
        let report = run(&fleet);
        let work = begin.elapsed() / members as u32;
        row(load, &fleet, &report, (begun, from), work)
    };
    loads.into_iter().map(row).collect()
}

fn row(
    load: &'static str,
    fleet: &Fleet,
    report: &Report,
    (begun, from): (Duration, Duration),
    work: Duration,
) -> Row {
    Row {
        load,
        members: fleet.members,
        known: report.time_until_known(from, KNOWN),
        agreed: report.time_until_agreed(from),
        sent: report.bytes_sent(begun, fleet.duration),
        between_zones: report.total_traffic(begun, fleet.duration).between_zones,
        work,
    }
}

impl Row {
    /// The heads of the columns.
    pub const HEAD: &'static str = "| load | members | all know 99 in 100, s | all agree, s | \
        kB sent in the 10 s after it, mean | most | kB between zones, all | ms of processor a member |\n\
        |---|---|---|---|---|---|---|---|";
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = |time: Option<Duration>| {
            time.map_or_else(
                || "not within 10".to_owned(),
                |time| format!("{:.2}", time.as_secs_f64()),
            )
        };
        let Self { load, members, sent: (mean, most), .. } = self;
        write!(
            f,
            "| {load} | {members} | {} | {} | {:.1} | {:.1} | {:.0} | {:.1} |",
            seconds(self.known),
            seconds(self.agreed),
            mean / 1e3,
            *most as f64 / 1e3,
            self.between_zones as f64 / 1e3,
            self.work.as_secs_f64() * 1e3
        )
    }
}
