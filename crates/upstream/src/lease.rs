//! The use of a pooled connection by one request.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};

use crate::connection::{Connection, SendError};
use crate::pool::{Pool, Reservation};

/// A leased connection.
///
/// It returns to the pool only through [`Lease::release`]. Dropping the lease closes the
/// connection, because a response may still be in transit on it.
#[derive(Debug)]
pub struct Lease {
    pool: Arc<Pool>,
    connection: Option<Connection>,
}

impl Lease {
    pub(crate) fn new(pool: Arc<Pool>, connection: Connection) -> Self {
        Self { pool, connection: Some(connection) }
    }

    /// Sends a request and returns the head of the answer that names it, and no other. The
    /// identifier is that in the request's headers.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.connection
            .as_mut()
            .expect("a lease holds its connection until it is given back")
            .send(request)
            .await
    }

    /// Returns the connection to the pool at once if it is ready for another request, and otherwise
    /// in the background as soon as it is.
    pub fn release_soon(mut self) {
        let is_ready = self.connection.as_ref().is_some_and(Connection::is_ready);
        if !is_ready {
            tokio::spawn(self.release());
        } else if let Some(connection) = self.connection.take() {
            self.pool.put(connection);
        }
    }

    /// Returns the connection to the pool as soon as it is ready for another request.
    pub async fn release(mut self) {
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        let pool = Arc::clone(&self.pool);
        let mut reservation = Reservation { pool: &pool, used: false };
        if connection.ready().await {
            reservation.used = true;
            pool.put(connection);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.close();
            self.pool.release_place();
        }
    }
}
