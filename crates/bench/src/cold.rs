//! Simulated ways to limit the requests to cold searchers.

use std::fmt;
use std::time::Duration;

use bergamot_model::cold::{ColdStart, Knowledge, Outcome, Way, run};

/// A searcher that tolerates 6 requests per second may receive 14 in any second.
const LIMIT: f64 = 14.0;

/// Requests per second to the shard: three times what its searchers may receive.
const REQUESTS_PER_S: f64 = 126.0;

/// How long members take to learn of a cold searcher that has not announced it.
const LATE_NOTICE: Duration = Duration::from_secs(2);

const WAYS: [(Way, &str); 5] = [
    (Way::EqualShares, "equal shares"),
    (Way::Owner, "owner"),
    (Way::OwnerPermits, "permits of the owner"),
    (Way::SeedPermits, "permits of the seeds"),
    (Way::Nothing, "nothing"),
];

const KNOWLEDGE: [(Knowledge, &str); 4] = [
    (Knowledge::Complete, "all know all"),
    (Knowledge::Split, "a third is cut off"),
    (Knowledge::Isolated, "a sixth are alone"),
    (Knowledge::Partial, "all have just started"),
];

/// The result of one way at one fleet size, over several seeds.
#[derive(Debug)]
pub struct Row {
    way: &'static str,
    knowledge: &'static str,
    members: usize,
    most: usize,
    served: f64,
    messages: f64,
    most_without_notice: usize,
}

/// Simulates every way at each size.
pub fn measure(sizes: &[usize], seeds: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for (knowledge, label) in KNOWLEDGE {
        for members in sizes {
            rows.extend(WAYS.map(|way| row(*members, way, (knowledge, label), seeds)));
        }
    }
    rows
}

fn row(
    members: usize,
    (way, way_label): (Way, &'static str),
    (knowledge, knowledge_label): (Knowledge, &'static str),
    seeds: u64,
) -> Row {
    let outcomes = |notice: Duration| -> Vec<Outcome> {
        let load = |seed| ColdStart {
            seed,
            members,
            serving: members,
            way,
            knowledge,
            requests_per_s: REQUESTS_PER_S,
            limit: LIMIT,
            notice,
        };
        (1..=seeds).map(|seed| run(&load(seed))).collect()
    };
    let most =
        |outcomes: &[Outcome]| outcomes.iter().map(|outcome| outcome.most).max().unwrap_or(0);
    let mean = |values: Vec<f64>| values.iter().sum::<f64>() / values.len().max(1) as f64;
    let announced = outcomes(Duration::ZERO);
    Row {
        way: way_label,
        knowledge: knowledge_label,
        members,
        most: most(&announced),
        served: mean(announced.iter().map(|outcome| outcome.served).collect()),
        messages: mean(announced.iter().map(|outcome| outcome.messages).collect()),
        most_without_notice: most(&outcomes(LATE_NOTICE)),
    }
}

impl Row {
    /// The table header.
    pub const HEAD: &'static str = "| what members know | members | way | most requests in a \
        second, limit 14 | served, limit 0.33 | messages a request | most if learnt within 2 s |\n\
        |---|---|---|---|---|---|---|";
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { way, knowledge, members, most, served, messages, most_without_notice } = self;
        write!(
            f,
            "| {knowledge} | {members} | {way} | {most} | {served:.3} | {messages:.2} | \
             {most_without_notice} |"
        )
    }
}
