//! A TCP and UDP proxy between two parts of a fleet that simulates network partitions.
//!
//! The two parts use different ports. Each part connects to the other through the proxy, which
//! listens on the ports that the one part dials and forwards to those on which the other part
//! listens; there is no other connection between them. During a partition, established
//! connections stall without an error, new ones are accepted but not forwarded until it ends, and
//! datagrams are dropped, as when a link fails.

use std::net::{Ipv4Addr, SocketAddr};

use bergamot_net::{NetworkError, listen};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// The size of the largest datagram that is forwarded.
const MAX_DATAGRAM_LEN: usize = 2048;

/// The buffer size for one direction of a connection.
const BUFFER_SIZE: usize = 16 * 1024;

/// One forwarded port of an instance.
#[derive(Clone, Copy, Debug)]
pub struct ForwardedPort {
    /// The address of the instance.
    pub ip: Ipv4Addr,
    /// The port on which the proxy listens.
    pub listen_port: u16,
    /// The port of the instance, to which the proxy forwards.
    pub target_port: u16,
    /// Whether UDP is forwarded in addition to TCP.
    pub udp: bool,
}

/// A proxy between two parts of a fleet. Stops when dropped.
#[derive(Debug)]
pub struct PartitionProxy {
    partitioned: watch::Sender<bool>,
    stop: CancellationToken,
}

impl PartitionProxy {
    /// Starts forwarding all the given ports.
    pub async fn start(ports: &[ForwardedPort]) -> Result<Self, NetworkError> {
        let proxy = Self { partitioned: watch::Sender::new(false), stop: CancellationToken::new() };
        for port in ports {
            let from = SocketAddr::from((port.ip, port.listen_port));
            let to = SocketAddr::from((port.ip, port.target_port));
            let listener = listen(from).await?;
            let (partitioned, stop) = (proxy.partitioned.subscribe(), proxy.stop.clone());
            tokio::spawn(async move {
                tokio::select! {
                    () = stop.cancelled() => {}
                    () = forward_connections(listener, to, partitioned) => {}
                }
            });
            if port.udp {
                let socket = UdpSocket::bind(from)
                    .await
                    .map_err(|error| NetworkError::new("bind partition proxy", from, error))?;
                let (partitioned, stop) = (proxy.partitioned.subscribe(), proxy.stop.clone());
                tokio::spawn(async move {
                    tokio::select! {
                        () = stop.cancelled() => {}
                        () = forward_datagrams(socket, to, partitioned) => {}
                    }
                });
            }
        }
        Ok(proxy)
    }

    /// Starts or ends a partition.
    pub fn set_partitioned(&self, partitioned: bool) {
        self.partitioned.send_replace(partitioned);
    }
}

impl Drop for PartitionProxy {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn forward_datagrams(socket: UdpSocket, to: SocketAddr, partitioned: watch::Receiver<bool>) {
    let mut buffer = vec![0; MAX_DATAGRAM_LEN];
    while let Ok((length, _)) = socket.recv_from(&mut buffer).await {
        if !*partitioned.borrow() {
            // UDP delivery is not guaranteed, so an error here counts as a lost datagram.
            let _ = socket.send_to(&buffer[..length], to).await;
        }
    }
}

async fn forward_connections(
    listener: TcpListener,
    to: SocketAddr,
    partitioned: watch::Receiver<bool>,
) {
    while let Ok((client, _)) = listener.accept().await {
        let mut partitioned = partitioned.clone();
        tokio::spawn(async move {
            if partitioned.wait_for(|partitioned| !partitioned).await.is_err() {
                return;
            }
            let Ok(server) = TcpStream::connect(to).await else { return };
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            tokio::join!(
                forward(client_read, server_write, partitioned.clone()),
                forward(server_read, client_write, partitioned.clone()),
            );
        });
    }
}

/// Forwards one direction of a connection until it ends; stalls during a partition.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut partitioned: watch::Receiver<bool>,
) {
    let mut buffer = vec![0; BUFFER_SIZE];
    loop {
        let Ok(length) = from.read(&mut buffer).await else { return };
        // The sender of the watch is dropped only together with the proxy.
        if partitioned.wait_for(|partitioned| !partitioned).await.is_err() {
            return;
        }
        if length == 0 {
            // The peer may have closed the connection already.
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
