//! The progress of shards under any order of events.

use bergamot_scatter::{Outcome, Progress, Query};
use proptest::prelude::*;

const SHARDS: usize = 6;

/// What happens to a shard.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// The sender's own attempt ends, with the shard or without it.
    Attempt(usize, bool),
    /// The member delivers the shard or loses it.
    Late(usize, bool),
    /// The member delivers nothing more.
    End,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..SHARDS, any::<bool>()).prop_map(|(shard, arrives)| Event::Attempt(shard, arrives)),
        (0..SHARDS, any::<bool>()).prop_map(|(shard, arrives)| Event::Late(shard, arrives)),
        Just(Event::End),
    ]
}

proptest! {
    /// Each shard is counted exactly once, as arrived or as missing, and only after the last thing
    /// that could deliver it has ended.
    #[test]
    fn each_shard_is_counted_once(
        silent in proptest::collection::vec(any::<bool>(), SHARDS),
        events in proptest::collection::vec(event(), 0..40),
    ) {
        let mut progress = Progress::new(SHARDS);
        let shards: Vec<usize> = (0..SHARDS).collect();
        let mut query = Query::send(&shards, &mut progress);
        let outcomes = silent.iter().enumerate().map(|(shard, silent)| {
            if *silent { Outcome::Silent(shard) } else { Outcome::Failed(shard) }
        });
        let steps = query.reply(outcomes.collect(), &progress);
        let mut running = [false; SHARDS];
        for (shard, _) in &steps.attempts {
            progress.add_attempt(*shard);
            running[*shard] = true;
        }
        let (mut arrived, mut missing) = (0, 0);
        for shard in steps.ended {
            missing += usize::from(progress.end_source(shard));
        }
        let all = (0..SHARDS).map(|shard| Event::Attempt(shard, false));
        for event in events.into_iter().chain([Event::End]).chain(all) {
            match event {
                Event::Attempt(shard, arrives) if std::mem::take(&mut running[shard]) => {
                    if arrives {
                        arrived += usize::from(progress.arrive(shard));
                    } else {
                        missing += usize::from(progress.end_source(shard));
                    }
                }
                Event::Attempt(..) => {}
                Event::Late(position, arrives) => {
                    let Some(shard) = query.settle(position) else { continue };
                    if arrives {
                        arrived += usize::from(progress.arrive(shard));
                    } else {
                        missing += usize::from(progress.end_source(shard));
                    }
                }
                Event::End => {
                    for shard in query.end() {
                        missing += usize::from(progress.end_source(shard));
                    }
                }
            }
        }
        prop_assert_eq!(arrived + missing, SHARDS);
        prop_assert_eq!(progress.pending().count(), 0);
    }
}
