//! Kills, freezes or disconnects processes under load and checks the recorded history.

mod support;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bergamot_base::{Name, Seed};
use bergamot_bench::check::{Invariant, check};
use bergamot_bench::deployment::Deployment;
use bergamot_bench::history::{Ending, History};
use bergamot_bench::load::{self, Load};
use bergamot_standin::{Faults, ForwardedPort, PartitionProxy, Platform};
use bergamot_wire::{Channels, EntryClient};
use bergamot_write::Status;
use support::{DaemonProcess, ENTRY, ENTRY_PORT, Testbed, get, post, until, wait_until_serving};

const SECOND: Duration = Duration::from_secs(1);
const SEED: Seed = Seed(11);
const SCAN: &str = r#"{"shape": "scan"}"#;
const QUEUE: &str = "/v1/fraser-basin/queue-board/query";
const LEDGER: &str = "/v1/fraser-basin/glycol-ledger/write";
const WRITE_BODY: &str = r#"{"record": "doc-1", "body": "20 l type IV"}"#;

/// Settings with short intervals and timeouts, which keep the tests short.
const SHORT_INTERVALS: &str = "[control]\nprobe = 100\nanswer = 40\nsuspicion = 400\n\
                               direct = 1000\n[gather]\nstatus = 100\n[entry]\naddress_ttl = 300\n";

/// How long processes are stopped: longer than every timeout of [`SHORT_INTERVALS`].
const FREEZE_DURATION: Duration = Duration::from_secs(5);

async fn start_testbed(block: [u8; 2], instances: usize) -> Testbed {
    let mut testbed =
        Testbed::start(Deployment::fraser_basin(block, SEED), instances, SHORT_INTERVALS).await;
    for number in 0..instances {
        testbed.add(number).await;
    }
    wait_until_complete(testbed.entry(0)).await;
    testbed
}

async fn wait_until_complete(entry: std::net::SocketAddr) {
    wait_until_serving(entry).await;
    until("a scan is complete", || async move {
        post(entry, QUEUE, &[], SCAN).await.1["complete"] == true
    })
    .await;
}

/// Runs the deployment's load against the instances while `events` runs, and returns the history.
async fn run_under_load(
    testbed: &Testbed,
    seconds: u32,
    events: impl Future<Output = ()>,
) -> History {
    let deployment = &testbed.stand_ins.deployment;
    let load = Load::of(deployment, seconds * SECOND);
    let entries = load.entries[..testbed.instances.len()].to_vec();
    let run = load::run(deployment, Load { entries, ..load });
    let (mut history, ()) = futures::future::join(run, events).await;
    testbed.stand_ins.collect(&mut history);
    history
}

