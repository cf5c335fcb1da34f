//! Requests during the planned stop of this member.
//!
//! `bergamot-dispatch` decides which requests are still accepted. Invariant: each request that was
//! read gets an answer before the process ends: that of the searchers, a refusal that is made at
//! once, or, at the end of the stop, one that states whether the request may have run.

use std::sync::{Arc, OnceLock};
use std::time::Instant;

use bergamot_declaration::{Route, Target};
use bergamot_dispatch::{ExpectedDuration, PlannedStop, RequestTimeouts, Unavailability};
use bergamot_placement::Constraints;
use bergamot_upstream::LatencyPercentile;
use tokio_util::sync::CancellationToken;

use crate::message::{Cause, Job, Reply};
use crate::refusal::{Reason, RefusedRequest, Rejection};
use crate::relay::Relay;

/// The stop of this member, once it is ordered.
#[derive(Debug, Default)]
pub(crate) struct StopState {
    planned: OnceLock<PlannedStop>,
    /// Cancelled when all requests must be answered.
    answers_due: CancellationToken,
}

impl StopState {
    /// Waits until all requests must be answered; never returns while no stop is ordered.
    pub(crate) async fn answers_due(&self) {
        self.answers_due.cancelled().await;
    }
}

impl Relay {
    /// Begins a planned stop: from now on only requests are accepted that the time until
    /// `answer_by` holds, and each request gets its final answer by then.
    pub fn begin_stop(self: &Arc<Self>, answer_by: Instant) {
        if self.stop.planned.set(PlannedStop { answer_by }).is_err() {
            return;
        }
        let relay = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep_until(answer_by.into()).await;
            relay.stop.answers_due.cancel();
        });
    }

    /// Refuses a request that the planned stop leaves no time for; returns `None` if it is accepted.
    pub(crate) fn refuse_during_stop(
        &self,
        job: &Job,
        route: &Route,
        timeouts: RequestTimeouts,
    ) -> Option<Reply> {
        let planned = self.stop.planned.get()?;
        let duration = self.expected_duration(route, timeouts, &job.constraints);
        let now = Instant::now();
        if planned.accepts(now, duration) {
            return None;
        }
        let left = planned.answer_by.saturating_duration_since(now).as_millis();
        let ExpectedDuration { usual, in_flight, slots, .. } = duration;
        let usual = usual.as_millis();
        let rejection = Rejection {
            cause: Cause::NotRun,
            reason: Reason::Stopping,
            description: "this instance stops before the request is expected to be answered"
                .to_owned(),
            fields: format!("left_ms={left} usual_ms={usual} in_flight={in_flight} slots={slots}"),
            retry_after: Some(self.retry_after(Unavailability::Transient)),
        };
        Some(self.refuse(job, rejection))
    }

    /// Ends a request that is still open when the stop requires its answer. `job` is its state, once
    /// its route is known.
    pub(crate) fn refuse_at_end_of_stop(
        &self,
        request: RefusedRequest<'_>,
        job: Option<&Arc<Job>>,
    ) -> Reply {
        let cause = job.map_or(Cause::NotRun, |job| job.failure_cause(true));
        if let Some(job) = job {
            job.failure_log.log(&job.request.id);
        }
        let rejection = Rejection {
            cause,
            reason: Reason::Stopping,
            description: "this instance stops, and no answer has arrived".to_owned(),
            fields: String::new(),
            retry_after: Some(self.retry_after(Unavailability::Transient)),
        };
        self.refuse(request, rejection)
    }

    /// Estimates how long a request on a route takes if it is sent now.
    ///
    /// A gathered request is answered at its target at the latest if its coverage is reached. While
    /// the latencies of a route are unknown, its target stands for them.
    fn expected_duration(
        &self,
        route: &Route,
        timeouts: RequestTimeouts,
        constraints: &Constraints,
    ) -> ExpectedDuration {
        let idle = ExpectedDuration {
            limit: timeouts.end,
            usual: timeouts.target,
            in_flight: 0,
            slots: 1,
        };
        if matches!(route.target, Target::Gather(_)) {
            return idle;
        }
        let percentile =
            self.lock().latency_percentiles.get(&route.name).and_then(LatencyPercentile::estimate);
        let usual = percentile.unwrap_or(timeouts.target);
        let services: Vec<_> = route.target.services().cloned().collect();
        let choices = self.choose_searchers(&services, constraints).into_iter().flatten();
        let occupied = choices.map(|choice| (choice.link.occupied(), choice.link.upstream.slots));
        // The parts of a split take turns, so the one with the longest queue may be next.
        let busiest = occupied.max_by_key(|(in_flight, slots)| in_flight / slots.max(&1));
        let (in_flight, slots) = busiest.unwrap_or((0, 1));
        ExpectedDuration { usual, in_flight, slots, ..idle }
    }
}
