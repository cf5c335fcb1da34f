//! Decisions about the handling of one request: which searcher to query, when to hedge or retry,
//! and when to answer.
//!
//! This crate is free of I/O: times and events are passed in and decisions are returned, so that
//! tests need no sockets. [`LatencyEstimator`] estimates the latency of a searcher, [`LoadReport`]
//! decides when to report it to other members, and [`best()`] chooses among the searchers.
//! [`RetryBudget`] bounds the additional attempts of the whole fleet without
//! messages between its members, and [`Spenders`] decides which [`Share`] of it one member has.
//! [`ZoneRoundTrips`] tracks the round-trip times to other zones, and
//! [`CallerDeadlines`] and [`CallerRoundTrip`] estimate how much of a caller's latency is spent
//! elsewhere.
//! [`RejectionHistory`] tells a searcher that rejects requests from callers that make mistakes.
//! [`RequestTimeouts`] computes the timeouts of a request, and [`Ending`] determines what may
//! follow the end of an exchange. [`leave_out()`] decides which shards of a gathered
//! request are not queried, [`admit()`] whether it is admitted, [`PlannedStop`] whether it is
//! accepted during a stop, and [`retry_delay()`] when a refused caller should retry. [`Tally`]
//! decides when a gathered answer
//! is sent, and [`merge_top_k`] merges its records. See `docs/design/0009-platform.md`.

mod admit;
mod caller_overhead;
mod ending;
mod latency;
mod leave_out;
mod load_report;
mod planned_stop;
mod rank;
mod record;
mod rejections;
mod retry_budget;
mod retry_delay;
mod round_trips;
mod share;
mod spenders;
mod stalls;
mod tally;
mod timeouts;

pub use admit::{admit, binding_shard};
pub use caller_overhead::{CallerDeadlines, CallerRoundTrip, Spent};
pub use ending::Ending;
pub use latency::{Estimate, LatencyEstimator};
pub use leave_out::leave_out;
pub use load_report::{LoadReport, Measured};
pub use planned_stop::{ExpectedDuration, PlannedStop};
pub use rank::{Candidate, Distance, best};
pub use record::{RECORD_LEN, may_be_incomplete, merge_top_k, sufficient_records};
pub use rejections::{Conclusion, Other, Others, RejectionHistory};
pub use retry_budget::{AttemptPriority, RetryBudget, RetryBudgetLimits};
pub use retry_delay::{Unavailability, retry_delay};
pub use round_trips::ZoneRoundTrips;
pub use share::Share;
pub use spenders::{Presence, Serving, Spenders, SpendingTimes, Statement};
pub use stalls::{StallHistory, StallPeriod};
pub use tally::{GatherDecision, Overdue, RejectedRetry, Tally};
pub use timeouts::RequestTimeouts;
