//! The order of flows when more work arrives than can complete on time.

use roseridge_dispatch::{
    OrderedFlow,
    order_flows, //
};
use roseridge_model::FlowId;
use roseridge_testutils::cases;

const NOW_MS: u64 = 100_000;
/// The number of workers. The order counts 85 percent of it as usable.
const WORKERS: f64 = 10.0;

/// Returns a flow with work in seconds of a whole worker that is due after a time.
fn flow(number: u64, work: f64, due_in_ms: u64) -> OrderedFlow {
    OrderedFlow {
        flow: FlowId(number),
        rank: 1,
        can_reclaim: false,
        is_beyond_share: false,
        value: work,
        remaining_work: work,
        remaining_critical_path_ms: 1_000,
        due_ms: NOW_MS + due_in_ms,
        expiry_ms: NOW_MS + due_in_ms * 3,
    }
}

struct OrderCase {
    flows: Vec<OrderedFlow>,
    expected: &'static [u64],
}

fn check(case: OrderCase) {
    let order = order_flows(&case.flows, WORKERS, NOW_MS);
    let order: Vec<_> = order.into_iter().map(|flow| flow.0).collect();
    assert_eq!(order, case.expected);
}

cases! {
    check:
    flows_that_all_fit_are_ordered_by_due_time = OrderCase {
        flows: vec![flow(1, 5.0, 9_000), flow(2, 5.0, 3_000), flow(3, 5.0, 6_000)],
        expected: &[2, 3, 1],
    },
    flow_with_lowest_value_density_is_postponed = OrderCase {
        // All three flows are due in 2 s, and 17 s of a worker's work fit into that time.
        flows: vec![
            OrderedFlow { value: 4.0, ..flow(1, 8.0, 2_000) },
            flow(2, 8.0, 2_000),
            OrderedFlow { value: 16.0, ..flow(3, 8.0, 2_000) },
        ],
        expected: &[2, 3, 1],
    },
    flow_that_cannot_be_on_time_is_postponed = OrderCase {
        flows: vec![
            OrderedFlow { remaining_critical_path_ms: 5_000, ..flow(1, 1.0, 4_000) },
            flow(2, 1.0, 60_000),
        ],
        expected: &[2, 1],
    },
    expired_flow_comes_last = OrderCase {
        flows: vec![
            OrderedFlow { remaining_critical_path_ms: 90_000, value: 100.0, ..flow(1, 1.0, 4_000) },
            OrderedFlow { remaining_critical_path_ms: 5_000, ..flow(2, 1.0, 4_000) },
        ],
        expected: &[2, 1],
    },
    urgent_flows_go_first = OrderCase {
        flows: vec![flow(1, 1.0, 2_000), OrderedFlow { rank: 0, ..flow(2, 1.0, 50_000) }],
        expected: &[2, 1],
    },
    flows_that_reclaim_go_before_those_that_borrow = OrderCase {
        flows: vec![
            OrderedFlow { rank: 0, ..flow(1, 1.0, 2_000) },
            OrderedFlow { rank: 0, can_reclaim: true, ..flow(2, 1.0, 9_000) },
        ],
        expected: &[2, 1],
    },
    flow_beyond_the_share_is_postponed_first = OrderCase {
        // Without shares the first flow would be postponed, since it has the lowest value for its work.
        flows: vec![
            OrderedFlow { value: 4.0, ..flow(1, 8.0, 2_000) },
            flow(2, 8.0, 2_000),
            OrderedFlow { is_beyond_share: true, value: 16.0, ..flow(3, 8.0, 2_000) },
        ],
        expected: &[1, 2, 3],
    },
    share_does_not_postpone_a_more_urgent_rank = OrderCase {
        flows: vec![
            OrderedFlow { rank: 2, value: 4.0, ..flow(1, 8.0, 2_000) },
            flow(2, 8.0, 2_000),
            OrderedFlow { is_beyond_share: true, value: 16.0, ..flow(3, 8.0, 2_000) },
        ],
        expected: &[2, 3, 1],
    },
    shares_do_not_matter_while_all_flows_fit = OrderCase {
        flows: vec![
            OrderedFlow { is_beyond_share: true, ..flow(1, 5.0, 3_000) },
            flow(2, 5.0, 6_000),
        ],
        expected: &[1, 2],
    },
    expired_flow_within_the_share_comes_last = OrderCase {
        flows: vec![
            OrderedFlow { remaining_critical_path_ms: 90_000, ..flow(1, 1.0, 4_000) },
            OrderedFlow {
                remaining_critical_path_ms: 5_000,
                is_beyond_share: true,
                ..flow(2, 1.0, 4_000)
            },
        ],
        expected: &[2, 1],
    },
    no_flows = OrderCase { flows: Vec::new(), expected: &[] },
}

#[test]
fn order_contains_every_flow_once() {
    let flows: Vec<_> = (0..200)
        .map(|number| flow(number, (number % 7) as f64, number * 97 % 5_000))
        .collect();
    let mut order = order_flows(&flows, WORKERS, NOW_MS);
    order.sort_unstable();
    assert_eq!(order, (0..200).map(FlowId).collect::<Vec<_>>());
}
