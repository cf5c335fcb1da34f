//! The searchers that a gathered request asks, and the shards that it leaves out.
//!
//! The selection is made before anything is sent, and again after the request has waited for its
//! admission. Invariant: a shard that is left out doesn't count for the admission of the request.

use std::time::Duration;

use bergamot_declaration::Gather;
use bergamot_dispatch::{RequestTimeouts, Unavailability, admit};
use rand::RngExt;

use crate::choice::Choice;
use crate::left_out::{LeftOut, select_left_out};
use crate::message::{Cause, Job};
use crate::refusal::{Binding, Reason, Rejection};
use crate::relay::Relay;

/// The selection for one request.
#[derive(Debug)]
pub(crate) struct Selection {
    /// The searcher of each shard that is asked first, if the shard has one.
    pub(crate) choices: Vec<Option<Choice>>,
    /// The expected latency of each shard that is asked, in milliseconds.
    delays: Vec<Option<f64>>,
    pub(crate) left_out: Vec<LeftOut>,
}

impl Selection {
    /// Selects the searchers of a request; `answered` is the shard that has answered in a trial.
    pub(crate) fn new(
        relay: &Relay,
        job: &Job,
        gather: &Gather,
        answered: Option<usize>,
        timeouts: RequestTimeouts,
    ) -> Self {
        let choices = relay.choose_searchers(&gather.shards, &job.constraints);
        let mut delays: Vec<Option<f64>> =
            choices.iter().map(|choice| choice.as_ref().map(|choice| choice.delay)).collect();
        if let Some(answered) = answered {
            delays[answered] = Some(0.0);
        }
        let fewest = gather.min_shards();
        let left_out = select_left_out(relay, job, &delays, fewest, time_left(job, timeouts));
        let left_out = left_out
            .into_iter()
            .filter_map(|shard| Some(LeftOut { shard, expected_ms: delays[shard].take()? }))
            .collect();
        Self { choices, delays, left_out }
    }

    /// Returns the number of shards with a searcher.
    pub(crate) fn served(&self) -> usize {
        self.delays.iter().flatten().count() + self.left_out.len()
    }

    /// Returns why the request would be refused by this member's own estimates. One that may have
    /// run in a trial is not refused: its caller couldn't retry it safely.
    pub(crate) fn backlog(
        &self,
        relay: &Relay,
        job: &Job,
        gather: &Gather,
        timeouts: RequestTimeouts,
    ) -> Option<Rejection> {
        if job.may_have_run() {
            return None;
        }
        let (policy, target, fewest) =
            (&relay.settings.policy.admit, time_left(job, timeouts), gather.min_shards());
        let mut expected: Vec<f64> = self.delays.iter().flatten().copied().collect();
        let admitted = admit(&mut expected, fewest, target, policy, rand::rng().random());
        let excess = admitted.err()?;
        let binding = Binding::find(&gather.shards, &self.choices, &self.delays, fewest, target);
        Some(Rejection {
            cause: Cause::NotRun,
            reason: Reason::Backlog,
            description: "expected delay at the searchers exceeds the target latency".to_owned(),
            fields: binding.map(|binding| binding.to_string()).unwrap_or_default(),
            retry_after: Some(relay.retry_after(Unavailability::Backlog(excess))),
        })
    }
}

/// Returns the time left until the answer should be sent.
fn time_left(job: &Job, timeouts: RequestTimeouts) -> Duration {
    timeouts.target.saturating_sub(job.request.received.elapsed())
}
