//! Ends connections whose other side no longer replies.

use std::{os::fd::AsFd, time::Duration};

use socket2::{SockRef, TcpKeepalive};

/// The time without an acknowledgement after which a connection fails. A sound target may stop for a
/// second or so.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// The idle time after which the other side is asked whether it is there, and the time between two such
/// probes, in the unit of the operating system. Without a reply, the second probe fails the connection.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Makes a connection fail when its other side has acknowledged no data for two seconds, or has
/// not replied to two probes.
///
/// The operating system's probes tell a partition from a target that works on a request: that one
/// still acknowledges. The user timeout also decides when the probes give up.
pub fn limit_silence<S>(socket: &S) -> std::io::Result<()>
where
    S: AsFd,
{
    let socket = SockRef::from(socket);
    let keepalive = TcpKeepalive::new().with_time(PROBE_INTERVAL).with_interval(PROBE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(SILENCE_TIMEOUT))
}
