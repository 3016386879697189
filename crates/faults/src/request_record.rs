//! Requests of callers, and the replies that each caller received.

use roseridge_fake::FakePayload;
use roseridge_model::{
    AdjacencyRule,
    ClassName,
    GangShape,
    JobSpec,
    ResourceShape, //
};
use serde_json::Value;

use crate::HttpReply;

/// A job submission by a caller.
///
/// The job's answer is the request's idempotency key, so that an answer to another request is
/// detected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequest {
    /// The customer that submits the request.
    pub customer: &'static str,
    /// The job class.
    pub class: &'static str,
    /// The idempotency key.
    pub key: String,
    /// The number of members of the gang.
    pub members: u16,
    /// The number of accelerators of each member.
    pub accelerators: u32,
    /// The run time of each member, in milliseconds.
    pub run_ms: u64,
    /// Whether the tasks fail.
    pub fails: bool,
    /// The rule for placing the members close to each other.
    pub adjacency: AdjacencyRule,
}

impl CallerRequest {
    /// Creates a request for one member with one accelerator that runs for 150 milliseconds.
    pub fn new(customer: &'static str, class: &'static str, key: impl Into<String>) -> Self {
        Self {
            customer,
            class,
            key: key.into(),
            members: 1,
            accelerators: 1,
            run_ms: 150,
            fails: false,
            adjacency: AdjacencyRule::Any,
        }
    }

    /// Requires that all members are placed in one rack.
    pub fn in_rack(self) -> Self {
        Self {
            adjacency: AdjacencyRule::Rack,
            ..self
        }
    }

    /// Sets the number of members and the accelerators of each.
    pub fn gang(self, members: u16, accelerators: u32) -> Self {
        Self {
            members,
            accelerators,
            ..self
        }
    }

    /// Sets the run time of each member in milliseconds.
    pub fn running(self, run_ms: u64) -> Self {
        Self { run_ms, ..self }
    }

    /// Returns whether the request's class is not idempotent, so that it may run at most once.
    pub fn runs_at_most_once(&self) -> bool {
        matches!(self.class, "tug-assignment" | "payment-file")
    }

    /// Returns the JSON body of the submission.
    pub(crate) fn body(&self) -> String {
        let payload = FakePayload {
            run_ms: self.run_ms,
            answer: self.key.clone(),
            fail: self.fails.then(|| "asked to fail".to_owned()),
        };
        let spec = JobSpec {
            class: ClassName::parse(self.class).expect("the class is valid"),
            gang: GangShape {
                members: self.members,
                member: ResourceShape {
                    cores: 4,
                    memory_mib: 4_096,
                    accelerators: self.accelerators,
                },
                adjacency: self.adjacency,
            },
            declared_run_ms: None,
            payload: payload.to_text(),
        };
        serde_json::to_string(&spec).expect("the job can be serialized")
    }
}

/// The outcome of a request as its caller knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// There is no final outcome yet.
    Open,
    /// The job completed and its answer was received.
    Done,
    /// The request was refused or cancelled and did not run.
    NotRun,
    /// The job ran and failed.
    Failed,
    /// The job was cancelled after it had started.
    Cancelled,
    /// Whether the job ran to completion can't be determined.
    Unknown,
}

/// A request and all replies that its caller received.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// The request.
    pub request: CallerRequest,
    /// The complete replies, in order.
    pub replies: Vec<HttpReply>,
    /// The number of submissions whose reply was lost or contained no outcome.
    pub sends_in_doubt: u32,
    /// The outcome so far.
    pub outcome: RequestOutcome,
}

impl RequestRecord {
    /// Creates the record of a request that has not been sent yet.
    pub fn new(request: CallerRequest) -> Self {
        Self {
            request,
            replies: Vec::new(),
            sends_in_doubt: 0,
            outcome: RequestOutcome::Open,
        }
    }

    /// Records the reply to a submission, or `None` if it was lost, and updates the outcome.
    pub fn record_reply(&mut self, reply: Option<HttpReply>) {
        let Some(reply) = reply else {
            self.sends_in_doubt += 1;
            return;
        };
        let kind = reply.body["type"].as_str().unwrap_or_default().to_owned();
        self.outcome = match reply.status {
            200 => RequestOutcome::Done,
            _ if kind.ends_with("/not-run") => RequestOutcome::NotRun,
            _ if reply.is_not_run() && self.sends_in_doubt == 0 => RequestOutcome::NotRun,
            _ if kind.ends_with("/job-failed") => RequestOutcome::Failed,
            _ if kind.ends_with("/cancelled") => RequestOutcome::Cancelled,
            _ => {
                self.sends_in_doubt += u32::from(!reply.is_not_run());
                RequestOutcome::Open
            }
        };
        self.replies.push(reply);
    }

    /// Returns the number of the request's job if a reply contained it.
    pub fn job(&self) -> Option<u64> {
        self.replies.iter().find_map(|r| r.body["job"].as_u64())
    }

    /// Returns whether every answer received is the complete answer to this request.
    pub fn has_complete_answers(&self) -> bool {
        let done_replies = self.replies.iter().filter(|r| r.status == 200);
        let mut checks = done_replies.map(|reply| self.is_complete(&reply.body["answers"]));
        checks.all(|is_complete| is_complete)
    }

    fn is_complete(&self, answers: &Value) -> bool {
        let Some(answers) = answers.as_array() else {
            return false;
        };
        let own = answers
            .iter()
            .filter(|a| a["text"] == self.request.key.as_str());
        own.count() == usize::from(self.request.members)
            && answers.len() == usize::from(self.request.members)
    }
}
