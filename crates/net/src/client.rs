//! A small HTTP client: one connection, one exchange at a time.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::time::Instant;

use crate::dial::{Fault, dial};

/// A whole reply in memory.
pub type Reply = Response<Bytes>;

/// The largest reply that is read, in bytes.
const LARGEST: usize = 64 << 20;

/// How long a reply may come in: a megabyte over a tenth of the slowest links (14 Mbit/s),
/// with a third more where it is base64.
pub const LONGEST_REPLY: Duration = Duration::from_secs(8);

/// How long an exchange may take, told by its progress.
///
/// A bound on the whole of an exchange is a bound on the size of its reply: over a slow link a
/// large one is cut each time, at the same place, and never read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// How long the head of the reply may take.
    pub head: Duration,
    /// How long nothing may come in midway.
    pub silence: Duration,
    /// How long the body may take, against a server that never ends.
    pub body: Duration,
}

/// A connection to one server.
#[derive(Debug)]
pub struct Client {
    remote: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

impl Client {
    /// Dials a server.
    pub async fn connect(
        local: Ipv4Addr,
        remote: SocketAddr,
        timeout: Duration,
    ) -> Result<Self, Fault> {
        let stream = dial(local, remote, timeout).await?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| Fault::new("handshake", remote, error))?;
        tokio::spawn(connection);
        Ok(Self { remote, sender })
    }

    /// Tells whether the connection can take another request.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request and reads the whole reply.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Reply, Fault> {
        let (parts, body) = self.head(request).await?.into_parts();
        let whole = Limited::new(body, LARGEST)
            .collect()
            .await
            .map_err(|error| Fault::new("read reply", self.remote, error))?;
        Ok(Response::from_parts(parts, whole.to_bytes()))
    }

    /// Sends a request and reads the reply for as long as it comes in.
    ///
    /// `arriving` hears when the reply has begun. A fault says how much of it had come in.
    pub async fn send_within(
        &mut self,
        request: Request<Full<Bytes>>,
        bounds: Bounds,
        arriving: impl FnOnce(),
    ) -> Result<Reply, Fault> {
        let remote = self.remote;
        let head = tokio::time::timeout(bounds.head, self.head(request)).await;
        let head = head.map_err(|elapsed| Fault::new("read head of reply", remote, elapsed))??;
        arriving();
        let (parts, body) = head.into_parts();
        let mut body = Limited::new(body, LARGEST);
        let mut bytes = BytesMut::new();
        let end = Instant::now() + bounds.body;
        loop {
            let until = end.min(Instant::now() + bounds.silence);
            let frame = tokio::time::timeout_at(until, body.frame()).await;
            let fault = |cause: &dyn std::fmt::Display| {
                let cause = format!("{cause} after {} bytes", bytes.len());
                Fault::new("read reply", remote, cause)
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

    /// Sends a request and reads the head of the reply.
    async fn head(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Fault> {
        let fault = |step, error: &dyn std::fmt::Display| Fault::new(step, self.remote, error);
        if let Ok(host) = self.remote.to_string().parse() {
            request.headers_mut().entry("host").or_insert(host);
        }
        self.sender.ready().await.map_err(|error| fault("connect", &error))?;
        self.sender.send_request(request).await.map_err(|error| fault("send", &error))
    }
}

/// Fetches a path over a connection of its own; the server may be silent for `silence`.
pub async fn fetch(
    local: Ipv4Addr,
    remote: SocketAddr,
    path: &str,
    silence: Duration,
) -> Result<Reply, Fault> {
    let request = Request::get(path)
        .body(Full::default())
        .map_err(|error| Fault::new("make request", remote, error))?;
    let mut client = Client::connect(local, remote, silence).await?;
    let bounds = Bounds { head: silence, silence, body: LONGEST_REPLY };
    client.send_within(request, bounds, || {}).await
}
