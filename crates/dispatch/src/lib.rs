//! Pure scheduling decisions on flows: admission, order, placement, preemption and evacuation.
//!
//! Nothing here does I/O or reads a clock. [`decide()`] takes a [`DispatchView`] and returns the runs to
//! stop and the tasks to place. The replicated state validates each decision again when it is applied.

mod admission;
mod backend_capacity;
mod backend_health;
mod crash_suspects;
mod crash_trial;
mod customer_share;
mod decide;
mod dispatch_view;
mod domain_evacuation;
mod domain_return;
mod evacuation;
mod flow_forecast;
mod flow_order;
mod guarantee;
mod idle_placement;
mod placement;
mod placement_unit;
mod preemption;
mod progress_rate;
mod run_times;

pub use admission::AdmissionDecision;
pub use admission::check_admission;
pub use crash_suspects::CrashEvidence;
pub use crash_suspects::CrashVerdict;
pub use crash_suspects::crash_suspects;
pub use customer_share::CustomerShare;
pub use customer_share::customer_shares;
pub use decide::DispatchDecision;
pub use decide::decide;
pub use dispatch_view::ContactView;
pub use dispatch_view::DispatchLimits;
pub use dispatch_view::DispatchView;
pub use flow_order::OrderedFlow;
pub use flow_order::order_flows;
pub use progress_rate::ProgressRate;
pub use progress_rate::ProgressReading;
