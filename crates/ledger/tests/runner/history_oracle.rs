//! A simple oracle of a request's legal histories.

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

/// What the oracle remembers of one job.
#[derive(Debug, Default)]
struct JobHistory {
    /// Whether the job was accepted as one that runs at most once.
    once: bool,
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
    /// Notes that a backend server started a task.
    pub(crate) fn started(&mut self, task: TaskId) {
        let history = &self.jobs[&task.job];
        let is_released = history.releases.contains(&task.attempt.0);
        assert!(is_released, "started without a release: {task}");
    }

    /// Checks the state after a command against every history.
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
                    once: !rule.idempotent,
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
                    let ended = history.ended.expect("only what has ended is forgotten");
                    let kept = ledger.now.since(ended).0;
                    assert!(kept >= samples::RETENTION_MS, "job {job} vanished");
                }
            }
        }
        check_places(ledger);
    }
}

impl JobHistory {
    fn check(&mut self, job: JobId, record: &roseridge_ledger::JobRecord) {
        let known = self.outcome.clone();
        match &record.state {
            JobState::Waiting => assert_eq!(known, None, "job {job} came back"),
            JobState::Placed(gang) => {
                assert_eq!(known, None, "job {job} came back");
                if gang.released.is_some() {
                    let all_held = gang.members.iter().all(|m| m.held);
                    assert!(all_held, "job {job} was released in part");
                    self.release(job, record.attempt.0);
                }
            }
            JobState::Ended { outcome, at, .. } => {
                self.ended = Some(*at);
                match &known {
                    Some(JobOutcome::Done(_)) if *outcome == JobOutcome::AnswersDropped => {}
                    Some(known) => assert_eq!(known, outcome, "job {job} changed its end"),
                    None => self.check_end(job, record.attempt.0, outcome),
                }
                self.outcome = Some(outcome.clone());
            }
        }
    }

    fn release(&mut self, job: JobId, attempt: u64) {
        let is_new = self.releases.insert(attempt);
        let again = self.once && self.releases.len() > 1;
        assert!(!again, "job {job} was released again");
        assert!(!is_new || !self.cancelled, "job {job} ran after a cancel");
    }

    fn check_end(&self, job: JobId, attempt: u64, outcome: &JobOutcome) {
        let ran = !self.releases.is_empty();
        match outcome {
            JobOutcome::NotRun(_) => assert!(!ran, "job {job} did run"),
            JobOutcome::Done(answers) => {
                assert!(self.releases.contains(&attempt), "job {job} was not run");
                for (member, answer) in (0u16..).zip(answers) {
                    let attempt = roseridge_model::AttemptNumber(attempt);
                    let task = TaskId {
                        job,
                        attempt,
                        member,
                    };
                    assert_eq!(*answer, samples::answer(task), "a crossed answer");
                }
            }
            JobOutcome::Cancelled => assert!(self.cancelled && ran, "job {job} not cancelled"),
            JobOutcome::Unknown(_) => {
                let may_be_unknown = self.class == samples::CLASSES[0];
                assert!(ran && may_be_unknown, "job {job} is known");
            }
            _ => assert!(ran, "job {job} failed without a start"),
        }
    }
}

/// Checks that no worker holds more than it has, nor two jobs in one place.
fn check_places(ledger: &LedgerState) {
    for (name, worker) in &ledger.workers {
        let mut used = ResourceShape::default();
        for task in &worker.tasks {
            let record = &ledger.jobs[&task.job];
            let JobState::Placed(gang) = &record.state else {
                panic!("{task} holds a place on {name} without a gang");
            };
            let member = &gang.members[usize::from(task.member)];
            assert_eq!(record.attempt, task.attempt);
            assert!(member.worker == *name && member.outcome.is_none());
            used = used.plus(&record.spec.gang.member);
        }
        assert!(
            worker.shape.total.can_hold(&used),
            "{name} is over its room"
        );
        assert!(worker.tasks.len() <= usize::from(worker.shape.slots));
    }
}
