//! Scheduling decisions as pure functions of the cluster state and the time.
//!
//! [`decide`] takes a [`ClusterView`] and returns [`PolicyDecision`]s. It reads no clock, does no
//! I/O and returns the same decisions for the same view. State that must persist between scheduling
//! passes is in a [`PolicyMemory`], which the caller stores.
//!
//! ```
//! use std::collections::BTreeMap;
//!
//! use roseridge_model::{
//!     CustomerName, CustomerTemplate, DomainName, JobId, RackName, ResourceShape, UnixMillis, WorkerName,
//!     WorkerShape,
//! };
//! use roseridge_policy::{ClusterView, PolicyDecision, PolicyMemory, WaitingJob, WorkerView, decide};
//!
//! let member = ResourceShape { cores: 4, memory_mib: 1_024, accelerators: 1 };
//! let template: CustomerTemplate = serde_json::from_value(serde_json::json!({
//!     "customer": "tuglink",
//!     "guaranteed": [{ "members": 2, "member": member }],
//!     "degrade_rank": 1,
//!     "queue_limit": 10,
//!     "rate_per_second": 5,
//!     "classes": { "replan": {
//!         "urgency": "urgent", "start_within_ms": 3_500, "expected_run_ms": 2_000,
//!         "checkpointable": false, "idempotent": true, "attempt_limit": 3,
//!         "answer_retention_ms": 60_000, "yield_order": 1,
//!     } },
//! }))?;
//! let customer = template.customer.clone();
//! let templates = BTreeMap::from([(customer.clone(), template)]);
//! let (class, rule) = templates[&customer].classes.iter().next().unwrap();
//!
//! let name = WorkerName::parse("worker-1")?;
//! let shape = WorkerShape {
//!     domain: DomainName::parse("domain-1")?,
//!     rack: RackName::parse("rack-1")?,
//!     total: ResourceShape { cores: 64, memory_mib: 130_000, accelerators: 8 },
//!     slots: 8,
//!     connections: 60,
//! };
//! let gang = roseridge_model::GangShape { members: 1, member, adjacency: Default::default() };
//! let mut memory = PolicyMemory::default();
//! let decisions = decide(&ClusterView {
//!     now: UnixMillis(1_000),
//!     templates: &templates,
//!     memory: &memory,
//!     workers: vec![WorkerView::empty(&name, &shape)],
//!     waiting: vec![WaitingJob {
//!         job: JobId(1),
//!         customer: &customer,
//!         class,
//!         rule,
//!         gang: &gang,
//!         accepted: UnixMillis(900),
//!         declared_run: None,
//!     }],
//!     placed: Vec::new(),
//! });
//! for decision in decisions {
//!     match decision {
//!         PolicyDecision::Plan(plan) => memory.plan = plan,
//!         PolicyDecision::Place { job, workers } => assert_eq!((job, workers), (JobId(1), vec![name.clone()])),
//!         PolicyDecision::Preempt { .. } => unreachable!("nothing runs"),
//!     }
//! }
//! assert!(memory.plan.degraded.is_empty());
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod admission;
mod cluster_capacity;
mod cluster_view;
mod decide;
mod guarantee;
mod placement;
mod policy_memory;
mod policy_plan;
mod preemption;
mod queue_order;
mod reservation;
mod resource_vector;
mod run_time_ratio;
mod scheduling_pass;
mod token_bucket;
mod wait_reason;
mod worker_health;

pub use admission::UnsatisfiableGuarantee;
pub use admission::can_ever_start;
pub use admission::check_guarantees;
pub use admission::fits_when_empty;
pub use cluster_view::ClusterView;
pub use cluster_view::PlacedGang;
pub use cluster_view::WaitingJob;
pub use cluster_view::WorkerView;
pub use decide::PolicyDecision;
pub use decide::decide;
pub use decide::explain;
pub use guarantee::PlanViolation;
pub use guarantee::check_reclaim_plan;
pub use guarantee::plan_guarantees;
pub use policy_memory::FAULTY_JOB_WORKERS;
pub use policy_memory::INITIAL_RETRY_BACKOFF;
pub use policy_memory::JobHistory;
pub use policy_memory::PolicyMemory;
pub use policy_plan::DegradedGuarantee;
pub use policy_plan::GangReservation;
pub use policy_plan::GuaranteePlacement;
pub use policy_plan::PolicyPlan;
pub use run_time_ratio::RunTimeRatio;
pub use token_bucket::TokenBucket;
pub use wait_reason::JobExplanation;
pub use wait_reason::WaitReason;
pub use worker_health::HealthState;
pub use worker_health::QUARANTINE_FAILED_JOBS;
pub use worker_health::WorkerHealth;
