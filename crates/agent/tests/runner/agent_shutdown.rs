//! The stop of an agent that can reach no relay.

use std::time::Duration;

use compio::net::TcpListener;
use roseridge_agent::{
    AgentConfig,
    run_agent, //
};
use roseridge_fake::FakeBackend;
use roseridge_model::{
    DomainName,
    RackName,
    ResourceShape,
    WorkerName,
    WorkerShape, //
};
use roseridge_shutdown::stop_pair;
use roseridge_testutils::UnansweredAddress;

/// The agent's stop limit, which applies only to agents with tasks.
const STOP_LIMIT: Duration = Duration::from_secs(600);
/// The time after which the test fails; it allows for a busy machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(120);
/// The time that the backend server is given to announce itself to the agent.
const ANNOUNCE_TIME: Duration = Duration::from_secs(1);

fn shape() -> WorkerShape {
    WorkerShape {
        domain: DomainName::parse("domain-1").expect("a valid name"),
        rack: RackName::parse("rack-1").expect("a valid name"),
        total: ResourceShape {
            cores: 64,
            memory_mib: 130_000,
            accelerators: 8,
        },
        slots: 8,
        connections: 60,
    }
}

/// An agent without tasks must not wait for its stop limit, here ten minutes, when it can't deliver the
/// report that it leaves. This happens when every entry was stopped before the agent.
#[test]
fn agent_without_tasks_stops_when_no_relay_answers() {
    let run = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let unanswered_address = UnansweredAddress::reserve();
        let config = AgentConfig {
            worker: WorkerName::parse("worker-1").expect("a valid name"),
            cluster: "test".to_owned(),
            relays: vec![unanswered_address.address()],
            lease: Duration::from_secs(10),
            stop_limit: STOP_LIMIT,
        };
        let backend = FakeBackend::start(shape(), address).await;
        let _backend = backend.expect("a backend server");
        let (handle, stop) = stop_pair();
        let agent = compio::runtime::spawn(run_agent(config, listener, stop));
        compio::time::sleep(ANNOUNCE_TIME).await;
        handle.stop();
        let ended = compio::time::timeout(TEST_TIMEOUT, agent).await;
        let ended = ended
            .expect("the agent stops in time")
            .expect("without a panic");
        ended.expect("a stop without an error");
    };
    roseridge_wire::block_on(run).expect("an event loop");
}
