//! Ends connections whose other side no longer replies.
//!
//! The operating system's limit on unacknowledged data also runs while the other side acknowledges all
//! packets and has no room for more, and no option tells the two apart. So the limit is short while what has
//! been written fits the buffers of the other side, and long from then on. See `docs/design/timers.md`.

use std::{os::fd::AsFd, time::Duration};

use socket2::{SockRef, TcpKeepalive};

/// The time without an acknowledgement after which a connection fails. A sound target may stop for a
/// second or so.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// The same once the other side may have no room. Deadlines of calls are shorter.
const NO_ROOM_TIMEOUT: Duration = Duration::from_secs(60);

/// The bytes that the other side's buffers hold at least.
const BUFFERED_BYTES: usize = 64 << 10;

/// The idle time after which the other side is asked whether it is there, and the time between two such
/// probes, in the unit of the operating system.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The number of probes without a reply that fail the connection.
const MAX_PROBES: u32 = 2;

/// Makes a connection fail when its other side has acknowledged no data for two seconds, or has
/// not replied to two probes.
///
/// The operating system's probes tell a partition from a target that works on a request: that one
/// still acknowledges.
pub fn limit_silence<S>(socket: &S) -> std::io::Result<()>
where
    S: AsFd,
{
    let socket = SockRef::from(socket);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(SILENCE_TIMEOUT))
}

/// Lengthens the limit of a connection while a lot is written for one request: its reader may be late.
#[derive(Debug, Default)]
pub struct LateReader {
    is_awaited: bool,
}

impl LateReader {
    /// Sets the limit of `socket` after `written` bytes of one request, or of its response.
    pub fn update<S>(&mut self, socket: &S, written: usize)
    where
        S: AsFd,
    {
        let is_awaited = BUFFERED_BYTES < written;
        if is_awaited != self.is_awaited {
            self.is_awaited = is_awaited;
            let limit = if is_awaited { NO_ROOM_TIMEOUT } else { SILENCE_TIMEOUT };
            // The connection works without it, but not with a late reader, or a silent one.
            let _ = SockRef::from(socket).set_tcp_user_timeout(Some(limit));
        }
    }
}
