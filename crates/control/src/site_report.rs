//! The view of queues and backend servers that operators read.

use roseridge_flow::{
    BackendRecord,
    FlowState, //
};
use roseridge_model::{
    BackendId,
    QueueKey, //
};
use roseridge_wire::{
    BackendView,
    QueueView,
    SiteView, //
};

/// Returns the view of all queues and backend servers.
pub(crate) fn site_view(flows: &FlowState) -> SiteView {
    let queues = flows.config.iter().flat_map(|config| &config.queues);
    let backends = flows.backends.iter();
    SiteView {
        version: flows.config.as_ref().map(|config| config.version),
        queues: queues.map(|rule| queue_view(flows, &rule.key)).collect(),
        backends: backends.map(|(id, b)| backend_view(id, b)).collect(),
    }
}

fn queue_view(flows: &FlowState, queue: &QueueKey) -> QueueView {
    let open = flows.open_flows().filter(|(_, f)| f.queue.key == *queue);
    QueueView {
        queue: queue.clone(),
        open: saturating_u32(open.count()),
        pending: saturating_u32(flows.pending_count(queue)),
    }
}

fn backend_view(backend: &BackendId, record: &BackendRecord) -> BackendView {
    let used: u32 = record.runs.values().map(|r| r.shape.accelerators).sum();
    let total = record.profile.shape.accelerators;
    BackendView {
        backend: backend.clone(),
        profile: record.profile.clone(),
        presence: record.status,
        runs: saturating_u32(record.runs.len()),
        free_accelerators: total.saturating_sub(used),
    }
}

fn saturating_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
