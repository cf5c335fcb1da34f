//! The use of a pooled connection by one request.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};

use crate::connection::SendError;
use crate::places::Pooled;
use crate::pool::Pool;

/// A leased connection.
///
/// It returns to the pool only through [`Lease::release`]. Dropping the lease closes the
/// connection, because a response may still be in transit on it.
#[derive(Debug)]
pub struct Lease {
    pool: Arc<Pool>,
    connection: Pooled,
}

impl Lease {
    pub(crate) fn new(pool: Arc<Pool>, connection: Pooled) -> Self {
        Self { pool, connection }
    }

    /// Sends a request and returns the head of the answer that names it, and no other. The
    /// identifier is that in the request's headers.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.connection.send(request).await
    }

    /// Returns whether the last request on the connection had this identifier, so that a second answer
    /// to it would be taken for the answer to another request with the same one.
    pub fn has_last_carried(&self, id: &[u8]) -> bool {
        self.connection.has_last_carried(id)
    }

    /// Returns the connection to the pool at once if it is ready for another request, and otherwise
    /// in the background as soon as it is.
    pub fn release_soon(self) {
        if self.connection.is_ready() {
            self.pool.put(self.connection);
        } else {
            tokio::spawn(self.release());
        }
    }

    /// Returns the connection to the pool as soon as it is ready for another request.
    pub async fn release(mut self) {
        if self.connection.ready().await {
            self.pool.put(self.connection);
        }
    }
}
