//! Backend servers whose answers are delayed, truncated or belong to other tasks, and slow or
//! closed connections.

use std::time::Duration;

use roseridge_fake::AnswerFault;
use roseridge_faults::{
    LinkFlow,
    RequestOutcome,
    check_invariants, //
};

use crate::harness::{
    mixed_requests,
    run_on_cluster,
    sleep_ms,
    start_load, //
};

/// Guards against faulty answers of backend servers that reach callers: every request must complete
/// with its own, complete answer.
fn run_with_answer_fault(fault: AnswerFault) {
    run_on_cluster(async move |cluster| {
        for worker in 0..cluster.worker_count() {
            cluster.fault_injector(worker).set_answer_fault(fault);
        }
        let load = start_load(cluster, mixed_requests("spoilt", 3));
        let records = load.finish().await;
        check_invariants(cluster, &records).await;
        for record in records {
            assert_eq!(record.outcome, RequestOutcome::Done, "{record:?}");
        }
    });
}

roseridge_testutils::cases! {
    run_with_answer_fault:
    delayed_answers_are_delivered_completely = AnswerFault::Delayed(Duration::from_millis(700)),
    answers_of_other_tasks_are_fetched_again = AnswerFault::WrongTask,
    truncated_answers_are_fetched_again = AnswerFault::Truncated,
}

/// Guards against requests that fail only because every link has a latency of 15 ms.
#[test]
fn requests_complete_over_slow_links() {
    run_on_cluster(async |cluster| {
        let slow = LinkFlow::Delayed(Duration::from_millis(15));
        for link in cluster.internal_links() {
            link.set_flows(slow, slow);
        }
        let records = start_load(cluster, mixed_requests("slow", 2))
            .finish()
            .await;
        check_invariants(cluster, &records).await;
        for record in records {
            assert_eq!(record.outcome, RequestOutcome::Done, "{record:?}");
        }
    });
}

/// Guards against requests that are lost, or run twice, when all connections are closed four times.
#[test]
fn closed_connections_are_replaced() {
    run_on_cluster(async |cluster| {
        let load = start_load(cluster, mixed_requests("cut", 3));
        for _ in 0..4 {
            sleep_ms(200).await;
            for link in cluster.internal_links() {
                link.close_connections();
            }
            for entry in 0..cluster.entry_count() {
                cluster.caller_link(entry).close_connections();
            }
        }
        let records = load.finish().await;
        check_invariants(cluster, &records).await;
    });
}
