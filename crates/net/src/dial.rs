//! Opening sockets, with errors that name the step and the peer.

use std::fmt;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bergamot_base::{Peer, Step};
use snafu::Snafu;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// An error of the network.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{step} {peer}: {cause}"))]
pub struct Fault {
    /// What was being done.
    pub step: Step,
    /// With whom.
    pub peer: Peer,
    /// What went wrong.
    pub cause: String,
    /// Whether the peer's machine said that nobody listens there.
    pub refused: bool,
}

impl Fault {
    /// Describes an error.
    pub fn new(step: &'static str, peer: impl Into<Peer>, cause: impl fmt::Display) -> Self {
        Self { step: Step(step), peer: peer.into(), cause: cause.to_string(), refused: false }
    }
}

/// Dials from the instance's own address within a timeout.
pub async fn dial(
    local: Ipv4Addr,
    remote: SocketAddr,
    timeout: Duration,
) -> Result<TcpStream, Fault> {
    let fault = |cause: &dyn fmt::Display| Fault::new("dial", remote, cause);
    let socket = TcpSocket::new_v4().map_err(|error| fault(&error))?;
    socket.bind(SocketAddr::from((local, 0))).map_err(|error| fault(&error))?;
    let stream = tokio::time::timeout(timeout, socket.connect(remote))
        .await
        .map_err(|elapsed| fault(&elapsed))?
        .map_err(|error| {
            let refused = error.kind() == io::ErrorKind::ConnectionRefused;
            Fault { refused, ..fault(&error) }
        })?;
    stream.set_nodelay(true).map_err(|error| fault(&error))?;
    Ok(stream)
}

/// Listens at an address.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, Fault> {
    TcpListener::bind(address).await.map_err(|error| Fault::new("listen", address, error))
}
