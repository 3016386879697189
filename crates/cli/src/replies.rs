//! The fields of entries' replies that the commands print; unknown fields are ignored.

use roseridge_model::CustomerTemplate;
use serde::Deserialize;

/// A job, as an entry reports it.
#[derive(Debug, Deserialize)]
pub(crate) struct JobReply {
    pub(crate) job: u64,
    pub(crate) customer: String,
    pub(crate) key: String,
    pub(crate) class: String,
    pub(crate) state: String,
    pub(crate) accepted: u64,
    pub(crate) first_start: Option<u64>,
    pub(crate) ended: Option<u64>,
    pub(crate) attempts: u64,
    #[serde(default)]
    pub(crate) workers: Vec<String>,
    pub(crate) answers: Option<Vec<AnswerReply>>,
}

/// The answer of one member of a job's gang.
#[derive(Debug, Deserialize)]
pub(crate) struct AnswerReply {
    pub(crate) text: String,
}

/// All templates and the revision in force.
#[derive(Debug, Deserialize)]
pub(crate) struct TemplatesReply {
    pub(crate) revision: u64,
    pub(crate) templates: Vec<CustomerTemplate>,
}

/// The revision that a change created.
#[derive(Debug, Deserialize)]
pub(crate) struct RevisionReply {
    pub(crate) revision: u64,
}

/// A worker, as an entry reports it.
#[derive(Debug, Deserialize)]
pub(crate) struct WorkerReply {
    pub(crate) worker: String,
    pub(crate) shape: ShapeReply,
    pub(crate) live: bool,
    pub(crate) leaving: bool,
    pub(crate) drained: bool,
    pub(crate) tasks: Vec<serde_json::Value>,
    pub(crate) free_accelerators: u32,
}

/// The resources and the location of a worker.
#[derive(Debug, Deserialize)]
pub(crate) struct ShapeReply {
    pub(crate) domain: String,
    pub(crate) rack: String,
    pub(crate) total: ResourcesReply,
}

/// The total resources of a worker.
#[derive(Debug, Deserialize)]
pub(crate) struct ResourcesReply {
    pub(crate) accelerators: u32,
}

impl WorkerReply {
    /// Returns the state of the worker; the most severe one takes precedence.
    pub(crate) fn state(&self) -> &'static str {
        match (self.live, self.leaving, self.drained) {
            (false, ..) => "lost",
            (_, true, _) => "leaving",
            (_, _, true) => "drained",
            _ => "live",
        }
    }
}

/// The state of the control group, as the leader reports it.
#[derive(Debug, Deserialize)]
pub(crate) struct StatusReply {
    pub(crate) leader: u64,
    pub(crate) term: u64,
    pub(crate) commit: u64,
    pub(crate) revision: u64,
    pub(crate) replicas: Vec<ReplicaReply>,
    pub(crate) workers: Vec<(String, bool)>,
    pub(crate) waiting: u32,
    pub(crate) placed: u32,
}

/// A control replica, as the leader reports it.
#[derive(Debug, Deserialize)]
pub(crate) struct ReplicaReply {
    pub(crate) replica: u64,
    pub(crate) address: String,
    pub(crate) matched: u64,
}

/// A problem, as defined by RFC 9457.
#[derive(Debug, Deserialize)]
pub(crate) struct ProblemReply {
    #[serde(rename = "type")]
    pub(crate) kind: String,
    pub(crate) detail: String,
    pub(crate) ask_at: Option<String>,
}
