//! One backend server, its agent and the leader in virtual time: the real run table and the real flow controller around
//! an in-memory backend server.

use std::collections::BTreeMap;

use futures::channel::oneshot::{
    self,
    Receiver, //
};
use roseridge_control::{
    FlowController,
    FlowTiming, //
};
use roseridge_flow::{
    BackendStatus,
    FlowChange,
    FlowPhase,
    FlowState,
    PlacementOrder,
    RunOutcome,
    TaskPhase, //
};
use roseridge_model::{
    DurationMs,
    FlowId,
    FlowSpec,
    QueueKey,
    QueueRule,
    RunKey,
    ServiceName,
    ServiceRule,
    SiteConfig,
    StepSpec,
    TaskKey,
    TaskShape,
    UnixMillis, //
};
use roseridge_runner::{
    RunAnswer,
    RunCall,
    RunTable,
    RunnerTiming, //
};
use roseridge_wire::{
    CallError,
    ControlReply,
    FlowReply,
    GroupView, //
};

use crate::fake_backend::{
    FakeBackend,
    instance,
    run,
    status_report, //
};

const STEP_MS: u64 = 50;
/// The interval of the backend server's reports on itself, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 500;
/// The time for which a restarted process is down, in milliseconds.
const DOWN_MS: u64 = 1_000;
/// The work of a task, in milliseconds.
const WORK_MS: u64 = 300;
/// The maximum time after which a call is carried out, in milliseconds.
const MAX_LATE_MS: u64 = 12_000;
/// The time after which every fault is over and every flow has to have ended, in milliseconds.
const SETTLE_MS: u64 = 14_000;

/// A kind of call that one fault concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallKind {
    /// A renewal that acknowledges completions.
    Ack,
    /// The start of a run.
    Start,
}

/// What happens to the next call of a kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallFault {
    /// It has no answer and is carried out late.
    Late,
    /// It is carried out, its answer is lost, and a copy of it is carried out late.
    Copied,
}

/// One event in the life of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LifeEvent {
    /// A flow with one task is submitted.
    Submit,
    /// The next call of a kind meets a fault.
    Fault(CallKind, CallFault),
    /// The late calls are carried out.
    CarryOut,
    /// The backend server restarts under its name.
    RestartServer,
    /// The agent restarts.
    RestartAgent,
    /// The machine of both restarts.
    RestartBoth,
    /// Another leader takes over.
    ChangeLeader,
    /// Nothing happens for some seconds.
    Wait,
}

/// A fact that the rules refer to, in the order in which it came about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LifeFact {
    Started(RunKey),
    Done { run: RunKey, is_noted: bool },
}

/// When late calls may be carried out at the earliest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LateCallRule {
    /// As soon as the backend server is up.
    AtOnce,
    /// Once a call of its own leader's orders has reached the incarnation.
    InUse,
}

/// A backend server, its agent and the leader.
pub(crate) struct ServerLife {
    late_rule: LateCallRule,
    flows: FlowState,
    index: u64,
    term: u64,
    controller: FlowController,
    table: RunTable,
    reply: Option<Receiver<Result<ControlReply, CallError>>>,
    pub(crate) backend: FakeBackend,
    lives: u64,
    sequence: u64,
    now_ms: u64,
    server_up_ms: u64,
    agent_up_ms: u64,
    flow_count: u64,
    faults: Vec<(CallKind, CallFault)>,
    /// The calls that are carried out late, with the time at which each was sent.
    late: Vec<(u64, RunCall)>,
    /// The time at which each run of the present incarnation began.
    begun: BTreeMap<RunKey, u64>,
    starts_seen: usize,
    facts: Vec<LifeFact>,
    /// The facts on runs of the present incarnation that are done and not noted yet.
    unnoted: Vec<usize>,
}

fn queue() -> QueueKey {
    QueueKey {
        host: "host.example".to_owned(),
        prefix: "/queue/".to_owned(),
    }
}

