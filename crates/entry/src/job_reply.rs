//! Makes the HTTP responses for jobs and for errors of the control group.

use hyper::{
    StatusCode,
    header::{
        HeaderValue,
        LOCATION, //
    },
};
use roseridge_http::{
    HttpReply,
    ProblemDetails,
    json_response, //
};
use roseridge_ledger::{
    JobState,
    RefusalReason, //
};
use roseridge_model::{
    AnswerBody,
    ClassName,
    CustomerName,
    JobId,
    JobOutcome,
    RequestKey,
    UnixMillis, //
};
use roseridge_wire::{
    CallError,
    ControlError,
    JobView,
    LinkError, //
};
use serde::Serialize;

use crate::replica_api::member_refusal;

/// The minimum time in seconds after which a caller may retry a request that was refused because of
/// load.
const RETRY_AFTER_S: u64 = 1;
const MILLIS_PER_SECOND: u64 = 1_000;

/// The JSON representation of a job.
#[derive(Debug, Serialize)]
pub(crate) struct JobBody {
    job: JobId,
    customer: CustomerName,
    key: RequestKey,
    class: ClassName,
    state: &'static str,
    accepted: UnixMillis,
    first_start: Option<UnixMillis>,
    ended: Option<UnixMillis>,
    attempts: u64,
    workers: Vec<String>,
    answers: Option<Vec<AnswerBody>>,
}

impl JobBody {
    pub(crate) fn new(view: &JobView) -> Self {
        let (state, ended, answers, workers) = match &view.state {
            JobState::Waiting => ("waiting", None, None, Vec::new()),
            JobState::Placed(gang) => {
                let state = match (&gang.stop, gang.released) {
                    (Some(_), _) => "stopping",
                    (None, Some(_)) => "running",
                    (None, None) => "preparing",
                };
                let workers = gang.members.iter().map(|m| m.worker.to_string());
                (state, None, None, workers.collect())
            }
            JobState::Ended {
                outcome,
                at,
                workers,
            } => {
                let (state, answers) = match outcome {
                    JobOutcome::Done(answers) => ("done", Some(answers.clone())),
                    JobOutcome::AnswersDropped => ("done", None),
                    JobOutcome::Failed(_) => ("failed", None),
                    JobOutcome::NotRun(_) => ("not_run", None),
                    JobOutcome::Cancelled => ("cancelled", None),
                    JobOutcome::Unknown(_) => ("unknown", None),
                };
                let workers = workers.iter().map(ToString::to_string);
                (state, Some(*at), answers, workers.collect())
            }
        };
        Self {
            job: view.job,
            customer: view.customer.clone(),
            key: view.key.clone(),
            class: view.spec.class.clone(),
            state,
            accepted: view.accepted,
            first_start: view.first_start,
            ended,
            attempts: view.attempt.0,
            workers,
            answers,
        }
    }
}

/// Returns the URL path of a job.
pub(crate) fn job_path(job: JobId) -> String {
    format!("/v1/jobs/{job}")
}

/// Makes the response for a job. Its status code depends on the outcome of the job.
pub(crate) fn job_response(view: &JobView) -> HttpReply {
    let problem = match &view.state {
        JobState::Waiting | JobState::Placed(_) => {
            let mut response = json_response(StatusCode::ACCEPTED, &JobBody::new(view));
            if let Ok(path) = HeaderValue::from_str(&job_path(view.job)) {
                response.headers_mut().insert(LOCATION, path);
            }
            return response;
        }
        JobState::Ended { outcome, .. } => match outcome {
            JobOutcome::Done(_) => return json_response(StatusCode::OK, &JobBody::new(view)),
            JobOutcome::AnswersDropped => ProblemDetails::unknown(
                StatusCode::GONE,
                "answer-dropped",
                "the job is done, and its answer was dropped to make room for newer ones",
            ),
            JobOutcome::Failed(reason) => {
                ProblemDetails::unknown(StatusCode::UNPROCESSABLE_ENTITY, "job-failed", reason)
            }
            JobOutcome::NotRun(reason) => {
                ProblemDetails::not_run(StatusCode::CONFLICT, "not-run", reason)
            }
            JobOutcome::Cancelled => ProblemDetails::unknown(
                StatusCode::CONFLICT,
                "cancelled",
                "the job was cancelled after its start",
            ),
            JobOutcome::Unknown(reason) => {
                ProblemDetails::unknown(StatusCode::GATEWAY_TIMEOUT, "outcome-unknown", reason)
            }
        },
    };
    ProblemDetails {
        ask_at: Some(job_path(view.job)),
        ..problem
    }
    .response()
}

