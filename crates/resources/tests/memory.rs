//! The memory of all answers in progress.

use bergamot_resources::{Buffer, Memory};

/// Guards against a searcher that sends without end and takes the memory of all others.
#[test]
fn the_largest_answer_is_discarded_first() {
    let memory = Memory::new(10_000);
    let (endless, ordinary) = (memory.begin(), memory.begin());
    ordinary.append(&[1; 2000]).expect("there is room");
    endless.append(&[0; 7000]).expect("there is room");
    ordinary.append(&[1; 3000]).expect("the larger answer makes room");
    endless.append(&[0; 1]).expect_err("the answer was discarded");
    assert_eq!(ordinary.finish().expect("it is complete").len(), 5000);
    assert_eq!(memory.usage().discarded, 1);
}

#[test]
fn an_answer_beyond_the_limit_is_discarded_itself() {
    let memory = Memory::new(10_000);
    let (small, large) = (memory.begin(), memory.begin());
    small.append(&[0; 3000]).expect("there is room");
    large.append(&[0; 7001]).expect_err("there is no room");
    assert_eq!((small.len(), memory.usage().held), (3000, 3000));
}

#[test]
fn a_complete_answer_counts_until_its_last_reference_is_dropped() {
    let memory = Memory::new(10_000);
    let buffer = memory.begin();
    buffer.append(&[7; 6000]).expect("there is room");
    let bytes = buffer.finish().expect("it is complete");
    let part = bytes.slice(10..20);
    drop(bytes);
    let other = memory.begin();
    other.append(&[0; 6000]).expect_err("a complete answer is not discarded");
    drop(part);
    assert_eq!(memory.usage().held, 0);
    memory.begin().append(&[0; 10_000]).expect("an answer as large as the limit has room");
}

/// The sum of all answers, complete or not, never exceeds the limit.
#[test]
fn all_answers_together_stay_within_the_limit() {
    let memory = Memory::new(100_000);
    let mut buffers: Vec<Option<Buffer>> = (0..50).map(|_| Some(memory.begin())).collect();
    let mut complete = Vec::new();
    for step in 0..20_000_usize {
        let at = step * 7919 % buffers.len();
        if let Some(buffer) = &buffers[at]
            && buffer.append(&[0; 300][..step % 300]).is_err()
        {
            buffers[at] = Some(memory.begin());
        }
        if step % 500 == 0 {
            complete.extend(buffers[at].take().and_then(|buffer| buffer.finish().ok()));
            buffers[at] = Some(memory.begin());
        }
        complete.truncate(10);
        assert!(memory.usage().held <= 100_000, "{:?}", memory.usage());
    }
    let discarded = memory.usage().discarded;
    assert!(discarded > 0, "the limit was never reached");
    drop((buffers, complete));
    assert_eq!(memory.usage().held, 0);
}
