//! The orders for an agent, and the texts of flows in them.

use std::time::{
    Duration,
    Instant, //
};

use roseridge_flow::{
    BackendProfile,
    RunCompletion,
    RunOutcome, //
};
use roseridge_model::{
    BackendId,
    DomainName,
    DurationMs,
    FlowId,
    FlowSpec,
    InstanceName,
    QueueKey,
    QueueRule,
    ServiceName,
    ServiceRule,
    SiteConfig,
    StepSpec,
    TaskShape, //
};
use roseridge_wire::{
    BackendReport,
    CallerAction,
    CallerRequest,
    ControlCall,
    ControlReply,
    FlowCall,
    FlowOrders,
    FlowReply,
    FlowReport, //
};

use crate::control_group::{
    ControlGroup,
    with_group, //
};

const HOST: &str = "host.example";
const PREFIX: &str = "/queue/";
/// The largest text that a body of 256 KiB can carry, roughly.
const LARGE_TEXT_BYTES: usize = 250_000;
/// The maximum time until orders arrive. It is long because the test machine may be busy.
const TIMEOUT: Duration = Duration::from_secs(20);

fn service() -> ServiceName {
    ServiceName::parse("service").expect("a valid name")
}

fn configuration() -> SiteConfig {
    SiteConfig {
        version: 1,
        text: String::new(),
        queues: vec![QueueRule {
            key: QueueKey {
                host: HOST.to_owned(),
                prefix: PREFIX.to_owned(),
            },
            service: service(),
            rank: 0,
            attempt_limit: 2,
            stretch_percent: 300,
            latency_target: DurationMs(600_000),
            answer_limit: DurationMs(3_000),
            open: true,
        }],
        services: vec![ServiceRule {
            name: service(),
            enforces_capacity: false,
        }],
        customers: Vec::new(),
    }
}

/// An agent of one backend server. It starts nothing; it only reports.
struct FakeAgent {
    sequence: u64,
    known_fence: u64,
    report: BackendReport,
}

impl FakeAgent {
    fn new() -> Self {
        let profile = BackendProfile {
            instance: InstanceName::parse("instance").expect("a valid name"),
            service: service(),
            domain: DomainName::parse("zone-a").expect("a valid name"),
            rack: None,
            labels: Vec::new(),
            shape: TaskShape {
                millicores: 64_000,
                memory_mib: 64_000,
                accelerators: 0,
            },
        };
        Self {
            sequence: 0,
            known_fence: 0,
            report: BackendReport {
                backend: BackendId::parse("backend").expect("a valid name"),
                profile: Some(profile),
                clock_ms: 1_000,
                draining: None,
                running: Vec::new(),
                listed_ago: DurationMs(0),
                ends: Vec::new(),
                unstarted: Vec::new(),
                known_orders: 0,
                known_ends: 0,
                texts: Vec::new(),
            },
        }
    }

    /// Sends a report and returns the orders.
    async fn report(&mut self, group: &ControlGroup) -> FlowOrders {
        self.sequence += 1;
        self.report.clock_ms += 50;
        let report = FlowReport {
            instance: InstanceName::parse("instance").expect("a valid name"),
            sequence: self.sequence,
            backend: Some(self.report.clone()),
            ended: Vec::new(),
            hold: DurationMs(50),
            known_fence: self.known_fence,
            known_group: 0,
        };
        let call = ControlCall::Flow(Box::new(FlowCall::Report(Box::new(report))));
        match group.call_until_ok(&call).await {
            ControlReply::Flow(FlowReply::Orders(orders)) => {
                self.known_fence = orders.fence;
                orders
            }
            other => panic!("{other:?}"),
        }
    }

    /// Reports the end of the first run in the orders as done, until one of two runs is left.
    async fn end_first_run(&mut self, group: &ControlGroup) -> FlowOrders {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let orders = self.report(group).await;
            match orders.runs.as_deref().unwrap_or_default() {
                [_] => return orders,
                // The runs may have been placed again since the last report.
                [first, _] => self.report.ends.push(RunCompletion {
                    number: self.report.ends.len() as u64 + 1,
                    run: first.run,
                    end: RunOutcome::Done,
                    saved: String::new(),
                }),
                _ => {}
            }
            assert!(Instant::now() < deadline, "{orders:?}");
        }
    }
}

async fn prepare(group: &ControlGroup, agent: &mut FakeAgent) {
    group.wait_until_ready().await;
    let call = ControlCall::Flow(Box::new(FlowCall::Configure(configuration())));
    group.call_until_ok(&call).await;
    agent.report(group).await;
}

async fn submit(group: &ControlGroup, flow: u64, step: StepSpec) {
    let spec = FlowSpec {
        text: "t".repeat(LARGE_TEXT_BYTES),
        steps: vec![step],
        repeat: None,
    };
    let request = CallerRequest {
        host: HOST.to_owned(),
        path: format!("{PREFIX}{}", FlowId(flow)),
        key: None,
        action: CallerAction::Submit(spec),
    };
    let call = ControlCall::Flow(Box::new(FlowCall::Caller(request)));
    let reply = group.call_until_ok(&call).await;
    assert_eq!(reply, ControlReply::Flow(FlowReply::Accepted));
}

fn small_step(count: u16, gang: bool) -> StepSpec {
    StepSpec {
        count,
        shape: TaskShape {
            millicores: 500,
            memory_mib: 100,
            accelerators: 0,
        },
        estimate: DurationMs(60_000),
        gang,
        ..StepSpec::default()
    }
}

/// Guards against a start that carries the digest kept of an ended flow in place of its text. A
/// restarted agent may still find a run of it in its orders.
#[test]
fn text_of_an_ended_flow_is_not_sent() {
    with_group(async |group| {
        let mut agent = FakeAgent::new();
        prepare(&group, &mut agent).await;
        submit(&group, 1, small_step(2, true)).await;
        let orders = agent.end_first_run(&group).await;
        assert!(!orders.runs.expect("orders")[0].stop);
        assert_eq!(orders.texts, Vec::new());
    });
}
