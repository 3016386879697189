//! The HTTP interface for operators: reads the state of the cluster and changes its configuration.

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
use log::info;
use roseridge_events::OPERATOR_CHANGE;
use roseridge_http::{
    HttpReply,
    HttpRequest,
    ProblemDetails,
    json_response,
    read_json, //
};
use roseridge_ledger::{
    CommandOutcome,
    DrainChange,
    TemplateChange, //
};
use roseridge_model::{
    CustomerName,
    DurationMs,
    JobId, //
};
use roseridge_wire::{
    ControlCall,
    ControlError,
    ControlReply, //
};

use crate::{
    caller_api::{
        body_error_response,
        unexpected_reply, //
    },
    entry_instance::EntryShared,
    explain::{
        explain_reply,
        explained_job, //
    },
    job_reply::{
        JobBody,
        error_response, //
    },
    metrics_reply::metrics_reply,
    operator_page::page_reply,
    replica_api::replica_change,
    request_parts::token_owner,
    template_check::template_check,
};

/// The largest request body, in bytes.
const MAX_BODY_BYTES: usize = 262_144;
/// The maximum time to find the leader and commit.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// The maximum number of jobs that a listing returns.
const LIST_LIMIT: u32 = 500;

/// Handles one request of an operator.
pub(crate) async fn answer_operator(shared: Rc<EntryShared>, request: HttpRequest) -> HttpReply {
    let path = request.uri().path().to_owned();
    if let Some(reply) = public_reply(&shared, &request) {
        return reply;
    }
    let Some(operator) = token_owner(&request, &shared.config.operators) else {
        return ProblemDetails::not_run(
            StatusCode::UNAUTHORIZED,
            "bad-token",
            "show an operator's token as Authorization: Bearer TOKEN",
        )
        .response();
    };
    if let Some(job) = explained_job(&request) {
        return explain_reply(&shared, None, job).await;
    }
    let call = match operator_call(request).await {
        Ok(call) => call,
        Err(reply) => return reply,
    };
    let deadline = Instant::now() + CALL_TIMEOUT;
    let answer = shared.control.call(&call, Duration::ZERO, deadline).await;
    log_change(&operator, &call, &answer);
    match answer {
        Ok(reply) => operator_reply(&reply),
        Err(error) => error_response(&error, &path),
    }
}

/// Logs the operator, the content and the result of a change.
fn log_change(
    operator: &CustomerName,
    call: &ControlCall,
    answer: &Result<ControlReply, ControlError>,
) {
    let change = match call {
        ControlCall::ChangeTemplate(change) => format!(
            "{}, template of {} against revision {}",
            change.request, change.template.customer, change.base
        ),
        ControlCall::DrainWorker(change) => {
            let action = if change.drained { "drain" } else { "open" };
            format!("{}, {action} {}", change.request, change.worker)
        }
        ControlCall::AddReplica(replica) => format!("add replica {replica}"),
        ControlCall::RemoveReplica(replica) => format!("remove replica {replica}"),
        _ => return,
    };
    let outcome = match answer {
        Ok(ControlReply::Outcome(CommandOutcome::Changed { revision })) => {
            format!("revision {revision}")
        }
        Ok(_) => "done".to_owned(),
        Err(error) => error.to_string(),
    };
    let details = format_args!("{operator}: {change}: {outcome}");
    info!("{}", OPERATOR_CHANGE.line(details));
}

/// Answers requests that need no token: health checks, metrics and the files of the operators'
/// page. Returns `None` for any other request.
fn public_reply(shared: &EntryShared, request: &HttpRequest) -> Option<HttpReply> {
    match request.uri().path() {
        "/metrics" => Some(metrics_reply(shared)),
        path if request.method() == Method::GET => {
            shared.health_reply(path).or_else(|| page_reply(path))
        }
        path => shared.health_reply(path),
    }
}

/// Returns the call to the control group that carries out a request, or the response that refuses
/// the request.
async fn operator_call(request: HttpRequest) -> Result<ControlCall, HttpReply> {
    let path = request.uri().path().to_owned();
    let job = path
        .strip_prefix("/v1/jobs/")
        .and_then(|id| id.parse().ok())
        .map(JobId);
    match (request.method(), path.as_str(), job) {
        (&Method::GET, "/v1/status", _) => Ok(ControlCall::ReadStatus),
        (&Method::GET, "/v1/policy", _) => Ok(ControlCall::ReadPolicy),
        (&Method::GET, "/v1/rollout", _) => Ok(ControlCall::ReadRollout),
        (&Method::GET, "/v1/templates", _) => Ok(ControlCall::ReadTemplates),
        (&Method::GET, "/v1/workers", _) => Ok(ControlCall::ListWorkers),
        (&Method::GET, "/v1/jobs", _) => Ok(ControlCall::ListJobs {
            customer: None,
            limit: LIST_LIMIT,
        }),
        (&Method::GET, _, Some(job)) => Ok(ControlCall::ReadJob {
            customer: None,
            job,
            wait: DurationMs(0),
        }),
        (&Method::POST, "/v1/templates", _) => {
            let change = read_json::<TemplateChange>(request, MAX_BODY_BYTES).await;
            let change = change.map_err(|error| body_error_response(&error))?;
            Ok(ControlCall::ChangeTemplate(change))
        }
        (&Method::GET, "/v1/replicas", _) => Ok(ControlCall::ListReplicas),
        (&Method::POST, "/v1/replicas", _) => replica_change(request).await,
        (&Method::POST, "/v1/template-checks", _) => {
            let change = read_json::<TemplateChange>(request, MAX_BODY_BYTES).await;
            let change = change.map_err(|error| body_error_response(&error))?;
            Ok(ControlCall::CheckTemplate(change))
        }
        (&Method::POST, "/v1/drains", _) => {
            let change = read_json::<DrainChange>(request, MAX_BODY_BYTES).await;
            let change = change.map_err(|error| body_error_response(&error))?;
            Ok(ControlCall::DrainWorker(change))
        }
        _ => Err(ProblemDetails::not_run(
            StatusCode::NOT_FOUND,
            "no-such-path",
            "there is no such path",
        )
        .response()),
    }
}

fn operator_reply(reply: &ControlReply) -> HttpReply {
    match reply {
        ControlReply::Status(status) => json_response(StatusCode::OK, status),
        ControlReply::Policy(policy) => json_response(StatusCode::OK, policy),
        ControlReply::Effect(effect) => json_response(StatusCode::OK, &template_check(effect)),
        ControlReply::Rollout(rollout) => json_response(StatusCode::OK, rollout),
        ControlReply::Replicas(members) => json_response(StatusCode::OK, members),
        ControlReply::Workers(workers) => json_response(StatusCode::OK, workers),
        ControlReply::Job(view) => json_response(StatusCode::OK, &JobBody::new(view)),
        ControlReply::Templates {
            revision,
            templates,
        } => {
            let body = serde_json::json!({ "revision": revision, "templates": templates });
            json_response(StatusCode::OK, &body)
        }
        ControlReply::Jobs(views) => {
            let jobs: Vec<_> = views.iter().map(JobBody::new).collect();
            json_response(StatusCode::OK, &jobs)
        }
        ControlReply::Outcome(CommandOutcome::Changed { revision }) => {
            let body = serde_json::json!({ "revision": revision });
            json_response(StatusCode::OK, &body)
        }
        ControlReply::Outcome(CommandOutcome::Applied) => {
            json_response(StatusCode::OK, &serde_json::json!({ "applied": true }))
        }
        _ => unexpected_reply(),
    }
}
