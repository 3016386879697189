//! A test fixture: a state with one queue and a few backend servers, and functions that change it.

use roseridge_flow::{
    BackendProfile,
    FlowChange,
    FlowOutcome,
    FlowPhase,
    FlowState,
    PlacementOrder,
    RunCompletion,
    RunOutcome,
    StopCause,
    StopOrder,
    TaskPhase, //
};
use roseridge_model::{
    BackendId,
    CustomerName,
    CustomerRule,
    DomainName,
    DurationMs,
    FlowId,
    FlowSpec,
    InstanceName,
    QueueKey,
    QueueRule,
    RackName,
    RunKey,
    ServiceName,
    ServiceRule,
    SiteConfig,
    StepSpec,
    TaskKey,
    TaskShape,
    UnixMillis, //
};

/// The number of failed runs after which a flow fails.
pub(crate) const ATTEMPT_LIMIT: u32 = 2;
/// The number of accelerators of each backend server.
pub(crate) const ACCELERATORS: u32 = 8;

/// A state with a configuration and numbered backend servers.
pub(crate) struct SmallSite {
    pub(crate) flows: FlowState,
    index: u64,
    now: UnixMillis,
}

impl SmallSite {
    pub(crate) fn new(backends: usize) -> Self {
        let mut site = Self {
            flows: FlowState::default(),
            index: 0,
            now: UnixMillis(1_000),
        };
        site.apply(FlowChange::Configure(config(1)));
        for number in 0..backends {
            site.announce(number, number);
        }
        site
    }

    pub(crate) fn apply(&mut self, change: FlowChange) -> FlowOutcome {
        self.index += 1;
        self.flows.apply(self.index, self.now, change)
    }

    /// Advances the clock by `span_ms` milliseconds.
    pub(crate) fn advance(&mut self, span_ms: u64) {
        self.now = self.now.plus(DurationMs(span_ms));
    }

    /// Announces an incarnation of a backend server on an instance.
    pub(crate) fn announce(&mut self, incarnation: usize, instance: usize) -> FlowOutcome {
        self.apply(FlowChange::Announce {
            backend: backend(incarnation),
            profile: profile(instance),
        })
    }

    pub(crate) fn submit(&mut self, flow: u64, steps: Vec<StepSpec>) -> FlowOutcome {
        self.apply(submission(flow, steps))
    }

    pub(crate) fn place(&mut self, tasks: &[(TaskKey, usize)]) {
        let tasks = tasks
            .iter()
            .map(|(task, incarnation)| (*task, backend(*incarnation)));
        let places = vec![PlacementOrder {
            tasks: tasks.collect(),
        }];
        let stops = Vec::new();
        self.apply(FlowChange::Decide { stops, places });
    }

    pub(crate) fn stop(&mut self, run: RunKey) {
        let stops = vec![StopOrder {
            run,
            cause: StopCause::Displaced,
        }];
        let places = Vec::new();
        self.apply(FlowChange::Decide { stops, places });
    }

    /// Reports the end of a run without a checkpoint.
    pub(crate) fn end(&mut self, incarnation: usize, number: u64, run: RunKey, end: RunOutcome) {
        self.end_with_checkpoint(incarnation, number, run, end, "");
    }

    /// Reports the end of a run as completion `number` of a backend server, with a checkpoint.
    pub(crate) fn end_with_checkpoint(
        &mut self,
        incarnation: usize,
        number: u64,
        run: RunKey,
        end: RunOutcome,
        saved: &str,
    ) {
        let saved = saved.to_owned();
        self.apply(FlowChange::Report {
            backend: backend(incarnation),
            ends: vec![RunCompletion {
                number,
                run,
                end,
                saved,
            }],
            unstarted: Vec::new(),
        });
    }

    pub(crate) fn lose(&mut self, incarnation: usize) {
        self.apply(FlowChange::Lose {
            backend: backend(incarnation),
            saved: Vec::new(),
        });
    }

    pub(crate) fn phase(&self, flow: u64) -> FlowPhase {
        self.flows.flows[&FlowId(flow)].phase.clone()
    }

