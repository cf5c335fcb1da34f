//! Decides when the answer to a request that is gathered from many shards is sent.
//!
//! Until the target latency the answer waits for every shard. After that, a partial answer with
//! the declared coverage serves the caller better than a complete one that is late. Invariant: an
//! answer is sent at most once and never below the declared coverage, and the request fails as
//! soon as the coverage can't be reached any more.

/// How many shards two searchers of which rejected the request show that it is at fault while other
/// shards are silent.
const ENOUGH_REJECTED_TESTS: usize = 3;

/// The factor by which the tests of a request may grow while those in progress are overdue.
const TEST_GROWTH: usize = 4;

/// What to do with a gathered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatherDecision {
    /// Wait for more shards.
    Wait,
    /// Answer with the shards that have arrived.
    Answer,
    /// Fail the request: too few shards can still arrive.
    Fail,
}

/// Whether another searcher may be asked for a shard whose searcher rejected the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectedRetry {
    /// One may be asked: another shard has accepted the request.
    Now,
    /// One may be asked, to test whether the request is at fault.
    Test,
    /// It is not known yet whether the request is at fault.
    Wait,
    /// The request is at fault.
    Never,
}

/// What has taken too long for a shard that waits for the test of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Overdue {
    /// The test in progress. A searcher that rejects the request does so about as fast as the first
    /// ones; one that takes longer is probably at work on it.
    Test,
    /// The answers of the shards: nearly all searchers have answered by now.
    Answer,
}

/// The state of the shards of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tally {
    shards: usize,
    required: usize,
    arrived: usize,
    missing: usize,
    deferred: usize,
    /// How many of the missing shards were left out and can still be queried.
    left_out: usize,
    /// The result of [`Tally::needs_deferred`], once it was decided.
    retry_deferred: Option<bool>,
    /// How many attempts test now whether the request is at fault.
    testing: usize,
    /// Whether two searchers of a shard have rejected it, by the last test that ended.
    is_confirmed: bool,
    /// How many attempts were begun to test the request.
    tests: usize,
    /// How many tests have ended with a rejection.
    rejected_tests: usize,
    /// Whether the request is known to be at fault.
    is_at_fault: bool,
}

impl Tally {
    /// Creates the state for a number of shards of which `required` make a success.
    pub fn new(shards: usize, required: usize) -> Self {
        Self {
            shards,
            required,
            arrived: 0,
            missing: 0,
            deferred: 0,
            left_out: 0,
            retry_deferred: None,
            testing: 0,
            is_confirmed: false,
            tests: 0,
            rejected_tests: 0,
            is_at_fault: false,
        }
    }

    /// Returns whether the request goes to a single searcher rather than to several shards.
    pub fn is_single_searcher(&self) -> bool {
        self.shards == 1
    }

    /// Records that a shard has arrived.
    pub fn record_arrived(&mut self) {
        self.arrived += 1;
    }

    /// Records that a shard can't arrive any more.
    pub fn record_missing(&mut self) {
        self.missing += 1;
    }

    /// Records that a shard is left out: it is missing unless it is recalled.
    pub fn leave_out(&mut self) {
        self.missing += 1;
        self.left_out += 1;
    }

    /// Records that a shard that was left out is queried after all.
    pub fn recall(&mut self) {
        self.missing -= 1;
        self.left_out -= 1;
    }

    /// Returns how many shards the required coverage lacks even if all that are queried arrive.
    pub fn lacking(&self) -> usize {
        self.required.saturating_sub(self.shards - self.missing)
    }

    /// Returns how many more shards have to arrive for the required coverage.
    pub fn needed(&self) -> usize {
        self.required.saturating_sub(self.arrived)
    }

    /// Records that shards which had arrived can't be used.
    pub fn discard_arrived(&mut self, shards: usize) {
        self.arrived -= shards;
        self.missing += shards;
    }

    /// Returns how many shards have arrived.
    pub fn arrived(&self) -> usize {
        self.arrived
    }

    /// Returns how many shards have not arrived.
    pub fn not_arrived(&self) -> usize {
        self.shards - self.arrived
    }

