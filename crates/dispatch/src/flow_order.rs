//! The order in which flows receive capacity.

use std::collections::BTreeMap;

use roseridge_model::FlowId;

/// The share of the workers' time that runs use. The remaining time is lost between tasks.
pub(crate) const USABLE_SHARE: f64 = 0.85;

/// The properties of a flow that decide its place in the order.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OrderedFlow {
    /// The flow.
    pub flow: FlowId,
    /// The rank of the flow; zero is the most urgent.
    pub rank: u32,
    /// Whether the flow is urgent, within its customer's guarantee and not fully started.
    pub can_reclaim: bool,
    /// Whether the flow is beyond its customer's share while customers compete.
    pub is_beyond_share: bool,
    /// The value of the flow if it completes on time.
    pub value: f64,
    /// The remaining work, in seconds of a whole worker.
    pub remaining_work: f64,
    /// The minimum remaining time, in milliseconds.
    pub remaining_critical_path_ms: u64,
    /// The time by which the flow is due, in milliseconds since the Unix epoch.
    pub due_ms: u64,
    /// The time after which the flow has no value, in milliseconds since the Unix epoch.
    pub expiry_ms: u64,
}

impl OrderedFlow {
    /// Returns the value of one second of a whole worker spent on the flow.
    fn value_density(&self) -> f64 {
        self.value / self.remaining_work.max(f64::EPSILON)
    }
}

/// Orders flows so that a number of whole workers completes as much value as possible on time.
///
/// Load pattern: more work arrives than the workers can complete on time. Flows are taken in the order
/// of their due times. Whenever those taken so far can't all complete on time, the one with the lowest
/// value for its work is postponed (the Moore-Hodgson algorithm, weighted). Flows that can only be late
/// come next, by value for their work, and those that no longer have any value come last. Flows of rank
/// zero go before all others, and among them first those that may reclaim their guarantee.
///
/// Load pattern: the backlog of one customer competes with the work of others. Within each rank, flows
/// beyond their customers' shares are postponed before those within, and follow them once postponed.
/// While everything can be on time, shares change nothing.
pub fn order_flows(flows: &[OrderedFlow], workers: f64, now_ms: u64) -> Vec<FlowId> {
    let (urgent, others): (Vec<_>, Vec<_>) = flows.iter().copied().partition(|f| f.rank == 0);
    let capacity = (workers * USABLE_SHARE).max(f64::EPSILON);
    let (reclaiming, urgent): (Vec<_>, Vec<_>) = urgent.into_iter().partition(|f| f.can_reclaim);
    let mut work_before = 0.0;
    let mut order = Vec::with_capacity(flows.len());
    for group in [reclaiming, urgent, others] {
        let work: f64 = group.iter().map(|f| f.remaining_work).sum();
        let group = order_group(group, capacity, (now_ms, work_before));
        order.extend(group.into_iter().map(|f| f.flow));
        work_before += work;
    }
    order
}

/// Orders flows of the same urgency that run after `work_before` seconds of work.
fn order_group(
    mut flows: Vec<OrderedFlow>,
    capacity: f64,
    (now_ms, work_before): (u64, f64),
) -> Vec<OrderedFlow> {
    flows.sort_by_key(|f| (f.due_ms, f.flow));
    let mut on_time: Vec<OrderedFlow> = Vec::new();
    let mut postponed = Vec::new();
    let mut work = work_before;
    for flow in flows {
        if now_ms + flow.remaining_critical_path_ms > flow.due_ms {
            postponed.push(flow);
            continue;
        }
        work += flow.remaining_work;
        on_time.push(flow);
        let completion_ms = now_ms as f64 + work / capacity * 1_000.0;
        if completion_ms > flow.due_ms as f64 {
            let by_density = |a: &usize, b: &usize| {
                let (a, b) = (&on_time[*a], &on_time[*b]);
                a.value_density().total_cmp(&b.value_density())
            };
            let lowest = (0..on_time.len()).min_by(by_density).unwrap_or(0);
            // Flows of the same rank beyond their customers' shares are postponed first.
            let rank = on_time[lowest].rank;
            let beyond = (0..on_time.len())
                .filter(|i| on_time[*i].rank == rank && on_time[*i].is_beyond_share)
                .min_by(by_density);
            let lowest = on_time.remove(beyond.unwrap_or(lowest));
            work -= lowest.remaining_work;
            postponed.push(lowest);
        }
    }
    let is_expired = |f: &OrderedFlow| now_ms + f.remaining_critical_path_ms > f.expiry_ms;
    postponed.sort_by(|a, b| {
        let by_expiry = is_expired(a).cmp(&is_expired(b));
        let by_density = b.value_density().total_cmp(&a.value_density());
        by_expiry.then(by_density).then(a.flow.cmp(&b.flow))
    });
    prefer_within_share(&mut postponed, is_expired);
    on_time.into_iter().chain(postponed).collect()
}

/// Takes the flows within their customers' shares before those beyond them, within each rank. Expired
/// flows still come last.
///
/// The places of each rank in the order stay the same, and so does the order among the flows of a rank
/// that are all within their share or all beyond it.
fn prefer_within_share(order: &mut [OrderedFlow], is_expired: impl Fn(&OrderedFlow) -> bool) {
    let mut ranks = BTreeMap::<u32, Vec<OrderedFlow>>::new();
    for flow in order.iter() {
        ranks.entry(flow.rank).or_default().push(*flow);
    }
    let mut ranks: BTreeMap<_, _> = ranks
        .into_iter()
        .map(|(rank, mut flows)| {
            flows.sort_by_key(|flow| (is_expired(flow), flow.is_beyond_share));
            (rank, flows.into_iter())
        })
        .collect();
    for place in order {
        if let Some(flow) = ranks.get_mut(&place.rank).and_then(Iterator::next) {
            *place = flow;
        }
    }
}
