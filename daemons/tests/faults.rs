//! Processes that are killed, frozen or cut off, under load, with the check of the history.

mod support;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bergamot_base::{Name, Seed};
use bergamot_bench::check::{Invariant, check};
use bergamot_bench::deployment::Deployment;
use bergamot_bench::history::{Ending, History};
use bergamot_bench::load::{self, Load};
use bergamot_standin::{Border, Faults, Platform, Way};
use bergamot_wire::{Channels, EntryClient};
use bergamot_write::Status;
use support::{Bed, Daemon, ENTRY, ENTRY_PORT, get, post, serves, until};

const SECOND: Duration = Duration::from_secs(1);
const SEED: Seed = Seed(11);
const SCAN: &str = r#"{"shape": "scan"}"#;
const QUEUE: &str = "/v1/fraser-basin/queue-board/query";
const LEDGER: &str = "/v1/fraser-basin/glycol-ledger/write";
const ENTRY_BODY: &str = r#"{"record": "doc-1", "body": "20 l type IV"}"#;

/// Settings that let tests be short: everything periodic happens more often.
const QUICK: &str = "[control]\nprobe = 100\nanswer = 40\nsuspicion = 400\ndirect = 1000\n\
                     [gather]\nstatus = 100\n[entry]\naddress_ttl = 300\n";

/// Longer than every timeout of the settings above.
const FREEZE: Duration = Duration::from_secs(5);

async fn start(block: [u8; 2], instances: usize) -> Bed {
    let mut bed = Bed::start(Deployment::fraser_basin(block, SEED), instances, QUICK).await;
    for number in 0..instances {
        bed.add(number).await;
    }
    warm(bed.entry(0)).await;
    bed
}

async fn warm(entry: std::net::SocketAddr) {
    serves(entry).await;
    until("a scan is complete", || async move {
        post(entry, QUEUE, &[], SCAN).await.1["complete"] == true
    })
    .await;
}

async fn under_load(bed: &Bed, seconds: u32, script: impl Future<Output = ()>) -> History {
    let deployment = &bed.stand_ins.deployment;
    let load = Load::of(deployment, seconds * SECOND);
    let entries = load.entries[..bed.instances.len()].to_vec();
    let run = load::run(deployment, Load { entries, ..load });
    let (mut history, ()) = futures::future::join(run, script).await;
    bed.stand_ins.collect(&mut history);
    history
}

