//! The HTTP interface for callers: submits, reads, lists and cancels jobs.

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
/// The maximum time that a caller may wait for a job in one request.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// The maximum time to find the leader and commit, in addition to the wait that the caller
/// requests.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// The maximum time for which one call lets the leader wait for a job. A longer wait of a caller is
/// split into several calls.
const MAX_WAIT_PER_CALL: Duration = Duration::from_secs(2);
/// The maximum number of jobs that a listing returns.
const LIST_LIMIT: u32 = 200;

/// Handles one request of a caller.
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
        (&Method::POST, None) if path == "/v1/jobs" => submit_job(&shared, customer, request).await,
        (&Method::GET, None) if path == "/v1/jobs" => list_jobs(&shared, customer).await,
        (&Method::GET, Some(job)) => {
            let wait = query_wait(&request);
            read_job(&shared, customer, job, wait).await
        }
        (&Method::DELETE, Some(job)) => cancel_job(&shared, customer, job).await,
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

async fn submit_job(
    shared: &EntryShared,
    customer: CustomerName,
    request: HttpRequest,
) -> HttpReply {
    let wait = query_wait(&request);
    let Some(key) = request_key(&request) else {
        return ProblemDetails::not_run(
            StatusCode::BAD_REQUEST,
            "bad-key",
            "set the Idempotency-Key header to a valid key",
        )
        .response();
    };
    let spec: JobSpec = match read_json(request, MAX_BODY_BYTES).await {
        Ok(spec) => spec,
        Err(error) => return body_error_response(&error),
    };
    let Some(submission) = shared.try_begin_submission() else {
        return overloaded_response("too many requests are waiting in this entry");
    };
    let call = ControlCall::Submit {
        customer: customer.clone(),
        key,
        spec,
    };
    let deadline = Instant::now() + CALL_TIMEOUT;
    let result = shared.control.call(&call, Duration::ZERO, deadline).await;
    drop(submission);
    match result {
        Ok(ControlReply::Outcome(CommandOutcome::Accepted { job })) => {
            read_job(shared, customer, job, wait).await
        }
        Ok(_) => unexpected_reply(),
        Err(error) => error_response(&error, "/v1/jobs"),
    }
}

/// Reads a job and makes the response as soon as the job has ended or the caller's wait is over.
async fn read_job(
    shared: &EntryShared,
    customer: CustomerName,
    job: JobId,
    wait: Duration,
) -> HttpReply {
    let wait_until = Instant::now() + wait;
    loop {
        let remaining = wait_until.saturating_duration_since(Instant::now());
        // A stopping entry replies with the current state. The caller can continue to wait at
        // another entry.
        let call_wait = match shared.stop.is_stopping() {
            true => Duration::ZERO,
            false => remaining.min(MAX_WAIT_PER_CALL),
        };
        let call = ControlCall::ReadJob {
            customer: Some(customer.clone()),
            job,
            wait: DurationMs(u64::try_from(call_wait.as_millis()).unwrap_or_default()),
        };
        let deadline = Instant::now() + CALL_TIMEOUT + call_wait;
        match shared.control.call(&call, call_wait, deadline).await {
            Ok(ControlReply::Job(view)) => {
                let has_ended = matches!(view.state, roseridge_ledger::JobState::Ended { .. });
                if has_ended || call_wait.is_zero() || Instant::now() >= wait_until {
                    return job_response(&view);
                }
            }
            Ok(_) => return unexpected_reply(),
            Err(error) => return read_error_response(&error, job),
        }
    }
}

/// Makes the response for an accepted job that can't be read. Unless the leader refused the
/// request, the response must not claim that the job did not run.
fn read_error_response(error: &ControlError, job: JobId) -> HttpReply {
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

async fn list_jobs(shared: &EntryShared, customer: CustomerName) -> HttpReply {
    let call = ControlCall::ListJobs {
        customer: Some(customer),
        limit: LIST_LIMIT,
    };
    let deadline = Instant::now() + CALL_TIMEOUT;
    match shared.control.call(&call, Duration::ZERO, deadline).await {
        Ok(ControlReply::Jobs(views)) => {
            let jobs: Vec<_> = views.iter().map(JobBody::new).collect();
            json_response(StatusCode::OK, &jobs)
        }
        Ok(_) => unexpected_reply(),
        Err(error) => error_response(&error, "/v1/jobs"),
    }
}

async fn cancel_job(shared: &EntryShared, customer: CustomerName, job: JobId) -> HttpReply {
    let call = ControlCall::Cancel {
        customer: customer.clone(),
        job,
    };
    let deadline = Instant::now() + CALL_TIMEOUT;
    match shared.control.call(&call, Duration::ZERO, deadline).await {
        Ok(_) => read_job(shared, customer, job, Duration::ZERO).await,
        Err(error) => error_response(&error, &job_path(job)),
    }
}

/// Makes the response to a request whose body can't be used.
pub(crate) fn body_error_response(error: &BodyError) -> HttpReply {
    let (status, kind) = match error {
        BodyError::TooLong { .. } => (StatusCode::PAYLOAD_TOO_LARGE, "long-body"),
        BodyError::NoRoom => (StatusCode::SERVICE_UNAVAILABLE, "no-room"),
        BodyError::Truncated => (StatusCode::BAD_REQUEST, "cut-body"),
        BodyError::InvalidJson { .. } => (StatusCode::BAD_REQUEST, "bad-json"),
    };
    ProblemDetails::not_run(status, kind, error).response()
}

/// Makes the response for a reply of the control group that does not fit the call.
pub(crate) fn unexpected_reply() -> HttpReply {
    ProblemDetails::unknown(
        StatusCode::INTERNAL_SERVER_ERROR,
        "internal",
        "the control group sent a reply that does not fit the request",
    )
    .response()
}
