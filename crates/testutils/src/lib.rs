//! Test helpers that several crates share.

mod limited_disk;
mod loopback_net;
mod unanswered_address;

pub use limited_disk::LimitedDisk;
pub use limited_disk::folder_bytes;
pub use loopback_net::LoopbackNet;
pub use unanswered_address::UnansweredAddress;

/// Defines one test for each named case: `cases! { check: name = argument, ... }`.
///
/// Each test calls the function `check` with the argument of its case.
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
