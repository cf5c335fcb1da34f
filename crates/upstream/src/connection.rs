//! One HTTP/1 connection to a searcher, which carries one request at a time.
//!
//! Only bytes of an answer that names its request reach the HTTP library
//! ([`bergamot_answer::Inspector`]). See `docs/design/0020-answers-of-searchers.md`.

use std::error::Error;
use std::fmt;

use bergamot_answer::Fault;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::task::AbortHandle;

use crate::inspected::{Inspected, SharedInspector, fault_of};

/// The largest read buffer of a connection, in bytes: twice the largest head.
const MAX_READ_BUFFER: usize = 64 << 10;

/// Why a request has no answer.
#[derive(Debug)]
pub enum SendError {
    /// The connection can't carry the request, which was not sent.
    Unusable(Fault),
    /// The connection failed.
    Connection {
        /// The cause.
        error: hyper::Error,
        /// Whether the request was certainly not sent.
        is_unsent: bool,
    },
}

impl SendError {
    /// Returns whether the request was certainly not sent.
    pub fn is_unsent(&self) -> bool {
        match self {
            Self::Unusable(_) => true,
            Self::Connection { is_unsent, .. } => *is_unsent,
        }
    }

    /// Returns the fault in the received bytes that caused the error, if one did.
    pub fn fault(&self) -> Option<Fault> {
        match self {
            Self::Unusable(fault) => Some(*fault),
            Self::Connection { error, .. } => fault_of(error),
        }
    }
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unusable(fault) => fault.fmt(f),
            Self::Connection { error, .. } => match error.source() {
                Some(source) => write!(f, "{error}: {source}"),
                None => error.fmt(f),
            },
        }
    }
}

impl Error for SendError {}

/// An open connection: its request sender and the task that drives the socket.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    inspector: SharedInspector,
    id_header: &'static str,
}

impl Connection {
    /// Opens the HTTP connection over a socket that `inspector` inspects. `id_header` names a
    /// request, in requests and in answers; `on_end` is called when the searcher has closed the
    /// connection or it has failed.
    pub(crate) async fn open(
        stream: Inspected,
        id_header: &'static str,
        inspector: SharedInspector,
        on_end: impl FnOnce() + Send + 'static,
    ) -> Result<Self, hyper::Error> {
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_READ_BUFFER);
        let (sender, connection) = builder.handshake(TokioIo::new(stream)).await?;
        let driver = tokio::spawn(async move {
            // A request on the connection gets the error.
            let _ended = connection.await;
            on_end();
        });
        let driver = driver.abort_handle();
        let mut opened = Self { sender, driver, inspector, id_header };
        opened.sender.ready().await?;
        Ok(opened)
    }

    /// Sends a request and returns the head of the answer that names it, and no other.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let id = request.headers().get(self.id_header).map_or(&b""[..], HeaderValue::as_bytes);
        let begun = self.inspector.lock().begin(id, request.method() == Method::HEAD);
        begun.map_err(SendError::Unusable)?;
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|error| {
            let is_unsent = error.message().is_some();
            SendError::Connection { error: error.into_error(), is_unsent }
        })
    }

    /// Returns whether the last request on it had this identifier.
    pub(crate) fn has_last_carried(&self, id: &[u8]) -> bool {
        self.inspector.lock().has_last_answered(id)
    }

    /// Returns whether it can carry a request now.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until it can carry another request; returns whether it can.
    pub(crate) async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Returns whether the socket is closed.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns whether another request may be sent on it.
    pub(crate) fn is_reusable(&self) -> bool {
        !self.is_closed() && self.inspector.lock().is_clean()
    }
}

impl Drop for Connection {
    /// Closes the socket at once, also while an answer is in transit. Dropping the sender alone would
    /// close it only when the driver task is next polled.
    fn drop(&mut self) {
        self.driver.abort();
    }
}
