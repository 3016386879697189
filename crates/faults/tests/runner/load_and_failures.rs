//! Mass cancellations, failing jobs and workers, bursts of requests, and lost disks.

use roseridge_faults::{
    CallerRequest,
    RequestOutcome,
    RequestRecord,
    check_invariants, //
};

use crate::harness::{
    mixed_requests,
    run_on_cluster,
    sleep_ms,
    start_load, //
};

/// Guards against cancellations that affect other jobs: half of 24 jobs are cancelled and the
/// others must complete.
#[test]
fn invariants_hold_after_mass_cancellation() {
    run_on_cluster(async |cluster| {
        let caller = cluster.caller("tuglink");
        let mut requests = Vec::new();
        let mut jobs = Vec::new();
        for number in 0..24 {
            let class = ["replan", "tug-assignment", "study"][number % 3];
            let request = CallerRequest::new("tuglink", class, format!("wave-{number}"));
            let request = request.gang(1 + number as u16 % 4, 2).running(800);
            let mut record = RequestRecord::new(request);
            record.record_reply(caller.submit(number, &record.request, 0).await);
            jobs.push(record.job().expect("the job is accepted"));
            requests.push(record.request);
        }
        let load = start_load(cluster, requests);
        for job in jobs.iter().step_by(2) {
            caller.cancel(*job).await;
        }
        let records = load.finish().await;
        check_invariants(cluster, &records).await;
        for record in records.iter().skip(1).step_by(2) {
            assert_eq!(
                record.outcome,
                RequestOutcome::Done,
                "a job that was not cancelled must complete: {record:?}"
            );
        }
    });
}

/// Guards against failing jobs that get another outcome than failed, or that affect other jobs.
#[test]
fn failing_jobs_do_not_affect_others() {
    run_on_cluster(async |cluster| {
        let mut requests = mixed_requests("beside", 2);
        for number in 0..6 {
            let request = CallerRequest::new("tuglink", "replan", format!("fails-{number}"));
            requests.push(CallerRequest {
                fails: true,
                ..request
            });
        }
        let records = start_load(cluster, requests).finish().await;
        check_invariants(cluster, &records).await;
        for record in records {
            let expected = match record.request.fails {
                true => RequestOutcome::Failed,
                false => RequestOutcome::Done,
            };
            assert_eq!(record.outcome, expected, "{record:?}");
        }
    });
}

/// Guards against a worker that fails every task: it is free again at once, so that it can attract
/// and fail all queued jobs.
#[test]
fn worker_that_fails_all_tasks_does_not_fail_the_queue() {
    run_on_cluster(async |cluster| {
        cluster.fault_injector(0).set_tasks_fail(true);
        let mut requests = Vec::new();
        for number in 0..16 {
            let class = ["replan", "day-plan"][number % 2];
            let request = CallerRequest::new("tuglink", class, format!("fast-{number}"));
            requests.push(request.gang(1, 2));
        }
        let records = start_load(cluster, requests).finish().await;
        check_invariants(cluster, &records).await;
        for record in records {
            assert_eq!(record.outcome, RequestOutcome::Done, "{record:?}");
        }
    });
}

/// Guards against requests of a burst of 60 that are refused or lost.
#[test]
fn burst_is_answered_completely() {
    run_on_cluster(async |cluster| {
        let records = start_load(cluster, mixed_requests("burst", 12))
            .finish()
            .await;
        check_invariants(cluster, &records).await;
        for record in records {
            assert_eq!(record.outcome, RequestOutcome::Done, "{record:?}");
        }
    });
}

/// Guards against accepted jobs that are lost when a follower restarts with an empty disk and
/// the leader is killed one second later.
#[test]
fn accepted_work_survives_disk_loss() {
    run_on_cluster(async |cluster| {
        let load = start_load(cluster, mixed_requests("disk", 2));
        sleep_ms(400).await;
        let leader = cluster.operator().leader().await;
        let wiped_entry = (leader + 1) % cluster.entry_count();
        cluster.kill_entry(wiped_entry);
        cluster.wipe_disk(wiped_entry);
        cluster.start_missing();
        sleep_ms(1_000).await;
        cluster.kill_entry(leader);
        sleep_ms(1_000).await;
        cluster.start_missing();
        let records = load.finish().await;
        check_invariants(cluster, &records).await;
    });
}
