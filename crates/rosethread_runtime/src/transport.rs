//! Heartbeats over UDP.

use std::{io, net::SocketAddr};

use async_trait::async_trait;
use rosethread_membership::MAX_DATAGRAM;
use tokio::net::UdpSocket;

/// The way to other nodes, for heartbeats.
#[async_trait]
pub trait DatagramTransport: Send + Sync {
    /// Sends a datagram; it may get lost.
    async fn send(&self, to: SocketAddr, bytes: Vec<u8>);

    /// Waits for the next datagram.
    async fn receive(&self) -> Vec<u8>;
}

/// A UDP socket for heartbeats.
pub struct UdpTransport {
    socket: UdpSocket,
}

impl UdpTransport {
    /// Binds the socket.
    pub async fn bind(address: SocketAddr) -> io::Result<UdpTransport> {
        Ok(UdpTransport { socket: UdpSocket::bind(address).await? })
    }

    /// Takes over a socket that is bound and does not block.
    pub fn from_std(socket: std::net::UdpSocket) -> io::Result<UdpTransport> {
        Ok(UdpTransport { socket: UdpSocket::from_std(socket)? })
    }

    /// Returns the address that the socket is bound to.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }
}

#[async_trait]
impl DatagramTransport for UdpTransport {
    async fn send(&self, to: SocketAddr, bytes: Vec<u8>) {
        // A datagram that cannot be sent is lost like any other.
        let _ = self.socket.send_to(&bytes, to).await;
    }

    async fn receive(&self) -> Vec<u8> {
        let mut buffer = vec![0; MAX_DATAGRAM + 1];
        loop {
            // An error belongs to an earlier datagram, such as one to a closed port.
            if let Ok((length, _)) = self.socket.recv_from(&mut buffer).await {
                return buffer[..length].to_vec();
            }
        }
    }
}
