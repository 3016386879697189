//! The replicated state machine of flows: their steps, the runs of their tasks, and the backend
//! servers that run them.
//!
//! [`FlowState::apply`] is deterministic and reads no clock: each change is applied with a time
//! that the leader has set. A committed placement assigns a task to a backend server. The task is
//! assigned again only after the end of that run, or the expiry of the backend server's lease, is
//! committed.

mod apply_backend;
mod apply_decision;
mod apply_report;
mod apply_request;
mod backend_record;
mod complete_run;
mod completion_doubts;
mod crash_history;
mod evacuation_set;
mod flow_change;
mod flow_record;
mod flow_state;
mod incarnation_fences;
mod run_time_history;
mod withdrawn_flows;

pub use backend_record::BackendProfile;
pub use backend_record::BackendRecord;
pub use backend_record::BackendStatus;
pub use backend_record::RunRecord;
pub use backend_record::RunResult;
pub use completion_doubts::CompletionDoubts;
pub use completion_doubts::LATE_CALL;
pub use crash_history::{
    CrashCounts,
    CrashHistory, //
};
pub use evacuation_set::EvacuationRecord;
pub use evacuation_set::EvacuationSet;
pub use evacuation_set::MAX_EVACUATIONS;
pub use flow_change::CrashSuspect;
pub use flow_change::FlowChange;
pub use flow_change::FlowOutcome;
pub use flow_change::FlowRefusal;
pub use flow_change::PlacementOrder;
pub use flow_change::RunCompletion;
pub use flow_change::RunOutcome;
pub use flow_change::StopCause;
pub use flow_change::StopOrder;
pub use flow_change::UnstartedRun;
pub use flow_record::FlowPhase;
pub use flow_record::FlowRecord;
pub use flow_record::RoundRecord;
pub use flow_record::StepRecord;
pub use flow_record::TaskPhase;
pub use flow_record::TaskRecord;
pub use flow_state::FlowState;
pub use incarnation_fences::IncarnationFences;
pub use run_time_history::RunTimeHistory;
pub use run_time_history::RunTimeSample;
pub use withdrawn_flows::WithdrawnFlows;
