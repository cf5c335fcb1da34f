//! Simulated convergence time of fleet membership.

use std::fmt;
use std::time::{Duration, Instant};

use bergamot_model::fleet::{FIRST_CHANGE_AT, Fleet, Report, START_SPREAD, run};

/// The share of the live members that every member must know.
const KNOWN_SHARE: f64 = 0.99;

/// The period at the end of a run, after the last event, in which steady-state traffic is
/// measured.
const STEADY_PERIOD: Duration = Duration::from_secs(10);

/// The result of one event at one fleet size.
#[derive(Debug)]
pub struct Row {
    load: &'static str,
    members: usize,
    known: Option<Duration>,
    agreed: Option<Duration>,
    /// The bytes that the mean and the busiest member sent after the event.
    sent: (f64, u64),
    /// The bytes that all members sent between zones after the event.
    between_zones: u64,
    /// The processor time per member over the whole run, on this machine.
    cpu_time: Duration,
}

/// Simulates every event at each size.
pub fn measure(sizes: &[usize], seed: u64) -> Vec<Row> {
    sizes.iter().flat_map(|members| rows(*members, seed)).collect()
}

fn rows(members: usize, seed: u64) -> Vec<Row> {
    let restored = FIRST_CHANGE_AT + Duration::from_millis(1400) + START_SPREAD;
    let healed = FIRST_CHANGE_AT + Duration::from_secs(10);
    let replaced = Fleet::with_replacements(members);
    let last = replaced.duration.saturating_sub(STEADY_PERIOD);
    let lossy = Fleet { loss: 0.1, ..Fleet::starting(members) };
    let loads = [
        ("all start at once", Fleet::starting(members), Duration::ZERO, START_SPREAD),
        ("all lose power at once", Fleet::with_power_failure(members), FIRST_CHANGE_AT, restored),
        ("one dies", Fleet::with_crash(members), FIRST_CHANGE_AT, FIRST_CHANGE_AT),
        ("a third was cut off for 10 s", Fleet::with_partition(members), healed, healed),
        ("replaced, 3,200 a day", replaced, last, last),
        ("start, one datagram in ten lost", lossy, Duration::ZERO, START_SPREAD),
    ];
    let row = |(load, fleet, start, from): (&'static str, Fleet, Duration, Duration)| {
        let fleet = Fleet { seed, ..fleet };
        let begin = Instant::now();
        let report = run(&fleet);
        let cpu_time = begin.elapsed() / members as u32;
        row(load, &fleet, &report, (start, from), cpu_time)
    };
    loads.into_iter().map(row).collect()
}

fn row(
    load: &'static str,
    fleet: &Fleet,
    report: &Report,
    (start, from): (Duration, Duration),
    cpu_time: Duration,
) -> Row {
    Row {
        load,
        members: fleet.members,
        known: report.time_until_known(from, KNOWN_SHARE),
        agreed: report.time_until_agreed(from),
        sent: report.bytes_sent(start, fleet.duration),
        between_zones: report.total_traffic(start, fleet.duration).between_zones,
        cpu_time,
    }
}

impl Row {
    /// The table header.
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
            self.cpu_time.as_secs_f64() * 1e3
        )
    }
}
