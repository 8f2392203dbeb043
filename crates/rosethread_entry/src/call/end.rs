//! Judges the regular end of a target's response: a target that was cut off in the middle of it may have
//! ended its connection regularly, too.

use slog::info;
use tokio::time::timeout_at;

use crate::{
    call::PreparedCall,
    paths,
    registry::{Target, TargetStatus},
};

/// What has been received of the body of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Received {
    Nothing,
    Some,
}

/// Returns why a response is not complete whose body has ended with its connection.
///
/// A head alone, and then the end of the connection, is not taken for a success with an empty body: nothing
/// tells it from a target that was stopped. Nor is what a target has sent that has crashed since.
pub(crate) async fn check_end(
    prepared: &PreparedCall,
    target: &Target,
    received: Received,
) -> Result<(), String> {
    if received == Received::Nothing {
        return Err("the connection ended behind the head of the response".to_owned());
    }
    if has_crashed(prepared, target).await {
        return Err("the target crashed as the response ended".to_owned());
    }
    Ok(())
}

/// Returns whether a target has crashed, as far as can be told by the deadline.
///
/// The connections of a process that is killed mostly end regularly, but its address refuses new ones. So
/// does that of a target that has left behind its last response, which is not held against it.
async fn has_crashed(prepared: &PreparedCall, target: &Target) -> bool {
    let entry = &prepared.entry;
    let known = entry.targets().get(&target.name).cloned();
    let is_serving =
        known.is_some_and(|it| it.start == target.start && it.status == TargetStatus::Ready);
    if !is_serving {
        return false;
    }
    // A deadline that passes meanwhile leaves the response as it came.
    let may_have_ended = timeout_at(prepared.deadline, paths::may_have_ended(entry, target)).await;
    if !matches!(may_have_ended, Ok(false)) {
        info!(entry.logger, "call: a response ended with its connection";
            "id" => %prepared.call.id, "target" => %target.name,
            "target_may_have_ended" => ?may_have_ended);
    }
    matches!(may_have_ended, Ok(true))
}
