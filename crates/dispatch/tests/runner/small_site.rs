//! A few backend servers and flows, for one round of decisions at a time.

use roseridge_dispatch::{
    AdmissionDecision,
    ContactView,
    DispatchDecision,
    DispatchLimits,
    DispatchView,
    ProgressRate,
    ProgressReading,
    check_admission,
    decide, //
};
use roseridge_flow::{
    BackendProfile,
    EndRecord,
    FlowChange,
    FlowState,
    RunEnd,
    TaskPhase, //
};
use roseridge_model::{
    BackendId,
    CustomerName,
    CustomerRule,
    DomainName,
    DurationMs,
    FastMap,
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

/// The accelerators that belong to each customer's urgent flows.
pub(crate) const GUARANTEED: u32 = 8;
/// How long an urgent unit within its guarantee waits before others stop for it at any cost.
pub(crate) const RECLAIM_WAIT_MS: u64 = 1_000;

pub(crate) struct SmallSite {
    pub(crate) flows: FlowState,
    index: u64,
    pub(crate) now: UnixMillis,
    contacts: FastMap<BackendId, ContactView>,
    progress_rates: FastMap<RunKey, ProgressRate>,
    ends: FastMap<BackendId, u64>,
}

impl SmallSite {
    /// Makes a site of racks with a number of workers of eight accelerators each.
    pub(crate) fn new(racks: &[usize]) -> Self {
        let mut site = Self {
            flows: FlowState::default(),
            index: 0,
            now: UnixMillis(1_000_000),
            contacts: FastMap::default(),
            progress_rates: FastMap::default(),
            ends: FastMap::default(),
        };
        site.apply(FlowChange::Configure(config()));
        let mut number = 0;
        for (rack, workers) in racks.iter().enumerate() {
            for _ in 0..*workers {
                site.announce(number, rack);
                number += 1;
            }
        }
        site
    }

    fn announce(&mut self, number: usize, rack: usize) {
        let rack = format!("rack-{rack}");
        self.contacts.insert(worker(number), ContactView::default());
        self.apply(FlowChange::Announce {
            backend: worker(number),
            profile: BackendProfile {
                instance: InstanceName::parse(&format!("instance-{number}")).expect("a name"),
                service: service(),
                domain: DomainName::parse("domain").expect("a name"),
                rack: Some(RackName::parse(&rack).expect("a name")),
                labels: vec!["a".to_owned(), rack],
                shape: TaskShape {
                    millicores: 64_000,
                    memory_mib: 131_072,
                    accelerators: 8,
                },
            },
        });
    }

    pub(crate) fn apply(&mut self, change: FlowChange) {
        self.index += 1;
        self.flows.apply(self.index, self.now, change);
    }

    pub(crate) fn pass(&mut self, span_ms: u64) {
        self.now = self.now.plus(DurationMs(span_ms));
    }

    /// Sets how long a worker's agent has been silent.
    pub(crate) fn silence(&mut self, number: usize, silent_ms: u64) {
        let since_contact = DurationMs(silent_ms);
        self.contacts
            .insert(worker(number), ContactView { since_contact });
    }

    /// Lets the first run of a flow be read, at times that lie this many milliseconds back.
    pub(crate) fn read_progress(&mut self, flow: u64, readings: &[(u64, u8)]) {
        let run = RunKey {
            task: task(flow, 0, 0),
            run: 1,
        };
        for (ago_ms, percent) in readings {
            let at = UnixMillis(self.now.0 - ago_ms);
            let percent = *percent;
            let reading = ProgressReading { percent, at };
            let pace = self.progress_rates.entry(run);
            pace.and_modify(|pace| pace.record(reading))
                .or_insert_with(|| ProgressRate::new(reading));
        }
    }

    pub(crate) fn submit(&mut self, flow: u64, rank: u32, who: usize, steps: Vec<StepSpec>) {
        self.apply(FlowChange::Submit {
            flow: FlowId(flow),
            customer: Some(customer(who)),
            queue: queue_key(rank),
            spec: FlowSpec {
                text: String::new(),
                steps,
                repeat: None,
            },
        });
    }

    pub(crate) fn cancel(&mut self, flow: u64) {
        let flow = FlowId(flow);
        self.apply(FlowChange::Cancel { flow });
    }

    /// Judges a flow of a rank that would be handed in now.
    pub(crate) fn judge(&self, rank: u32, steps: Vec<StepSpec>) -> AdmissionDecision {
        let config = self.flows.config.as_ref().expect("a configuration");
        let queue = config.queue(&queue_key(rank)).expect("a queue");
        let spec = FlowSpec {
            steps,
            ..FlowSpec::default()
        };
        check_admission(&self.view(), queue, &spec)
    }

    fn view(&self) -> DispatchView<'_> {
        DispatchView {
            flows: &self.flows,
            now: self.now,
            contacts: &self.contacts,
            progress_rates: &self.progress_rates,
            limits: DispatchLimits {
                contact_timeout: DurationMs(1_600),
                restore_time: DurationMs(600),
                reclaim_wait: DurationMs(RECLAIM_WAIT_MS),
            },
        }
    }

    /// Takes one round of decisions, without effect.
    pub(crate) fn judge_round(&self) -> DispatchDecision {
        decide(&self.view())
    }

    /// Takes one round of decisions and lets it take effect.
    pub(crate) fn decide(&mut self) -> DispatchDecision {
        let round = self.judge_round();
        let DispatchDecision { stops, places } = round.clone();
        self.apply(FlowChange::Decide { stops, places });
        round
    }

    /// Returns the number of the worker that a task is placed on.
    pub(crate) fn place_of(&self, flow: u64, index: u16) -> Option<usize> {
        self.place_of_step(flow, 0, index)
    }

    pub(crate) fn place_of_step(&self, flow: u64, step: u16, index: u16) -> Option<usize> {
        let task = task(flow, step, index);
        match &self.flows.flows[&task.flow].task(task)?.phase {
            TaskPhase::Placed { backend, .. } => {
                backend.as_str().strip_prefix("worker-")?.parse().ok()
            }
            _ => None,
        }
    }

    /// Returns the workers that the tasks of a flow's first step are placed on.
    pub(crate) fn places(&self, flow: u64) -> Vec<usize> {
        let count = self.flows.flows[&FlowId(flow)].spec.steps[0].count;
        let placed = (0..count).filter_map(|index| self.place_of(flow, index));
        placed.collect()
    }

    /// Lets a placed task's run end.
    pub(crate) fn end(&mut self, flow: u64, index: u16, end: RunEnd) {
        let task = task(flow, 0, index);
        let record = self.flows.flows[&task.flow].task(task).expect("a task");
        let TaskPhase::Placed { run, backend, .. } = record.phase.clone() else {
            panic!("{task} is not placed");
        };
        let number = self.ends.entry(backend.clone()).or_default();
        *number += 1;
        let record = EndRecord {
            number: *number,
            run: RunKey { task, run },
            end,
            saved: String::new(),
        };
        self.apply(FlowChange::Report {
            backend,
            ends: vec![record],
            unstarted: Vec::new(),
        });
    }

    /// Returns the flows of which a run is told to stop.
    pub(crate) fn stopping(&self) -> Vec<u64> {
        let runs = self.flows.backends.values().flat_map(|b| &b.runs);
        let stopping = runs.filter(|(_, run)| run.stop.is_some());
        let mut flows: Vec<_> = stopping.map(|(run, _)| run.task.flow.0).collect();
        flows.sort_unstable();
        flows.dedup();
        flows
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

/// Returns a step of tasks with a number of accelerators, estimated at eight seconds.
pub(crate) fn step(count: u16, accelerators: u32) -> StepSpec {
    StepSpec {
        count,
        shape: TaskShape {
            millicores: 1_000,
            memory_mib: 1_024,
            accelerators,
        },
        estimate: DurationMs(8_000),
        ..StepSpec::default()
    }
}

pub(crate) fn gang(count: u16, accelerators: u32) -> StepSpec {
    StepSpec {
        gang: true,
        one_rack: true,
        ..step(count, accelerators)
    }
}

fn worker(number: usize) -> BackendId {
    BackendId::parse(&format!("worker-{number}")).expect("a name")
}

fn service() -> ServiceName {
    ServiceName::parse("service").expect("a name")
}

pub(crate) fn customer(number: usize) -> CustomerName {
    CustomerName::parse(&format!("customer-{number}")).expect("a name")
}

fn queue_key(rank: u32) -> QueueKey {
    QueueKey {
        host: "host.example".to_owned(),
        prefix: format!("/rank-{rank}/"),
    }
}

fn config() -> SiteConfig {
    let queue = |rank| QueueRule {
        key: queue_key(rank),
        service: service(),
        rank,
        attempt_limit: 2,
        stretch_percent: if rank == 0 { 150 } else { 300 },
        latency_target: DurationMs(if rank == 0 { 250 } else { 1_000 }),
        answer_limit: DurationMs(3_000),
        open: false,
    };
    SiteConfig {
        version: 1,
        text: String::new(),
        queues: (0..3).map(queue).collect(),
        services: vec![ServiceRule {
            name: service(),
            enforces_capacity: false,
        }],
        customers: (0..3)
            .map(|number| CustomerRule {
                name: customer(number),
                keys: Vec::new(),
                guaranteed: GUARANTEED,
            })
            .collect(),
    }
}
