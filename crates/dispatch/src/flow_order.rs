//! The order in which flows get places.

use roseridge_model::FlowId;

/// The part of the workers' time that placements make use of; the rest is lost between tasks.
pub(crate) const USABLE_PART: f64 = 0.85;

/// What a flow's turn depends on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OrderedFlow {
    /// The flow.
    pub flow: FlowId,
    /// Its rank; zero is the most urgent.
    pub rank: u32,
    /// Whether it is urgent, within what belongs to its customer, and has not begun.
    pub is_owed: bool,
    /// What it is worth on time.
    pub worth: f64,
    /// The work that is left, in seconds of a whole worker.
    pub work_left: f64,
    /// The time that it still takes at least, in milliseconds.
    pub chain_left_ms: u64,
    /// The time by which it is to be done.
    pub due_ms: u64,
    /// The time after which it is of no use.
    pub late_ms: u64,
}

impl OrderedFlow {
    /// Returns the worth of one second of a worker that is spent on the flow.
    fn density(&self) -> f64 {
        self.worth / self.work_left.max(f64::EPSILON)
    }
}

/// Orders flows so that as much worth as possible is on time on a number of whole workers.
///
/// Load pattern: more work than the workers can do in time. Flows are taken by their due times;
/// whenever those taken so far can't all be done by then, the one that is worth least for its work is
/// put behind (Moore's rule, weighted). Flows that can only be late come next, by worth for their work,
/// and those that are of no use any more come last. Flows of rank zero go before all others, and among
/// them those that are owed their first places.
pub fn order_flows(flows: &[OrderedFlow], workers: f64, now_ms: u64) -> Vec<FlowId> {
    let (urgent, others): (Vec<_>, Vec<_>) = flows.iter().copied().partition(|f| f.rank == 0);
    let capacity = (workers * USABLE_PART).max(f64::EPSILON);
    let (owed, urgent): (Vec<_>, Vec<_>) = urgent.into_iter().partition(|f| f.is_owed);
    let mut work_before = 0.0;
    let mut order = Vec::with_capacity(flows.len());
    for part in [owed, urgent, others] {
        let work: f64 = part.iter().map(|f| f.work_left).sum();
        let part = order_part(part, capacity, (now_ms, work_before));
        order.extend(part.into_iter().map(|f| f.flow));
        work_before += work;
    }
    order
}

fn order_part(
    mut flows: Vec<OrderedFlow>,
    capacity: f64,
    (now_ms, work_before): (u64, f64),
) -> Vec<OrderedFlow> {
    flows.sort_by_key(|f| (f.due_ms, f.flow));
    let mut on_time: Vec<OrderedFlow> = Vec::new();
    let mut put_back = Vec::new();
    let mut work = work_before;
    for flow in flows {
        if now_ms + flow.chain_left_ms > flow.due_ms {
            put_back.push(flow);
            continue;
        }
        work += flow.work_left;
        on_time.push(flow);
        let done_ms = now_ms as f64 + work / capacity * 1_000.0;
        if done_ms > flow.due_ms as f64 {
            let least = (0..on_time.len()).min_by(|a, b| {
                let (a, b) = (&on_time[*a], &on_time[*b]);
                a.density().total_cmp(&b.density())
            });
            let least = on_time.remove(least.unwrap_or(0));
            work -= least.work_left;
            put_back.push(least);
        }
    }
    let is_useless = |f: &OrderedFlow| now_ms + f.chain_left_ms > f.late_ms;
    put_back.sort_by(|a, b| {
        let by_use = is_useless(a).cmp(&is_useless(b));
        let by_density = b.density().total_cmp(&a.density());
        by_use.then(by_density).then(a.flow.cmp(&b.flow))
    });
    on_time.into_iter().chain(put_back).collect()
}
