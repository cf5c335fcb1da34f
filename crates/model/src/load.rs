//! The parameters of a simulation run.

use std::time::Duration;

use bergamot_policy::Policy;

/// The gathered requests of one route, which arrive as a Poisson process.
#[derive(Clone, Debug)]
pub struct Stream {
    /// The name of the route in the report.
    pub name: &'static str,
    /// The request rate over all members, per second.
    pub rate_per_s: f64,
    /// The mean service time of a searcher with a speed of 1.
    pub work: Duration,
    /// The target latency: later responses count as late.
    pub target: Duration,
    /// The time after which a request fails.
    pub deadline: Duration,
    /// The minimum share of the shards in a successful response.
    pub coverage: f64,
}

/// How searchers pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pauses {
    /// Never.
    Never,
    /// Once per period, at a phase that differs between searchers.
    Recurring {
        /// The time from one pause to the next.
        every: Duration,
        /// How long a pause lasts.
        length: Duration,
    },
    /// At random times.
    Random {
        /// The mean time from the end of one pause to the start of the next.
        every: Duration,
        /// How long a pause lasts.
        length: Duration,
    },
}

/// A crash of some searchers, which refuse every connection until they recover.
#[derive(Clone, Copy, Debug)]
pub struct Crash {
    /// The percentage of the searchers that crash.
    pub percent: usize,
    /// When they crash, from the start of the run.
    pub at: Duration,
    /// How long they refuse connections.
    pub duration: Duration,
}

/// The parameters of a run.
#[derive(Clone, Debug)]
pub struct Load {
    /// The seed of all random values.
    pub seed: u64,
    /// For how long requests arrive.
    pub duration: Duration,
    /// When measurement starts: requests that arrive earlier are left out of the report, so that
    /// the learning phase can be excluded.
    pub measure_from: Duration,
    /// The number of members; requests are distributed evenly over them.
    pub members: usize,
    /// How many shards the index has.
    pub shards: usize,
    /// How many searchers serve each shard.
    pub replicas: usize,
    /// How many requests a searcher processes concurrently.
    pub slots: usize,
    /// How many requests a searcher queues before it rejects more.
    pub queue_capacity: usize,
    /// Factors on the service time, assigned to the searchers in turn; above 1 is slower.
    pub service_time_factors: Vec<f64>,
    /// How searchers pause.
    pub pauses: Pauses,
    /// The one-way latency between a member and a searcher of the same region.
    pub intra_region_latency: Duration,
    /// The one-way latency between a member and a searcher of another region.
    pub inter_region_latency: Duration,
    /// The number of regions; members and searchers are distributed evenly over them.
    pub regions: usize,
    /// The routes.
    pub streams: Vec<Stream>,
    /// The crash to simulate, if any.
    pub crash: Option<Crash>,
    /// When all members lose their state, as after a power failure.
    pub state_loss_at: Option<Duration>,
    /// The settings of the dispatch logic.
    pub policy: Policy,
}

impl Default for Load {
    /// The workload of the returned-mail search: 20 shards of 2 searchers in two of three regions,
    /// 90 gathered requests per second. Three quarters take 20 ms of work; the others take 6.7 ms
    /// and have half the target latency and deadline.
    fn default() -> Self {
        let ms = Duration::from_millis;
        let broad = Stream {
            name: "broad",
            rate_per_s: 67.5,
            work: ms(20),
            target: ms(200),
            deadline: ms(3000),
            coverage: 0.89,
        };
        let strict = Stream {
            name: "strict",
            rate_per_s: 22.5,
            work: Duration::from_micros(6700),
            target: ms(100),
            deadline: ms(1500),
            coverage: 0.75,
        };
        Self {
            seed: 1,
            duration: Duration::from_secs(30),
            measure_from: Duration::ZERO,
            members: 6,
            shards: 20,
            replicas: 2,
            slots: 2,
            queue_capacity: 12,
            service_time_factors: vec![0.8, 1.0, 1.3],
            pauses: Pauses::Recurring { every: ms(6000), length: ms(250) },
            intra_region_latency: Duration::from_micros(500),
            inter_region_latency: ms(8),
            regions: 3,
            streams: vec![broad, strict],
            crash: None,
            state_loss_at: None,
            policy: Policy::default(),
        }
    }
}
