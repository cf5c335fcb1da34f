//! Discrete-event simulation of the membership protocol over a whole fleet, without sockets.
//!
//! Members run the same I/O-free protocol core as the daemons. Datagrams are delayed by the
//! network latency, queue until the receiver has processed earlier ones, and are lost at random.
//! A [`Fleet`] says which members start, stop or are partitioned at which time; its [`Report`]
//! says how long membership views differed and what each member sent. Invariant: the same
//! [`Fleet`] gives the same [`Report`].

mod report;
mod simulation;

use std::time::Duration;

pub use report::{Report, Sample, Traffic};
pub use simulation::run;

/// A scheduled change to the fleet.
#[derive(Clone, Debug)]
pub enum Step {
    /// Starts these members, each at a random time within the duration.
    Start(Vec<usize>, Duration),
    /// Stops these members without a departure message, as a crash does.
    Stop(Vec<usize>),
    /// Partitions the network: these members reach only each other.
    Partition(Vec<usize>),
    /// Ends the partition.
    Heal,
    /// Changes the configured seeds of all members.
    SetSeeds(Vec<usize>),
    /// Ends searchers by trials of a request at this member, so that it condemns the request.
    Condemn(usize),
}

/// The parameters of a run.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The seed of all random values.
    pub seed: u64,
    /// The number of members, distributed evenly over the zones.
    pub members: usize,
    /// The number of zones; two zones form a region.
    pub zones: usize,
    /// The fraction of datagrams that are lost.
    pub loss: f64,
    /// The maximum difference between the members' clocks.
    pub max_clock_skew: Duration,
    /// How long a member processes one datagram.
    pub processing_time: Duration,
    /// The seeds that all members are configured with at the start.
    pub seeds: Vec<usize>,
    /// The scheduled changes with their times from the start of the run.
    pub steps: Vec<(Duration, Step)>,
    /// The length of the run.
    pub duration: Duration,
}

impl Default for Fleet {
    /// A small fleet without any steps.
    fn default() -> Self {
        let members = 8;
        Self {
            seed: 1,
            members,
            zones: 6,
            // The loss rate of a well-utilised local network.
            loss: 0.001,
            max_clock_skew: Duration::from_millis(200),
            // 60 us of CPU time on an eighth of a core.
            processing_time: Duration::from_micros(400),
            seeds: vec![0, 1, 2],
            steps: Vec::new(),
            duration: Duration::from_secs(10),
        }
    }
}

/// The time from the first member's start to the last one's.
pub const START_SPREAD: Duration = Duration::from_millis(300);

/// The time of the first change to a fleet that has converged after its start.
pub const FIRST_CHANGE_AT: Duration = Duration::from_secs(12);

impl Fleet {
    /// Starts all members within [`START_SPREAD`].
    pub fn starting(members: usize) -> Self {
        let steps = vec![(Duration::ZERO, Step::Start((0..members).collect(), START_SPREAD))];
        Self { members, steps, ..Self::default() }
    }

    /// Stops all members at [`FIRST_CHANGE_AT`], as a power failure does, and starts them again
    /// 1.4 s later.
    pub fn with_power_failure(members: usize) -> Self {
        let all: Vec<usize> = (0..members).collect();
        let back = FIRST_CHANGE_AT + Duration::from_millis(1400);
        let stop = (FIRST_CHANGE_AT, Step::Stop(all.clone()));
        Self::starting(members).with_steps([stop, (back, Step::Start(all, START_SPREAD))])
    }

    /// Partitions a third of the members from the others for 10 s, from [`FIRST_CHANGE_AT`] on.
    pub fn with_partition(members: usize) -> Self {
        let third = (0..members).filter(|member| member % 3 == 0).collect();
        let end = FIRST_CHANGE_AT + Duration::from_secs(10);
        Self::starting(members)
            .with_steps([(FIRST_CHANGE_AT, Step::Partition(third)), (end, Step::Heal)])
    }

    /// Stops one member at [`FIRST_CHANGE_AT`].
    pub fn with_crash(members: usize) -> Self {
        Self::starting(members).with_steps([(FIRST_CHANGE_AT, Step::Stop(vec![members / 2]))])
    }

    /// Makes one member condemn a request at [`FIRST_CHANGE_AT`].
    pub fn with_condemnation(members: usize) -> Self {
        Self::starting(members).with_steps([(FIRST_CHANGE_AT, Step::Condemn(members / 2))])
    }

    /// Stops two members in turn from [`FIRST_CHANGE_AT`] on and starts each again a second later,
    /// at a rate of 3,200 replacements a day. That is the rate of a fleet of 1,800 members; smaller
    /// fleets have the same.
    pub fn with_replacements(members: usize) -> Self {
        let gap = Duration::from_hours(24) / 3_200;
        let replacement = |turn: u32| {
            let (member, at) = (turn as usize * 7 % members, FIRST_CHANGE_AT + gap * turn);
            let back = at + Duration::from_secs(1);
            [(at, Step::Stop(vec![member])), (back, Step::Start(vec![member], Duration::ZERO))]
        };
        Self::starting(members).with_steps((0..2).flat_map(replacement))
    }

    /// Appends steps and extends the run to 10 s after the last step.
    #[must_use]
    pub fn with_steps(mut self, steps: impl IntoIterator<Item = (Duration, Step)>) -> Self {
        self.steps.extend(steps);
        let last = self.steps.iter().map(|(at, _)| *at).max().unwrap_or_default();
        self.duration = last + Duration::from_secs(10);
        self
    }
}
