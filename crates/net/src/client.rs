//! A minimal HTTP client that handles one exchange at a time on a single connection.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::time::Instant;

use crate::dial::{NetworkError, dial};

/// A complete reply in memory.
pub type Reply = Response<Bytes>;

/// The maximum size of a reply body in bytes.
const MAX_REPLY_BYTES: usize = 64 << 20;

/// The default timeout for a reply body: enough for one megabyte, a third more when encoded as
/// base64, over a tenth of the capacity of the slowest links (14 Mbit/s).
pub const REPLY_BODY_TIMEOUT: Duration = Duration::from_secs(8);

/// The timeouts for the phases of an exchange.
///
/// A single timeout for the whole exchange would limit the size of the reply: over a slow link,
/// a large reply would be aborted at the same point on each attempt and never be received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyTimeouts {
    /// The timeout for receiving the reply head.
    pub head: Duration,
    /// The maximum time without data while the body is received.
    pub idle: Duration,
    /// The timeout for the whole body, in case the server never ends it.
    pub body: Duration,
}

/// A connection to one server.
#[derive(Debug)]
pub struct Client {
    remote: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

impl Client {
    /// Connects to a server from the address `local`.
    pub async fn connect(
        local: Ipv4Addr,
        remote: SocketAddr,
        timeout: Duration,
    ) -> Result<Self, NetworkError> {
        let stream = dial(local, remote, timeout).await?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| NetworkError::new("handshake", remote, error))?;
        tokio::spawn(connection);
        Ok(Self { remote, sender })
    }

    /// Returns whether the connection can be used for another request.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request and reads the complete reply.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Reply, NetworkError> {
        let (parts, body) = self.send_for_head(request).await?.into_parts();
        let body = Limited::new(body, MAX_REPLY_BYTES)
            .collect()
            .await
            .map_err(|error| NetworkError::new("read reply", self.remote, error))?;
        Ok(Response::from_parts(parts, body.to_bytes()))
    }

    /// Sends a request and reads the complete reply within the given timeouts.
    ///
    /// Calls `on_head` when the reply head has been received. If the body fails, the error
    /// states how many bytes had been received.
    pub async fn send_with_timeouts(
        &mut self,
        request: Request<Full<Bytes>>,
        timeouts: ReplyTimeouts,
        on_head: impl FnOnce(),
    ) -> Result<Reply, NetworkError> {
        let remote = self.remote;
        let head = tokio::time::timeout(timeouts.head, self.send_for_head(request)).await;
        let head =
            head.map_err(|elapsed| NetworkError::new("read reply head", remote, elapsed))??;
        on_head();
        let (parts, body) = head.into_parts();
        let mut body = Limited::new(body, MAX_REPLY_BYTES);
        let mut bytes = BytesMut::new();
        let body_deadline = Instant::now() + timeouts.body;
        loop {
            let frame_deadline = body_deadline.min(Instant::now() + timeouts.idle);
            let frame = tokio::time::timeout_at(frame_deadline, body.frame()).await;
            let fault = |cause: &dyn std::fmt::Display| {
                let cause = format!("{cause} after {} bytes", bytes.len());
                NetworkError::new("read reply", remote, cause)
            };
            match frame.map_err(|elapsed| fault(&elapsed))? {
                None => return Ok(Response::from_parts(parts, bytes.freeze())),
                Some(frame) => {
                    let frame = frame.map_err(|error| fault(&error))?;
                    if let Some(data) = frame.data_ref() {
                        bytes.extend_from_slice(data);
                    }
                }
            }
        }
    }

    /// Sends a request and reads the reply head.
    async fn send_for_head(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, NetworkError> {
        let fault =
            |step, error: &dyn std::fmt::Display| NetworkError::new(step, self.remote, error);
        if let Ok(host) = self.remote.to_string().parse() {
            request.headers_mut().entry("host").or_insert(host);
        }
        self.sender.ready().await.map_err(|error| fault("connect", &error))?;
        self.sender.send_request(request).await.map_err(|error| fault("send", &error))
    }
}

/// Fetches a path over a new connection.
///
/// `idle_timeout` limits the time for the connection, for the reply head and between parts of the
/// body; the whole body may take up to [`REPLY_BODY_TIMEOUT`].
pub async fn fetch(
    local: Ipv4Addr,
    remote: SocketAddr,
    path: &str,
    idle_timeout: Duration,
) -> Result<Reply, NetworkError> {
    let request = Request::get(path)
        .body(Full::default())
        .map_err(|error| NetworkError::new("build request", remote, error))?;
    let mut client = Client::connect(local, remote, idle_timeout).await?;
    let timeouts =
        ReplyTimeouts { head: idle_timeout, idle: idle_timeout, body: REPLY_BODY_TIMEOUT };
    client.send_with_timeouts(request, timeouts, || {}).await
}
