//! Which message goes first when the memory is exhausted.

use std::time::{Duration, Instant};

use bergamot_resources::{Cause, Exhausted, Ledger, MemoryLimits};
use tokio_util::sync::CancellationToken;

const LIMITS: MemoryLimits =
    MemoryLimits { bytes: 80_000, small_bytes: 1_000, stall: Duration::from_secs(1) };

/// A ledger and the time.
struct Case {
    ledger: Ledger,
    now: Instant,
}

impl Case {
    fn new() -> Self {
        Self { ledger: Ledger::new(LIMITS), now: Instant::now() }
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
    }

    /// Begins a message with so many bytes.
    fn message(&mut self, bytes: usize) -> Result<u64, Exhausted> {
        let id = self.ledger.begin(self.now, None);
        self.append(id, bytes)?;
        Ok(id)
    }

    fn append(&mut self, id: u64, bytes: usize) -> Result<(), Exhausted> {
        self.ledger.append(self.now, id, &vec![0; bytes], usize::MAX)
    }

    fn cause(&self, id: u64) -> Option<Cause> {
        self.ledger.discarded(id).map(|exhausted| exhausted.cause)
    }
}

/// Guards against a crowd that stops short and keeps out a body that makes progress.
#[test]
fn a_message_that_has_stalled_goes_before_a_larger_one() {
    let mut case = Case::new();
    let still = case.message(20_000).expect("there is room");
    case.pass(LIMITS.stall);
    let larger = case.message(40_000).expect("there is room");
    case.message(30_000).expect("the one that has stalled makes room");
    assert_eq!((case.cause(still), case.cause(larger)), (Some(Cause::Stalled), None));
}

#[test]
fn the_largest_message_goes_first_if_all_make_progress() {
    let mut case = Case::new();
    let (largest, other) = (case.message(40_000), case.message(20_000));
    case.message(30_000).expect("the largest one makes room");
    let causes = [largest, other].map(|id| case.cause(id.expect("there was room")));
    assert_eq!(causes, [Some(Cause::Largest), None]);
}

#[test]
fn a_message_larger_than_all_others_finds_no_room() {
    let mut case = Case::new();
    let other = case.message(30_000).expect("there is room");
    let exhausted = case.message(50_000).expect_err("there is no room");
    assert_eq!((exhausted.cause, exhausted.held), (Cause::NoRoom, 30_000));
    assert_eq!(case.cause(other), None);
}

/// Guards against answers of searchers that pause for a moment, and small bodies on a slow link, that
/// go for large ones.
#[test]
fn a_small_message_that_has_stalled_keeps_its_room_beside_a_large_one() {
    let mut case = Case::new();
    let small = case.message(500).expect("there is room");
    case.pass(LIMITS.stall);
    case.message(60_000).expect("there is room");
    case.message(60_000).expect("the large one makes room");
    assert_eq!(case.cause(small), None);
}

/// Guards against complete large bodies that leave no room to ordinary callers.
#[test]
fn a_small_message_finds_room_beside_complete_large_ones() {
    let mut case = Case::new();
    case.ledger.hold(case.now, 70_000).expect("large messages may take seven eighths");
    case.message(1_001).expect_err("no more");
    for _ in 0..10 {
        case.message(1_000).expect("an eighth is left to small messages");
    }
    case.message(1_000).expect("another small one makes room");
    case.message(1_001).expect_err("the memory is full");
}

/// Guards against a body that is declared large and holds room that it hasn't filled.
#[test]
fn only_received_bytes_count() {
    let mut case = Case::new();
    let id = case.ledger.begin(case.now, None);
    case.ledger.append(case.now, id, &[0; 10], 70_000).expect("there is room");
    assert_eq!(case.ledger.usage().held, 10);
}

#[test]
fn a_buffer_never_grows_beyond_the_expected_length() {
    let mut case = Case::new();
    let id = case.ledger.begin(case.now, None);
    for _ in 0..3 {
        case.ledger.append(case.now, id, &[0; 1_000], 3_000).expect("there is room");
    }
    assert_eq!(case.ledger.usage().held, 3_000);
}

#[test]
fn bytes_held_elsewhere_count_and_are_discarded_like_others() {
    let mut case = Case::new();
    let close = CancellationToken::new();
    let head = case.ledger.begin(case.now, Some(close.clone()));
    case.ledger.reserve(case.now, head, 50_000).expect("there is room");
    case.message(40_000).expect("the head makes room");
    assert_eq!(case.cause(head), Some(Cause::Largest));
    assert_eq!(case.ledger.usage().held, 40_000);
    case.ledger.reserve(case.now, head, 10).expect_err("the head was discarded");
    assert!(close.is_cancelled(), "its holder is told");
}

/// Guards against connections that read on for as long as those that were discarded haven't ended.
#[test]
fn discarded_bytes_that_are_held_elsewhere_count_until_they_are_freed() {
    let mut case = Case::new();
    let heads: Vec<u64> = (0..3).map(|_| case.ledger.begin(case.now, None)).collect();
    for head in &heads[..2] {
        case.ledger.reserve(case.now, *head, 40_000).expect("the second discards the first");
    }
    case.ledger.reserve(case.now, heads[2], 40_000).expect_err("both are still held");
    drop(case.ledger.take(heads[0]));
    drop(case.ledger.take(heads[1]));
    case.message(40_000).expect("they are freed");
}
