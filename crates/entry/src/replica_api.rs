//! The operator interface for adding and removing replicas of the control group.

use hyper::StatusCode;
use roseridge_http::{
    HttpReply,
    HttpRequest,
    ProblemDetails,
    read_json, //
};
use roseridge_quorum::{
    MemberError,
    ReplicaId, //
};
use roseridge_wire::ControlCall;
use serde::Deserialize;

use crate::caller_api::body_error_response;

/// The largest request body, in bytes.
const MAX_BODY_BYTES: usize = 1_024;
/// The time in seconds after which an operator may retry a change of the replicas that was refused
/// because another change is pending or the replica is not the leader.
const RETRY_AFTER_S: u64 = 1;

/// A request to add or remove a replica.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ReplicaChange {
    replica: u64,
    action: ReplicaAction,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ReplicaAction {
    Add,
    Remove,
}

/// Reads a change of the replicas from the body of a request.
pub(crate) async fn replica_change(request: HttpRequest) -> Result<ControlCall, HttpReply> {
    let change = read_json::<ReplicaChange>(request, MAX_BODY_BYTES).await;
    let change = change.map_err(|error| body_error_response(&error))?;
    let replica = ReplicaId(change.replica);
    Ok(match change.action {
        ReplicaAction::Add => ControlCall::AddReplica(replica),
        ReplicaAction::Remove => ControlCall::RemoveReplica(replica),
    })
}

/// Makes the response to a refused change of the replicas.
pub(crate) fn member_refusal(reason: MemberError) -> HttpReply {
    let (status, kind) = match reason {
        MemberError::UnknownMember => (StatusCode::NOT_FOUND, "unknown-replica"),
        MemberError::NumberTaken => (StatusCode::CONFLICT, "number-taken"),
        MemberError::NotCaughtUp => (StatusCode::CONFLICT, "not-caught-up"),
        MemberError::LastVoter => (StatusCode::CONFLICT, "last-voter"),
        MemberError::TooFewLeft => (StatusCode::CONFLICT, "too-few-left"),
        MemberError::ChangePending => (StatusCode::SERVICE_UNAVAILABLE, "change-pending"),
        MemberError::NotLeader => (StatusCode::SERVICE_UNAVAILABLE, "no-leader"),
    };
    let problem = ProblemDetails::not_run(status, kind, reason);
    match status {
        StatusCode::SERVICE_UNAVAILABLE => problem.retry_after(RETRY_AFTER_S).response(),
        _ => problem.response(),
    }
}
