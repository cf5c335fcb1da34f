//! What the configuration service answers, as the daemons of the own interface believe it.

mod support;

use std::sync::Arc;
use std::time::Duration;

use bergamot_bench::deployment::Deployment;
use bergamot_gather::Gather;
use bergamot_standin::{RecordedRequest, ScriptedServer, Step};
use support::{SEED, settings};

fn is_watch(seen: &RecordedRequest) -> bool {
    seen.head.contains("/v1/watch")
}

/// Guards against a reader that takes a watch that ends at once for one that has waited, and reads
/// the configuration service as fast as it answers.
#[tokio::test]
async fn a_watch_that_ends_at_once_is_not_repeated_at_once() {
    let mut rates = Vec::new();
    for (block, status) in [(1, "202 Accepted"), (2, "204 No Content"), (3, "206 Partial Content")]
    {
        let deployment = Deployment::fraser_basin([63, block], SEED);
        let document = deployment.document(1);
        let respond = move |seen: &RecordedRequest| {
            let (status, body) = if is_watch(seen) { (status, "") } else { ("200 OK", &*document) };
            let head = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n", body.len());
            vec![Step::Send(format!("{head}{body}").into_bytes())]
        };
        let service = ScriptedServer::start(respond).await.expect("a free port");
        let mut settings = deployment.settings(0, &settings());
        settings.platform.configuration = service.address();
        let gather = Gather::start(Arc::new(settings)).await.expect("it starts");
        tokio::time::sleep(Duration::from_secs(1)).await;
        gather.abort();
        rates.push((status, service.requests().iter().filter(|seen| is_watch(seen)).count()));
    }
    assert!(rates.iter().all(|(_, watches)| (1..=5).contains(watches)), "in a second: {rates:?}");
}
