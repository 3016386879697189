//! Answers that come late, crossed or cut, and links that are slow or break.

use std::time::Duration;

use roseridge_fake::AnswerFault;
use roseridge_faults::{
    LinkFlow,
    RequestEnd,
    check_promises, //
};

use crate::drive::{
    mixed_requests,
    on_cluster,
    pause_ms,
    start_load, //
};

fn spoil_answers(fault: AnswerFault) {
    on_cluster(async move |cluster| {
        for worker in 0..cluster.workers() {
            cluster.switch(worker).set_answer_fault(fault);
        }
        let load = start_load(cluster, mixed_requests("spoilt", 3));
        let records = load.finish().await;
        check_promises(cluster, &records).await;
        for record in records {
            assert_eq!(record.end, RequestEnd::Done, "{record:?}");
        }
    });
}

roseridge_testutils::cases! {
    spoil_answers:
    late_answers_arrive_whole = AnswerFault::Delayed(Duration::from_millis(700)),
    crossed_answers_are_fetched_again = AnswerFault::WrongTask,
    cut_answers_are_fetched_again = AnswerFault::Truncated,
}

#[test]
fn slow_links_cost_time_only() {
    on_cluster(async |cluster| {
        let slow = LinkFlow::Delayed(Duration::from_millis(15));
        for link in cluster.internal_links() {
            link.set_flows(slow, slow);
        }
        let records = start_load(cluster, mixed_requests("slow", 2))
            .finish()
            .await;
        check_promises(cluster, &records).await;
        for record in records {
            assert_eq!(record.end, RequestEnd::Done, "{record:?}");
        }
    });
}

#[test]
fn cut_connections_are_replaced() {
    on_cluster(async |cluster| {
        let load = start_load(cluster, mixed_requests("cut", 3));
        for _ in 0..4 {
            pause_ms(200).await;
            for link in cluster.internal_links() {
                link.close_connections();
            }
            for entry in 0..cluster.entries() {
                cluster.caller_link(entry).close_connections();
            }
        }
        let records = load.finish().await;
        check_promises(cluster, &records).await;
    });
}
