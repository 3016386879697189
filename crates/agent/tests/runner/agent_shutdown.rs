//! A stop while no relay can be reached.

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

/// How long the agent may wait for tasks; it has none.
const STOP_LIMIT: Duration = Duration::from_secs(600);
/// The time after which the test gives up; a busy machine may take long.
const GIVE_UP: Duration = Duration::from_secs(120);
/// The time in which the backend server announces itself.
const SETTLE: Duration = Duration::from_secs(1);

fn shape() -> WorkerShape {
    WorkerShape {
        domain: DomainName::parse("domain-1").expect("a name"),
        rack: RackName::parse("rack-1").expect("a name"),
        total: ResourceShape {
            cores: 64,
            memory_mib: 130_000,
            accelerators: 8,
        },
        slots: 8,
        connections: 60,
    }
}

/// An agent without tasks waited its whole stop limit of ten minutes for a leader to hear that it
/// leaves, when every entry had been stopped before it.
#[test]
fn agent_without_tasks_ends_when_nobody_hears_it() {
    let run = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let nobody = UnansweredAddress::take();
        let config = AgentConfig {
            worker: WorkerName::parse("worker-1").expect("a name"),
            cluster: "test".to_owned(),
            relays: vec![nobody.address()],
            lease: Duration::from_secs(10),
            stop_limit: STOP_LIMIT,
        };
        let backend = FakeBackend::start(shape(), address).await;
        let _backend = backend.expect("a backend server");
        let (handle, stop) = stop_pair();
        let agent = compio::runtime::spawn(run_agent(config, listener, stop));
        compio::time::sleep(SETTLE).await;
        handle.stop();
        let ended = compio::time::timeout(GIVE_UP, agent).await;
        let ended = ended.expect("the agent ends").expect("without a panic");
        ended.expect("in order");
    };
    roseridge_wire::block_on(run).expect("an event loop");
}
