//! The border between two parts of a fleet, which can be cut.
//!
//! The two parts use two sets of ports. What one part dials with its own ports lands at
//! a proxy of the border, which passes it on to the other part's ports; nothing else
//! connects the parts. While the border is cut, connections stall without an error, new
//! ones are accepted and go nowhere, and datagrams are dropped: as when a link is lost.

use std::net::{Ipv4Addr, SocketAddr};

use bergamot_net::{NetworkError, listen};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// The largest datagram that is passed on.
const DATAGRAM: usize = 2048;

/// The size of the buffer of one direction of a connection.
const BUFFER: usize = 16 * 1024;

/// A way through the border: what is dialled and what listens.
#[derive(Clone, Copy, Debug)]
pub struct Way {
    /// The instance behind the border.
    pub ip: Ipv4Addr,
    /// The port that the other part dials.
    pub dialled: u16,
    /// The port on which the instance listens.
    pub listens: u16,
    /// Whether datagrams pass too.
    pub datagrams: bool,
}

/// The border between two parts of a fleet, until dropped.
#[derive(Debug)]
pub struct Border {
    cut: watch::Sender<bool>,
    stop: CancellationToken,
}

impl Border {
    /// Opens the ways.
    pub async fn open(ways: &[Way]) -> Result<Self, NetworkError> {
        let border = Self { cut: watch::Sender::new(false), stop: CancellationToken::new() };
        for way in ways {
            let from = SocketAddr::from((way.ip, way.dialled));
            let to = SocketAddr::from((way.ip, way.listens));
            let listener = listen(from).await?;
            let (cut, stop) = (border.cut.subscribe(), border.stop.clone());
            tokio::spawn(async move {
                tokio::select! {
                    () = stop.cancelled() => {}
                    () = pass_connections(listener, to, cut) => {}
                }
            });
            if way.datagrams {
                let socket = UdpSocket::bind(from)
                    .await
                    .map_err(|error| NetworkError::new("bind border", from, error))?;
                let (cut, stop) = (border.cut.subscribe(), border.stop.clone());
                tokio::spawn(async move {
                    tokio::select! {
                        () = stop.cancelled() => {}
                        () = pass_datagrams(socket, to, cut) => {}
                    }
                });
            }
        }
        Ok(border)
    }

    /// Cuts the border, or heals it.
    pub fn set_cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }
}

impl Drop for Border {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn pass_datagrams(socket: UdpSocket, to: SocketAddr, cut: watch::Receiver<bool>) {
    let mut buffer = vec![0; DATAGRAM];
    while let Ok((length, _)) = socket.recv_from(&mut buffer).await {
        if !*cut.borrow() {
            // A datagram may be lost on any network.
            let _ = socket.send_to(&buffer[..length], to).await;
        }
    }
}

async fn pass_connections(listener: TcpListener, to: SocketAddr, cut: watch::Receiver<bool>) {
    while let Ok((near, _)) = listener.accept().await {
        let mut cut = cut.clone();
        tokio::spawn(async move {
            if cut.wait_for(|cut| !cut).await.is_err() {
                return;
            }
            let Ok(far) = TcpStream::connect(to).await else { return };
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            tokio::join!(
                pass(near_read, far_write, cut.clone()),
                pass(far_read, near_write, cut.clone()),
            );
        });
    }
}

/// Passes one direction on until it ends; stalls while the border is cut.
async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut cut: watch::Receiver<bool>) {
    let mut buffer = vec![0; BUFFER];
    loop {
        let Ok(length) = from.read(&mut buffer).await else { return };
        // The sender is gone only when the border is.
        if cut.wait_for(|cut| !cut).await.is_err() {
            return;
        }
        if length == 0 {
            // The other side may be closed already.
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
