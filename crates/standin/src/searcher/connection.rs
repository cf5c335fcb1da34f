//! The connections of a searcher: their limit, the latency to the client, and distorted responses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::net::{TcpListener, TcpStream};

use super::{Inner, sleep};

/// The size of the buffer between a connection and the service, in bytes: a response is at most as
/// large, so that it can be distorted as a whole.
const RESPONSE_BUFFER: usize = 1 << 20;

/// Accepts connections until the searcher stops.
pub(super) async fn accept(inner: Arc<Inner>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            () = inner.stop.cancelled() => {
                let lag = inner.lock().faults.listener_lag;
                return sleep(lag).await;
            }
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, peer)) = accepted else {
            continue;
        };
        let open = inner.open.fetch_add(1, Ordering::Relaxed) + 1;
        if open > inner.settings.limits.connections {
            inner.open.fetch_sub(1, Ordering::Relaxed);
            inner.over_limit.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        inner.peak.fetch_max(open, Ordering::Relaxed);
        inner.accepted.fetch_add(1, Ordering::Relaxed);
        let inner = Arc::clone(&inner);
        tokio::spawn(async move {
            tokio::select! {
                () = inner.stop.cancelled() => {}
                () = connection(&inner, stream, peer) => {}
            }
            inner.open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn connection(inner: &Arc<Inner>, stream: TcpStream, peer: SocketAddr) {
    // Without TCP_NODELAY the connection is slower but still works.
    let _ = stream.set_nodelay(true);
    sleep(inner.settings.limits.connect_cost).await;
    let one_way = inner.settings.topology.one_way(peer.ip(), &inner.settings.zone);
    let service = service_fn(move |request| {
        let inner = Arc::clone(inner);
        async move {
            sleep(one_way).await;
            let reply = inner.handle(request).await;
            sleep(one_way).await;
            reply.ok_or_else(|| std::io::Error::other("connection closed by an injected fault"))
        }
    });
    let (near, far) = tokio::io::duplex(RESPONSE_BUFFER);
    let serve = http1::Builder::new().serve_connection(TokioIo::new(near), service);
    // The client sees a closed connection, and the stand-in has nothing to report.
    let _ = tokio::join!(serve, forward(inner, stream, far));
}

/// Forwards the bytes of a connection, and distorts responses if the injected faults demand it.
async fn forward(inner: &Arc<Inner>, stream: TcpStream, far: DuplexStream) {
    let (mut requests, mut client) = stream.into_split();
    let (mut responses, mut service) = tokio::io::split(far);
    let responses = async {
        let (mut bytes, mut previous) = (vec![0; RESPONSE_BUFFER], Vec::new());
        while let Ok(length @ 1..) = responses.read(&mut bytes).await {
            let response = &bytes[..length];
            let distortion = inner.lock().faults.distortion;
            let sent = match distortion {
                Some(distortion) => {
                    distortion.apply(Some(&previous), response).send(&mut client).await
                }
                None => client.write_all(response).await,
            };
            if sent.is_err() {
                return;
            }
            previous = response.to_vec();
        }
    };
    tokio::select! {
        () = responses => {}
        _ = tokio::io::copy(&mut requests, &mut service) => {}
    }
}
