//! An HTTP server with graceful shutdown.

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

use crate::head_limit::HeadLimit;

/// The delay after a failed accept. If the process has run out of file descriptors, some become
/// available as other connections are closed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The body of a response, held in memory.
pub type Body = Full<Bytes>;

/// Serves connections as [`serve_within`], with the HTTP library's limits for the heads of requests.
pub async fn serve<H, F>(listener: TcpListener, stop: CancellationToken, handler: H)
where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    serve_within(listener, stop, || None, handler).await;
}

/// Accepts connections until `stop` is cancelled, then completes the exchanges in flight.
///
/// A request whose head exceeds the limit is answered with status 431, and its connection is closed.
/// `head_limit` is called for each new connection, which keeps the limit; without one, those of the
/// HTTP library apply.
///
/// Returns when the last connection has been closed.
pub async fn serve_within<H, F>(
    listener: TcpListener,
    stop: CancellationToken,
    head_limit: impl Fn() -> Option<HeadLimit>,
    handler: H,
) where
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
                // While no file descriptor is free, an immediate retry would fail as well.
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        // Without this, small responses are delayed until earlier data is acknowledged. A failure
        // costs only latency.
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let service = service_fn(move |request| {
            let response = handler(request, peer);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let stop = stop.clone();
        let mut builder = http1::Builder::new();
        builder.timer(TokioTimer::new());
        if let Some(limit) = head_limit() {
            limit.apply(&mut builder);
        }
        tracker.spawn(async move {
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            let mut connection = std::pin::pin!(connection);
            let result = tokio::select! {
                result = connection.as_mut() => result,
                () = stop.cancelled() => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            };
            if let Err(error) = result {
                log::debug!("net: connection from {peer} failed: {error}");
            }
        });
    }
    drop(listener);
    tracker.close();
    tracker.wait().await;
}

/// The reason why a request body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than the limit.
    TooLarge,
    /// The connection failed before the end of the body.
    Incomplete,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLarge => "the body is larger than allowed",
            Self::Incomplete => "the body was cut",
        })
    }
}

/// Reads the complete body of a request, up to `limit` bytes.
pub async fn read_body(request: Request<Incoming>, limit: usize) -> Result<Bytes, BodyError> {
    match Limited::new(request.into_body(), limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(BodyError::TooLarge),
        Err(_) => Err(BodyError::Incomplete),
    }
}

/// Creates a JSON response.
pub fn json(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    response(status, body, "application/json")
}

/// Creates a plain text response.
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    response(status, body, "text/plain; charset=utf-8")
}

fn response(
    status: StatusCode,
    body: impl Into<Bytes>,
    content_type: &'static str,
) -> Response<Body> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
