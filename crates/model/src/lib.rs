//! Domain types with units, shared by all components of the scheduler.
//!
//! This crate performs no I/O and reads no clock.

pub mod answer;
pub mod backend_api;
pub mod backend_id;
pub mod customer_template;
pub mod flow_id;
pub mod flow_spec;
pub mod gang_shape;
pub mod job_spec;
pub mod names;
pub mod site_config;
pub mod task_order;
pub mod time;
pub mod worker_shape;

use rustc_hash::FxBuildHasher;

/// A hash map with a fast, non-cryptographic hasher.
#[expect(clippy::disallowed_types, reason = "This is the alias itself.")]
pub type FastMap<K, V> = std::collections::HashMap<K, V, FxBuildHasher>;

/// A hash set with a fast, non-cryptographic hasher.
#[expect(clippy::disallowed_types, reason = "This is the alias itself.")]
pub type FastSet<T> = std::collections::HashSet<T, FxBuildHasher>;

pub use answer::AnswerBody;
pub use answer::JobOutcome;
pub use answer::TaskOutcome;
pub use backend_id::BackendId;
pub use customer_template::ClassRule;
pub use customer_template::ClassUrgency;
pub use customer_template::CustomerTemplate;
pub use customer_template::LossReserve;
pub use flow_id::FlowId;
pub use flow_id::RunKey;
pub use flow_id::TaskKey;
pub use flow_spec::FlowSpec;
pub use flow_spec::MAX_FLOW_TASKS;
pub use flow_spec::RepeatRule;
pub use flow_spec::SpecError;
pub use flow_spec::StepSpec;
pub use flow_spec::TaskShape;
pub use gang_shape::AdjacencyRule;
pub use gang_shape::GangShape;
pub use gang_shape::ResourceShape;
pub use job_spec::JobSpec;
pub use names::AttemptNumber;
pub use names::ClassName;
pub use names::ConfigRevision;
pub use names::CustomerName;
pub use names::DomainName;
pub use names::IncarnationId;
pub use names::InstanceName;
pub use names::JobId;
pub use names::RackName;
pub use names::RequestKey;
pub use names::ServiceName;
pub use names::TaskId;
pub use names::WorkerName;
pub use site_config::CustomerRule;
pub use site_config::QueueKey;
pub use site_config::QueueRule;
pub use site_config::ServiceRule;
pub use site_config::SiteConfig;
pub use site_config::SiteConfigError;
pub use task_order::DesiredState;
pub use task_order::TaskOrder;
pub use task_order::TaskPhase;
pub use task_order::TaskStatus;
pub use time::DurationMs;
pub use time::UnixMillis;
pub use worker_shape::WorkerShape;