/// Makes the response for a call to the control group that failed. `ask_at` is the URL path at
/// which the caller can find out whether a call with an unknown outcome took effect.
pub(crate) fn error_response(error: &ControlError, ask_at: &str) -> HttpReply {
    match error {
        ControlError::NotRun {
            source:
                LinkError::Answered {
                    source: CallError::Refused { reason },
                },
        } => refusal_response(reason),
        ControlError::NotRun {
            source:
                LinkError::Answered {
                    source: CallError::MemberRefused { reason },
                },
        } => member_refusal(*reason),
        ControlError::NotRun {
            source:
                LinkError::Answered {
                    source: source @ CallError::Overloaded,
                },
        } => overloaded_response(source),
        ControlError::NotRun { source } => {
            ProblemDetails::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-leader", source)
                .retry_after(RETRY_AFTER_S)
                .response()
        }
        ControlError::Unknown { source } => ProblemDetails {
            ask_at: Some(ask_at.to_owned()),
            ..ProblemDetails::unknown(StatusCode::GATEWAY_TIMEOUT, "outcome-unknown", source)
        }
        .response(),
    }
}

/// Makes the response to a request that was refused because of load and had no effect.
pub(crate) fn overloaded_response(detail: impl ToString) -> HttpReply {
    ProblemDetails::not_run(StatusCode::SERVICE_UNAVAILABLE, "overloaded", detail)
        .retry_after(RETRY_AFTER_S)
        .response()
}

fn refusal_response(reason: &RefusalReason) -> HttpReply {
    let (status, kind) = match reason {
        RefusalReason::UnknownCustomer => (StatusCode::FORBIDDEN, "unknown-customer"),
        RefusalReason::UnknownClass => (StatusCode::UNPROCESSABLE_ENTITY, "unknown-class"),
        RefusalReason::InvalidGangSize => (StatusCode::UNPROCESSABLE_ENTITY, "bad-gang"),
        RefusalReason::KeyReused { .. } => (StatusCode::CONFLICT, "key-reused"),
        RefusalReason::QueueFull { .. } => (StatusCode::TOO_MANY_REQUESTS, "queue-full"),
        RefusalReason::RateExceeded { .. } => (StatusCode::TOO_MANY_REQUESTS, "rate-exceeded"),
        RefusalReason::NeverFits => (StatusCode::UNPROCESSABLE_ENTITY, "never-fits"),
        RefusalReason::UnsatisfiableGuarantee { .. } => (StatusCode::CONFLICT, "guarantee-misfit"),
        RefusalReason::StoreFull => (StatusCode::TOO_MANY_REQUESTS, "store-full"),
        RefusalReason::UnknownWorker => (StatusCode::NOT_FOUND, "unknown-worker"),
        RefusalReason::UnknownJob => (StatusCode::NOT_FOUND, "unknown-job"),
        RefusalReason::JobEnded => (StatusCode::CONFLICT, "job-ended"),
        RefusalReason::RequestReused => (StatusCode::CONFLICT, "request-reused"),
        RefusalReason::RevisionConflict { .. } => (StatusCode::CONFLICT, "revision-conflict"),
        RefusalReason::OldIncarnation => (StatusCode::CONFLICT, "old-incarnation"),
    };
    let problem = ProblemDetails::not_run(status, kind, reason);
    match reason {
        RefusalReason::QueueFull { retry_after } | RefusalReason::RateExceeded { retry_after } => {
            let seconds = retry_after.0.div_ceil(MILLIS_PER_SECOND).max(RETRY_AFTER_S);
            problem.retry_after(seconds).response()
        }
        RefusalReason::StoreFull => problem.retry_after(RETRY_AFTER_S).response(),
        // These refuse a request about an existing job, which may have run. The response must not
        // claim that it did not.
        RefusalReason::UnknownJob | RefusalReason::JobEnded => {
            ProblemDetails::unknown(status, kind, reason).response()
        }
        _ => problem.response(),
    }
}
