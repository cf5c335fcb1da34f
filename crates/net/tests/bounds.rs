//! A reply is read for as long as it comes in, and no longer.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bergamot_net::{Bounds, Client, Fault, Reply, fetch};
use hyper::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// How long the server may be silent in these tests.
const SILENCE: Duration = Duration::from_millis(400);

/// A server that sends one reply of so many pieces, each after a pause, and then hangs.
async fn server(pieces: usize, pause: Duration, promised: usize) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("it listens");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a caller");
        let mut question = [0; 1024];
        let _read = stream.read(&mut question).await.expect("a question");
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", promised * 1000);
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

async fn read(remote: SocketAddr, body: Duration) -> Result<Reply, Fault> {
    let mut client = Client::connect(Ipv4Addr::LOCALHOST, remote, SILENCE).await?;
    let request = Request::get("/").body(bergamot_net::Body::default()).expect("a request");
    client.send_within(request, Bounds { head: SILENCE, silence: SILENCE, body }, || {}).await
}

/// Ten pieces, a tenth of a second apart: more than twice the silence in all.
#[tokio::test]
async fn a_reply_that_comes_in_is_read_however_long_it_takes() {
    let remote = server(10, SILENCE / 4, 10).await;
    let reply = fetch(Ipv4Addr::LOCALHOST, remote, "/", SILENCE).await.expect("it comes in");
    assert_eq!(reply.body().len(), 10_000);
}

#[tokio::test]
async fn a_reply_that_falls_silent_midway_is_given_up_with_what_came() {
    let remote = server(3, Duration::ZERO, 10).await;
    let fault = read(remote, Duration::from_mins(1)).await.expect_err("it falls silent");
    assert!(fault.cause.ends_with("after 3000 bytes"), "{fault}");
}

#[tokio::test]
async fn a_reply_that_never_ends_is_given_up() {
    let remote = server(10_000, Duration::from_millis(10), 10_000).await;
    let fault = read(remote, SILENCE).await.expect_err("it never ends");
    assert!(fault.cause.contains("after "), "{fault}");
}