fn configuration() -> SiteConfig {
    let service = ServiceName::parse("service").expect("a valid name");
    SiteConfig {
        version: 1,
        text: String::new(),
        queues: vec![QueueRule {
            key: queue(),
            service: service.clone(),
            rank: 0,
            attempt_limit: 2,
            stretch_percent: 300,
            latency_target: DurationMs(600_000),
            answer_limit: DurationMs(3_000),
            open: true,
        }],
        services: vec![ServiceRule {
            name: service,
            enforces_capacity: false,
        }],
        customers: Vec::new(),
    }
}

fn new_table() -> RunTable {
    let list_wait = DurationMs(500);
    RunTable::new(instance(), RunnerTiming { list_wait })
}

impl ServerLife {
    /// Creates a backend server that has been in service for some time.
    pub(crate) fn new(late_rule: LateCallRule) -> Self {
        let flows = FlowState::default();
        let controller = FlowController::new(FlowTiming::default(), &flows, 0);
        let mut life = Self {
            late_rule,
            flows,
            index: 0,
            term: 1,
            controller,
            table: new_table(),
            reply: None,
            backend: FakeBackend::new("i-1@1"),
            lives: 1,
            sequence: 0,
            now_ms: 0,
            server_up_ms: 0,
            agent_up_ms: 0,
            flow_count: 0,
            faults: Vec::new(),
            late: Vec::new(),
            begun: BTreeMap::new(),
            starts_seen: 0,
            facts: Vec::new(),
            unnoted: Vec::new(),
        };
        life.apply(FlowChange::Configure(configuration()));
        life.advance(SETTLE_MS);
        life
    }

    fn apply(&mut self, change: FlowChange) {
        self.index += 1;
        let now = UnixMillis(self.now_ms);
        self.flows.apply(self.index, now, change);
    }

    /// Plays one event and some time after it.
    pub(crate) fn play(&mut self, event: LifeEvent) {
        let pause_ms = match event {
            LifeEvent::Wait => 4_000,
            _ => 600,
        };
        match event {
            LifeEvent::Submit => self.submit(1),
            LifeEvent::Fault(kind, fault) => self.faults.push((kind, fault)),
            LifeEvent::CarryOut => self.carry_out(),
            LifeEvent::RestartServer => self.restart_server(),
            LifeEvent::RestartAgent => self.restart_agent(),
            LifeEvent::RestartBoth => {
                self.restart_server();
                self.restart_agent();
            }
            LifeEvent::ChangeLeader => {
                self.term += 1;
                self.reply = None;
                let timing = FlowTiming::default();
                self.controller = FlowController::new(timing, &self.flows, self.now_ms);
            }
            LifeEvent::Wait => {}
        }
        self.advance(pause_ms);
    }

    /// Submits a flow with one step of a number of tasks.
    pub(crate) fn submit(&mut self, tasks: u16) {
        self.flow_count += 1;
        let step = StepSpec {
            count: tasks,
            shape: TaskShape {
                millicores: 100,
                ..TaskShape::default()
            },
            estimate: DurationMs(WORK_MS),
            ..StepSpec::default()
        };
        self.apply(FlowChange::Submit {
            flow: FlowId(self.flow_count),
            customer: None,
            queue: queue(),
            spec: FlowSpec {
                text: "text".to_owned(),
                steps: vec![step],
                repeat: None,
            },
        });
    }

    fn restart_server(&mut self) {
        self.lives += 1;
        self.server_up_ms = self.now_ms + DOWN_MS;
        self.backend = FakeBackend::new(&format!("i-1@{}", self.lives));
        self.begun.clear();
        self.unnoted.clear();
        self.starts_seen = 0;
    }

    fn restart_agent(&mut self) {
        self.agent_up_ms = self.now_ms + DOWN_MS;
        self.table = new_table();
        self.reply = None;
    }

