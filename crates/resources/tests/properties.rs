//! Drawn sequences of messages and connections keep the bounds.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bergamot_resources::{Activity, Admission, Cause, Ledger, MemoryLimits, Table};
use proptest::prelude::*;
use tokio_util::sync::CancellationToken;

const LIMITS: MemoryLimits =
    MemoryLimits { bytes: 100_000, small_bytes: 1_000, stall: Duration::from_secs(1) };

/// What happens to one of the messages.
#[derive(Clone, Copy, Debug)]
enum Event {
    Begin,
    Append { at: usize, bytes: usize, expected: usize },
    Reserve { at: usize, bytes: usize },
    Finish { at: usize },
    Drop { at: usize },
    Hold { bytes: usize },
    Release { at: usize },
    Pass { ms: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    let bytes = prop_oneof![0..100_usize, 0..2_000_usize, 0..60_000_usize];
    prop_oneof![
        3 => Just(Event::Begin),
        8 => (0..40_usize, bytes.clone(), prop_oneof![Just(usize::MAX), 0..60_000_usize])
            .prop_map(|(at, bytes, expected)| Event::Append { at, bytes, expected }),
        2 => (0..40_usize, bytes.clone()).prop_map(|(at, bytes)| Event::Reserve { at, bytes }),
        2 => (0..40_usize).prop_map(|at| Event::Finish { at }),
        1 => (0..40_usize).prop_map(|at| Event::Drop { at }),
        1 => bytes.prop_map(|bytes| Event::Hold { bytes }),
        2 => (0..40_usize).prop_map(|at| Event::Release { at }),
        2 => (0..3_000_u64).prop_map(|ms| Event::Pass { ms }),
    ]
}

/// A message as this test knows it.
#[derive(Clone, Copy, Debug)]
struct Known {
    id: u64,
    length: usize,
    reserved: usize,
}

proptest! {
    /// The sum stays within the bound, and is that of what is held; no incomplete message keeps out
    /// another one that is not larger.
    #[test]
    fn messages_stay_within_the_bound(events in prop::collection::vec(event(), 1..200)) {
        let (mut ledger, mut now) = (Ledger::new(LIMITS), Instant::now());
        let (mut open, mut complete) = (Vec::<Known>::new(), Vec::<usize>::new());
        for event in events {
            match event {
                Event::Begin => open.push(Known { id: ledger.begin(now, None), length: 0, reserved: 0 }),
                Event::Append { at, bytes, expected } if at < open.len() => {
                    let known = open[at];
                    let is_new = known.length + known.reserved == 0;
                    let was_discarded = ledger.discarded(known.id).is_some();
                    match ledger.append(now, known.id, &vec![1; bytes], expected) {
                        Ok(()) => open[at].length += bytes,
                        Err(exhausted)
                            if is_new && !was_discarded && exhausted.cause == Cause::NoRoom =>
                        {
                            let could_go = open.iter().find(|other| {
                                other.id != known.id
                                    && ledger.discarded(other.id).is_none()
                                    && other.length + other.reserved >= bytes
                            });
                            let is_freed = |other: &Known| {
                                ledger.discarded(other.id).is_none() || other.reserved == 0
                            };
                            prop_assert!(
                                could_go.is_none() || !open.iter().all(is_freed),
                                "{could_go:?} kept {bytes} out"
                            );
                        }
                        Err(_) => {}
                    }
                }
                Event::Reserve { at, bytes } if at < open.len() => {
                    let reserved = ledger.reserve(now, open[at].id, bytes);
                    open[at].reserved = if reserved.is_ok() { bytes } else { open[at].reserved };
                }
                Event::Finish { at } if at < open.len() => {
                    let known = open.swap_remove(at);
                    let was_discarded = ledger.discarded(known.id).is_some();
                    match ledger.take(known.id) {
                        Ok((buffer, reserved)) => {
                            prop_assert!(!was_discarded);
                            prop_assert_eq!((buffer.len(), reserved), (known.length, known.reserved));
                            let held = buffer.capacity() + reserved;
                            ledger.add(held);
                            complete.push(held);
                        }
                        Err(_) => prop_assert!(was_discarded),
                    }
                }
                Event::Drop { at } if at < open.len() => {
                    // Whether it was discarded makes no difference to a drop.
                    let _discarded = ledger.take(open.swap_remove(at).id);
                }
                Event::Hold { bytes } => {
                    let held = ledger.hold(now, bytes);
                    complete.extend(held.ok().map(|()| bytes));
                }
                Event::Release { at } if at < complete.len() => {
                    ledger.subtract(complete.swap_remove(at));
                }
                Event::Pass { ms } => now += Duration::from_millis(ms),
                _ => {}
            }
            let held = ledger.usage().held;
            let is_kept = |known: &&Known| ledger.discarded(known.id).is_none();
            let least: usize = open.iter().filter(is_kept).map(|known| known.length + known.reserved).sum();
            prop_assert!(held <= LIMITS.bytes, "{held} held");
            let to_free: usize = open
                .iter()
                .filter(|known| ledger.discarded(known.id).is_some())
                .map(|known| known.reserved)
                .sum();
            prop_assert!(held + to_free <= LIMITS.bytes / 4 * 5, "{held} held, {to_free} to free");
            prop_assert!(held >= least + complete.iter().sum::<usize>(), "{held} held");
        }
        for known in open {
            let _discarded = ledger.take(known.id);
        }
        for held in complete {
            ledger.subtract(held);
        }
        prop_assert_eq!(ledger.usage().held, 0);
    }

    /// No more connections are open than there are places, none in use is closed, and a new one gets a
    /// place unless all are in use.
    #[test]
    fn connections_stay_within_their_places(
        steps in prop::collection::vec((0..5_u8, 0..12_usize, 0..2_000_u64), 1..200),
    ) {
        let (mut table, mut now) = (Table::new(8), Instant::now());
        let mut open = BTreeMap::<u64, (Activity, CancellationToken, bool)>::new();
        for (step, at, ms) in steps {
            now += Duration::from_millis(ms);
            let nth = open.keys().copied().nth(at);
            match (step, nth) {
                (0 | 1, _) => {
                    let (activity, close) = (Activity::new(now), CancellationToken::new());
                    let mut admission = table.admit(now, &activity, &close);
                    if admission == Admission::Wait {
                        let closing: Vec<u64> = open
                            .iter()
                            .filter(|(_, (_, close, _))| close.is_cancelled())
                            .map(|(id, _)| *id)
                            .collect();
                        prop_assert_eq!(closing.len(), 1);
                        let (_, _, in_use) = open.remove(&closing[0]).expect("it is open");
                        prop_assert!(!in_use, "a connection in use was closed");
                        table.remove(closing[0]);
                        admission = table.admit(now, &activity, &close);
                    }
                    match admission {
                        Admission::Place(id) => drop(open.insert(id, (activity, close, false))),
                        Admission::Full => {
                            prop_assert!(open.len() == 8 && open.values().all(|(_, _, used)| *used));
                        }
                        Admission::Wait => prop_assert!(false, "the place was free"),
                    }
                }
                (2, Some(id)) => {
                    let (activity, _, in_use) = open.get_mut(&id).expect("it is open");
                    activity.record_read(now, 1);
                    activity.begin_exchange(now, false);
                    *in_use = true;
                }
                (3, Some(id)) => {
                    let (activity, _, in_use) = open.get_mut(&id).expect("it is open");
                    activity.end_exchange(now);
                    *in_use = false;
                }
                (_, Some(id)) => {
                    open.remove(&id);
                    table.remove(id);
                }
                (_, None) => {}
            }
            prop_assert!(open.len() <= 8);
            prop_assert_eq!(table.counts().open, open.len());
        }
    }
}
