//! Graceful stops, rolling restarts and backend servers that leave.

use roseridge_fake::TaskEventKind;
use roseridge_faults::{
    CallerRequest,
    RequestOutcome,
    SmallCluster,
    check_invariants, //
};

use crate::harness::{
    mixed_requests,
    run_on_cluster,
    sleep_ms,
    start_load, //
};

/// The time after which a leaving backend server must receive no new tasks, in milliseconds.
const LEAVE_DELAY_MS: u64 = 5_000;

/// Waits until an entry has stopped.
async fn wait_for_stop(cluster: &SmallCluster, entry: usize) {
    let operator = cluster.operator();
    operator
        .poll("the entry has stopped", async |_| {
            (!cluster.is_entry_running(entry)).then_some(())
        })
        .await;
}

/// Guards against an entry that drops the requests in progress when it stops: each of them must
/// still get a reply.
#[test]
fn graceful_entry_stop_interrupts_no_request() {
    run_on_cluster(async |cluster| {
        for entry in 0..cluster.entry_count() {
            let caller = cluster.caller("tuglink");
            let handles: Vec<_> = (0..6)
                .map(|number| {
                    let key = format!("waits-{entry}-{number}");
                    let request = CallerRequest::new("tuglink", "replan", key).running(900);
                    let caller = caller.clone();
                    compio::runtime::spawn(async move {
                        let reply = caller.submit(entry, &request, 5_000).await;
                        (request, reply)
                    })
                })
                .collect();
            sleep_ms(300).await;
            cluster.request_entry_stop(entry);
            let mut requests = Vec::new();
            for handle in handles {
                let (request, reply) = handle.await.expect("the caller did not panic");
                let reply = reply.expect("a graceful stop drops no reply");
                assert!(matches!(reply.status, 200 | 202), "{reply:?}");
                requests.push(request);
            }
            wait_for_stop(cluster, entry).await;
            cluster.start_missing();
            let records = start_load(cluster, requests).finish().await;
            check_invariants(cluster, &records).await;
            assert!(
                records.iter().all(|r| r.outcome == RequestOutcome::Done),
                "{records:?}"
            );
        }
    });
}

/// Guards against an agent that ends its running tasks when it stops, instead of waiting for them.
#[test]
fn graceful_agent_stop_waits_for_its_tasks() {
    run_on_cluster(async |cluster| {
        let requests: Vec<_> = (0..cluster.worker_count())
            .map(|number| {
                CallerRequest::new("benali", "payment-file", format!("runs-on-{number}"))
                    .gang(1, 8)
                    .running(2_500)
            })
            .collect();
        let load = start_load(cluster, requests);
        sleep_ms(1_500).await;
        cluster.stop_agent(2);
        let records = load.finish().await;
        check_invariants(cluster, &records).await;
        for record in &records {
            assert_eq!(
                record.outcome,
                RequestOutcome::Done,
                "a graceful stop interrupted a request: {record:?}"
            );
        }
    });
}

/// Guards against requests that fail while all entries and agents are restarted gracefully, one
/// after another.
#[test]
fn rolling_restart_under_load_completes_all_requests() {
    run_on_cluster(async |cluster| {
        let load = start_load(cluster, mixed_requests("rolling", 4));
        for entry in 0..cluster.entry_count() {
            sleep_ms(300).await;
            cluster.request_entry_stop(entry);
            wait_for_stop(cluster, entry).await;
            cluster.start_missing();
            cluster.operator().status().await;
        }
        for worker in 0..cluster.worker_count() {
            cluster.stop_agent(worker);
            cluster.start_agent(worker);
        }
        let records = load.finish().await;
        check_invariants(cluster, &records).await;
        for record in &records {
            assert_eq!(
                record.outcome,
                RequestOutcome::Done,
                "a graceful stop interrupted a request: {record:?}"
            );
        }
    });
}

/// Guards against new tasks on a backend server that has announced that it leaves, and against the
/// loss of tasks that still run on it.
#[test]
fn leaving_backend_server_receives_no_new_tasks() {
    run_on_cluster(async |cluster| {
        let before = start_load(cluster, mixed_requests("before", 2));
        sleep_ms(300).await;
        cluster.announce_backend_leave(0);
        sleep_ms(LEAVE_DELAY_MS).await;
        let mut records = before.finish().await;
        let earlier_events = cluster.event_log().events().len();
        records.extend(
            start_load(cluster, mixed_requests("after", 4))
                .finish()
                .await,
        );
        let label = cluster.worker_label(0);
        let events = cluster.event_log().events();
        let held_tasks = events[earlier_events..]
            .iter()
            .filter(|e| e.label == label && e.kind == TaskEventKind::Held);
        assert_eq!(
            held_tasks.count(),
            0,
            "the leaving backend server received new tasks"
        );
        check_invariants(cluster, &records).await;
        for record in &records {
            assert_eq!(
                record.outcome,
                RequestOutcome::Done,
                "the leave interrupted a request: {record:?}"
            );
        }
    });
}
