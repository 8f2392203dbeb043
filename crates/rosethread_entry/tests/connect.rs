//! A failed connection is put down to the path, or to this host.

use std::io::{self, ErrorKind};

use rosethread_entry::ports::ConnectError;

fn check(kind: ErrorKind, expected: Option<ConnectError>) {
    let found = ConnectError::from(io::Error::from(kind));
    match expected {
        Some(expected) => assert_eq!(found, expected),
        None => assert!(matches!(found, ConnectError::Failed(_)), "{found}"),
    }
}

rosethread_cases::cases!(check {
    a_refused_connection_is_refused: (ErrorKind::ConnectionRefused, Some(ConnectError::Refused));
    // Guards against a path that is not looked for elsewhere, as the link was cut while a connection was
    // being opened.
    a_connection_reset_while_it_is_opened_is_not_of_this_host:
        (ErrorKind::ConnectionReset, Some(ConnectError::Reset));
    a_network_without_a_route_is_silent: (ErrorKind::NetworkUnreachable, Some(ConnectError::TimedOut));
    a_host_without_a_route_is_silent: (ErrorKind::HostUnreachable, Some(ConnectError::TimedOut));
    a_lack_of_addresses_is_of_this_host: (ErrorKind::AddrNotAvailable, None);
    a_lack_of_memory_is_of_this_host: (ErrorKind::OutOfMemory, None);
});
