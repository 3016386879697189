//! A site of a few backend servers, and short ways to change it.

use roseridge_flow::{
    BackendProfile,
    EndRecord,
    FlowChange,
    FlowOutcome,
    FlowPhase,
    FlowState,
    PlacementOrder,
    RunEnd,
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

/// The failed runs after which a flow of the site has failed.
pub(crate) const ATTEMPT_LIMIT: u32 = 2;
/// The accelerators of each backend server.
pub(crate) const ACCELERATORS: u32 = 8;

/// A state with a configuration and backend servers named by numbers.
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

    pub(crate) fn pass(&mut self, span_ms: u64) {
        self.now = self.now.plus(DurationMs(span_ms));
    }

    /// Announces a life on an instance.
    pub(crate) fn announce(&mut self, life: usize, instance: usize) -> FlowOutcome {
        self.apply(FlowChange::Announce {
            backend: backend(life),
            profile: profile(instance),
        })
    }

    pub(crate) fn submit(&mut self, flow: u64, steps: Vec<StepSpec>) -> FlowOutcome {
        self.apply(submission(flow, steps))
    }

    pub(crate) fn place(&mut self, tasks: &[(TaskKey, usize)]) {
        let tasks = tasks.iter().map(|(task, life)| (*task, backend(*life)));
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

    pub(crate) fn end(&mut self, life: usize, number: u64, run: RunKey, end: RunEnd) {
        self.end_saved(life, number, run, end, "");
    }

    pub(crate) fn end_saved(
        &mut self,
        life: usize,
        number: u64,
        run: RunKey,
        end: RunEnd,
        saved: &str,
    ) {
        let saved = saved.to_owned();
        self.apply(FlowChange::Report {
            backend: backend(life),
            ends: vec![EndRecord {
                number,
                run,
                end,
                saved,
            }],
            unstarted: Vec::new(),
        });
    }

    pub(crate) fn lose(&mut self, life: usize) {
        self.apply(FlowChange::Lose {
            backend: backend(life),
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

    /// Returns where and in which run a task is placed.
    pub(crate) fn placed(&self, task: TaskKey) -> Option<(u32, BackendId)> {
        match self.task_phase(task) {
            TaskPhase::Placed { run, backend, .. } => Some((run, backend)),
            _ => None,
        }
    }

    pub(crate) fn is_waiting(&self, task: TaskKey) -> bool {
        self.task_phase(task) == TaskPhase::Waiting
    }

    /// Returns whether a run is told to stop.
    pub(crate) fn is_stopping(&self, life: usize, run: RunKey) -> bool {
        let record = &self.flows.backends[&backend(life)];
        record.runs.get(&run).is_some_and(|run| run.stop.is_some())
    }
}

pub(crate) fn backend(life: usize) -> BackendId {
    BackendId::parse(&format!("life-{life}")).expect("a name")
}

pub(crate) fn profile(instance: usize) -> BackendProfile {
    BackendProfile {
        instance: InstanceName::parse(&format!("instance-{instance}")).expect("a name"),
        service: service(),
        domain: DomainName::parse("domain").expect("a name"),
        rack: Some(RackName::parse("rack-1").expect("a name")),
        labels: vec!["a".to_owned(), "rack-1".to_owned()],
        shape: TaskShape {
            millicores: 64_000,
            memory_mib: 131_072,
            accelerators: ACCELERATORS,
        },
    }
}

fn service() -> ServiceName {
    ServiceName::parse("service").expect("a name")
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
    CustomerName::parse("customer").expect("a name")
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

/// Returns a step of tasks that take two accelerators each.
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
