//! The table of all mechanisms with their parameters and defaults.

use std::time::Duration;

use snafu::Snafu;

use crate::parameter::{Mechanism, Parameter, Value};

/// The error returned when a mechanism to be switched off doesn't exist.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("switch off {name}: no such mechanism; there are {}", NAMES.join(", ")))]
pub struct Unknown {
    /// The unknown name.
    pub name: String,
}

macro_rules! policy {
    ($(
        $(#[doc = $help:literal])+
        $group:ident: $Group:ident {
            $( $(#[doc = $grounds:literal])+ $parameter:ident: $type:ty = $default:expr, $unit:literal; )*
        }
    )*) => {
        $(
            $(#[doc = $help])+
            #[derive(Clone, Copy, Debug, PartialEq)]
            pub struct $Group {
                /// Whether the mechanism is on.
                pub on: bool,
                $( $(#[doc = $grounds])+ #[doc = concat!("\nUnit: ", $unit, ".")] pub $parameter: $type, )*
            }

            impl Default for $Group {
                fn default() -> Self {
                    Self { on: true, $($parameter: $default,)* }
                }
            }

            impl $Group {
                fn describe(&self) -> Mechanism {
                    let parameters = vec![$( Parameter {
                        name: stringify!($parameter),
                        value: Value::text(&self.$parameter),
                        unit: $unit,
                        grounds: concat!($($grounds, "\n"),+),
                    }, )*];
                    let help = concat!($($help, "\n"),+);
                    Mechanism { name: stringify!($group), on: self.on, help, parameters }
                }
            }
        )*

        /// The settings of all mechanisms.
        #[derive(Clone, Copy, Debug, Default, PartialEq)]
        pub struct Policy { $( $(#[doc = $help])+ pub $group: $Group, )* }

        /// The names of all mechanisms.
        pub const NAMES: &[&str] = &[$(stringify!($group)),*];

        impl Policy {
            /// Returns the policy with the named mechanisms switched off.
            pub fn without<T: AsRef<str>>(mut self, names: &[T]) -> Result<Self, Unknown> {
                for name in names {
                    match name.as_ref() {
                        $( stringify!($group) => self.$group.on = false, )*
                        name => return Err(Unknown { name: name.to_owned() }),
                    }
                }
                Ok(self)
            }

            /// Describes all mechanisms in table order.
            pub fn mechanisms(&self) -> Vec<Mechanism> {
                vec![$(self.$group.describe()),*]
            }
        }
    };
}

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

policy! {
    /// Sends a second attempt to another searcher of the service if the first one takes longer than
    /// usual; the first answer is used. If off, only a failed attempt leads to another one.
    hedge: Hedge {
        /// Searchers pause for several hundred milliseconds, and a remote one answers about 30 ms
        /// after it is asked, so a hedge at a third of the target still meets a target of 80 ms.
        /// Hedging earlier gains nothing under normal load, and duplicates work just when queues
        /// start to grow.
        earliest: f64 = 0.33, "of the target latency";
        /// Under load the usual latency exceeds a third of the target, and without this bound every
        /// attempt would be hedged there until the retry budget is spent. With a target of 100 ms,
        /// one of the strictest, a hedge after 0.6 of it is just in time.
        latest: f64 = 0.6, "of the target latency";
        /// Answers typically vary by this factor around their usual latency.
        factor: f64 = 1.2, "times the usual latency";
        /// Searchers are paused for about 4% of the time: beyond the 94th percentile, most
        /// unanswered requests are at a paused searcher. At the 85th, the retry budget is spent on
        /// answers that are already on their way.
        percentile: usize = 94, "percent of first attempts";
    }

    /// Sends a request whose attempt failed to another searcher. If off, the first failure ends the
    /// request or its shard.
    retry: Retry {
        /// Each refusal costs a round trip, and a third one in a row means that no searcher has
        /// capacity.
        most_refused: usize = 2, "attempts that did not run, beyond those that the route allows";
    }

    /// Spends only a fraction of the configured bound on additional attempts. If off, the whole
    /// bound is spent, and exceeded at the edges of its window and by restarted members.
    margin: Margin {
        /// The window of the configured bound slides continuously, the one counted here advances by
        /// a twentieth of its length.
        earned: f64 = 0.85, "of the budget earned by requests";
        /// A restarted member loses its count of spent attempts and spends its share again.
        slack: f64 = 0.5, "of the slack";
    }

    /// Reserves a part of the retry budget for attempts without which a request fails, and defers
    /// the retry of a refused attempt until it is known whether its request needs it. If off, the
    /// budget is spent first come, first served.
    reserve: Reserve {
        /// While searchers refuse half of their work, a service's budget covers a quarter of the
        /// attempts that would make every answer complete. Spent first come, first served, it
        /// completes some answers and lets others fall below their required coverage.
        part: f64 = 0.25, "of the retry budget";
    }

    /// Queries shards whose best searcher is in another zone or region through a member there,
    /// which merges the results before they are sent across. If off, each shard is queried
    /// directly.
    delegate: Delegate {
        /// Delegation costs an additional hop, and for a single shard it saves no bytes.
        fewest: usize = 2, "shards";
        /// The lower bound of the searchers' work and the latency within the zone.
        least: Duration = ms(8), "ms";
        /// How late a reply may be until one was observed: timers on a small machine fire several
        /// milliseconds late.
        late: Duration = ms(6), "ms";
        /// Above this time, querying the searchers directly is faster.
        silent: f64 = 120.0, "ms";
        /// Results of work that is still running after the answer are kept until the sender fetches
        /// them, which takes a few round trips.
        unclaimed: Duration = ms(150), "ms";
        /// The processing time of both members on small instances, in addition to the network
        /// latency and the searchers' time.
        handling: Duration = ms(2), "ms";
        /// The initial estimate until a connection there has been opened: 8 ms each way, plus the
        /// processing time of both members.
        region: Duration = ms(18), "ms";
        /// The initial estimate until a connection there has been opened: 1.4 ms each way, plus the
        /// processing time of both members.
        zone: Duration = ms(5), "ms";
    }

    /// Divides the shards of one place among several members, so that each processes its part within
    /// a fraction of the target latency. If off, each member processes all that are near it.
    fanout: Fanout {
        /// The processor time that one shard takes, of a whole core.
        shard: f64 = 0.08, "ms";
        /// The searchers' own time, the network and the merge need the rest.
        part: f64 = 0.2, "of the target latency";
    }

    /// A member that is queried for some of the shards sends only as many records as are likely to
    /// be in the top k of all shards, and the others on request. If off, it sends all records that
    /// could be. Of 50 records for 7 of 20 shards it sends 29, a quarter of the bytes of such an
    /// answer.
    brief: Brief {
        /// With evenly distributed records, three deviations are exceeded once in several hundred
        /// requests.
        deviations: f64 = 3.0, "standard deviations above the expected count";
        /// Once records were lacking, the top records may be concentrated in one shard, and an
        /// answer that has to fetch more takes another round trip.
        again: Duration = ms(10_000), "ms during which all records are sent";
        /// Records that were held back are kept for as long as it takes to gather most answers.
        kept: Duration = ms(1000), "ms";
    }

    /// Opens connections ahead of need to searchers that have none. If off, the first request to a
    /// searcher waits for its connection.
    warm: Warm {
        /// Only a few are opened at a time, so that not all members connect to a searcher at once.
        at_once: usize = 6, "connections per 100 ms tick";
        /// A searcher at its connection limit resets a new connection immediately, and repeated
        /// attempts would only cost it time.
        again: Duration = ms(2000), "ms";
    }

    /// Queries a searcher whose registry entry has disappeared if no other one is available, until
    /// it is considered gone. If off, a searcher is gone as soon as its entry is.
    doubt: Doubt {
        /// Only an outage of the store removes entries of live searchers for long. A searcher that
        /// is leaving still accepts requests for at least 3 s after its entry was removed, and the
        /// removal may be seen up to 1.5 s late.
        usual: Duration = ms(1000), "ms";
        /// Entries that expired during an outage are restored within two seconds after the store is
        /// available again.
        outage: Duration = ms(2200), "ms after the store is available again";
        /// A live searcher rewrites its entry with its next heartbeat, 1.2 s later: an entry that
        /// replaced it and is still there after two heartbeats is permanent.
        overwritten: Duration = ms(2600), "ms";
    }

    /// Refuses a gathered request before anything has run if the searchers can't answer it in time.
    /// If off, every request is admitted.
    admit: Admit {
        /// Estimates lag by the duration of an answer: if requests were refused only at the target,
        /// they would be late before the estimate shows it.
        early: f64 = 0.8, "of the target latency";
        /// With this exponent, two thirds are admitted at a tenth beyond the limit, and a fifth at
        /// a half beyond it.
        steepness: i32 = 4, "exponent of the overload ratio";
        /// Some requests are always admitted, to detect that the searchers have recovered.
        least: f64 = 0.15, "of the requests";
    }

    /// While searchers are short, one member of each region admits the requests to a pool of
    /// searchers, the most urgent first. If off, each member admits by its own estimates.
    queue: Queue {
        /// A coordinator that starts knows of no running requests. A limit that is too high is
        /// lowered by the first late answers; one that is too low refuses callers that could be
        /// served.
        start: f64 = 8.0, "times the slots";
        /// Beyond this, requests only wait at the searchers, where the order of urgency is lost.
        most: f64 = 16.0, "times the slots";
        /// The rest is for waiting in the order of urgency, and for the caller's connection.
        early: f64 = 0.75, "of the target latency";
        /// Up to this time requests hardly wait at the searchers. Where it exceeds the early part of
        /// the target, a lower limit would leave searchers idle without making callers less late.
        unloaded: f64 = 1.6, "times the best mean holding time";
        /// A caller that is granted at the last moment is to be answered in time also if its
        /// searchers take longer than usual.
        deviations: f64 = 1.5, "mean deviations above the mean holding time";
        /// Late answers show that fewer callers can be served at once, also where the number of
        /// recent answers varies too much to show it.
        least_decrease: f64 = 0.05, "of the limit";
        /// With a single slot, one request more or less doubles the load of the region's searchers,
        /// so no limit suits them, and members decide by their own estimates.
        fewest_slots: usize = 2, "slots of each shard for the region";
        /// A steady load of urgent requests would otherwise leave the others without any answer.
        starvation: usize = 5, "grants, of which one goes to a less urgent request";
        /// The holding time that is expected before the first observation: callers can then wait
        /// for one grant of the whole limit, and are refused in time to retry if it takes longer.
        unknown: f64 = 0.5, "of the target latency";
        /// The member that holds a grant answers its caller by the deadline, and its message to the
        /// coordinator may be late.
        lease: Duration = ms(1000), "ms after the deadline";
        /// Bursts that follow each other within this time find the limit of the one before.
        kept: Duration = ms(10_000), "ms without a request";
        /// Signs of a shortage recur within this time while it lasts, since some requests are late
        /// or refused at any limit that uses the searchers fully.
        recent: Duration = ms(2000), "ms after a sign of a shortage";
        /// Several round trips within a region, and late timers of a slow core.
        answer: Duration = ms(25), "ms within which a coordinator answers";
        /// A caller that is refused within a quarter of its target can still retry in time, even if
        /// the first coordinator doesn't answer.
        answer_part: f64 = 0.1, "of the target latency within which it answers, if that is longer";
        /// A process that hangs or restarts is back within about this time.
        skip: Duration = ms(1000), "ms during which a coordinator that didn't answer isn't asked";
    }

    /// Takes over the latencies of searchers that the member near them reports with its reply. If
    /// off, a member estimates the latency of a searcher from its own requests alone.
    report: Report {
        /// Answers vary by less than this around their usual latency, so that nothing is reported
        /// while there are enough searchers.
        slow: f64 = 2.0, "times the best latency";
        /// Searchers pause for several hundred milliseconds: an abandoned request shows nothing else
        /// before.
        pause: Duration = ms(500), "ms after an abandoned request";
        /// Below this, the member that reports a searcher tries it again itself.
        again: f64 = 1.1, "times the best latency";
        /// Callers wait for a few seconds at most: an older report describes other requests.
        valid: Duration = ms(5000), "ms after it was received";
        /// Samples of the last second reflect the current load of a searcher as well as a report
        /// does, and are this member's own.
        own: Duration = ms(1000), "ms during which own samples count beside a report";
    }

    /// Leaves out shards that can't answer in time before they are asked, as far as the required
    /// coverage allows. If off, all shards are asked.
    leave_out: LeaveOut {
        /// A shard that is expected shortly after the target is often in time nevertheless, and
        /// without it the caller gets less of the index.
        beyond: f64 = 1.5, "times the target latency, above which a shard is left out";
        /// The difference between shards that queue equally long: which of them are left out varies
        /// between requests, so that no shard is missing from every answer.
        similar: f64 = 0.1, "of the expected latency";
        /// Some shards are queried although they are slow, to detect that they have recovered.
        least: f64 = 0.15, "of the shards that would be left out";
        /// If the required coverage is still not reached then, one of the shards that were queried
        /// probably won't answer. Shards that were left out still have the other half.
        recall: f64 = 0.5, "of the time between the target latency and the deadline";
    }

    /// Tells a refused caller to retry when the cause of the refusal has probably cleared. If off,
    /// every caller gets the shortest delay.
    comeback: ComeBack {
        /// Most causes clear within this time: a pause of a searcher, a full queue, a process
        /// start.
        soonest: Duration = ms(150), "ms";
        /// Jitter, so that callers that were refused together don't retry together.
        spread: Duration = ms(150), "ms";
        /// A store outage that is seen by a process without a declaration has lasted for some time
        /// and is likely to continue. Callers wait for at most a third of their remaining time.
        outage: Duration = ms(1000), "ms";
    }

    /// Sends a gathered answer at the target latency if it has the required coverage. If off, every
    /// answer waits for all shards until the caller's deadline.
    partial: Partial {
        /// A caller 3 ms away whose address lookup has expired and who opens a connection
        /// needs four round trips of 6 ms, and timers fire late. Used if no better estimate exists.
        margin: Duration = ms(26), "ms before the target latency";
    }

    /// Estimates from the deadline given by a caller how much of it was spent before the request
    /// arrived: most requests carry the full deadline, and others fall short of it by the round
    /// trips that they needed. If off, every answer is sent as if its caller had needed the most
    /// round trips. On strict routes this makes answers more complete: of a target of 100 ms, two
    /// of three requests leave the searchers 86 ms in place of 74.
    arrival: Arrival {
        /// Two of three requests use a kept connection; if less than a quarter give the largest
        /// deadline, it may be that of other callers.
        common: f64 = 0.25, "of the requests that give the largest deadline";
        /// The initial estimate until round trips have been observed: callers are 1 to 3 ms away.
        trip: Duration = ms(6), "ms";
        /// Timers on a small machine fire late, and the answer must be merged and written.
        slack: Duration = ms(7), "ms";
    }

    /// Adds the age of a searcher's oldest unanswered request to its expected latency once it
    /// exceeds the usual latency. If off, only answers change the estimate.
    overdue: Overdue {
        /// Answers within this factor of the mean are normal.
        factor: f64 = 1.5, "times the mean latency";
    }

    /// Detects searchers that stall periodically and avoids them shortly before the next stall. If
    /// off, the first request in each stall has to wait. No effect on stalls that are not periodic.
    foresight: Foresight {
        /// A request that is unanswered for this long indicates a stall, unless another one is
        /// answered.
        silent: f64 = 3.0, "times the mean latency";
        /// A slow searcher delays requests without being stalled.
        slow: f64 = 2.5, "times the best latency, above which no stall is detected";
        /// Stalls that are closer together than this are merged into one.
        apart: Duration = ms(150), "ms";
        /// Fewer matching intervals may match by chance.
        fewest: usize = 8, "intervals between stalls";
        /// Of random intervals, one in twenty matches as closely.
        agree: f64 = 0.16, "of the intervals between stalls";
        /// The period is known to a few hundredths of a second, and the phase drifts with each
        /// cycle.
        lapses: f64 = 4.0, "periods";
        /// The fraction of the unobserved part of a stall that is added on either side of the
        /// observed part.
        unseen: f64 = 0.5, "of the unobserved part";
        /// Members query each other for the same shards several times per second.
        told: Duration = ms(1000), "ms ahead, to members that query the searcher's shard";
        /// A request that is sent just before a stall is delayed by it.
        before: Duration = ms(40), "ms";
        /// The end of a stall is known less precisely than its start.
        after: Duration = ms(40), "ms";
    }

    /// Prefers searchers without recent failures. If off, failures don't affect the choice.
    failing: Failing {
        /// The penalty grows with the square of the failure rate: a single failure diverts requests
        /// for about a second, while a searcher that refuses half of its work is hardly used, since
        /// each refusal costs an attempt from a small retry budget.
        factor: f64 = 40.0, "times longer, if all failed";
        /// Failures occur in bursts of several seconds.
        forgive: Duration = ms(3000), "ms, the half-life of a failure";
    }

    /// Prefers searchers that have not just started. If off, the published warm-up time is ignored.
    cold: Cold {
        /// The observed slowdown of searchers that have just started.
        factor: f64 = 1.6, "times longer";
    }

    /// Prefers searchers in the same region unless they are clearly slower. If off, only the
    /// latency counts.
    near: Near {
        /// Traffic between regions is billed, and an answer from another region is more likely to
        /// be late.
        factor: f64 = 1.5, "times longer";
    }

    /// Adds jitter so that members with the same information don't all choose the same searcher. If
    /// off, the best one is always chosen.
    spread: Spread {
        /// Less than the difference that makes one searcher clearly better than another.
        part: f64 = 0.1, "of the expected latency";
    }

    /// Lets only some members of a large fleet accept callers and hold connections. If off, all do.
    seats: Seats {
        /// With a single connection, one request to a paused searcher would occupy it.
        fewest_connections: usize = 2, "connections to each searcher where all members serve";
        /// Required by members that send several concurrent requests to each searcher.
        connections: usize = 4, "connections to each searcher where some members serve";
        /// One of them may fail.
        fewest: usize = 2, "members of a region";
    }

    /// Lets only a few members read the store, and the others replicate from them. If off, every
    /// member reads it.
    readers: Readers {}

    /// After its process was suspended, a member admits no request until it has heard from the
    /// store again. If off, requests are served with the state from before the pause.
    catch_up: CatchUp {}
}
