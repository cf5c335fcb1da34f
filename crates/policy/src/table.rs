//! The table of all mechanisms.

use std::time::Duration;

use snafu::Snafu;

use crate::figure::{Figure, Mechanism, Value};

/// A mechanism that is not in the table was to be switched off.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("switch off {name}: no such mechanism; there are {}", NAMES.join(", ")))]
pub struct Unknown {
    /// The name that was given.
    pub name: String,
}

macro_rules! policy {
    ($(
        $(#[doc = $help:literal])+
        $group:ident: $Group:ident {
            $( $(#[doc = $grounds:literal])+ $figure:ident: $type:ty = $default:expr, $unit:literal; )*
        }
    )*) => {
        $(
            $(#[doc = $help])+
            #[derive(Clone, Copy, Debug, PartialEq)]
            pub struct $Group {
                /// Whether the mechanism is on.
                pub on: bool,
                $( $(#[doc = $grounds])+ #[doc = concat!("\nUnit: ", $unit, ".")] pub $figure: $type, )*
            }

            impl Default for $Group {
                fn default() -> Self {
                    Self { on: true, $($figure: $default,)* }
                }
            }

            impl $Group {
                fn describe(&self) -> Mechanism {
                    let figures = vec![$( Figure {
                        name: stringify!($figure),
                        value: Value::text(&self.$figure),
                        unit: $unit,
                        grounds: concat!($($grounds, "\n"),+),
                    }, )*];
                    let help = concat!($($help, "\n"),+);
                    Mechanism { name: stringify!($group), on: self.on, help, figures }
                }
            }
        )*

        /// Every mechanism of the decisions.
        #[derive(Clone, Copy, Debug, Default, PartialEq)]
        pub struct Policy { $( $(#[doc = $help])+ pub $group: $Group, )* }

        /// The names of all mechanisms.
        pub const NAMES: &[&str] = &[$(stringify!($group)),*];

        impl Policy {
            /// Returns the policy with some mechanisms switched off.
            pub fn without<T: AsRef<str>>(mut self, names: &[T]) -> Result<Self, Unknown> {
                for name in names {
                    match name.as_ref() {
                        $( stringify!($group) => self.$group.on = false, )*
                        name => return Err(Unknown { name: name.to_owned() }),
                    }
                }
                Ok(self)
            }

            /// Describes every mechanism in the order of the table.
            pub fn mechanisms(&self) -> Vec<Mechanism> {
                vec![$(self.$group.describe()),*]
            }
        }
    };
}

/// Makes a duration of milliseconds.
const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

policy! {
    /// A searcher that is silent for longer than usual is hedged: another one of its service is
    /// asked as well, and the first answer counts. Without it only failures lead to another attempt.
    hedge: Hedge {
        /// Searchers pause for some hundred milliseconds, and a far one answers some 30 ms after
        /// it is asked, so that a hedge at a third still meets a target of 80 ms. An earlier one
        /// buys nothing on a calm day, and as queues begin to grow it does work twice just while
        /// there is no room for it.
        earliest: f64 = 0.33, "parts of the target latency";
        /// Under load the usual time passes a third of the target, and every attempt would be hedged
        /// there until the allowance is spent. After 0.6 of 100 ms, one of the strictest targets, a
        /// hedge just comes in in time.
        latest: f64 = 0.6, "parts of the target latency";
        /// Answers vary by about this much around their usual time.
        factor: f64 = 1.2, "times the usual time";
        /// Searchers pause for some 4 in 100 of the time: beyond the 94th percentile, most of what
        /// is still silent is paused. At 85 the allowance is spent on answers that are on their way.
        percentile: usize = 94, "in 100 first attempts";
    }

    /// A request whose attempt failed is sent to another searcher. Without it the first failure is
    /// the end of the request, or of its shard.
    retry: Retry {
        /// Each refusal takes a round trip; a third one in a row means that no searcher has room.
        most_refused: usize = 2, "attempts that did not run, beyond those that the route allows";
    }

    /// The bound on additional attempts is spent with a margin. Without it all of the users' bound
    /// is spent, and what the edges of their window and restarted members add is beyond it.
    margin: Margin {
        /// The users' window slides continuously, ours by a twentieth of its length.
        earned: f64 = 0.85, "parts of what requests earn";
        /// A member that restarts forgets what it spent, and its successor spends its part anew.
        slack: f64 = 0.5, "parts of the slack";
    }

    /// A part of the allowance is kept for attempts without which a request fails, and a refused
    /// attempt waits until it is known whether its request does. Without it first come is first served.
    reserve: Reserve {
        /// While searchers refuse half of their work, a service's allowance covers a quarter of the
        /// attempts that would make every answer complete. Spent first come, first served, it makes
        /// some answers complete and lets others fail below their coverage.
        part: f64 = 0.25, "parts of the allowance";
    }

    /// Shards whose best searcher is elsewhere are asked through a member there, which merges before
    /// the bytes cross. Without it each shard is asked directly.
    delegate: Delegate {
        /// One question to a member costs a hop; for a single shard it saves no bytes.
        fewest: usize = 2, "shards";
        /// The searchers' work and the way within the zone take this long at the least.
        least: Duration = ms(8), "ms";
        /// Timers of a small machine fire late by some milliseconds.
        late: Duration = ms(6), "ms";
        /// Above this time asking the searchers oneself is faster.
        silent: f64 = 120.0, "ms";
        /// What still runs after the answer waits for the sender to ask for it: some round trips.
        unclaimed: Duration = ms(150), "ms";
        /// Both members take this long, on small instances, beyond the way and the searchers.
        handling: Duration = ms(2), "ms";
        /// Until a connection there was opened: 8 ms each way, and the time of both members.
        region: Duration = ms(18), "ms";
        /// Until a connection there was opened: 1.4 ms each way, and the time of both members.
        zone: Duration = ms(5), "ms";
    }

    /// A member that was asked for shards sends only as many records as are likely to be among the
    /// greatest of all, and the others if they are asked for. Without it all that could be are sent. Of
    /// 50 records for 7 of 20 shards it sends 29, a quarter of the bytes of such an answer.
    brief: Brief {
        /// Records that are spread evenly are beyond three deviations once in several hundred requests.
        deviations: f64 = 3.0, "standard deviations of the expected number";
        /// Once records were lacking they may be of one shard mostly; an answer that has to wait for
        /// more takes another round trip.
        again: Duration = ms(10_000), "ms in which all records are sent";
        /// What was not sent waits for as long as most answers are being gathered.
        kept: Duration = ms(1000), "ms";
    }

    /// Connections are opened ahead of need to searchers that have none. Without it the first request
    /// to a searcher waits for its connection.
    warm: Warm {
        /// A few at a time, so that not all members come to a searcher at once.
        at_once: usize = 6, "connections a tick of 100 ms";
        /// A searcher at its limit resets a new connection at once; trying again and again would
        /// only cost it time.
        again: Duration = ms(2000), "ms";
    }

    /// A searcher whose entry has disappeared is asked if no other can be, until it counts as gone.
    /// Without it a searcher is gone with its entry.
    doubt: Doubt {
        /// Nothing but an outage of the store makes entries of living searchers disappear for long.
        /// A searcher that leaves may get its last request 3 s after that at the least, and the news
        /// of it may be 1.5 s old already.
        usual: Duration = ms(1000), "ms";
        /// Entries that expired during an outage are back within two seconds of the store's return.
        outage: Duration = ms(2200), "ms after the store's return";
        /// A living searcher writes its entry again with its next heartbeat, 1.2 s later: after two of
        /// them, whatever stands in its place is there to stay.
        overwritten: Duration = ms(2600), "ms";
    }

    /// A gathered request that the searchers can't answer in time is refused before anything has run.
    /// Without it every request is taken up.
    admit: Admit {
        /// Estimates lag by the time of an answer: refused only at the target, requests are late
        /// before the estimate shows it.
        early: f64 = 0.8, "parts of the target latency";
        /// At a tenth beyond the limit two thirds are taken up, at a half beyond it a fifth.
        steepness: i32 = 4, "the power of the excess";
        /// Some are always taken up, to notice that searchers recover.
        least: f64 = 0.15, "parts of the requests";
    }

    /// A caller who is refused is told to come back when the obstacle is likely to have passed. Without
    /// it every caller is told the shortest time.
    comeback: ComeBack {
        /// Most obstacles pass within this time: a pause of a searcher, a full queue, a start.
        soonest: Duration = ms(150), "ms";
        /// Callers who were refused together should not return together.
        spread: Duration = ms(150), "ms";
        /// An outage of the store that is met by a process without a declaration has lasted for some
        /// time, and will for some more; callers heed a third of what they have left at the most.
        outage: Duration = ms(1000), "ms";
    }

    /// A gathered answer goes out at the target latency, if it has the declared coverage. Without it
    /// every answer waits for all shards until the caller's deadline.
    partial: Partial {
        /// A caller who is 3 ms away, whose address answer has expired and who opens a connection
        /// needs four round trips of 6 ms; timers fire late. Taken where nothing better is known.
        margin: Duration = ms(26), "ms before the target latency";
    }

    /// What a caller has spent before a request arrives follows from the deadline that they give: most
    /// give the whole of it, and others fall short of it by the round trips that they needed. Without
    /// it every answer goes out as if its caller had needed the most of them. On strict routes it makes
    /// answers more complete: of 100 ms, 86 in place of 74 are left for the searchers in two of three
    /// requests.
    arrival: Arrival {
        /// Two of three requests come on a kept connection; with fewer than a quarter, the largest
        /// deadline may be that of other callers.
        common: f64 = 0.25, "parts of the requests that give the largest deadline";
        /// The guess until round trips were seen: callers are 1 to 3 ms away.
        trip: Duration = ms(6), "ms";
        /// Timers of a small machine fire late, and the answer must be merged and written.
        slack: Duration = ms(7), "ms";
    }

    /// A searcher whose oldest request is unanswered for too long is expected to take as much longer.
    /// Without it only answers change what is expected of it.
    overdue: Overdue {
        /// Answers within this much of the mean are ordinary.
        factor: f64 = 1.5, "times the mean answer";
    }

    /// A searcher that falls silent in a rhythm is passed over shortly before its next silence. Without
    /// it each silence is met by a request that has to wait. Where silences have no rhythm it does
    /// nothing.
    foresight: Foresight {
        /// A request that is unanswered for so long shows a silence, unless another is answered.
        silent: f64 = 3.0, "times the mean answer";
        /// A searcher that works slowly lets requests wait without being silent.
        slow: f64 = 2.5, "times the best answer, beyond which no silence is concluded";
        /// Silences that are closer than this are one.
        apart: Duration = ms(150), "ms";
        /// Fewer agreeing times between silences may agree by chance.
        fewest: usize = 8, "times between silences";
        /// Of times that are drawn at random, one in twenty agrees as closely.
        agree: f64 = 0.16, "parts of the times between silences";
        /// The period is known to some hundredths of a second, and the phase drifts with each turn.
        lapses: f64 = 4.0, "periods";
        /// How much of a silence that was not seen itself is expected on either side of what was seen.
        unseen: f64 = 0.5, "parts";
        /// Members ask each other for the same shards several times in a second.
        told: Duration = ms(1000), "ms ahead, to members that ask for the searcher's shard";
        /// What is sent just before a silence is caught by it.
        before: Duration = ms(40), "ms";
        /// The end of a silence is known less well than its begin.
        after: Duration = ms(40), "ms";
    }

    /// Searchers that failed requests lately are asked less. Without it failures don't count.
    failing: Failing {
        /// The factor grows with the square of the share that failed: a single failure sends the next
        /// requests elsewhere for about a second, while one that refuses half of its work is hardly
        /// tried, since each refusal costs an attempt of a small allowance.
        factor: f64 = 40.0, "times longer, if all failed";
        /// Failures come in spells of some seconds.
        forgive: Duration = ms(3000), "ms until a failure counts half";
    }

    /// A searcher that has just started is asked less. Without it the published warm-up counts nothing.
    cold: Cold {
        /// What searchers that had just started were seen to need.
        factor: f64 = 1.6, "times longer";
    }

    /// A searcher in another region is asked first only if those nearby are clearly slower. Without
    /// it the time that its answers take is all that counts.
    near: Near {
        /// Bytes between regions are paid for, and an answer that crosses comes late more easily.
        factor: f64 = 1.5, "times longer";
    }

    /// Members that know the same don't all choose the same searcher. Without it the best goes first.
    spread: Spread {
        /// Less than what makes one searcher clearly better than another.
        part: f64 = 0.1, "parts of the expected time";
    }

    /// In a large fleet only some members take callers and hold connections. Without it all do.
    seats: Seats {
        /// One connection to a searcher would be taken by a single paused searcher's request.
        fewest_connections: usize = 2, "connections to each searcher where all members serve";
        /// What members need that ask each searcher several times at once.
        connections: usize = 4, "connections to each searcher where some serve";
        /// One of them may be lost.
        fewest: usize = 2, "members of a region";
    }

    /// Few members read the store, and the others follow them. Without it every member reads it.
    readers: Readers {}

    /// A process that slept takes up no request before it has heard of the store. Without it requests
    /// are served by what was known before the pause.
    catch_up: CatchUp {}
}
