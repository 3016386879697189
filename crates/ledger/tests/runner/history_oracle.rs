//! An oracle that checks the history of every job against the invariants of the ledger.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use roseridge_ledger::{
    CommandOutcome,
    JobState,
    LedgerChange,
    LedgerState, //
};
use roseridge_model::{
    JobId,
    JobOutcome,
    ResourceShape,
    TaskId,
    UnixMillis, //
};

use crate::samples;

/// The observed history of one job.
#[derive(Debug, Default)]
struct JobHistory {
    /// Whether the job may run at most once, by the rule at its acceptance.
    at_most_once: bool,
    class: String,
    releases: BTreeSet<u64>,
    cancelled: bool,
    outcome: Option<JobOutcome>,
    ended: Option<UnixMillis>,
}

/// The histories of all jobs.
#[derive(Debug, Default)]
pub(crate) struct HistoryOracle {
    jobs: BTreeMap<JobId, JobHistory>,
}

impl HistoryOracle {
    /// Records that a backend server started a task, and checks that it was released.
    pub(crate) fn record_start(&mut self, task: TaskId) {
        let history = &self.jobs[&task.job];
        let is_released = history.releases.contains(&task.attempt.0);
        assert!(is_released, "started without a release: {task}");
    }

    /// Checks the state after a command against all histories.
    pub(crate) fn observe(
        &mut self,
        change: &LedgerChange,
        outcome: &CommandOutcome,
        ledger: &LedgerState,
    ) {
        match (change, outcome) {
            (LedgerChange::Submit { spec, .. }, CommandOutcome::Accepted { job }) => {
                let rule = &ledger.templates[&samples::customer()].classes[&spec.class];
                let history = JobHistory {
                    at_most_once: !rule.idempotent,
                    class: spec.class.to_string(),
                    ..JobHistory::default()
                };
                self.jobs.entry(*job).or_insert(history);
            }
            (LedgerChange::Cancel { job, .. }, CommandOutcome::Applied) => {
                self.jobs.entry(*job).or_default().cancelled = true;
            }
            _ => {}
        }
        for (job, history) in &mut self.jobs {
            match ledger.jobs.get(job) {
                Some(record) => history.check(*job, record),
                None => {
                    let ended = history.ended.expect("only ended jobs are removed");
                    let kept_ms = ledger.now.since(ended).0;
                    assert!(
                        kept_ms >= samples::RETENTION_MS,
                        "job {job} was removed early"
                    );
                }
            }
        }
        check_worker_capacity(ledger);
    }
}

impl JobHistory {
    fn check(&mut self, job: JobId, record: &roseridge_ledger::JobRecord) {
        let previous = self.outcome.clone();
        match &record.state {
            JobState::Waiting => assert_eq!(previous, None, "job {job} left its final state"),
            JobState::Placed(gang) => {
                assert_eq!(previous, None, "job {job} left its final state");
                if gang.released.is_some() {
                    let all_held = gang.members.iter().all(|m| m.held);
                    assert!(all_held, "job {job} was released partially");
                    self.record_release(job, record.attempt.0);
                }
            }
            JobState::Ended { outcome, at, .. } => {
                self.ended = Some(*at);
                match &previous {
                    Some(JobOutcome::Done(_)) if *outcome == JobOutcome::AnswersDropped => {}
                    Some(previous) => {
                        assert_eq!(previous, outcome, "job {job} changed its outcome")
                    }
                    None => self.check_outcome(job, record.attempt.0, outcome),
                }
                self.outcome = Some(outcome.clone());
            }
        }
    }

    fn record_release(&mut self, job: JobId, attempt: u64) {
        let is_new = self.releases.insert(attempt);
        let is_repeated = self.at_most_once && self.releases.len() > 1;
        assert!(!is_repeated, "job {job} was released twice");
        assert!(
            !is_new || !self.cancelled,
            "job {job} was released after its cancellation"
        );
    }

    fn check_outcome(&self, job: JobId, attempt: u64, outcome: &JobOutcome) {
        let was_released = !self.releases.is_empty();
        match outcome {
            JobOutcome::NotRun(_) => assert!(!was_released, "job {job} did run"),
            JobOutcome::Done(answers) => {
                assert!(self.releases.contains(&attempt), "job {job} was not run");
                for (member, answer) in (0u16..).zip(answers) {
                    let attempt = roseridge_model::AttemptNumber(attempt);
                    let task = TaskId {
                        job,
                        attempt,
                        member,
                    };
                    assert_eq!(*answer, samples::answer(task), "the answer of another task");
                }
            }
            JobOutcome::Cancelled => assert!(
                self.cancelled && was_released,
                "job {job} was not cancelled after a start"
            ),
            JobOutcome::Unknown(_) => {
                let may_be_unknown = self.class == samples::CLASSES[0];
                assert!(
                    was_released && may_be_unknown,
                    "the outcome of job {job} is known"
                );
            }
            _ => assert!(was_released, "job {job} failed without a start"),
        }
    }
}

/// Checks that the tasks on each worker belong to placed members and fit its resources and slots.
fn check_worker_capacity(ledger: &LedgerState) {
    for (name, worker) in &ledger.workers {
        let mut used = ResourceShape::default();
        for task in &worker.tasks {
            let record = &ledger.jobs[&task.job];
            let JobState::Placed(gang) = &record.state else {
                panic!("{task} is on {name}, but its job is not placed");
            };
            let member = &gang.members[usize::from(task.member)];
            assert_eq!(record.attempt, task.attempt);
            assert!(member.worker == *name && member.outcome.is_none());
            used = used.plus(&record.spec.gang.member);
        }
        assert!(
            worker.shape.total.can_hold(&used),
            "{name} exceeds its resources"
        );
        assert!(worker.tasks.len() <= usize::from(worker.shape.slots));
    }
}