    /// Returns whether the present incarnation has seen a call that no earlier one could have received.
    fn is_in_use(&self) -> bool {
        let is_announced = self.flows.backends.contains_key(&self.backend.incarnation);
        let own_fence = self.term + self.flows.fences.of_instance(&instance());
        is_announced && self.backend.fence >= own_fence
    }

    /// Carries out the late calls, if the backend server is up.
    pub(crate) fn carry_out(&mut self) {
        let deadline_ms = self.now_ms + MAX_LATE_MS;
        while self.late_rule == LateCallRule::InUse
            && !self.is_in_use()
            && self.now_ms < deadline_ms
        {
            self.advance(STEP_MS);
        }
        if self.now_ms < self.server_up_ms {
            return;
        }
        for (sent_ms, call) in std::mem::take(&mut self.late) {
            if self.now_ms <= sent_ms + MAX_LATE_MS {
                self.backend.answer(&call);
                self.record_facts();
            }
        }
    }

    pub(crate) fn advance(&mut self, elapsed_ms: u64) {
        for _ in 0..elapsed_ms / STEP_MS {
            self.now_ms += STEP_MS;
            if self.now_ms >= self.server_up_ms {
                self.run_server();
            }
            if self.now_ms >= self.agent_up_ms {
                self.run_agent();
            }
            self.run_leader();
        }
    }

    /// Lets the backend server work and report itself.
    fn run_server(&mut self) {
        self.backend.advance(STEP_MS);
        let is_finished = |run: &RunKey| {
            let begun_ms = self.begun.get(run);
            begun_ms.is_some_and(|begun_ms| self.now_ms >= begun_ms + WORK_MS)
        };
        let running = self.backend.running.keys().copied();
        let finished: Vec<_> = running.filter(is_finished).collect();
        for run in finished {
            self.backend.end(run, RunOutcome::Done);
            self.unnoted.push(self.facts.len());
            let is_noted = false;
            self.facts.push(LifeFact::Done { run, is_noted });
        }
        self.record_facts();
        let is_report_due = self.now_ms.is_multiple_of(REPORT_INTERVAL_MS);
        if is_report_due && self.now_ms >= self.agent_up_ms {
            self.sequence += 1;
            let name = self.backend.incarnation.as_str();
            self.table
                .apply_status_report(status_report(name, self.sequence));
        }
    }

    /// Records the runs that have begun, and the ends that were taken note of.
    fn record_facts(&mut self) {
        for run in &self.backend.starts[self.starts_seen..] {
            self.begun.insert(*run, self.now_ms);
            self.facts.push(LifeFact::Started(*run));
        }
        self.starts_seen = self.backend.starts.len();
        let (backend, facts) = (&self.backend, &mut self.facts);
        self.unnoted.retain(|index| {
            let LifeFact::Done { run, is_noted } = &mut facts[*index] else {
                return false;
            };
            *is_noted = backend.ended.values().all(|end| end.run != *run);
            !*is_noted
        });
    }

    fn run_agent(&mut self) {
        for _ in 0..10 {
            let calls = self.table.next_calls(self.now_ms);
            if calls.is_empty() {
                break;
            }
            for (number, call) in calls {
                let answer = self.deliver(&call);
                self.table.apply_answer(number, &call, answer, self.now_ms);
            }
        }
        if self.reply.is_none() || self.table.has_unreported_changes() {
            self.report();
        }
    }

    /// Delivers a call to the backend server, with the fault that it meets.
    fn deliver(&mut self, call: &RunCall) -> RunAnswer {
        if self.now_ms < self.server_up_ms {
            return RunAnswer::NoAnswer;
        }
        let kind = match call {
            RunCall::Renew { ends_seen, .. } if *ends_seen > 0 => Some(CallKind::Ack),
            RunCall::Start { .. } => Some(CallKind::Start),
            _ => None,
        };
        let fault = self.faults.iter().position(|(k, _)| Some(*k) == kind);
        let fault = fault.map(|position| self.faults.remove(position).1);
        if fault.is_some() {
            self.late.push((self.now_ms, call.clone()));
        }
        if fault == Some(CallFault::Late) {
            return RunAnswer::NoAnswer;
        }
        let answer = self.backend.answer(call);
        self.record_facts();
        match fault {
            Some(_) => RunAnswer::NoAnswer,
            None => answer,
        }
    }