    /// Records that the first attempt of a shard failed, and that its retry is deferred until it is
    /// known whether the request needs it.
    pub fn defer(&mut self) {
        self.deferred += 1;
    }

    /// Records that the retry of a shard is no longer deferred.
    pub fn resume(&mut self) {
        self.deferred -= 1;
    }

    /// Returns whether every shard has arrived, is missing or is deferred.
    pub fn first_attempts_ended(&self) -> bool {
        self.arrived + self.missing + self.deferred == self.shards
    }

    /// Decides once for all deferred shards whether the request needs them and is likely to
    /// succeed with them.
    ///
    /// While searchers refuse most of their work, a second attempt succeeds less than half of the
    /// time: a request that needs more than a third of its deferred shards would probably fail in
    /// spite of the budget that it takes from other requests. Shards that were left out can replace
    /// as many retries that fail.
    pub fn needs_deferred(&mut self) -> bool {
        let without = self.shards - self.missing - self.deferred;
        let needed = self.required.saturating_sub(without);
        let retry = needed > 0 && needed * 3 <= self.deferred + self.left_out;
        *self.retry_deferred.get_or_insert(retry)
    }

    /// Decides whether a shard whose searcher rejected the request is asked for again, while that is
    /// deferred.
    ///
    /// A mistake of the caller is rejected by every searcher of every shard. Asking all shards twice
    /// would double the load of the fleet, so that one attempt tests it while no shard has arrived.
    pub fn retry_rejected(&mut self) -> RejectedRetry {
        match () {
            () if self.arrived > 0 => RejectedRetry::Now,
            () if self.is_at_fault => RejectedRetry::Never,
            () if self.is_confirmed && self.first_attempts_ended() => {
                self.is_at_fault = true;
                RejectedRetry::Never
            }
            () if self.is_confirmed || self.is_testing() => RejectedRetry::Wait,
            () => self.test_again(),
        }
    }

    /// Decides, as [`Self::retry_rejected`], for a shard that has waited since `begun` tests had begun.
    pub fn retry_overdue(&mut self, begun: usize, overdue: Overdue) -> RejectedRetry {
        match self.retry_rejected() {
            RejectedRetry::Wait if self.may_test_again(begun, overdue) => self.test_again(),
            decision => decision,
        }
    }

    fn may_test_again(&self, begun: usize, overdue: Overdue) -> bool {
        match overdue {
            Overdue::Test => {
                self.is_testing() && !self.is_confirmed && self.tests < begun * TEST_GROWTH
            }
            Overdue::Answer => self.tests == begun,
        }
    }

    /// Returns whether an attempt tests the request now.
    pub fn is_testing(&self) -> bool {
        self.testing > 0
    }

    /// Begins a test of the request, although one in progress may still end. After enough tests that
    /// were rejected the request is at fault, so that a shard that is silent doesn't hold it.
    pub fn test_again(&mut self) -> RejectedRetry {
        if self.rejected_tests >= ENOUGH_REJECTED_TESTS {
            self.is_at_fault = true;
            return RejectedRetry::Never;
        }
        self.is_confirmed = false;
        self.testing += 1;
        self.tests += 1;
        RejectedRetry::Test
    }

    /// Returns how many tests have begun.
    pub fn tests(&self) -> usize {
        self.tests
    }

    /// Ends a test of the request; `is_rejected` is whether the searcher rejected it too.
    pub fn end_test(&mut self, is_rejected: bool) {
        self.testing -= 1;
        self.rejected_tests += usize::from(is_rejected);
        self.is_confirmed = is_rejected;
    }

    /// Returns whether fewer shards have arrived than the coverage requires.
    pub fn is_below_coverage(&self) -> bool {
        self.arrived < self.required
    }

    /// Decides what to do next; `late` is whether the target latency has passed.
    pub fn decide(&self, late: bool) -> GatherDecision {
        if self.shards - self.missing < self.required {
            return GatherDecision::Fail;
        }
        let settled = self.arrived + self.missing == self.shards;
        if settled || (late && self.arrived >= self.required) {
            return GatherDecision::Answer;
        }
        GatherDecision::Wait
    }
}
