//! Waves of cancellations, workers that fail everything, bursts, and lost disks.

use roseridge_faults::{
    CallerRequest,
    RequestEnd,
    RequestRecord,
    check_promises, //
};

use crate::drive::{
    mixed_requests,
    on_cluster,
    pause_ms,
    start_load, //
};

#[test]
fn a_wave_of_cancellations_breaks_no_promise() {
    on_cluster(async |cluster| {
        let caller = cluster.caller("tuglink");
        let mut requests = Vec::new();
        let mut jobs = Vec::new();
        for number in 0..24 {
            let class = ["replan", "tug-assignment", "study"][number % 3];
            let request = CallerRequest::new("tuglink", class, format!("wave-{number}"));
            let request = request.gang(1 + number as u16 % 4, 2).running(800);
            let mut record = RequestRecord::new(request);
            record.take_reply(caller.submit(number, &record.request, 0).await);
            jobs.push(record.job().expect("the job is accepted"));
            requests.push(record.request);
        }
        let load = start_load(cluster, requests);
        for job in jobs.iter().step_by(2) {
            caller.cancel(*job).await;
        }
        let records = load.finish().await;
        check_promises(cluster, &records).await;
        for record in records.iter().skip(1).step_by(2) {
            assert_eq!(record.end, RequestEnd::Done, "others go on: {record:?}");
        }
    });
}

#[test]
fn failing_work_ends_as_failed_and_leaves_the_rest_alone() {
    on_cluster(async |cluster| {
        let mut requests = mixed_requests("beside", 2);
        for number in 0..6 {
            let request = CallerRequest::new("tuglink", "replan", format!("fails-{number}"));
            requests.push(CallerRequest {
                fails: true,
                ..request
            });
        }
        let records = start_load(cluster, requests).finish().await;
        check_promises(cluster, &records).await;
        for record in records {
            let wanted = match record.request.fails {
                true => RequestEnd::Failed,
                false => RequestEnd::Done,
            };
            assert_eq!(record.end, wanted, "{record:?}");
        }
    });
}

#[test]
fn a_worker_that_fails_everything_does_not_swallow_the_queue() {
    on_cluster(async |cluster| {
        cluster.switch(0).set_tasks_fail(true);
        let mut requests = Vec::new();
        for number in 0..16 {
            let class = ["replan", "day-plan"][number % 2];
            let request = CallerRequest::new("tuglink", class, format!("fast-{number}"));
            requests.push(request.gang(1, 2));
        }
        let records = start_load(cluster, requests).finish().await;
        check_promises(cluster, &records).await;
        for record in records {
            assert_eq!(record.end, RequestEnd::Done, "{record:?}");
        }
    });
}

#[test]
fn a_burst_is_answered_whole() {
    on_cluster(async |cluster| {
        let records = start_load(cluster, mixed_requests("burst", 12))
            .finish()
            .await;
        check_promises(cluster, &records).await;
        for record in records {
            assert_eq!(record.end, RequestEnd::Done, "{record:?}");
        }
    });
}

#[test]
fn a_lost_disk_loses_no_accepted_work() {
    on_cluster(async |cluster| {
        let load = start_load(cluster, mixed_requests("disk", 2));
        pause_ms(400).await;
        let leader = cluster.operator().leader().await;
        let wiped = (leader + 1) % cluster.entries();
        cluster.kill_entry(wiped);
        cluster.lose_disk(wiped);
        cluster.start_missing();
        pause_ms(1_000).await;
        cluster.kill_entry(leader);
        pause_ms(1_000).await;
        cluster.start_missing();
        let records = load.finish().await;
        check_promises(cluster, &records).await;
    });
}
