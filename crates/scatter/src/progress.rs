//! Which shards of a request have arrived, and what can still deliver the others.

/// What is known of one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Shard {
    state: State,
    /// How many attempts and queries may still deliver it.
    sources: u32,
    /// Whether the sender has asked a searcher itself.
    is_attempted: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Pending,
    Arrived,
    Missing,
}

/// The shards of one request, by their index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    shards: Vec<Shard>,
}

impl Progress {
    /// Creates the state for a number of shards, none of which has been asked for.
    pub fn new(shards: usize) -> Self {
        let shard = Shard { state: State::Pending, sources: 0, is_attempted: false };
        Self { shards: vec![shard; shards] }
    }

    /// Records that a query to a member was sent that may deliver a shard.
    pub fn add_query(&mut self, shard: usize) {
        self.shards[shard].sources += 1;
    }

    /// Records that the sender asks searchers of a shard itself.
    pub fn add_attempt(&mut self, shard: usize) {
        self.shards[shard].sources += 1;
        self.shards[shard].is_attempted = true;
    }

    /// Records that a shard is left out: nothing that may deliver it is sent.
    pub fn leave_out(&mut self, shard: usize) {
        self.shards[shard].state = State::Missing;
    }

    /// Records that a shard that was left out is asked for after all.
    pub fn recall(&mut self, shard: usize) {
        self.shards[shard].state = State::Pending;
    }

    /// Records that an attempt or a query ended without a shard. Returns whether the shard is
    /// missing because of that: nothing is left that may deliver it.
    pub fn end_source(&mut self, shard: usize) -> bool {
        let shard = &mut self.shards[shard];
        shard.sources -= 1;
        let is_missing = shard.sources == 0 && shard.state == State::Pending;
        if is_missing {
            shard.state = State::Missing;
        }
        is_missing
    }

    /// Records that a shard has arrived, and returns whether it is the first time.
    pub fn arrive(&mut self, shard: usize) -> bool {
        let is_pending = self.is_pending(shard);
        if is_pending {
            self.shards[shard].state = State::Arrived;
        }
        is_pending
    }

    /// Returns whether a shard may still arrive.
    pub fn is_pending(&self, shard: usize) -> bool {
        self.shards[shard].state == State::Pending
    }

    /// Returns whether a shard may still arrive and the sender has not asked a searcher of it
    /// itself.
    pub fn is_unattempted(&self, shard: usize) -> bool {
        self.is_pending(shard) && !self.shards[shard].is_attempted
    }

    /// Iterates over the shards that may still arrive.
    pub fn pending(&self) -> impl Iterator<Item = usize> {
        (0..self.shards.len()).filter(|shard| self.is_pending(*shard))
    }

    /// Returns how many shards have arrived or may still arrive without a query to a member for
    /// some of them.
    pub fn possible_without(&self, queried: &[usize]) -> usize {
        let only_by_query =
            |shard: &&usize| self.is_pending(**shard) && self.shards[**shard].sources <= 1;
        let possible = self.shards.iter().filter(|shard| shard.state != State::Missing).count();
        possible - queried.iter().filter(only_by_query).count()
    }
}
