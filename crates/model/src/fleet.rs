//! Membership of a whole fleet, without sockets or clocks.
//!
//! Members run the same pure core as the daemons; what they send takes the time of the
//! distance, waits for the receiver's processor, and is lost now and then. A [`Fleet`] says
//! who starts, ends and is cut off when; its [`Report`] says how long views were apart and
//! what each member sent. Invariant: the same [`Fleet`] gives the same [`Report`].

mod net;
mod report;

use std::time::Duration;

pub use net::run;
pub use report::{Report, Sample, Traffic};

/// Something that happens to a part of the fleet.
#[derive(Clone, Debug)]
pub enum Step {
    /// These members start, each at a moment that is drawn within a time.
    Start(Vec<usize>, Duration),
    /// These members end without a word.
    Stop(Vec<usize>),
    /// These members reach each other and nobody else.
    Cut(Vec<usize>),
    /// All members reach each other again.
    Heal,
    /// The settings of all members name these members as seeds.
    Seeds(Vec<usize>),
    /// A trial of a request ends its searcher at this member, for the second time.
    Condemn(usize),
}

/// A run of the model.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The seed of everything that is drawn.
    pub seed: u64,
    /// How many members there are, spread evenly over the zones.
    pub members: usize,
    /// How many zones there are; two are a region.
    pub zones: usize,
    /// The part of datagrams that are lost.
    pub loss: f64,
    /// How far the members' clocks are apart at most.
    pub clocks: Duration,
    /// How long a member works on a datagram.
    pub work: Duration,
    /// The members that all settings name as seeds at first.
    pub seeds: Vec<usize>,
    /// What happens, in the order of time.
    pub steps: Vec<(Duration, Step)>,
    /// How long the run lasts.
    pub lasts: Duration,
}

impl Default for Fleet {
    /// Some members that start within 0.3 s, as after the first start of a deployment.
    fn default() -> Self {
        let members = 8;
        Self {
            seed: 1,
            members,
            zones: 6,
            // Losses of a local network that is used well.
            loss: 0.001,
            clocks: Duration::from_millis(200),
            // 60 us of processor time on an eighth of a core.
            work: Duration::from_micros(400),
            seeds: vec![0, 1, 2],
            steps: Vec::new(),
            lasts: Duration::from_secs(10),
        }
    }
}

/// How long it takes from the first member's start to the last one's.
pub const WITHIN: Duration = Duration::from_millis(300);

/// When something happens to a fleet that has been running for a while.
pub const LATER: Duration = Duration::from_secs(12);

impl Fleet {
    /// All members start within [`WITHIN`].
    pub fn starting(members: usize) -> Self {
        let steps = vec![(Duration::ZERO, Step::Start((0..members).collect(), WITHIN))];
        Self { members, steps, ..Self::default() }
    }

    /// All members lose their power [`LATER`], and start again 1.4 s after that.
    pub fn losing_power(members: usize) -> Self {
        let all: Vec<usize> = (0..members).collect();
        let back = LATER + Duration::from_millis(1400);
        let stop = (LATER, Step::Stop(all.clone()));
        Self::starting(members).then([stop, (back, Step::Start(all, WITHIN))])
    }

    /// A third of the members is cut off from [`LATER`] on, for 10 s.
    pub fn cut_apart(members: usize) -> Self {
        let third = (0..members).filter(|member| member % 3 == 0).collect();
        let end = LATER + Duration::from_secs(10);
        Self::starting(members).then([(LATER, Step::Cut(third)), (end, Step::Heal)])
    }

    /// One member dies [`LATER`].
    pub fn losing_one(members: usize) -> Self {
        Self::starting(members).then([(LATER, Step::Stop(vec![members / 2]))])
    }

    /// A member condemns a request [`LATER`].
    pub fn condemning(members: usize) -> Self {
        Self::starting(members).then([(LATER, Step::Condemn(members / 2))])
    }

    /// Members are killed and start again a second later, 3,200 times a day in a fleet of
    /// 1,800, from [`LATER`] on for 30 s; in a smaller one as often.
    pub fn being_replaced(members: usize) -> Self {
        let gap = Duration::from_hours(24) / 3_200;
        let one = |turn: u32| {
            let (member, at) = (turn as usize * 7 % members, LATER + gap * turn);
            let back = at + Duration::from_secs(1);
            [(at, Step::Stop(vec![member])), (back, Step::Start(vec![member], Duration::ZERO))]
        };
        Self::starting(members).then((0..2).flat_map(one))
    }

    /// Adds what happens after that, and time for it.
    #[must_use]
    pub fn then(mut self, steps: impl IntoIterator<Item = (Duration, Step)>) -> Self {
        self.steps.extend(steps);
        let last = self.steps.iter().map(|(at, _)| *at).max().unwrap_or_default();
        self.lasts = last + Duration::from_secs(10);
        self
    }
}
