//! Pure decisions on flows: what runs next and where, and what makes room for it.
//!
//! Nothing here does I/O or reads a clock. [`decide`] looks at a [`DispatchView`] and returns what to
//! stop and what to place; the state checks each decision again as it takes effect.

mod admission;
mod backend_health;
mod decide;
mod dispatch_view;
mod displacement;
mod evacuation;
mod flow_order;
mod flow_outlook;
mod guarantee;
mod placement;
mod progress_rate;
mod room_map;
mod run_times;
mod work_unit;

pub use admission::AdmissionDecision;
pub use admission::check_admission;
pub use decide::DispatchDecision;
pub use decide::decide;
pub use dispatch_view::ContactView;
pub use dispatch_view::DispatchLimits;
pub use dispatch_view::DispatchView;
pub use flow_order::OrderedFlow;
pub use flow_order::order_flows;
pub use progress_rate::ProgressRate;
pub use progress_rate::ProgressReading;
