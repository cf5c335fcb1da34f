//! The daemons of the own interface as processes before crowds of clients that don't behave.
//!
//! Guards against clients that end a process or keep ordinary callers out: what all of them hold together
//! had no bound. The bounds are the memory and the descriptors of a machine.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bergamot_base::Seed;
use bergamot_bench::deployment::Deployment;
use bergamot_standin::{Crowd, Form};
use support::{Testbed, try_post, until};
use tokio::sync::Mutex;

/// The tests run one at a time: each measures the memory of its own processes, which are late beside
/// other crowds.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// The memory of the smaller machines of the users, which is the default of the settings, in bytes.
const MACHINE_MEMORY: u64 = 260_000_000;

/// The limit on the descriptors of each process, and those of it that are reserved for files.
const DESCRIPTORS: u64 = 1_800;
const FILE_DESCRIPTORS: u64 = 200;

/// The largest body, in bytes, and its setting.
const BODY_BYTES: usize = 4 << 20;
const SETTINGS: &str = "[entry]\nbody_bytes = 4194304\n";

const RECORD: &str = "/v1/fraser-basin/pad-tablet/query";

/// How long a crowd may take to send what it sends, on a busy machine.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The interval at which descriptors are counted while a crowd sends.
const COUNT_INTERVAL: Duration = Duration::from_millis(100);

/// Starts the daemons of one instance.
async fn start(block: u8, descriptors: Option<u64>) -> Testbed {
    let deployment = Deployment::fraser_basin([57, block], Seed(7));
    let mut testbed = Testbed::start(deployment, 1, SETTINGS).await;
    testbed.add_within(0, descriptors).await;
    expect_served(&testbed, "before the crowd").await;
    testbed
}

/// Waits until an ordinary caller is served.
async fn expect_served(testbed: &Testbed, when: &str) {
    let entry = testbed.entry(0);
    let what = format!("a document is found {when}");
    until(&what, || async move {
        let query = r#"{"shape": "record", "key": "doc-7"}"#;
        let reply = try_post(entry, RECORD, &[("x-deadline-ms", "2000")], query).await;
        reply.is_some_and(|(status, answer)| status == 200 && answer["complete"] == true)
    })
    .await;
    check(testbed, when, None);
}

/// Checks that the daemons run within the limits of their machine.
fn check(testbed: &Testbed, when: &str, descriptors: Option<u64>) {
    let instance = &testbed.instances[0];
    for (name, daemon) in [("entry", &instance.entry), ("gather", &instance.gather)] {
        let process = daemon.process();
        assert!(process.is_running(), "the {name} has ended {when}");
        let (memory, sockets) = (process.peak_memory(), process.sockets());
        println!("crowds: {when}: {name} peak_bytes={memory} sockets={sockets}");
        assert!(memory <= MACHINE_MEMORY, "{name}: {memory} bytes {when}");
        if let Some(descriptors) = descriptors {
            let allowed = descriptors - FILE_DESCRIPTORS;
            assert!(sockets <= allowed, "{name}: {sockets} of {allowed} sockets {when}");
        }
    }
}

/// Plays a crowd before a listener of the first instance.
async fn play(testbed: &Testbed, descriptors: Option<u64>, port: u16, clients: usize, form: Form) {
    let ip = testbed.entry(0).ip();
    let mut crowd = Crowd::start(SocketAddr::new(ip, port), clients, form, |client| {
        format!(
            "POST {RECORD} HTTP/1.1\r\nhost: {ip}\r\nx-request-id: c{client}\r\n\
             x-deadline-ms: 30000\r\n"
        )
    });
    let start = Instant::now();
    {
        let settled = async {
            crowd.settle(SETTLE_TIMEOUT).await;
            testbed.instances[0].entry.process().wait_until_idle(SETTLE_TIMEOUT).await;
            testbed.instances[0].gather.process().wait_until_idle(SETTLE_TIMEOUT).await;
        };
        let mut settled = std::pin::pin!(settled);
        loop {
            tokio::select! {
                () = &mut settled => break,
                () = tokio::time::sleep(COUNT_INTERVAL) => {
                    check(testbed, "while the crowd sends", descriptors);
                }
            }
        }
    }
    println!("crowds: {form:?} sent after {} ms", start.elapsed().as_millis());
    check(testbed, "when the crowd has sent", descriptors);
    expect_served(testbed, "beside the crowd").await;
    drop(crowd);
    expect_served(testbed, "after the crowd").await;
}

const LENGTH_AT_ONCE: Form = Form::Length { bytes: BODY_BYTES, piece: BODY_BYTES };
const LENGTH_IN_PIECES: Form = Form::Length { bytes: 1 << 20, piece: 1024 };
const SMALLEST_CHUNKS_EACH_ALONE: Form = Form::Chunks { count: 2000, size: 1, per_write: 1 };

/// Guards against bodies, each of legal size, that have no bound together.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_to_an_entry_that_stop_short() {
    let _alone = ONE_AT_A_TIME.lock().await;
    play(&start(1, None).await, None, 7400, 150, LENGTH_AT_ONCE).await;
}

/// Guards against the read buffers that the pieces of a body keep.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_to_an_entry_in_pieces_that_stop_short() {
    let _alone = ONE_AT_A_TIME.lock().await;
    play(&start(2, None).await, None, 7400, 150, LENGTH_IN_PIECES).await;
}

/// Guards against a read buffer that each chunk of one byte keeps.
#[tokio::test(flavor = "multi_thread")]
async fn smallest_chunks_to_an_entry_that_stop_short() {
    let _alone = ONE_AT_A_TIME.lock().await;
    play(&start(3, None).await, None, 7400, 150, SMALLEST_CHUNKS_EACH_ALONE).await;
}

/// Guards against messages between daemons that have no bound together.
#[tokio::test(flavor = "multi_thread")]
async fn messages_to_daemons_that_stop_short() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let testbed = start(4, None).await;
    for port in [7401, 7411] {
        play(&testbed, None, port, 150, Form::Frame(4 << 20)).await;
    }
}

/// Guards against connections that take all descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn connections_to_the_daemons_that_send_nothing() {
    let _alone = ONE_AT_A_TIME.lock().await;
    for (block, port) in
        [(5, 7400), (6, 7401), (7, 7402), (8, 7403), (9, 7411), (10, 7412), (11, 7413)]
    {
        let testbed = start(block, Some(DESCRIPTORS)).await;
        play(&testbed, Some(DESCRIPTORS), port, 3_000, Form::Silence).await;
    }
}

/// Guards against memory that doesn't come back and grows from crowd to crowd.
#[tokio::test(flavor = "multi_thread")]
async fn crowds_before_an_entry_one_after_the_other() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let testbed = start(12, None).await;
    for form in
        [SMALLEST_CHUNKS_EACH_ALONE, LENGTH_IN_PIECES, LENGTH_AT_ONCE, SMALLEST_CHUNKS_EACH_ALONE]
    {
        play(&testbed, None, 7400, 100, form).await;
    }
}
