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
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::head_limit::HeadLimit;
use crate::timeouts::{Activity, ConnectionTimeouts, Expired, observe};

/// The delay after a failed accept. If the process has run out of file descriptors, some become
/// available as other connections are closed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The body of a response, held in memory.
pub type Body = Full<Bytes>;

/// What clients may send and how long they may take. Without a limit, that of the HTTP library
/// applies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// The size of the head of a request.
    pub head: Option<HeadLimit>,
    /// The times for a head and between two requests.
    pub timeouts: Option<ConnectionTimeouts>,
}

/// Serves connections as [`serve_within`], with the HTTP library's limits.
pub async fn serve<H, F>(listener: TcpListener, stop: CancellationToken, handler: H)
where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    serve_within(listener, stop, ConnectionLimits::default, handler).await;
}

/// Accepts connections until `stop` is cancelled, then completes the exchanges in flight.
///
/// A request whose head exceeds the limit is answered with status 431, and its connection is closed.
/// A connection is closed when it has been idle for too long, or a head has taken too long.
/// `limits` is called for each new connection, which keeps what it returns.
///
/// Returns when the last connection has been closed.
pub async fn serve_within<H, F>(
    listener: TcpListener,
    stop: CancellationToken,
    limits: impl Fn() -> ConnectionLimits,
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
        let serving = serve_connection(stream, peer, limits(), stop.clone(), handler.clone());
        tracker.spawn(async move {
            if let Err(error) = serving.await {
                log::debug!("net: connection from {peer} failed: {error}");
            }
        });
    }
    drop(listener);
    tracker.close();
    tracker.wait().await;
}

/// Serves one connection until it ends.
async fn serve_connection<H, F>(
    stream: TcpStream,
    peer: SocketAddr,
    limits: ConnectionLimits,
    stop: CancellationToken,
    handler: H,
) -> hyper::Result<()>
where
    H: Fn(Request<Incoming>, SocketAddr) -> F,
    F: Future<Output = Response<Body>>,
{
    let activity = Activity::new();
    let exchanges = activity.clone();
    let service = service_fn(move |request| {
        let activity = exchanges.clone();
        activity.begin_exchange();
        let response = handler(request, peer);
        async move {
            let response = response.await;
            activity.end_exchange();
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    if let Some(limit) = limits.head {
        limit.apply(&mut builder);
    }
    if limits.timeouts.is_some() {
        builder.header_read_timeout(None);
    }
    let stream = TokioIo::new(observe(stream, &activity));
    let mut connection = std::pin::pin!(builder.serve_connection(stream, service));
    let (mut is_closing, mut has_expired) = (false, false);
    loop {
        let next_check =
            limits.timeouts.map(|timeouts| activity.next_check(Instant::now(), timeouts));
        tokio::select! {
            biased;
            result = connection.as_mut() => return result,
            () = stop.cancelled(), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = sleep_until(next_check.unwrap_or_else(Instant::now)), if next_check.is_some() => {
                let expired = limits
                    .timeouts
                    .and_then(|timeouts| activity.expired(Instant::now(), timeouts));
                // After a time in which the process didn't run, bytes that came in it may not have
                // been read. They are by the second look.
                let is_confirmed = std::mem::replace(&mut has_expired, expired.is_some());
                match expired.filter(|_| is_confirmed) {
                    Some(Expired::Head) => {
                        log::debug!("net: event=head_timed_out peer={peer}");
                        return Ok(());
                    }
                    Some(Expired::Idle) if !is_closing => {
                        is_closing = true;
                        connection.as_mut().graceful_shutdown();
                    }
                    Some(Expired::Idle) | None => {}
                }
            }
        }
    }
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
