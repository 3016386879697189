//! The interface for callers.

use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use hyper::{
    Method,
    StatusCode, //
};
use roseridge_http::{
    BodyError,
    HttpReply,
    HttpRequest,
    ProblemDetails,
    json_response,
    read_json, //
};
use roseridge_ledger::CommandOutcome;
use roseridge_model::{
    CustomerName,
    DurationMs,
    JobId,
    JobSpec, //
};
use roseridge_wire::{
    ControlCall,
    ControlError,
    ControlReply, //
};

use crate::{
    entry_instance::EntryShared,
    explain::{
        explain_reply,
        explained_job, //
    },
    job_reply::{
        JobBody,
        error_response,
        job_path,
        job_response,
        overloaded_response, //
    },
    request_parts::{
        query_number,
        request_key,
        token_owner, //
    },
};

/// The largest request body, in bytes.
const MAX_BODY_BYTES: usize = 262_144;
/// The longest time that a caller may wait in one request.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// The time for finding the leader and committing, besides the caller's own wait.
const CALL_BUDGET: Duration = Duration::from_secs(4);
/// The longest piece of a caller's wait that is asked of one leader.
const WAIT_PIECE: Duration = Duration::from_secs(2);
/// The most jobs that a listing returns.
const LIST_LIMIT: u32 = 200;

/// Answers one request of a caller.
pub(crate) async fn answer_caller(shared: Rc<EntryShared>, request: HttpRequest) -> HttpReply {
    let path = request.uri().path().to_owned();
    if let Some(reply) = shared.health_reply(&path) {
        return reply;
    }
    let Some(customer) = token_owner(&request, &shared.config.customers) else {
        return ProblemDetails::not_run(
            StatusCode::UNAUTHORIZED,
            "bad-token",
            "show a customer's token as Authorization: Bearer TOKEN",
        )
        .response();
    };
    if let Some(job) = explained_job(&request) {
        return explain_reply(&shared, Some(customer), job).await;
    }
    let job = path
        .strip_prefix("/v1/jobs/")
        .and_then(|id| id.parse().ok())
        .map(JobId);
    match (request.method(), job) {
        (&Method::POST, None) if path == "/v1/jobs" => submit(&shared, customer, request).await,
        (&Method::GET, None) if path == "/v1/jobs" => list(&shared, customer).await,
        (&Method::GET, Some(job)) => {
            let wait = query_wait(&request);
            show(&shared, customer, job, wait).await
        }
        (&Method::DELETE, Some(job)) => cancel(&shared, customer, job).await,
        _ => ProblemDetails::not_run(
            StatusCode::NOT_FOUND,
            "no-such-path",
            "there is no such path",
        )
        .response(),
    }
}

fn query_wait(request: &HttpRequest) -> Duration {
    let wait_ms = query_number(request, "wait_ms").unwrap_or_default();
    Duration::from_millis(wait_ms).min(MAX_WAIT)
}

async fn submit(shared: &EntryShared, customer: CustomerName, request: HttpRequest) -> HttpReply {
    let wait = query_wait(&request);
    let Some(key) = request_key(&request) else {
        return ProblemDetails::not_run(
            StatusCode::BAD_REQUEST,
            "bad-key",
            "give the request a name with the header Idempotency-Key",
        )
        .response();
    };
    let spec: JobSpec = match read_json(request, MAX_BODY_BYTES).await {
        Ok(spec) => spec,
        Err(error) => return body_problem(&error),
    };
    let Some(submission) = shared.begin_submission() else {
        return overloaded_response("too many requests wait in this entry");
    };
    let call = ControlCall::Submit {
        customer: customer.clone(),
        key,
        spec,
    };
    let deadline = Instant::now() + CALL_BUDGET;
    let result = shared.control.call(&call, Duration::ZERO, deadline).await;
    drop(submission);
    match result {
        Ok(ControlReply::Outcome(CommandOutcome::Accepted { job })) => {
            show(shared, customer, job, wait).await
        }
        Ok(_) => unexpected(),
        Err(error) => error_response(&error, "/v1/jobs"),
    }
}

/// Shows a job, once it has ended or the caller's wait is over.
async fn show(
    shared: &EntryShared,
    customer: CustomerName,
    job: JobId,
    wait: Duration,
) -> HttpReply {
    let until = Instant::now() + wait;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        // A stopping entry answers what it knows now; the caller asks another entry for the rest.
        let piece = match shared.stop.is_stopping() {
            true => Duration::ZERO,
            false => left.min(WAIT_PIECE),
        };
        let call = ControlCall::ReadJob {
            customer: Some(customer.clone()),
            job,
            wait: DurationMs(u64::try_from(piece.as_millis()).unwrap_or_default()),
        };
        let deadline = Instant::now() + CALL_BUDGET + piece;
        match shared.control.call(&call, piece, deadline).await {
            Ok(ControlReply::Job(view)) => {
                let is_over = matches!(view.state, roseridge_ledger::JobState::Ended { .. });
                if is_over || piece.is_zero() || Instant::now() >= until {
                    return job_response(&view);
                }
            }
            Ok(_) => return unexpected(),
            Err(error) => return accepted_but_unread(&error, job),
        }
    }
}

/// The job is accepted but can't be read now, so nothing may be said of whether it ran.
fn accepted_but_unread(error: &ControlError, job: JobId) -> HttpReply {
    match error {
        ControlError::NotRun {
            source:
                roseridge_wire::LinkError::Answered {
                    source: roseridge_wire::CallError::Refused { .. },
                },
        } => error_response(error, &job_path(job)),
        error => ProblemDetails {
            ask_at: Some(job_path(job)),
            ..ProblemDetails::unknown(StatusCode::GATEWAY_TIMEOUT, "outcome-unknown", error)
        }
        .response(),
    }
}

async fn list(shared: &EntryShared, customer: CustomerName) -> HttpReply {
    let call = ControlCall::ListJobs {
        customer: Some(customer),
        limit: LIST_LIMIT,
    };
    let deadline = Instant::now() + CALL_BUDGET;
    match shared.control.call(&call, Duration::ZERO, deadline).await {
        Ok(ControlReply::Jobs(views)) => {
            let jobs: Vec<_> = views.iter().map(JobBody::new).collect();
            json_response(StatusCode::OK, &jobs)
        }
        Ok(_) => unexpected(),
        Err(error) => error_response(&error, "/v1/jobs"),
    }
}

async fn cancel(shared: &EntryShared, customer: CustomerName, job: JobId) -> HttpReply {
    let call = ControlCall::Cancel {
        customer: customer.clone(),
        job,
    };
    let deadline = Instant::now() + CALL_BUDGET;
    match shared.control.call(&call, Duration::ZERO, deadline).await {
        Ok(_) => show(shared, customer, job, Duration::ZERO).await,
        Err(error) => error_response(&error, &job_path(job)),
    }
}

pub(crate) fn body_problem(error: &BodyError) -> HttpReply {
    let (status, kind) = match error {
        BodyError::TooLong { .. } => (StatusCode::PAYLOAD_TOO_LARGE, "long-body"),
        BodyError::Truncated => (StatusCode::BAD_REQUEST, "cut-body"),
        BodyError::InvalidJson { .. } => (StatusCode::BAD_REQUEST, "bad-json"),
    };
    ProblemDetails::not_run(status, kind, error).response()
}

pub(crate) fn unexpected() -> HttpReply {
    ProblemDetails::unknown(
        StatusCode::INTERNAL_SERVER_ERROR,
        "internal",
        "the control group gave an answer of another kind",
    )
    .response()
}
