//! Checks of the system's invariants, one function for each.

use std::{
    collections::BTreeMap,
    time::{
        Duration,
        Instant, //
    },
};

use futures::future::join_all;
use hyper::Method;
use roseridge_fake::{
    TaskEvent,
    TaskEventKind, //
};
use roseridge_model::{
    AttemptNumber,
    JobId, //
};
use serde_json::Value;

use crate::{
    CallerRequest,
    RequestOutcome,
    RequestRecord,
    SmallCluster, //
};

/// The maximum time until the backend servers must reach an expected state.
const BACKEND_TIMEOUT: Duration = Duration::from_secs(75);
/// The interval at which the backend servers' events are polled.
const BACKEND_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The run time of the jobs that occupy guaranteed accelerators, in milliseconds.
const OCCUPANT_RUN_MS: u64 = 120_000;
/// The number of accelerators of one worker.
const WORKER_ACCELERATORS: u32 = 8;

/// Checks every invariant that must hold after any fault, and that each request has a final
/// outcome.
///
/// # Panics
///
/// Panics if an invariant is violated or a request has no final outcome.
pub async fn check_invariants(cluster: &SmallCluster, records: &[RequestRecord]) {
    check_all_requests_final(records);
    check_answers_complete(records);
    check_not_run_reports(cluster, records);
    check_at_most_once(cluster, records);
    check_no_partial_gang(cluster, records).await;
}

/// Checks that each request has a final outcome.
fn check_all_requests_final(records: &[RequestRecord]) {
    for record in records {
        assert_ne!(
            record.outcome,
            RequestOutcome::Open,
            "request has no final outcome: {record:?}"
        );
    }
}

/// Checks that each caller received the complete answer to its own request.
///
/// # Panics
///
/// Panics if a caller received a partial answer or the answer to another request.
pub fn check_answers_complete(records: &[RequestRecord]) {
    for record in records {
        assert!(
            record.has_complete_answers(),
            "answer is incomplete or belongs to another request: {record:?}"
        );
    }
}

/// Checks that requests that were refused with "not run" did not run.
///
/// # Panics
///
/// Panics if a task of such a request was started.
pub fn check_not_run_reports(cluster: &SmallCluster, records: &[RequestRecord]) {
    let events = cluster.event_log().events();
    for record in records
        .iter()
        .filter(|r| r.outcome == RequestOutcome::NotRun)
    {
        let starts = starts_for(&events, &record.request).count();
        assert_eq!(starts, 0, "request reported as not run has run: {record:?}");
    }
}

/// Checks that requests that are not idempotent ran at most once.
///
/// # Panics
///
/// Panics if a member of such a request was started twice, or if a completed request never ran.
pub fn check_at_most_once(cluster: &SmallCluster, records: &[RequestRecord]) {
    let events = cluster.event_log().events();
    for record in records.iter().filter(|r| r.request.runs_at_most_once()) {
        let mut starts = BTreeMap::new();
        for event in starts_for(&events, &record.request) {
            *starts.entry(event.task.member).or_insert(0) += 1;
        }
        let max_starts = starts.into_values().max().unwrap_or(0);
        assert!(max_starts <= 1, "request ran more than once: {record:?}");
        let done = record.outcome == RequestOutcome::Done;
        assert!(
            !done || max_starts == 1,
            "completed request never ran: {record:?}"
        );
    }
}

/// Returns the start events of a request's tasks; the answer in an event is the request's key.
fn starts_for<'a>(
    events: &'a [TaskEvent],
    request: &'a CallerRequest,
) -> impl Iterator<Item = &'a TaskEvent> {
    let started = events.iter().filter(|e| e.kind == TaskEventKind::Started);
    started.filter(|e| e.answer == request.key)
}

/// Checks that no gang runs with only some of its members.
///
/// No member may start before every member of the same attempt is held, and no member may continue
/// to run after the others of its gang have ended. The second part is checked by waiting until no
/// task runs or is held.
///
/// # Panics
///
/// Panics if a member started too early, or if a task still runs or is held after 75 seconds.
pub async fn check_no_partial_gang(cluster: &SmallCluster, records: &[RequestRecord]) {
    let events = cluster.event_log().events();
    let members: BTreeMap<_, _> = records
        .iter()
        .map(|r| (r.request.key.as_str(), usize::from(r.request.members)))
        .collect();
    let mut held: BTreeMap<(JobId, AttemptNumber), usize> = BTreeMap::new();
    for event in &events {
        let attempt = held
            .entry((event.task.job, event.task.attempt))
            .or_default();
        match event.kind {
            TaskEventKind::Held => *attempt += 1,
            TaskEventKind::Started => {
                let member_count = members.get(event.answer.as_str()).copied().unwrap_or(1);
                assert!(
                    *attempt >= member_count,
                    "member started before its whole gang was held: {event:?}"
                );
            }
            TaskEventKind::Ended => {}
        }
    }
    wait_until_idle(cluster).await;
}

/// Waits until no task runs or is held on any backend server.
async fn wait_until_idle(cluster: &SmallCluster) {
    let deadline = Instant::now() + BACKEND_TIMEOUT;
    loop {
        let open = open_tasks(&cluster.event_log().events());
        if open.is_empty() {
            return;
        }
        assert!(
            Instant::now() < deadline,
            "tasks still run or are held: {open:?}"
        );
        compio::time::sleep(BACKEND_POLL_INTERVAL).await;
    }
}

