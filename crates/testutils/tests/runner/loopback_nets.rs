//! Guards against a test that binds an address on which an earlier test still listens.
//!
//! A test drops its network while tasks or threads of the same process still close their listeners on
//! it. When the network was free at once, the next test that took it failed with "address in use".

use roseridge_testutils::LoopbackNet;

#[test]
fn dropped_network_is_not_taken_again_by_its_process() {
    let address = {
        let first = LoopbackNet::reserve();
        first.address(1, 0)
    };
    for _ in 0..8 {
        assert_ne!(LoopbackNet::reserve().address(1, 0), address);
    }
}
