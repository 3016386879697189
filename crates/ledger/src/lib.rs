//! The replicated state machine: templates, requests, jobs, gangs and workers.
//!
//! [`LedgerState::apply`] is deterministic: every replica that applies the same commands in the
//! same order has the same state. It reads no clock; each command carries the leader's time.

mod apply_drain;
mod apply_job;
mod apply_template;
mod apply_worker;
mod cluster_view;
mod command;
mod customer_counters;
mod expire;
mod finalize;
mod job_record;
mod ledger_state;
mod orders;
mod policy_state;
mod template_effect;

pub use apply_drain::DrainChange;
pub use apply_drain::DrainRecord;
pub use apply_template::MAX_REMEMBERED_CHANGES;
pub use command::CommandOutcome;
pub use command::LedgerChange;
pub use command::LedgerCommand;
pub use command::RefusalReason;
pub use command::TemplateChange;
pub use customer_counters::CustomerCounters;
pub use customer_counters::MAX_KEPT_ANSWER_BYTES;
pub use customer_counters::MAX_KEPT_JOBS;
pub use customer_counters::MAX_OPEN_PAYLOAD_BYTES;
pub use job_record::GangRecord;
pub use job_record::HOLD_TIMEOUT;
pub use job_record::JobRecord;
pub use job_record::JobState;
pub use job_record::MemberRecord;
pub use job_record::SpecDigest;
pub use job_record::StopReason;
pub use ledger_state::LedgerState;
pub use ledger_state::WorkerRecord;
pub use policy_state::PolicyState;
pub use template_effect::TemplateEffect;