    fn report(&mut self) {
        let (sender, receiver) = oneshot::channel();
        self.reply = Some(receiver);
        let report = self.table.report(DurationMs(500), self.now_ms);
        let changes = self.controller.handle_report(
            &self.flows,
            (report, DurationMs(0)),
            (UnixMillis(self.now_ms), self.now_ms),
            sender,
        );
        changes.into_iter().for_each(|change| self.apply(change));
    }

    /// Places waiting tasks, answers reports and declares losses.
    fn run_leader(&mut self) {
        let losses = self.controller.take_losses(&self.flows, self.now_ms);
        losses.into_iter().for_each(|loss| self.apply(loss));
        self.place();
        let (term, group) = (self.term, GroupView::default());
        self.controller
            .answer_reports(&self.flows, term, &group, self.now_ms);
        let reply = self.reply.as_mut().map(Receiver::try_recv);
        match reply {
            None | Some(Ok(None)) => return,
            Some(Ok(Some(Ok(ControlReply::Flow(FlowReply::Orders(orders)))))) => {
                self.table.apply_orders(orders);
            }
            Some(Ok(Some(Ok(ControlReply::Flow(FlowReply::OrdersOnTrial {
                orders,
                hidden_ends,
            }))))) => {
                let backend = orders.backend.as_ref();
                self.table.doubt_completions(backend, hidden_ends);
                self.table.apply_orders(orders);
            }
            Some(_) => {}
        }
        self.reply = None;
    }

    fn place(&mut self) {
        let backends = self.flows.backends.iter();
        let mut ready = backends.filter(|(_, record)| record.status == BackendStatus::Ready);
        let Some((backend, _)) = ready.next() else {
            return;
        };
        let waiting = self.flows.open_flows().flat_map(|(flow, record)| {
            let tasks = record.rounds[0].steps[0].tasks.iter().enumerate();
            let waiting = tasks.filter(|(_, task)| task.phase == TaskPhase::Waiting);
            waiting.map(move |(index, _)| TaskKey {
                index: index as u16,
                ..run(flow.0, 1).task
            })
        });
        let places: Vec<_> = waiting
            .map(|task| PlacementOrder {
                tasks: vec![(task, backend.clone())],
            })
            .collect();
        if !places.is_empty() {
            let stops = Vec::new();
            self.apply(FlowChange::Decide { stops, places });
        }
    }

    /// Lets all faults end, submits one more flow, and returns what went wrong.
    pub(crate) fn finish(&mut self) -> Vec<String> {
        self.faults.clear();
        self.carry_out();
        self.advance(SETTLE_MS);
        self.submit(1);
        self.advance(SETTLE_MS);
        let mut breaks = Vec::new();
        for (position, fact) in self.facts.iter().enumerate() {
            let LifeFact::Done { run, is_noted } = fact else {
                continue;
            };
            let later = self.facts[position..].iter();
            let starts = later.filter(
                |later| matches!(later, LifeFact::Started(start) if start.task == run.task),
            );
            let starts = starts.count();
            if *is_noted && starts > 0 {
                breaks.push(format!(
                    "{run} is done, and its task starts again {starts} times"
                ));
            }
        }
        let last = FlowId(self.flow_count);
        for (flow, record) in &self.flows.flows {
            let is_done = matches!(record.phase, FlowPhase::Done { .. });
            if record.phase == FlowPhase::Open || (*flow == last && !is_done) {
                breaks.push(format!("flow {flow} is {:?}", record.phase));
            }
        }
        breaks
    }
}
