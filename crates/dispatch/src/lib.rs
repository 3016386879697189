//! Pure scheduling decisions on flows: admission, order, placement, preemption and evacuation.
//!
//! Nothing here does I/O or reads a clock. [`decide()`] takes a [`DispatchView`] and returns the runs to
//! stop and the tasks to place. The replicated state validates each decision again when it is applied.

mod admission;
mod arrival_forecast;
mod backend_capacity;
mod backend_health;
mod capacity_timeline;
mod decide;
mod dispatch_view;
mod evacuation;
mod flow_forecast;
mod flow_order;
mod guarantee;
mod placement;
mod placement_unit;
mod preemption;
mod progress_rate;
mod return_list;
mod run_times;
mod service_plan;

pub use admission::AdmissionDecision;
pub use admission::PlanInputs;
pub use admission::check_admission;
pub use admission::check_admission_behind;
pub use decide::DispatchDecision;
pub use decide::decide;
pub use dispatch_view::ContactView;
pub use dispatch_view::DispatchLimits;
pub use dispatch_view::DispatchView;
pub use flow_order::OrderedFlow;
pub use flow_order::order_flows;
pub use progress_rate::ProgressRate;
pub use progress_rate::ProgressReading;
pub use return_list::RefusedFlow;
pub use return_list::ReturnList;
