//! The jobs that the demo runs on its cluster.

use std::time::{
    Duration,
    Instant, //
};

use futures::future::join_all;
use hyper::Method;
use roseridge_fake::FakePayload;
use roseridge_model::{
    AdjacencyRule,
    ClassName,
    GangShape,
    JobSpec,
    ResourceShape, //
};
use serde::Deserialize;

use crate::{
    cli_error::{
        CliError,
        DemoFailedSnafu, //
    },
    demo::demo_cluster::{
        DemoCluster,
        demo_token, //
    },
    entry_client::{
        EntryClient,
        EntryReply,
        EntryRequest, //
    },
};

/// The maximum time for which a caller waits for the end of its job.
const JOB_TIMEOUT: Duration = Duration::from_secs(20);
/// The maximum number of retries after replies which say that the request did not run.
const MAX_RETRIES: u32 = 10;
/// The delay before a retry.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// A job of the demo and its shape.
#[derive(Debug, Clone, Copy)]
struct DemoJob {
    customer: &'static str,
    class: &'static str,
    key: &'static str,
    members: u16,
    accelerators: u32,
    adjacency: AdjacencyRule,
    run_ms: u64,
}

/// Returns a job with one member on one accelerator.
const fn job(customer: &'static str, class: &'static str, key: &'static str) -> DemoJob {
    DemoJob {
        customer,
        class,
        key,
        members: 1,
        accelerators: 1,
        adjacency: AdjacencyRule::Any,
        run_ms: 200,
    }
}

const JOBS: [DemoJob; 9] = [
    job("tuglink", "replan", "replan-LZ102"),
    job("tuglink", "replan", "replan-LZ407"),
    job("tuglink", "tug-assignment", "tug-gate-B4"),
    DemoJob {
        members: 2,
        accelerators: 4,
        adjacency: AdjacencyRule::Worker,
        run_ms: 700,
        ..job("tuglink", "day-plan", "plan-tuesday")
    },
    DemoJob {
        members: 4,
        accelerators: 2,
        run_ms: 1_200,
        ..job("tuglink", "study", "fleet-study")
    },
    job("benali", "payment-file", "payments-0915"),
    job("benali", "payment-file", "payments-0930"),
    DemoJob {
        members: 3,
        accelerators: 8,
        adjacency: AdjacencyRule::Rack,
        run_ms: 900,
        ..job("benali", "reconciliation", "nightly-rack")
    },
    DemoJob {
        members: 2,
        run_ms: 400,
        ..job("benali", "remittance", "advice-textile")
    },
];

/// The fields of a reply that the demo prints; unknown fields are ignored.
#[derive(Debug, Deserialize)]
struct DemoReply {
    job: u64,
    state: String,
    accepted: u64,
    first_start: Option<u64>,
    ended: Option<u64>,
    workers: Vec<String>,
    answers: Option<Vec<serde_json::Value>>,
}

/// Submits all jobs concurrently, prints each reply and checks that every job is done with all its
/// answers and that no task was started twice.
pub(crate) async fn run_jobs(cluster: &DemoCluster) -> Result<(), CliError> {
    println!(
        "{:<8} {:<15} {:<15} {:>4} {:<7} {:>8} {:>8} {:>8}  workers",
        "customer", "class", "key", "job", "state", "start", "run", "whole"
    );
    let results = join_all(JOBS.iter().map(|job| run_job(cluster, job))).await;
    for (job, result) in JOBS.iter().zip(results) {
        let (reply, elapsed) = result?;
        print_reply(job, &reply, elapsed);
        let complete = reply.answers.as_ref().map(Vec::len) == Some(usize::from(job.members));
        if reply.state != "done" || !complete {
            let message = format!("{} ended as {}", job.key, reply.state);
            return DemoFailedSnafu { message }.fail();
        }
    }
    match cluster.max_start_count() {
        1 => Ok(()),
        starts => DemoFailedSnafu {
            message: format!("a task was started {starts} times"),
        }
        .fail(),
    }
}

fn print_reply(job: &DemoJob, reply: &DemoReply, elapsed: Duration) {
    let start = reply.first_start.unwrap_or_default();
    let ended = reply.ended.unwrap_or_default();
    println!(
        "{:<8} {:<15} {:<15} {:>4} {:<7} {:>5} ms {:>5} ms {:>5} ms  {}",
        job.customer,
        job.class,
        job.key,
        reply.job,
        reply.state,
        start.saturating_sub(reply.accepted),
        ended.saturating_sub(start),
        elapsed.as_millis(),
        reply.workers.join(" ")
    );
}

/// Submits a job and returns the reply at its end and the time until then.
async fn run_job(cluster: &DemoCluster, job: &DemoJob) -> Result<(DemoReply, Duration), CliError> {
    let started = Instant::now();
    let reply = submit(cluster, job).await?;
    let demo_reply = serde_json::from_str(&reply.body).map_err(|_| CliError::DemoFailed {
        message: format!("{}: status {}: {}", job.key, reply.status, reply.body),
    })?;
    Ok((demo_reply, started.elapsed()))
}

/// Submits a job, and retries while the reply says that the request did not run.
async fn submit(cluster: &DemoCluster, job: &DemoJob) -> Result<EntryReply, CliError> {
    let client = EntryClient {
        entries: cluster
            .callers
            .iter()
            .map(|a| format!("http://{a}"))
            .collect(),
        token: demo_token(job.customer),
    };
    let path = format!("/v1/jobs?wait_ms={}", JOB_TIMEOUT.as_millis());
    let request = EntryRequest {
        method: Method::POST,
        path: &path,
        key: Some(job.key),
        body: serde_json::to_string(&job_spec(job)?).ok(),
        wait: JOB_TIMEOUT,
    };
    let mut retries = 0;
    loop {
        let reply = client.send(&request).await?;
        // The control group may not have elected its first leader or applied its templates yet.
        let not_run = matches!(reply.status, 403 | 503);
        if !not_run || retries >= MAX_RETRIES {
            return Ok(reply);
        }
        retries += 1;
        compio::time::sleep(RETRY_DELAY).await;
    }
}

fn job_spec(job: &DemoJob) -> Result<JobSpec, CliError> {
    let payload = FakePayload {
        run_ms: job.run_ms,
        answer: format!("answer to {}", job.key),
        fail: None,
    };
    let class = ClassName::parse(job.class).map_err(|error| CliError::DemoFailed {
        message: error.to_string(),
    })?;
    Ok(JobSpec {
        class,
        gang: GangShape {
            members: job.members,
            member: ResourceShape {
                cores: 4,
                memory_mib: 4_096,
                accelerators: job.accelerators,
            },
            adjacency: job.adjacency,
        },
        declared_run_ms: None,
        payload: payload.to_text(),
    })
}
