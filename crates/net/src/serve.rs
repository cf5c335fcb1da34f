//! Serving HTTP with a stop that cuts no exchange in flight.

use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// How long a listener waits after it could not accept a connection: descriptors become free
/// as other connections end.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The body of every reply: whole and in memory.
pub type Body = Full<Bytes>;

/// Accepts connections until `stop`, then finishes the exchanges in flight.
///
/// Returns once the last connection is closed.
pub async fn serve<H, F>(listener: TcpListener, stop: CancellationToken, handler: H)
where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let tracker = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("net: event=accept_failed cause=\"{error}\"");
                // Without a free descriptor the next try fails at once too.
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        // Without it, small replies wait for acknowledgements; failure only costs time.
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let service = service_fn(move |request| {
            let reply = handler(request, peer);
            async move { Ok::<_, Infallible>(reply.await) }
        });
        let stop = stop.clone();
        tracker.spawn(async move {
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service);
            let mut connection = std::pin::pin!(connection);
            let ended = tokio::select! {
                ended = connection.as_mut() => ended,
                () = stop.cancelled() => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            };
            if let Err(error) = ended {
                log::debug!("net: Connection from {peer} ended: {error}.");
            }
        });
    }
    drop(listener);
    tracker.close();
    tracker.wait().await;
}

/// Why a request's body was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// It is larger than the limit.
    TooLarge,
    /// The caller stopped sending.
    Cut,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLarge => "the body is larger than allowed",
            Self::Cut => "the body was cut",
        })
    }
}

/// Reads the whole body of a request, up to a limit.
pub async fn read_body(request: Request<Incoming>, limit: usize) -> Result<Bytes, Rejection> {
    match Limited::new(request.into_body(), limit).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(Rejection::TooLarge),
        Err(_cut) => Err(Rejection::Cut),
    }
}

/// Makes a JSON reply.
pub fn json(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    reply(status, body, "application/json")
}

/// Makes a plain text reply.
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    reply(status, body, "text/plain; charset=utf-8")
}

fn reply(status: StatusCode, body: impl Into<Bytes>, kind: &'static str) -> Response<Body> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}
