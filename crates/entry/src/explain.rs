//! `GET /v1/jobs/ID/explain`: explains the current state of a job.

use std::time::{
    Duration,
    Instant, //
};

use hyper::{
    Method,
    StatusCode, //
};
use roseridge_http::{
    HttpReply,
    HttpRequest,
    json_response, //
};
use roseridge_model::{
    CustomerName,
    JobId, //
};
use roseridge_wire::{
    ControlCall,
    ControlReply, //
};

use crate::{
    caller_api::unexpected_reply,
    entry_instance::EntryShared,
    job_reply::{
        error_response,
        job_path, //
    },
};

/// The maximum time to find the leader and receive its reply.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// Returns the job that a request wants explained, or `None` for any other request.
pub(crate) fn explained_job(request: &HttpRequest) -> Option<JobId> {
    let path = request.uri().path().strip_prefix("/v1/jobs/")?;
    let number = path.strip_suffix("/explain")?;
    let is_read = request.method() == Method::GET;
    number.parse().ok().map(JobId).filter(|_| is_read)
}

/// Makes the response that explains a job. `customer` is the customer that makes the request, or
/// `None` for an operator.
pub(crate) async fn explain_reply(
    shared: &EntryShared,
    customer: Option<CustomerName>,
    job: JobId,
) -> HttpReply {
    let call = ControlCall::ExplainJob { customer, job };
    let deadline = Instant::now() + CALL_TIMEOUT;
    match shared.control.call(&call, Duration::ZERO, deadline).await {
        Ok(ControlReply::Explanation(explanation)) => json_response(StatusCode::OK, &explanation),
        Ok(_) => unexpected_reply(),
        Err(error) => error_response(&error, &job_path(job)),
    }
}
