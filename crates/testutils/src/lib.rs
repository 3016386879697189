//! Small helpers shared by the tests.

mod loopback_net;
mod unanswered_address;

pub use loopback_net::LoopbackNet;
pub use unanswered_address::UnansweredAddress;

/// Makes one test of each named case: `cases! { check: name = argument, ... }`.
///
/// Each case calls the function with its argument.
#[macro_export]
macro_rules! cases {
    ($check:path: $($name:ident = $argument:expr),* $(,)?) => {
        $(
            #[test]
            fn $name() {
                $check($argument);
            }
        )*
    };
}