/// Returns the latest event of each task that has not ended.
fn open_tasks(events: &[TaskEvent]) -> Vec<TaskEvent> {
    let mut open = BTreeMap::new();
    for event in events {
        let key = (event.label.clone(), event.task);
        match event.kind {
            TaskEventKind::Ended => open.remove(&key),
            _ => open.insert(key, event.clone()),
        };
    }
    open.into_values().collect()
}

/// Checks that a customer can reclaim its guaranteed shape while another's jobs hold all
/// accelerators.
///
/// This is checked for a gang without a placement rule and for a gang that must fit into one rack.
/// `name` makes the idempotency keys unique.
///
/// # Panics
///
/// Panics if a guaranteed gang does not complete.
pub async fn check_guarantee_reclaimable(cluster: &SmallCluster, name: &str) {
    let gang = CallerRequest::new("tuglink", "day-plan", format!("{name}-spread")).gang(4, 1);
    reclaim(
        cluster,
        CallerRequest::new("benali", "remittance", name),
        gang,
    )
    .await;
    let gang = CallerRequest::new("benali", "reconciliation", format!("{name}-adjacent"));
    let gang = gang.gang(3, WORKER_ACCELERATORS).in_rack();
    reclaim(cluster, CallerRequest::new("tuglink", "study", name), gang).await;
}

/// Fills every worker with a job like `occupant`, then runs the guaranteed gang and cancels the
/// jobs.
async fn reclaim(cluster: &SmallCluster, occupant: CallerRequest, gang: CallerRequest) {
    let owner = cluster.caller(occupant.customer);
    let prefix = format!("{}-{}-occupant-", occupant.key, occupant.customer);
    let mut jobs = Vec::new();
    for worker in 0..cluster.worker_count() {
        let request = CallerRequest {
            key: format!("{prefix}{worker}"),
            ..occupant.clone()
        };
        let request = request
            .gang(1, WORKER_ACCELERATORS)
            .running(OCCUPANT_RUN_MS);
        let job = owner
            .poll("the occupant is accepted", async |entry| {
                let reply = owner.submit(entry, &request, 0).await?;
                reply.body["job"].as_u64()
            })
            .await;
        jobs.push(job);
    }
    wait_for_occupants(cluster, &prefix).await;
    let record = cluster
        .caller(gang.customer)
        .submit_until_final(0, gang)
        .await;
    assert_eq!(
        record.outcome,
        RequestOutcome::Done,
        "guaranteed gang did not complete: {record:?}"
    );
    let cancels = jobs.into_iter().map(|job| owner.cancel(job));
    join_all(cancels).await;
    wait_until_idle(cluster).await;
}

/// Waits until as many occupants have started as there are workers.
async fn wait_for_occupants(cluster: &SmallCluster, prefix: &str) {
    let deadline = Instant::now() + BACKEND_TIMEOUT;
    loop {
        let events = cluster.event_log().events();
        let started = events.iter().filter(|e| e.kind == TaskEventKind::Started);
        let occupied = started.filter(|e| e.answer.starts_with(prefix)).count();
        if occupied >= cluster.worker_count() {
            return;
        }
        assert!(
            Instant::now() < deadline,
            "only {occupied} workers are occupied"
        );
        compio::time::sleep(BACKEND_POLL_INTERVAL).await;
    }
}

/// Checks that an accepted configuration is in force everywhere and has not been reverted.
///
/// Every running entry must return it, and every control replica, entry and agent must report its
/// revision or a later one.
///
/// # Panics
///
/// Panics if an entry returns an older revision or another queue limit, or if a component does not
/// report the revision within 75 seconds.
pub async fn check_configuration_in_force(cluster: &SmallCluster, revision: u64, queue_limit: u32) {
    let operator = cluster.operator();
    for number in (0..cluster.entry_count()).filter(|number| cluster.is_entry_running(*number)) {
        let (shown_revision, templates) = operator
            .poll("the templates are read", async |_| {
                operator.templates_from(number).await
            })
            .await;
        let listed = templates.as_array().expect("the templates are listed");
        let tuglink = listed.iter().find(|t| t["customer"] == "tuglink");
        let limit = tuglink.and_then(|t| t["queue_limit"].as_u64());
        assert!(
            shown_revision >= revision,
            "revision reverted from {revision} to {shown_revision}"
        );
        assert_eq!(
            limit,
            Some(u64::from(queue_limit)),
            "queue limit returned by entry {number}"
        );
    }
    wait_for_rollout(cluster, revision).await;
}

/// Waits until every rollout target that the leader knows, including each agent, has the revision.
async fn wait_for_rollout(cluster: &SmallCluster, revision: u64) {
    let operator = cluster.operator();
    operator
        .poll("the revision is in force everywhere", async |entry| {
            let path = "/v1/rollout";
            let reply = operator.send(entry, Method::GET, path, None, None).await?;
            let targets = reply.body["places"].as_array()?;
            let has_revision =
                |target: &Value| target["revision"].as_u64().is_some_and(|r| r >= revision);
            let agents = targets.iter().filter(|target| target["kind"] == "worker");
            let all = targets.iter().all(has_revision) && agents.count() == cluster.worker_count();
            all.then_some(())
        })
        .await;
}
