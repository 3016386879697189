//! The orders for an agent, and the texts of flows in them.

use std::{
    collections::BTreeMap,
    time::{
        Duration,
        Instant, //
    },
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
    with_group,
    with_leases, //
};

const HOST: &str = "host.example";
const PREFIX: &str = "/queue/";
/// The largest text that a body of 256 KiB can carry, roughly.
const LARGE_TEXT_BYTES: usize = 250_000;
/// The maximum size of the texts in one reply.
const MAX_TEXTS_BYTES: usize = 1_048_576;
/// The number of flows whose texts exceed that, and stay below the limit of the state's size.
const FLOW_COUNT: u64 = 7;
/// The maximum time until orders arrive. It is long because the test machine may be busy.
const TIMEOUT: Duration = Duration::from_secs(20);

fn service() -> ServiceName {
    ServiceName::parse("service").expect("a valid name")
}

fn backend(text: &str) -> BackendId {
    BackendId::parse(text).expect("a valid name")
}

fn has_runs(orders: &FlowOrders) -> bool {
    orders.runs.as_ref().is_some_and(|runs| !runs.is_empty())
}

pub(crate) fn configuration() -> SiteConfig {
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
    ended: Vec<BackendId>,
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
            ended: Vec::new(),
            report: BackendReport {
                backend: backend("backend@2"),
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
            ended: self.ended.clone(),
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

    /// Reports until the orders fulfil a condition.
    async fn report_until(&mut self, group: &ControlGroup, holds: impl Fn(&FlowOrders) -> bool) {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let orders = self.report(group).await;
            if holds(&orders) {
                return;
            }
            assert!(Instant::now() < deadline, "{orders:?}");
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

/// Returns a caller's request about a flow.
pub(crate) fn caller_request(flow: u64, action: CallerAction) -> CallerRequest {
    CallerRequest {
        host: HOST.to_owned(),
        path: format!("{PREFIX}{}", FlowId(flow)),
        key: None,
        action,
    }
}

pub(crate) async fn submit(group: &ControlGroup, flow: u64, step: StepSpec) {
    let spec = FlowSpec {
        text: "t".repeat(LARGE_TEXT_BYTES),
        steps: vec![step],
        repeat: None,
    };
    let request = caller_request(flow, CallerAction::Submit(spec));
    let call = ControlCall::Flow(Box::new(FlowCall::Caller(request)));
    let reply = group.call_until_ok(&call).await;
    assert_eq!(reply, ControlReply::Flow(FlowReply::Accepted));
}

pub(crate) fn small_step(count: u16, gang: bool) -> StepSpec {
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

/// The number of flows whose texts together exceed the maximum frame.
const LARGE_FLOWS: u64 = 40;

/// Guards against an agent that never receives its orders, because the texts of all its flows don't fit
/// into one reply; a restarted agent holds none of them.
#[test]
fn orders_with_many_large_texts_arrive() {
    with_group(async |group| {
        let mut agent = FakeAgent::new();
        prepare(&group, &mut agent).await;
        for flow in 1..=LARGE_FLOWS {
            submit(&group, flow, small_step(1, false)).await;
        }
        let deadline = Instant::now() + TIMEOUT;
        let mut received = 0;
        while received < LARGE_FLOWS as usize {
            assert!(Instant::now() < deadline, "{received} texts arrived");
            let orders = compio::time::timeout(TIMEOUT, agent.report(&group)).await;
            let orders = orders.unwrap_or_else(|_| panic!("{received} texts arrived"));
            let texts = orders.texts.iter().map(|(flow, _)| *flow);
            agent.report.texts.extend(texts);
            agent.report.texts.sort_unstable();
            agent.report.texts.dedup();
            received = agent.report.texts.len();
        }
    });
}

/// Guards against orders that exceed the maximum size of a message. Their agent would never get any.
#[test]
fn texts_of_many_flows_arrive_in_several_replies() {
    with_group(async |group| {
        let mut agent = FakeAgent::new();
        prepare(&group, &mut agent).await;
        for flow in 0..FLOW_COUNT {
            submit(&group, flow, small_step(1, false)).await;
        }
        let deadline = Instant::now() + TIMEOUT;
        let mut texts = BTreeMap::new();
        loop {
            let orders = agent.report(&group).await;
            let bytes: usize = orders.texts.iter().map(|(_, text)| text.len()).sum();
            assert!(bytes <= MAX_TEXTS_BYTES, "{bytes} bytes");
            texts.extend(orders.texts);
            agent.report.texts = texts.keys().copied().collect();
            let is_complete = orders.runs.is_some_and(|runs| {
                runs.iter()
                    .all(|order| texts.contains_key(&order.run.task.flow))
            });
            if orders.index > 0 && is_complete && texts.len() as u64 == FLOW_COUNT {
                return;
            }
            agent.report.known_orders = orders.index;
            assert!(Instant::now() < deadline, "{} texts", texts.len());
        }
    });
}

/// The duration of leases in the test of an agent without contact, in milliseconds.
const SHORT_LEASE_MS: u64 = 500;
/// The age of a list that is older than any contact may be.
const STALE_LIST: DurationMs = DurationMs(5_000);
/// The number of reports after a loss in which the backend server must not return.
const REPORTS_AFTER_LOSS: usize = 10;

/// Guards against a backend server that keeps its tasks and gets further ones after it has been lost for good,
/// because its agent still reports it (`review/1`).
#[test]
fn backend_server_that_its_agent_cannot_reach_is_lost() {
    with_leases(SHORT_LEASE_MS, async |group| {
        let mut agent = FakeAgent::new();
        prepare(&group, &mut agent).await;
        submit(&group, 1, small_step(1, false)).await;
        agent.report_until(&group, has_runs).await;
        agent.report.listed_ago = STALE_LIST;
        agent
            .report_until(&group, |orders| orders.wants_profile)
            .await;
        for _ in 0..REPORTS_AFTER_LOSS {
            let orders = agent.report(&group).await;
            assert_eq!((orders.lease_until_ms, orders.runs), (None, None));
        }
    });
}

/// Guards against a backend server that is lost again and again when it returns within a second of its loss.
#[test]
fn backend_server_that_returns_right_after_its_loss_gets_leases_again() {
    with_leases(SHORT_LEASE_MS, async |group| {
        let mut agent = FakeAgent::new();
        prepare(&group, &mut agent).await;
        let has_lease = |orders: &FlowOrders| orders.lease_until_ms.is_some();
        agent.report_until(&group, has_lease).await;
        agent.report.listed_ago = STALE_LIST;
        let is_lost = |orders: &FlowOrders| orders.wants_profile;
        agent.report_until(&group, is_lost).await;
        agent.report.listed_ago = DurationMs(0);
        agent.report_until(&group, has_lease).await;
    });
}

/// Guards against a backend server that gets no work any more although the reason has passed for which its agent
/// reported it as draining (`review/5`), and against work after a restart of the agent, which doesn't know the reason.
#[test]
fn backend_server_that_only_waited_gets_work_again() {
    with_group(async |group| {
        let mut agent = FakeAgent::new();
        agent.report.draining = Some(DurationMs(0));
        prepare(&group, &mut agent).await;
        let has_lease = |orders: &FlowOrders| orders.lease_until_ms.is_some();
        agent.report_until(&group, has_lease).await;
        submit(&group, 1, small_step(1, false)).await;
        agent.report.draining = None;
        for _ in 0..REPORTS_AFTER_LOSS {
            assert!(!has_runs(&agent.report(&group).await));
        }
        agent.ended = vec![backend("backend@1")];
        agent.report_until(&group, has_runs).await;
    });
}
