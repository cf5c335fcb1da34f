//! Ways to limit the requests to cold searchers, over fleets whose members know different things.

use std::time::Duration;

use bergamot_model::cold::{ColdStart, Knowledge, Outcome, Way, run};

/// The limit of a searcher that tolerates 6 requests per second.
const LIMIT: f64 = 14.0;

const KNOWLEDGE: [Knowledge; 4] =
    [Knowledge::Complete, Knowledge::Split, Knowledge::Isolated, Knowledge::Partial];

/// The fleet sizes of current deployments, and the design size.
const SIZES: [usize; 4] = [6, 90, 300, 1800];

/// Runs of ten seeds with three times the requests that the searchers may receive.
fn outcomes(way: Way, knowledge: Knowledge, members: usize) -> impl Iterator<Item = Outcome> {
    (1..=10).map(move |seed| {
        run(&ColdStart {
            seed,
            members,
            serving: members,
            way,
            knowledge,
            requests_per_s: 126.0,
            limit: LIMIT,
            notice: Duration::ZERO,
        })
    })
}

#[test]
fn permits_of_the_seeds_keep_the_limit_whatever_members_know() {
    for knowledge in KNOWLEDGE {
        for members in SIZES {
            for outcome in outcomes(Way::SeedPermits, knowledge, members) {
                assert!(outcome.most as f64 <= LIMIT, "{knowledge:?} {members}: {outcome:?}");
                assert!(outcome.served > 0.0, "{knowledge:?} {members}: {outcome:?}");
            }
        }
    }
}

/// The reason why the choice of issuers does not depend on the membership.
#[test]
fn ways_by_membership_exceed_the_limit_if_members_are_alone() {
    for way in [Way::EqualShares, Way::Owner, Way::OwnerPermits] {
        let most = outcomes(way, Knowledge::Isolated, 90).map(|outcome| outcome.most).max();
        assert!(most.is_some_and(|most| most as f64 > LIMIT), "{way:?}: {most:?}");
    }
}