/// Asserts that the history violates no invariant. Requests may be lost only at the entry `dead`.
fn assert_invariants(history: &History, dead: Option<std::net::SocketAddr>) {
    let lost_at_dead_entry =
        |detail: &str| dead.is_some_and(|entry| detail.ends_with(&entry.to_string()));
    let violations: Vec<_> = check(history)
        .into_iter()
        .filter(|v| !(v.invariant == Invariant::NoLoss && lost_at_dead_entry(&v.detail)))
        .map(|violation| violation.to_string())
        .collect();
    assert!(violations.is_empty(), "{SEED:?}:\n{}", violations.join("\n"));
    assert!(history.count(Ending::Complete) > 0, "no request was answered completely");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_gather_loses_no_request() {
    let mut testbed = start_testbed([51, 1], 4).await;
    let victim = testbed.instances.remove(3);
    let history = run_under_load(&testbed, 5, async {
        tokio::time::sleep(SECOND).await;
        victim.gather.signal("KILL");
    })
    .await;
    assert_invariants(&history, None);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_entry_loses_only_its_own_requests_and_its_keys_are_not_executed() {
    let mut testbed = start_testbed([51, 2], 4).await;
    let settings = testbed.settings(1);
    let first: serde_json::Value =
        serde_json::from_str(&get(testbed.entry(1), "/v1/addresses").await).expect("valid JSON");
    let key = format!("{}-order", first["write_prefix"].as_str().expect("a prefix"));
    let dead = testbed.entry(1);
    let victim = std::mem::replace(
        &mut testbed.instances[1].entry,
        DaemonProcess::start(ENTRY, std::path::Path::new("no-such-file.ini")),
    );
    let history = run_under_load(&testbed, 5, async {
        tokio::time::sleep(SECOND).await;
        victim.signal("KILL");
    })
    .await;
    assert_invariants(&history, Some(dead));
    drop(victim);
    testbed.instances[1].entry = DaemonProcess::start(ENTRY, &settings);
    wait_until_complete(dead).await;
    let headers = [("idempotency-key", key.as_str())];
    for number in 0..4 {
        let (_, answer) = post(testbed.entry(number), LEDGER, &headers, WRITE_BODY).await;
        assert_eq!(answer["outcome"], "unknown", "the run that issued the key has ended: {answer}");
    }
    let mut after = History::default();
    testbed.stand_ins.collect(&mut after);
    let executed =
        after.effects.values().flatten().any(|effect| format!("{effect:?}").contains(&key));
    assert!(!executed, "a key of an ended run was executed");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_gather_loses_no_request_and_resumes() {
    let testbed = start_testbed([51, 3], 4).await;
    let history = run_under_load(&testbed, 9, async {
        tokio::time::sleep(SECOND).await;
        testbed.instances[2].gather.signal("STOP");
        tokio::time::sleep(FREEZE_DURATION).await;
        testbed.instances[2].gather.signal("CONT");
    })
    .await;
    assert_invariants(&history, None);
    wait_until_complete(testbed.entry(2)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_entry_resumes_without_duplicate_writes() {
    let testbed = start_testbed([51, 4], 4).await;
    let history = run_under_load(&testbed, 9, async {
        tokio::time::sleep(SECOND).await;
        testbed.instances[0].entry.signal("STOP");
        tokio::time::sleep(FREEZE_DURATION).await;
        testbed.instances[0].entry.signal("CONT");
    })
    .await;
    assert_invariants(&history, Some(testbed.entry(0)));
    wait_until_complete(testbed.entry(0)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_process_does_not_serve_an_outdated_revision() {
    let testbed = start_testbed([51, 5], 3).await;
    for signal in ["STOP", "CONT"] {
        testbed.instances[0].entry.signal(signal);
        testbed.instances[0].gather.signal(signal);
        if signal == "STOP" {
            testbed.stand_ins.platform.publish(&testbed.stand_ins.deployment.document(4));
            let other = testbed.entry(1);
            until("the others have revision 4", || async move {
                post(other, QUEUE, &[], SCAN).await.1["revision"] == 4
            })
            .await;
            // The resumed process must not be able to read the revision from the platform.
            testbed.stand_ins.platform.set_down(true);
            tokio::time::sleep(SECOND).await;
        }
    }
    let (status, answer) = post(testbed.entry(0), QUEUE, &[], SCAN).await;
    let caught_up = status == 200 && answer["revision"] == 4;
    assert!(caught_up || status == 503, "the entry answered from its outdated revision: {answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_gather_sends_nothing_to_searchers_that_left() {
    let testbed = start_testbed([51, 6], 4).await;
    let searchers = testbed.stand_ins.searchers_of("queue-board");
    for instance in &testbed.instances[..2] {
        instance.gather.signal("STOP");
    }
    let leaving = Faults { leaving: true, ..Faults::default() };
    for searcher in searchers.iter().step_by(2) {
        searcher.set_faults(leaving.clone());
    }
    // The running instances learn from the answers that the searchers are leaving.
    let history = run_under_load(&testbed, 4, async {}).await;
    assert_invariants(&history, None);
    let before: usize = searchers.iter().step_by(2).map(|searcher| searcher.searches()).sum();
    for instance in &testbed.instances[..2] {
        instance.gather.signal("CONT");
    }
    tokio::time::sleep(2 * SECOND).await;
    let history = run_under_load(&testbed, 2, async {}).await;
    assert_invariants(&history, None);
    let after: usize = searchers.iter().step_by(2).map(|searcher| searcher.searches()).sum();
    assert_eq!(after, before, "searchers that left received new requests");
}

/// The port settings of the second part of a split fleet.
const SECOND_PART_PORTS: &str = "[ports]\nentry_callers = 8400\nentry_peers = 8401\n\
                                 entry_control = 8402\nentry_admin = 8403\n\
                                 gather_peers = 8411\ngather_control = 8412\n\
                                 gather_admin = 8413\n";

/// The last three digits of the ports that the partition proxy forwards, and whether it also
/// forwards datagrams there.
const FORWARDED_PORTS: [(u16, bool); 5] =
    [(400, false), (401, false), (402, true), (411, false), (412, true)];

/// Starts a proxy between instances 0 and 1 on one side and 2 and 3 on the other.
async fn start_partition_proxy(deployment: &Deployment) -> PartitionProxy {
    let forward = |number: usize, (port, udp): (u16, bool)| {
        let (listen_base, target_base) = if number < 2 { (8000, 7000) } else { (7000, 8000) };
        let ip = deployment.instance(number);
        ForwardedPort { ip, listen_port: listen_base + port, target_port: target_base + port, udp }
    };
    let forwarded: Vec<_> =
        (0..4).flat_map(|number| FORWARDED_PORTS.map(|port| forward(number, port))).collect();
    PartitionProxy::start(&forwarded).await.expect("no other test uses the block of addresses")
}

#[tokio::test(flavor = "multi_thread")]
async fn both_sides_of_a_partition_serve_without_reverts_or_duplicate_writes() {
    let deployment = Deployment::fraser_basin([51, 7], SEED);
    let proxy = start_partition_proxy(&deployment).await;
    // The second part reads another platform, which keeps the old revision.
    let second_platform: [std::net::SocketAddr; 2] =
        ["127.51.7.3:7300", "127.51.7.3:7301"].map(|address| address.parse().expect("an address"));
    let lagging_platform = Platform::start(second_platform[0], second_platform[1])
        .await
        .expect("no other test uses the block of addresses");
    lagging_platform.publish(&deployment.document(1));
    lagging_platform.set_instances(deployment.list(0..4));
    let mut testbed = Testbed::start(deployment, 4, SHORT_INTERVALS).await;
    for number in 0..2 {
        testbed.add(number).await;
    }
    let (first_entry, second_entry) = (testbed.entry(0), (testbed.entry(2).ip(), 8400).into());
    for number in 2..4 {
        testbed.add_with_settings(number, second_platform, SECOND_PART_PORTS, 8400).await;
    }
    wait_until_complete(first_entry).await;
    wait_until_complete(second_entry).await;
    let prefix: serde_json::Value =
        serde_json::from_str(&get(first_entry, "/v1/addresses").await).expect("valid JSON");
    let key = format!("{}-order", prefix["write_prefix"].as_str().expect("a prefix"));
    let headers = [("idempotency-key", key.as_str())];

    proxy.set_partitioned(true);
    testbed.stand_ins.platform.publish(&testbed.stand_ins.deployment.document(9));
    until("the first part has revision 9", || async move {
        post(first_entry, QUEUE, &[], SCAN).await.1["revision"] == 9
    })
    .await;
    let admin = testbed.entry_admin(0);
    until("the first part has detected the split", || async move {
        let state = get(admin, "/state").await;
        state.lines().filter(|line| line.contains(" unreachable")).count() == 4
    })
    .await;
    wait_until_complete(first_entry).await;
    wait_until_complete(second_entry).await;
    let (_, stale_answer) = post(second_entry, QUEUE, &[], SCAN).await;
    assert_eq!(
        stale_answer["revision"], 1,
        "revision 9 cannot have reached the second part: {stale_answer}"
    );
    let (_, unknown_outcome) = post(second_entry, LEDGER, &headers, WRITE_BODY).await;
    assert_eq!(
        unknown_outcome["outcome"], "unknown",
        "the run that issued the key is unreachable: {unknown_outcome}"
    );
    let (_, done) = post(first_entry, LEDGER, &headers, WRITE_BODY).await;
    assert_eq!(done["outcome"], "done", "{done}");

    proxy.set_partitioned(false);
    until("the second part has revision 9", || async move {
        post(second_entry, QUEUE, &[], SCAN).await.1["revision"] == 9
    })
    .await;
    tokio::time::sleep(2 * SECOND).await;
    for entry in [first_entry, second_entry] {
        let (_, answer) = post(entry, QUEUE, &[], SCAN).await;
        assert_eq!(answer["revision"], 9, "the revision went back: {answer}");
    }
    until("the run that issued the key is reachable again", || async {
        post(second_entry, LEDGER, &headers, WRITE_BODY).await.1["receipt"] == done["receipt"]
    })
    .await;
    let mut history = History::default();
    testbed.stand_ins.collect(&mut history);
    assert!(check(&history).is_empty(), "an invariant was violated: {:?}", check(&history));
    let (_, over) = testbed.stand_ins.connections();
    assert_eq!(over, 0, "connection limits were exceeded while the fleet was split");
    assert_eq!(first_entry.port(), ENTRY_PORT);
}

/// Guards against a run that executes a key issued by its predecessor: an entry that has not yet
/// learned of the restart forwards the key to the new run.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_of_the_previous_run_has_an_unknown_outcome() {
    let testbed = start_testbed([51, 9], 2).await;
    let peers = SocketAddr::new(testbed.entry(0).ip(), 7401);
    let channels = Channels::<EntryClient>::new(Ipv4Addr::LOCALHOST);
    let client = channels.get(peers).await.expect("the entry accepts connections from entries");
    let key = "1-0-order".parse().expect("a key of an earlier run");
    let names = ["fraser-basin", "glycol-ledger", "doc-7", "20 l"].map(Name::from);
    let [workspace, service, record, body] = names;
    let context = tarpc::context::current();
    let outcome = client.execute(context, workspace, service, key, record, body).await;
    let outcome = outcome.expect("an outcome");
    assert_eq!(outcome.status, Status::Unknown, "{outcome:?}");
}
