//! What a run of the model is made of.

use std::time::Duration;

use bergamot_policy::Policy;

/// The gathered requests of one route.
#[derive(Clone, Debug)]
pub struct Stream {
    /// The name, for the report.
    pub name: &'static str,
    /// How many requests come a second, over all members.
    pub per_s: f64,
    /// The mean work of a searcher of ordinary speed.
    pub work: Duration,
    /// The time within which an answer is of full use.
    pub target: Duration,
    /// How long a caller waits.
    pub deadline: Duration,
    /// The least share of the shards that makes an answer a success.
    pub coverage: f64,
}

/// How searchers pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pauses {
    /// Never.
    Never,
    /// Each at its own phase, once in each period.
    Recurring {
        /// The time from one pause to the next.
        every: Duration,
        /// How long a pause lasts.
        length: Duration,
    },
    /// At moments that are drawn, so often on average.
    Random {
        /// The mean time from one pause to the next.
        every: Duration,
        /// How long a pause lasts.
        length: Duration,
    },
}

/// A part of the searchers refuses every connection for a while.
#[derive(Clone, Copy, Debug)]
pub struct Crash {
    /// How many searchers in a hundred.
    pub percent: usize,
    /// When, from the start of the run.
    pub at: Duration,
    /// For how long.
    pub lasts: Duration,
}

/// A run of the model.
#[derive(Clone, Debug)]
pub struct Load {
    /// The seed of everything that is drawn.
    pub seed: u64,
    /// How long requests come.
    pub lasts: Duration,
    /// From when on requests count in the report, so that what must be learned first can be
    /// looked at by itself.
    pub counts_from: Duration,
    /// How many members share the requests evenly.
    pub members: usize,
    /// How many shards the index has.
    pub shards: usize,
    /// How many searchers hold each shard.
    pub replicas: usize,
    /// How many requests a searcher works on at once.
    pub slots: usize,
    /// How many requests a searcher queues before it refuses more.
    pub queue: usize,
    /// The factors by which searchers are slower, given out in turn.
    pub speeds: Vec<f64>,
    /// How searchers pause.
    pub pauses: Pauses,
    /// One way between a member and a searcher of its own region.
    pub near: Duration,
    /// One way between a member and a searcher of another region.
    pub far: Duration,
    /// How many regions there are; members and searchers are spread over them evenly.
    pub regions: usize,
    /// The routes.
    pub streams: Vec<Stream>,
    /// The searchers that crash.
    pub crash: Option<Crash>,
    /// When all members lose what they know, as at a loss of power.
    pub forgets: Option<Duration>,
    /// The mechanisms of the decisions.
    pub policy: Policy,
}

impl Default for Load {
    /// The search of returned mail: 20 shards of 2 searchers in two of three regions, 90 gathered
    /// requests a second, three in four with 20 ms of work, one with 6.7 ms and half the time.
    fn default() -> Self {
        let ms = Duration::from_millis;
        let broad = Stream {
            name: "broad",
            per_s: 67.5,
            work: ms(20),
            target: ms(200),
            deadline: ms(3000),
            coverage: 0.89,
        };
        let strict = Stream {
            name: "strict",
            per_s: 22.5,
            work: Duration::from_micros(6700),
            target: ms(100),
            deadline: ms(1500),
            coverage: 0.75,
        };
        Self {
            seed: 1,
            lasts: Duration::from_secs(30),
            counts_from: Duration::ZERO,
            members: 6,
            shards: 20,
            replicas: 2,
            slots: 2,
            queue: 12,
            speeds: vec![0.8, 1.0, 1.3],
            pauses: Pauses::Recurring { every: ms(6000), length: ms(250) },
            near: Duration::from_micros(500),
            far: ms(8),
            regions: 3,
            streams: vec![broad, strict],
            crash: None,
            forgets: None,
            policy: Policy::default(),
        }
    }
}
