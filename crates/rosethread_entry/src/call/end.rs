//! Judges the regular end of a target's response: a target that was cut off in the middle of it may have
//! ended its connection regularly, too.

use crate::{call::Dispatched, ports::BodyEnd};

/// What has been received of the body of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Received {
    Nothing,
    Some,
}

/// Returns why a response whose body has ended is not complete.
///
/// A head alone, and then the end of the connection, is not taken for a success with an empty body: nothing
/// tells it from a target that was stopped.
pub(crate) fn check_end(dispatched: &Dispatched, received: Received) -> Result<(), String> {
    let response = &dispatched.response;
    let is_success = (200..300).contains(&response.status);
    if response.end == BodyEnd::Connection && received == Received::Nothing && is_success {
        return Err("the connection ended behind the head of the response".to_owned());
    }
    Ok(())
}
