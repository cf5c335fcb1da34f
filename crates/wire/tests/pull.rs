//! Tests that a pull fails if it makes no progress, but not because the transfer takes long.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bergamot_base::Name;
use bergamot_wire::{PullRequest, PullResponse, pull, serve_pulls};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// The read timeout of the client in these tests.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Returns a response of about 100 KB.
fn bundle() -> PullResponse {
    let searcher = SocketAddr::from((Ipv4Addr::LOCALHOST, 7));
    let leaving = (0..2000).map(|run| (searcher, Name::from(format!("{run:0>40}")))).collect();
    PullResponse { leaving, ..PullResponse::default() }
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("it listens");
    (listener, address)
}

/// Starts a proxy that forwards the server's data in pieces of 8 KB, each after a pause, and
/// forwards nothing after the given number of pieces.
async fn slow_link(server: SocketAddr, pause: Duration, pieces: usize) -> SocketAddr {
    let (listener, address) = listener().await;
    tokio::spawn(async move {
        let (near, _) = listener.accept().await.expect("a puller");
        let far = TcpStream::connect(server).await.expect("it listens");
        let ((mut near_in, mut near_out), (mut far_in, mut far_out)) =
            (near.into_split(), far.into_split());
        tokio::spawn(async move { tokio::io::copy(&mut near_in, &mut far_out).await });
        let mut bytes = [0; 8 << 10];
        for _ in 0..pieces {
            tokio::time::sleep(pause).await;
            let Ok(length @ 1..) = far_in.read(&mut bytes).await else { return };
            if near_out.write_all(&bytes[..length]).await.is_err() {
                return;
            }
        }
        std::future::pending::<()>().await;
    });
    address
}

async fn server() -> SocketAddr {
    let (listener, address) = listener().await;
    tokio::spawn(serve_pulls(listener, Arc::default(), CancellationToken::new(), |_request| {
        bundle()
    }));
    address
}

#[tokio::test]
async fn a_large_response_over_a_slow_link_is_received_completely() {
    let link = slow_link(server().await, READ_TIMEOUT / 6, usize::MAX).await;
    let pulled = pull(Ipv4Addr::LOCALHOST, link, &PullRequest::default(), READ_TIMEOUT).await;
    assert_eq!(pulled.expect("it comes in").0, bundle());
}

#[tokio::test]
async fn a_pull_fails_if_the_peer_stalls_midway() {
    let link = slow_link(server().await, Duration::ZERO, 3).await;
    let pulled = pull(Ipv4Addr::LOCALHOST, link, &PullRequest::default(), READ_TIMEOUT).await;
    let fault = pulled.expect_err("it falls silent");
    assert_eq!(fault.step.0, "receive control message");
}
