//! Tests of the limit on the silence of a connection's other side.

use std::{
    net::{TcpListener, TcpStream},
    time::Duration,
};

use rosethread_entry::{LateReader, limit_silence};
use socket2::SockRef;

/// Checks the limit after each of some numbers of bytes that have been written for one request.
fn check_limits(written: &[(usize, u64)]) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let socket = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    limit_silence(&socket).unwrap();
    let mut reader = LateReader::default();
    for (bytes, limit_s) in written {
        reader.update(&socket, *bytes);
        let limit = SockRef::from(&socket).tcp_user_timeout().unwrap();
        assert_eq!(limit, Some(Duration::from_secs(*limit_s)), "{bytes} bytes");
    }
}

rosethread_cases::cases!(check_limits {
    a_small_request: (&[(0, 2), (20 << 10, 2), (64 << 10, 2)]);
    // Guards against a late reader of a large request passing for a silent one.
    a_large_request: (&[(20 << 10, 2), (65 << 10, 60), (15 << 20, 60)]);
    // Guards against a kept connection that has gone silent being waited for, as an earlier request was large.
    a_small_request_behind_a_large_one: (&[(200 << 10, 60), (20 << 10, 2)]);
});
