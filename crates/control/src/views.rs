//! Views of the ledger for the replies to calls.

use roseridge_ledger::{
    JobRecord,
    JobState,
    LedgerState, //
};
use roseridge_model::{
    CustomerName,
    JobId, //
};
use roseridge_wire::{
    JobView,
    PolicyView,
    QuarantineView,
    WorkerView, //
};

/// Returns the view of a job, if it exists and the customer may see it.
///
/// Without a customer, every job is visible.
pub(crate) fn job_view(
    ledger: &LedgerState,
    customer: Option<&CustomerName>,
    job: JobId,
) -> Option<JobView> {
    let record = ledger.jobs.get(&job)?;
    let visible = customer.is_none_or(|c| *c == record.customer);
    visible.then(|| to_job_view(job, record))
}

/// Returns up to `limit` jobs that the customer may see, newest first.
pub(crate) fn job_list(
    ledger: &LedgerState,
    customer: Option<&CustomerName>,
    limit: usize,
) -> Vec<JobView> {
    let newest_first = ledger.jobs.iter().rev();
    newest_first
        .filter(|(_, record)| customer.is_none_or(|c| *c == record.customer))
        .take(limit)
        .map(|(job, record)| to_job_view(*job, record))
        .collect()
}

/// Returns the number of waiting jobs and the number of placed jobs.
pub(crate) fn job_counts(ledger: &LedgerState) -> (u32, u32) {
    let mut waiting = 0;
    let mut placed = 0;
    for record in ledger.jobs.values() {
        match record.state {
            JobState::Waiting => waiting += 1,
            JobState::Placed(_) => placed += 1,
            JobState::Ended { .. } => {}
        }
    }
    (waiting, placed)
}

/// Returns all workers, ordered by name.
pub(crate) fn worker_list(ledger: &LedgerState) -> Vec<WorkerView> {
    let view = ledger.view(ledger.now);
    let free = view.workers.iter().map(|w| w.free.accelerators);
    let workers = ledger.workers.iter().zip(free);
    workers
        .map(|((name, worker), free_accelerators)| WorkerView {
            worker: name.clone(),
            shape: worker.shape.clone(),
            live: worker.live,
            leaving: worker.leaving,
            drained: ledger.is_drained(name),
            tasks: worker.tasks.iter().copied().collect(),
            free_accelerators,
        })
        .collect()
}

fn to_job_view(job: JobId, record: &JobRecord) -> JobView {
    JobView {
        job,
        customer: record.customer.clone(),
        key: record.key.clone(),
        spec: record.spec.clone(),
        accepted: record.accepted,
        first_start: record.first_start,
        attempt: record.attempt,
        state: record.state.clone(),
    }
}

/// Returns the guarantees, reservations, degraded guarantees and quarantined workers of the
/// scheduler.
pub(crate) fn policy_view(ledger: &LedgerState) -> PolicyView {
    let plan = &ledger.policy.memory.plan;
    let quarantined = ledger.quarantined().into_iter();
    PolicyView {
        degraded: plan.degraded.clone(),
        guarantees: plan.guarantees.clone(),
        reservations: plan.reservations.clone(),
        quarantined: quarantined
            .map(|(worker, until)| QuarantineView { worker, until })
            .collect(),
    }
}
