//! TCP connections and listeners, with errors that name the failed operation and the peer.

use std::fmt;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bergamot_base::{Peer, Step};
use snafu::Snafu;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// A network error.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{step} {peer}: {cause}"))]
pub struct NetworkError {
    /// The operation that failed.
    pub step: Step,
    /// The remote peer.
    pub peer: Peer,
    /// The cause of the error.
    pub cause: String,
    /// Whether the peer's host refused the connection because no process listens on the port.
    pub refused: bool,
}

impl NetworkError {
    /// Creates an error that is not a refused connection.
    pub fn new(step: &'static str, peer: impl Into<Peer>, cause: impl fmt::Display) -> Self {
        Self { step: Step(step), peer: peer.into(), cause: cause.to_string(), refused: false }
    }
}

/// Opens a connection with the source address `local`, which is the instance's own.
pub async fn dial(
    local: Ipv4Addr,
    remote: SocketAddr,
    timeout: Duration,
) -> Result<TcpStream, NetworkError> {
    let fault = |cause: &dyn fmt::Display| NetworkError::new("dial", remote, cause);
    let socket = TcpSocket::new_v4().map_err(|error| fault(&error))?;
    socket.bind(SocketAddr::from((local, 0))).map_err(|error| fault(&error))?;
    let stream = tokio::time::timeout(timeout, socket.connect(remote))
        .await
        .map_err(|elapsed| fault(&elapsed))?
        .map_err(|error| {
            let refused = error.kind() == io::ErrorKind::ConnectionRefused;
            NetworkError { refused, ..fault(&error) }
        })?;
    stream.set_nodelay(true).map_err(|error| fault(&error))?;
    Ok(stream)
}

/// Opens a listener on an address.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, NetworkError> {
    TcpListener::bind(address).await.map_err(|error| NetworkError::new("listen", address, error))
}
