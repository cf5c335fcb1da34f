//! Refusals: the reply, the log line and the counter of a request without a response of a searcher.
//!
//! Invariant: every refusal is made by [`Relay::refuse`], so that each is logged and counted once,
//! with the reason and, where one shard binds, with what is known of that shard.

use std::fmt;
use std::time::{Duration, Instant};

use bergamot_base::Name;
use bergamot_declaration::Route;
use bergamot_dispatch::{Unavailability, binding_shard, retry_delay};
use hyper::header::HeaderValue;
use rand::RngExt;

use crate::choice::Choice;
use crate::handler::NO_ROUTE;
use crate::message::{Cause, Job, Refusal, Reply};
use crate::relay::Relay;

/// Why a request is refused, as named in metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reason {
    /// No declaration is known, or the quarantine is not synchronised.
    Starting,
    /// No route matches.
    NoRoute,
    /// Too few services have a searcher that the request may be sent to.
    NoSearcher,
    /// The searchers can't answer within the target latency.
    Backlog,
    /// The coordinator of the searchers has no capacity for it in time.
    Queue,
    /// The request is known to crash searchers.
    Condemned,
    /// Another member runs a trial of the request.
    Trial,
    /// All attempts at a single searcher failed.
    Attempts,
    /// Too few shards can still arrive.
    Coverage,
    /// Records that a member left out could not be fetched.
    Records,
    /// This instance stops.
    Stopping,
    /// The body found no memory.
    Memory,
}

impl Reason {
    /// Returns the label in metrics.
    fn label(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::NoRoute => "no_route",
            Self::NoSearcher => "no_searcher",
            Self::Backlog => "backlog",
            Self::Queue => "queue",
            Self::Condemned => "condemned",
            Self::Trial => "trial",
            Self::Attempts => "attempts",
            Self::Coverage => "coverage",
            Self::Records => "records",
            Self::Stopping => "stopping",
            Self::Memory => "memory",
        }
    }
}

/// The request that is refused, as named in logs and metrics.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RefusedRequest<'a> {
    pub(crate) id: &'a HeaderValue,
    pub(crate) route: &'a str,
    pub(crate) priority: u32,
}

impl<'a> From<&'a Job> for RefusedRequest<'a> {
    fn from(job: &'a Job) -> Self {
        Self { id: &job.request.id, route: &job.route, priority: job.priority }
    }
}

/// Why and how a request is refused.
#[derive(Debug)]
pub(crate) struct Rejection {
    pub(crate) cause: Cause,
    pub(crate) reason: Reason,
    /// The reason in words.
    pub(crate) description: String,
    /// Further fields of the log line, such as those of [`Binding`]; empty if there are none.
    pub(crate) fields: String,
    /// When the caller may retry, if a retry can succeed.
    pub(crate) retry_after: Option<Duration>,
}

/// The shard whose expected latency decided that a request is refused.
#[derive(Clone, Debug)]
pub(crate) struct Binding<'a> {
    shard: &'a Name,
    expected_ms: f64,
    target: Duration,
    /// The age of the newest sample of the estimate, if it has any.
    age: Option<Duration>,
}

impl<'a> Binding<'a> {
    /// Finds the binding shard of a request that needs `fewest` of some shards, given the expected
    /// latencies of those that would be queried, in milliseconds.
    pub(crate) fn find(
        shards: &'a [Name],
        choices: &[Option<Choice>],
        delays: &[Option<f64>],
        fewest: usize,
        target: Duration,
    ) -> Option<Self> {
        let index = binding_shard(delays, fewest)?;
        let sampled_at = choices[index].as_ref().and_then(|choice| choice.sampled_at);
        let age = sampled_at.map(|at| Instant::now().saturating_duration_since(at));
        Some(Self { shard: &shards[index], expected_ms: delays[index]?, target, age })
    }
}

impl fmt::Display for Binding<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (shard, target) = (self.shard, self.target.as_millis());
        write!(f, "shard={shard} expected_ms={:.1} target_ms={target} ", self.expected_ms)?;
        match self.age {
            Some(age) => write!(f, "age_ms={}", age.as_millis()),
            None => f.write_str("age_ms=none"),
        }
    }
}

impl Relay {
    /// Refuses a request: logs and counts the refusal and returns the reply.
    pub(crate) fn refuse<'a>(
        &self,
        request: impl Into<RefusedRequest<'a>>,
        rejection: Rejection,
    ) -> Reply {
        let RefusedRequest { id, route, priority } = request.into();
        let Rejection { cause, reason, description, fields, retry_after } = rejection;
        self.meter().count_refusal(route, priority, reason.label());
        let separator = if fields.is_empty() { "" } else { " " };
        log::info!(
            "relay: event=refused request={id:?} route={route} priority={priority} \
             outcome={cause:?} reason={} cause=\"{description}\"{separator}{fields}",
            reason.label()
        );
        Reply::Refused(Refusal { cause, retry_after })
    }

    /// Refuses a request whose body found no memory. Whoever read the body logs it, since such requests
    /// may be many.
    pub fn refuse_body(&self, route: Option<&Route>) -> Reply {
        let (name, priority) = route.map_or((NO_ROUTE, 0), |route| (&*route.name, route.priority));
        self.meter().count_refusal(name, priority, Reason::Memory.label());
        let retry_after = Some(self.retry_after(Unavailability::Transient));
        Reply::Refused(Refusal { cause: Cause::NoMemory, retry_after })
    }

    /// Returns a randomised delay after which the caller may retry.
    pub(crate) fn retry_after(&self, unavailability: Unavailability) -> Duration {
        retry_delay(unavailability, &self.settings.policy.comeback, rand::rng().random())
    }
}