    pub(crate) fn task_phase(&self, task: TaskKey) -> TaskPhase {
        let flow = &self.flows.flows[&task.flow];
        flow.task(task).expect("a known task").phase.clone()
    }

    /// Returns the run and the backend server of a task, or `None` if it is not placed.
    pub(crate) fn placed(&self, task: TaskKey) -> Option<(u32, BackendId)> {
        match self.task_phase(task) {
            TaskPhase::Placed { run, backend, .. } => Some((run, backend)),
            _ => None,
        }
    }

    pub(crate) fn is_waiting(&self, task: TaskKey) -> bool {
        self.task_phase(task) == TaskPhase::Waiting
    }

    /// Returns whether a run is ordered to stop.
    pub(crate) fn is_stopping(&self, incarnation: usize, run: RunKey) -> bool {
        let record = &self.flows.backends[&backend(incarnation)];
        record.runs.get(&run).is_some_and(|run| run.stop.is_some())
    }
}

pub(crate) fn backend(incarnation: usize) -> BackendId {
    BackendId::parse(&format!("backend-{incarnation}")).expect("a valid name")
}

pub(crate) fn profile(instance: usize) -> BackendProfile {
    BackendProfile {
        instance: InstanceName::parse(&format!("instance-{instance}")).expect("a valid name"),
        service: service(),
        domain: DomainName::parse("domain").expect("a valid name"),
        rack: Some(RackName::parse("rack-1").expect("a valid name")),
        labels: vec!["a".to_owned(), "rack-1".to_owned()],
        shape: TaskShape {
            millicores: 64_000,
            memory_mib: 131_072,
            accelerators: ACCELERATORS,
        },
    }
}

fn service() -> ServiceName {
    ServiceName::parse("service").expect("a valid name")
}

pub(crate) fn queue_key() -> QueueKey {
    QueueKey {
        host: "host.example".to_owned(),
        prefix: "/queue/".to_owned(),
    }
}

pub(crate) fn queue_rule() -> QueueRule {
    QueueRule {
        key: queue_key(),
        service: service(),
        rank: 1,
        attempt_limit: ATTEMPT_LIMIT,
        stretch_percent: 300,
        latency_target: DurationMs(1_000),
        answer_limit: DurationMs(3_000),
        open: false,
    }
}

pub(crate) fn config(version: u64) -> SiteConfig {
    SiteConfig {
        version,
        text: format!("text {version}"),
        queues: vec![queue_rule()],
        services: vec![ServiceRule {
            name: service(),
            enforces_capacity: false,
        }],
        customers: vec![CustomerRule {
            name: customer(),
            keys: vec!["key".to_owned()],
            guaranteed: 8,
        }],
    }
}

pub(crate) fn customer() -> CustomerName {
    CustomerName::parse("customer").expect("a valid name")
}

pub(crate) fn submission(flow: u64, steps: Vec<StepSpec>) -> FlowChange {
    FlowChange::Submit {
        flow: FlowId(flow),
        customer: Some(customer()),
        queue: queue_key(),
        spec: FlowSpec {
            text: format!("flow {flow}"),
            steps,
            repeat: None,
        },
    }
}

/// Returns a step of single tasks that need two accelerators each.
pub(crate) fn step(count: u16) -> StepSpec {
    StepSpec {
        count,
        shape: TaskShape {
            millicores: 1_000,
            memory_mib: 1_024,
            accelerators: 2,
        },
        estimate: DurationMs(1_000),
        ..StepSpec::default()
    }
}

/// Returns a step that is a gang with checkpoints, of tasks that need two accelerators each.
pub(crate) fn gang(count: u16) -> StepSpec {
    StepSpec {
        gang: true,
        checkpointing: true,
        ..step(count)
    }
}

pub(crate) fn task(flow: u64, step: u16, index: u16) -> TaskKey {
    TaskKey {
        flow: FlowId(flow),
        round: 0,
        step,
        index,
    }
}

pub(crate) fn run(task: TaskKey, run: u32) -> RunKey {
    RunKey { task, run }
}
