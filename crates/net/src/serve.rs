//! An HTTP server with graceful shutdown.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use bergamot_resources::{Activity, ConnectionTimeouts, Exhausted, Expired, Hold, head_memory};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::body::Received;
use crate::head_limit::HeadLimit;
use crate::intake::{Accepted, Intake};
use crate::observed::{HeadMemory, Observed};

/// When a caller may come back whose head found no memory, in seconds.
const EXHAUSTED_RETRY_AFTER: HeaderValue = HeaderValue::from_static("1");

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

/// Serves connections as [`serve_bounded`], without bounds on all of them.
pub async fn serve_within<H, F>(
    listener: TcpListener,
    stop: CancellationToken,
    limits: impl Fn() -> ConnectionLimits,
    handler: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    serve_bounded(listener, stop, Arc::default(), limits, handler).await;
}

/// Accepts connections until `stop` is cancelled, then completes the exchanges in flight.
///
/// A request whose head exceeds the limit is answered with status 431, and its connection is closed.
/// A connection is closed when it has been idle for too long, a head has taken too long, or its place
/// goes to another one. `limits` is called for each new connection, which keeps what it returns.
///
/// Returns when the last connection has been closed.
pub async fn serve_bounded<H, F>(
    listener: TcpListener,
    stop: CancellationToken,
    intake: Arc<Intake>,
    limits: impl Fn() -> ConnectionLimits,
    handler: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let tracker = TaskTracker::new();
    while let Some(accepted) = intake.accept(&listener, &stop).await {
        let peer = accepted.peer;
        let (intake, stop) = (Arc::clone(&intake), stop.clone());
        let serving = serve_connection(accepted, intake, limits(), stop, handler.clone());
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
    accepted: Accepted,
    intake: Arc<Intake>,
    limits: ConnectionLimits,
    stop: CancellationToken,
    handler: H,
) -> hyper::Result<()>
where
    H: Fn(Request<Incoming>, SocketAddr) -> F,
    F: Future<Output = Response<Body>>,
{
    let Accepted { stream, peer, place } = accepted;
    let activity = place.activity();
    let service = service_fn(|mut request: Request<Incoming>| {
        let (activity, intake) = (activity.clone(), Arc::clone(&intake));
        let handling = begin_exchange(&mut request, &activity, &intake)
            .map(|head| (head, handler(request, peer)));
        async move {
            let response = match handling {
                Ok((_head, response)) => response.await,
                Err(exhausted) => {
                    intake.log_head_refused(peer, exhausted);
                    refuse_head()
                }
            };
            activity.end_exchange(Instant::now().into());
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
    let heads =
        intake.memory().cloned().map(|memory| HeadMemory { memory, close: place.close_token() });
    let stream = TokioIo::new(Observed::with_heads(stream, activity.clone(), heads));
    let mut connection = std::pin::pin!(builder.serve_connection(stream, service));
    let (mut is_closing, mut has_expired) = (false, false);
    loop {
        let next_check = limits
            .timeouts
            .map(|timeouts| activity.next_check(Instant::now().into(), timeouts).into());
        tokio::select! {
            biased;
            result = connection.as_mut() => return result,
            () = place.closed() => {
                intake.log_closed(peer);
                return Ok(());
            }
            () = stop.cancelled(), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = sleep_until(next_check.unwrap_or_else(Instant::now)), if next_check.is_some() => {
                let expired = limits
                    .timeouts
                    .and_then(|timeouts| activity.expired(Instant::now().into(), timeouts));
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
                    // The client reads no further: an idle connection has closed at once.
                    Some(Expired::Idle) => {
                        log::debug!("net: event=response_not_read peer={peer}");
                        return Ok(());
                    }
                    None => {}
                }
            }
        }
    }
}

/// Records that the head of a request is complete, and counts its memory: with the body, if the request
/// has one, and otherwise until the returned value is dropped.
fn begin_exchange(
    request: &mut Request<Incoming>,
    activity: &Activity,
    intake: &Intake,
) -> Result<Option<Hold>, Exhausted> {
    let has_body = !request.body().is_end_stream();
    let received = activity.begin_exchange(Instant::now().into(), has_body);
    let head_bytes = head_memory(received, request.headers().len());
    if has_body {
        let activity = activity.clone();
        request.extensions_mut().insert(Received { activity, head_bytes });
        return Ok(None);
    }
    let bounded = intake.memory().filter(|_| head_bytes > 0);
    bounded.map(|memory| memory.hold(head_bytes)).transpose()
}

/// Refuses a request whose head finds no memory. It hasn't run.
fn refuse_head() -> Response<Body> {
    let mut response =
        text(StatusCode::SERVICE_UNAVAILABLE, "not run: no memory for the head of the request");
    response.headers_mut().insert(RETRY_AFTER, EXHAUSTED_RETRY_AFTER);
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
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
