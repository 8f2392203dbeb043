//! The transport for heartbeats: unreliable datagrams over UDP.

use std::{io, net::SocketAddr};

use async_trait::async_trait;
use tokio::net::UdpSocket;

/// The bytes of a datagram that are read: more than receivers accept, so that they can tell the size of
/// one that is too long.
const READ_BYTES: usize = 4_096;

/// An unreliable datagram transport between nodes, for heartbeats.
#[async_trait]
pub trait DatagramTransport: Send + Sync {
    /// Sends a datagram, which may be lost.
    async fn send(&self, to: SocketAddr, bytes: Vec<u8>);

    /// Waits for the next datagram, and returns it with the address of its sender.
    async fn receive(&self) -> (SocketAddr, Vec<u8>);
}

/// A UDP socket for heartbeats.
pub struct UdpTransport {
    socket: UdpSocket,
}

impl UdpTransport {
    /// Binds a socket to `address`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<UdpTransport> {
        Ok(UdpTransport { socket: UdpSocket::bind(address).await? })
    }

    /// Wraps a socket that is already bound and in non-blocking mode.
    ///
    /// # Errors
    ///
    /// Fails if the runtime cannot register the socket.
    pub fn from_std(socket: std::net::UdpSocket) -> io::Result<UdpTransport> {
        Ok(UdpTransport { socket: UdpSocket::from_std(socket)? })
    }

    /// Returns the address to which the socket is bound.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not report the address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }
}

#[async_trait]
impl DatagramTransport for UdpTransport {
    async fn send(&self, to: SocketAddr, bytes: Vec<u8>) {
        // The protocol tolerates lost datagrams, so one that cannot be sent is dropped.
        let _ = self.socket.send_to(&bytes, to).await;
    }

    async fn receive(&self) -> (SocketAddr, Vec<u8>) {
        let mut buffer = vec![0; READ_BYTES];
        loop {
            // An error reports an earlier sent datagram, such as one to a closed port.
            if let Ok((length, from)) = self.socket.recv_from(&mut buffer).await {
                return (from, buffer[..length].to_vec());
            }
        }
    }
}