/// Asserts that every promise held; requests may be lost only with the entry at `dead`.
fn assert_held(history: &History, dead: Option<std::net::SocketAddr>) {
    let died_with = |detail: &str| dead.is_some_and(|entry| detail.ends_with(&entry.to_string()));
    let violations: Vec<_> = check(history)
        .into_iter()
        .filter(|v| !(v.invariant == Invariant::NoLoss && died_with(&v.detail)))
        .map(|violation| violation.to_string())
        .collect();
    assert!(violations.is_empty(), "{SEED:?}:\n{}", violations.join("\n"));
    assert!(history.count(Ending::Complete) > 0, "something was answered");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_gather_costs_no_request() {
    let mut bed = start([51, 1], 4).await;
    let victim = bed.instances.remove(3);
    let history = under_load(&bed, 5, async {
        tokio::time::sleep(SECOND).await;
        victim.gather.signal("KILL");
    })
    .await;
    assert_held(&history, None);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_entry_loses_only_its_own_and_its_keys_never_run_again() {
    let mut bed = start([51, 2], 4).await;
    let settings = bed.settings(1);
    let first: serde_json::Value =
        serde_json::from_str(&get(bed.entry(1), "/v1/addresses").await).expect("valid JSON");
    let key = format!("{}-order", first["write_prefix"].as_str().expect("a prefix"));
    let dead = bed.entry(1);
    let victim = std::mem::replace(
        &mut bed.instances[1].entry,
        Daemon::start(ENTRY, std::path::Path::new("no-such-file.ini")),
    );
    let history = under_load(&bed, 5, async {
        tokio::time::sleep(SECOND).await;
        victim.signal("KILL");
    })
    .await;
    assert_held(&history, Some(dead));
    drop(victim);
    bed.instances[1].entry = Daemon::start(ENTRY, &settings);
    warm(dead).await;
    let headers = [("idempotency-key", key.as_str())];
    for number in 0..4 {
        let (_, answer) = post(bed.entry(number), LEDGER, &headers, ENTRY_BODY).await;
        assert_eq!(answer["outcome"], "unknown", "the key's run is gone: {answer}");
    }
    let mut after = History::default();
    bed.stand_ins.collect(&mut after);
    let ran = after.effects.values().flatten().any(|effect| format!("{effect:?}").contains(&key));
    assert!(!ran, "a key of a run that is gone never runs");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_gather_costs_no_request_and_wakes_without_old_work() {
    let bed = start([51, 3], 4).await;
    let history = under_load(&bed, 9, async {
        tokio::time::sleep(SECOND).await;
        bed.instances[2].gather.signal("STOP");
        tokio::time::sleep(FREEZE).await;
        bed.instances[2].gather.signal("CONT");
    })
    .await;
    assert_held(&history, None);
    warm(bed.entry(2)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_entry_wakes_up_and_nothing_is_doubled() {
    let bed = start([51, 4], 4).await;
    let history = under_load(&bed, 9, async {
        tokio::time::sleep(SECOND).await;
        bed.instances[0].entry.signal("STOP");
        tokio::time::sleep(FREEZE).await;
        bed.instances[0].entry.signal("CONT");
    })
    .await;
    assert_held(&history, Some(bed.entry(0)));
    warm(bed.entry(0)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_that_slept_through_a_revision_wakes_up_with_it() {
    let bed = start([51, 5], 3).await;
    for signal in ["STOP", "CONT"] {
        bed.instances[0].entry.signal(signal);
        bed.instances[0].gather.signal(signal);
        if signal == "STOP" {
            bed.stand_ins.platform.publish(&bed.stand_ins.deployment.document(4));
            let other = bed.entry(1);
            until("the others have revision 4", || async move {
                post(other, QUEUE, &[], SCAN).await.1["revision"] == 4
            })
            .await;
            // The platform is of no help to the one that wakes.
            bed.stand_ins.platform.set_down(true);
            tokio::time::sleep(SECOND).await;
        }
    }
    let (status, answer) = post(bed.entry(0), QUEUE, &[], SCAN).await;
    let caught_up = status == 200 && answer["revision"] == 4;
    assert!(caught_up || status == 503, "it never answers under what it believed before: {answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gather_that_slept_sends_nothing_to_a_searcher_that_left_meanwhile() {
    let bed = start([51, 6], 4).await;
    let board = bed.stand_ins.searchers_of("queue-board");
    for instance in &bed.instances[..2] {
        instance.gather.signal("STOP");
    }
    let leaving = Faults { leaving: true, ..Faults::default() };
    for searcher in board.iter().step_by(2) {
        searcher.set_faults(leaving.clone());
    }
    // Those that are awake learn it from the answers.
    let history = under_load(&bed, 4, async {}).await;
    assert_held(&history, None);
    let before: usize = board.iter().step_by(2).map(|searcher| searcher.searches()).sum();
    for instance in &bed.instances[..2] {
        instance.gather.signal("CONT");
    }
    tokio::time::sleep(2 * SECOND).await;
    let history = under_load(&bed, 2, async {}).await;
    assert_held(&history, None);
    let after: usize = board.iter().step_by(2).map(|searcher| searcher.searches()).sum();
    assert_eq!(after, before, "no new work for searchers that left");
}

/// The ports of the second part of a split fleet.
const OTHER: &str = "[ports]\nentry_callers = 8400\nentry_peers = 8401\nentry_control = 8402\n\
                     entry_admin = 8403\ngather_peers = 8411\ngather_control = 8412\n\
                     gather_admin = 8413\n";

/// The ports through which the two parts talk, and whether datagrams pass there.
const PASSED: [(u16, bool); 5] =
    [(400, false), (401, false), (402, true), (411, false), (412, true)];

/// Opens the border between instances 0 and 1, and 2 and 3.
async fn border(deployment: &Deployment) -> Border {
    let way = |number: usize, (port, datagrams): (u16, bool)| {
        let (dialled, listens) = if number < 2 { (8000, 7000) } else { (7000, 8000) };
        let ip = deployment.instance(number);
        Way { ip, dialled: dialled + port, listens: listens + port, datagrams }
    };
    let ways: Vec<_> = (0..4).flat_map(|number| PASSED.map(|passed| way(number, passed))).collect();
    Border::open(&ways).await.expect("the block is this test's own")
}

#[tokio::test(flavor = "multi_thread")]
async fn both_parts_of_a_split_fleet_serve_and_nothing_reverts_or_doubles() {
    let deployment = Deployment::fraser_basin([51, 7], SEED);
    let border = border(&deployment).await;
    // The second part reads a platform of its own, which stays behind.
    let far: [std::net::SocketAddr; 2] =
        ["127.51.7.3:7300", "127.51.7.3:7301"].map(|address| address.parse().expect("an address"));
    let behind = Platform::start(far[0], far[1]).await.expect("the block is this test's own");
    behind.publish(&deployment.document(1));
    behind.list(deployment.list(0..4));
    let mut bed = Bed::start(deployment, 4, QUICK).await;
    for number in 0..2 {
        bed.add(number).await;
    }
    let (near, other) = (bed.entry(0), (bed.entry(2).ip(), 8400).into());
    for number in 2..4 {
        bed.add_with(number, far, OTHER, 8400).await;
    }
    warm(near).await;
    warm(other).await;
    let prefix: serde_json::Value =
        serde_json::from_str(&get(near, "/v1/addresses").await).expect("valid JSON");
    let key = format!("{}-order", prefix["write_prefix"].as_str().expect("a prefix"));
    let headers = [("idempotency-key", key.as_str())];

    border.set_cut(true);
    bed.stand_ins.platform.publish(&bed.stand_ins.deployment.document(9));
    until("the first part has revision 9", || async move {
        post(near, QUEUE, &[], SCAN).await.1["revision"] == 9
    })
    .await;
    let admin = bed.entry_admin(0);
    until("the first part knows that it is cut off", || async move {
        let state = get(admin, "/state").await;
        state.lines().filter(|line| line.contains(" unreachable")).count() == 4
    })
    .await;
    warm(near).await;
    warm(other).await;
    let (_, far_answer) = post(other, QUEUE, &[], SCAN).await;
    assert_eq!(far_answer["revision"], 1, "the second part can't know yet: {far_answer}");
    let (_, in_doubt) = post(other, LEDGER, &headers, ENTRY_BODY).await;
    assert_eq!(in_doubt["outcome"], "unknown", "the key's run can't be reached: {in_doubt}");
    let (_, done) = post(near, LEDGER, &headers, ENTRY_BODY).await;
    assert_eq!(done["outcome"], "done", "{done}");

    border.set_cut(false);
    until("the second part has revision 9", || async move {
        post(other, QUEUE, &[], SCAN).await.1["revision"] == 9
    })
    .await;
    tokio::time::sleep(2 * SECOND).await;
    for entry in [near, other] {
        let (_, answer) = post(entry, QUEUE, &[], SCAN).await;
        assert_eq!(answer["revision"], 9, "nothing reverts: {answer}");
    }
    until("the key's run is reached again", || async {
        post(other, LEDGER, &headers, ENTRY_BODY).await.1["receipt"] == done["receipt"]
    })
    .await;
    let mut history = History::default();
    bed.stand_ins.collect(&mut history);
    assert!(check(&history).is_empty(), "no key took effect twice: {:?}", check(&history));
    let (_, over) = bed.stand_ins.connections();
    assert_eq!(over, 0, "no connection above a limit while the fleet was split");
    assert_eq!(near.port(), ENTRY_PORT);
}

/// An entry that has not heard of a restart forwards a key of the run before to the new one.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_that_is_asked_for_a_key_of_the_run_before_cannot_tell_whether_it_ran() {
    let bed = start([51, 9], 2).await;
    let peers = SocketAddr::new(bed.entry(0).ip(), 7401);
    let links = Channels::<EntryClient>::new(Ipv4Addr::LOCALHOST);
    let client = links.get(peers).await.expect("the entry listens to entries");
    let key = "1-0-order".parse().expect("a key of an earlier run");
    let names = ["fraser-basin", "glycol-ledger", "doc-7", "20 l"].map(Name::from);
    let [workspace, service, record, body] = names;
    let context = tarpc::context::current();
    let outcome = client.execute(context, workspace, service, key, record, body).await;
    let outcome = outcome.expect("an outcome");
    assert_eq!(outcome.status, Status::Unknown, "{outcome:?}");
}
