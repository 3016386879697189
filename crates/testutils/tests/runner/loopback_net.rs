//! Guards against a test that binds an address on which an earlier test still listens.
//!
//! A test drops its network while tasks or threads of its process still close their listeners on
//! it. If the network became free at once, the next test that reserved it would fail with "address
//! in use".

use roseridge_testutils::LoopbackNet;

#[test]
fn dropped_network_stays_reserved_until_the_process_ends() {
    let address = {
        let first = LoopbackNet::reserve();
        first.address(1, 0)
    };
    for _ in 0..8 {
        assert_ne!(LoopbackNet::reserve().address(1, 0), address);
    }
}
