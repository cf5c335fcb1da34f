//! Tests of the timeouts for receiving a reply.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bergamot_net::{Client, NetworkError, Reply, ReplyTimeouts, fetch};
use hyper::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// The maximum time without data from the server.
const IDLE_TIMEOUT: Duration = Duration::from_millis(400);

/// Starts a server that announces a body of `announced` pieces of 1000 bytes, sends `pieces` of
/// them with a `pause` before each, and then hangs.
async fn server(pieces: usize, pause: Duration, announced: usize) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("it listens");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a caller");
        let mut request_head = [0; 1024];
        let _read = stream.read(&mut request_head).await.expect("a request");
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", announced * 1000);
        stream.write_all(head.as_bytes()).await.expect("the caller reads");
        for _ in 0..pieces {
            tokio::time::sleep(pause).await;
            if stream.write_all(&[7; 1000]).await.is_err() {
                return;
            }
        }
        std::future::pending::<()>().await;
    });
    address
}

async fn read(remote: SocketAddr, body: Duration) -> Result<Reply, NetworkError> {
    let mut client = Client::connect(Ipv4Addr::LOCALHOST, remote, IDLE_TIMEOUT).await?;
    let request = Request::get("/").body(bergamot_net::Body::default()).expect("a request");
    client
        .send_with_timeouts(
            request,
            ReplyTimeouts { head: IDLE_TIMEOUT, idle: IDLE_TIMEOUT, body },
            || {},
        )
        .await
}

/// Ten pieces at intervals of a quarter of the idle timeout take 2.5 times as long as it in all.
/// This guards against a timeout for the whole exchange, which would abort such a reply.
#[tokio::test]
async fn a_slow_reply_is_read_as_long_as_data_arrives() {
    let remote = server(10, IDLE_TIMEOUT / 4, 10).await;
    let reply =
        fetch(Ipv4Addr::LOCALHOST, remote, "/", IDLE_TIMEOUT).await.expect("the reply is complete");
    assert_eq!(reply.body().len(), 10_000);
}

#[tokio::test]
async fn a_stalled_reply_fails_with_the_number_of_bytes_received() {
    let remote = server(3, Duration::ZERO, 10).await;
    let error = read(remote, Duration::from_mins(1)).await.expect_err("the body stalls");
    assert!(error.cause.ends_with("after 3000 bytes"), "{error}");
}

#[tokio::test]
async fn a_reply_that_never_ends_is_aborted() {
    let remote = server(10_000, Duration::from_millis(10), 10_000).await;
    let error = read(remote, IDLE_TIMEOUT).await.expect_err("the body never ends");
    assert!(error.cause.contains("after "), "{error}");
}
