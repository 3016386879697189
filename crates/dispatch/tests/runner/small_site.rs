//! A few backend servers and flows, with one scheduling pass at a time.

use roseridge_dispatch::{
    AdmissionDecision,
    ContactView,
    CrashEvidence,
    CustomerShare,
    DispatchDecision,
    DispatchLimits,
    DispatchView,
    ProgressRate,
    ProgressReading,
    check_admission,
    crash_suspects,
    customer_shares,
    decide, //
};
use roseridge_flow::{
    BackendProfile,
    CrashSuspect,
    FlowChange,
    FlowState,
    RunCompletion,
    RunOutcome,
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

/// The number of accelerators in each customer's guarantee.
pub(crate) const GUARANTEED_ACCELERATORS: u32 = 8;
/// The time that an urgent placement unit within its guarantee waits before it preempts other runs at any
/// cost, in milliseconds.
pub(crate) const RECLAIM_WAIT_MS: u64 = 1_000;

/// A small installation on a virtual clock.
pub(crate) struct SmallSite {
    pub(crate) flows: FlowState,
    log_index: u64,
    pub(crate) now: UnixMillis,
    contacts: FastMap<BackendId, ContactView>,
    progress_rates: FastMap<RunKey, ProgressRate>,
    pub(crate) proposed_flow_bytes: usize,
    /// The number of the last completion that each backend server reported.
    last_ends: FastMap<BackendId, u64>,
}

impl SmallSite {
    /// Creates an installation of racks with a number of workers each. A worker has eight accelerators.
    pub(crate) fn new(racks: &[usize]) -> Self {
        Self::with_guarantees(racks, &[GUARANTEED_ACCELERATORS; 3])
    }

    /// Creates an installation like [`SmallSite::new`] whose customers are guaranteed these accelerators.
    pub(crate) fn with_guarantees(racks: &[usize], guaranteed: &[u32]) -> Self {
        let mut site = Self {
            flows: FlowState::default(),
            log_index: 0,
            now: UnixMillis(1_000_000),
            contacts: FastMap::default(),
            progress_rates: FastMap::default(),
            proposed_flow_bytes: 0,
            last_ends: FastMap::default(),
        };
        site.apply(FlowChange::Configure(config(guaranteed)));
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
                instance: InstanceName::parse(&format!("instance-{number}"))
                    .expect("the name is valid"),
                service: service(),
                domain: DomainName::parse("domain").expect("the name is valid"),
                rack: Some(RackName::parse(&rack).expect("the name is valid")),
                labels: vec!["a".to_owned(), rack],
                shape: TaskShape {
                    millicores: 64_000,
                    memory_mib: 131_072,
                    accelerators: 8,
                },
            },
        });
    }

    /// Announces a worker again, in a failure domain by name.
    pub(crate) fn set_domain(&mut self, number: usize, domain: &str) {
        let backend = worker(number);
        let mut profile = self.flows.backends[&backend].profile.clone();
        profile.domain = DomainName::parse(domain).expect("the name is valid");
        self.apply(FlowChange::Announce { backend, profile });
    }

    /// Declares a worker lost.
    pub(crate) fn lose(&mut self, number: usize) {
        self.contacts.remove(&worker(number));
        self.apply(FlowChange::Lose {
            backend: worker(number),
            saved: Vec::new(),
        });
    }

    /// Ends a worker by a crash, of which all runs on it are suspected; `at_start` tells whether they were
    /// starting.
    pub(crate) fn crash(&mut self, number: usize, at_start: bool) {
        let backend = worker(number);
        let runs = self.flows.backends[&backend].runs.keys();
        let suspects = runs.map(|run| CrashSuspect {
            run: *run,
            at_start,
        });
        let suspects = suspects.collect();
        self.contacts.remove(&backend);
        self.apply(FlowChange::RecordCrash {
            backend: backend.clone(),
            suspects,
            crash_limit: 3,
        });
        self.apply(FlowChange::Leave { backend });
    }

    /// Forgets what the leader knows from reports, as a new leader does.
    pub(crate) fn forget_reports(&mut self) {
        self.contacts.clear();
        self.progress_rates.clear();
    }

    /// Records that a report lists the placed runs of a flow's first step as running.
    pub(crate) fn report_running(&mut self, flow: u64) {
        let reading = ProgressReading {
            percent: 0,
            at: self.now,
        };
        let count = self.flows.flows[&FlowId(flow)].spec.steps[0].count;
        for task in (0..count).map(|index| task(flow, 0, index)) {
            let phase = &self.flows.flows[&FlowId(flow)].task(task).map(|t| &t.phase);
            if let Some(TaskPhase::Placed { run, .. }) = phase {
                let run = RunKey { task, run: *run };
                self.progress_rates.insert(run, ProgressRate::new(reading));
            }
        }
    }

    /// Takes over the state of another installation.
    pub(crate) fn copy_from(&mut self, site: &Self) {
        self.flows = site.flows.clone();
        self.log_index = site.log_index;
        self.now = site.now;
        self.contacts = site.contacts.clone();
    }

    /// Applies a change to the state.
    pub(crate) fn apply(&mut self, change: FlowChange) {
        self.log_index += 1;
        self.flows.apply(self.log_index, self.now, change);
    }

    /// Advances the clock.
    pub(crate) fn advance_clock(&mut self, span_ms: u64) {
        self.now = self.now.plus(DurationMs(span_ms));
    }

    /// Sets the time since the last contact with a worker's agent.
    pub(crate) fn set_since_contact(&mut self, number: usize, since_contact_ms: u64) {
        let since_contact = DurationMs(since_contact_ms);
        let contact = self.contacts.entry(worker(number)).or_default();
        contact.since_contact = since_contact;
    }

    /// Records a report by which a worker is cold for a time.
    pub(crate) fn report_cold(&mut self, number: usize, cold_ms: u64) {
        let contact = ContactView {
            cold_remaining: DurationMs(cold_ms),
            ..ContactView::default()
        };
        self.contacts.insert(worker(number), contact);
    }

    /// Records progress readings of a flow's first run, as pairs of the age in milliseconds and the percent.
    pub(crate) fn report_progress(&mut self, flow: u64, readings: &[(u64, u8)]) {
        let run = RunKey {
            task: task(flow, 0, 0),
            run: 1,
        };
        for (ago_ms, percent) in readings {
            let at = UnixMillis(self.now.0 - ago_ms);
            let percent = *percent;
            let reading = ProgressReading { percent, at };
            let rate = self.progress_rates.entry(run);
            rate.and_modify(|rate| rate.record(reading))
                .or_insert_with(|| ProgressRate::new(reading));
        }
    }

    /// Submits a flow of a customer by number.
    pub(crate) fn submit(&mut self, flow: u64, rank: u32, owner: usize, steps: Vec<StepSpec>) {
        self.apply(FlowChange::Submit {
            flow: FlowId(flow),
            customer: Some(customer(owner)),
            queue: queue_key(rank),
            spec: FlowSpec {
                text: String::new(),
                steps,
                repeat: None,
            },
        });
    }

    /// Cancels a flow.
    pub(crate) fn cancel(&mut self, flow: u64) {
        let flow = FlowId(flow);
        self.apply(FlowChange::Cancel { flow });
    }

    /// Checks the admission of a flow that would be submitted now.
    pub(crate) fn check_admission(&self, rank: u32, steps: Vec<StepSpec>) -> AdmissionDecision {
        let spec = FlowSpec {
            steps,
            ..FlowSpec::default()
        };
        self.check_spec(rank, &spec)
    }

    /// Checks the admission of a flow with this description.
    pub(crate) fn check_spec(&self, rank: u32, spec: &FlowSpec) -> AdmissionDecision {
        let config = self.flows.config.as_ref().expect("the site is configured");
        let queue = config.queue(&queue_key(rank)).expect("the queue exists");
        check_admission(&self.view(), queue, spec)
    }

    /// Submits a flow with this description.
    pub(crate) fn submit_spec(&mut self, flow: u64, rank: u32, spec: FlowSpec) {
        self.apply(FlowChange::Submit {
            flow: FlowId(flow),
            customer: Some(customer(0)),
            queue: queue_key(rank),
            spec,
        });
    }

    fn view(&self) -> DispatchView<'_> {
        DispatchView {
            flows: &self.flows,
            now: self.now,
            contacts: &self.contacts,
            progress_rates: &self.progress_rates,
            proposed_flow_bytes: self.proposed_flow_bytes,
            limits: DispatchLimits {
                contact_timeout: DurationMs(1_600),
                restore_time: DurationMs(600),
                reclaim_wait: DurationMs(RECLAIM_WAIT_MS),
            },
        }
    }

    /// Returns the shares of the customers.
    pub(crate) fn shares(&self) -> Vec<CustomerShare> {
        customer_shares(&self.view())
    }

    /// Runs a scheduling pass without applying its decision.
    pub(crate) fn preview_decision(&self) -> DispatchDecision {
        decide(&self.view())
    }

    /// Runs a scheduling pass and applies its decision.
    pub(crate) fn decide(&mut self) -> DispatchDecision {
        let decision = self.preview_decision();
        let DispatchDecision { stops, places } = decision.clone();
        self.apply(FlowChange::Decide { stops, places });
        decision
    }

    /// Returns the flows that are suspected if a worker has crashed that had begun the runs of some flows,
    /// and the limit of crashes.
    pub(crate) fn crash_suspects(&self, number: usize, started: &[u64]) -> (Vec<u64>, u32) {
        let record = &self.flows.backends[&worker(number)];
        let runs = record.runs.keys().copied();
        let evidence = CrashEvidence {
            started: &runs.filter(|r| started.contains(&r.task.flow.0)).collect(),
            progress_rates: &self.progress_rates,
        };
        let verdict = crash_suspects(&self.flows, record, evidence);
        let suspects = verdict.suspects.iter().map(|s| s.run.task.flow.0);
        (suspects.collect(), verdict.crash_limit)
    }

    /// Returns the number of the worker on which a task of the first step is placed.
    pub(crate) fn place_of(&self, flow: u64, index: u16) -> Option<usize> {
        self.place_of_step(flow, 0, index)
    }

    /// Returns the number of the worker on which a task of a step is placed.
    pub(crate) fn place_of_step(&self, flow: u64, step: u16, index: u16) -> Option<usize> {
        let task = task(flow, step, index);
        match &self.flows.flows[&task.flow].task(task)?.phase {
            TaskPhase::Placed { backend, .. } => {
                backend.as_str().strip_prefix("worker-")?.parse().ok()
            }
            _ => None,
        }
    }

    /// Returns the numbers of the workers on which the tasks of a flow's first step are placed.
    pub(crate) fn places(&self, flow: u64) -> Vec<usize> {
        let count = self.flows.flows[&FlowId(flow)].spec.steps[0].count;
        let placed = (0..count).filter_map(|index| self.place_of(flow, index));
        placed.collect()
    }

    /// Reports the completion of a placed task's run.
    pub(crate) fn end_run(&mut self, flow: u64, index: u16, end: RunOutcome) {
        let task = task(flow, 0, index);
        let record = self.flows.flows[&task.flow]
            .task(task)
            .expect("the task exists");
        let TaskPhase::Placed { run, backend, .. } = record.phase.clone() else {
            panic!("{task} is not placed");
        };
        let number = self.last_ends.entry(backend.clone()).or_default();
        *number += 1;
        let record = RunCompletion {
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

    /// Returns the flows of which a run is stopping.
    pub(crate) fn stopping_flows(&self) -> Vec<u64> {
        let runs = self.flows.backends.values().flat_map(|b| &b.runs);
        let stopping = runs.filter(|(_, run)| run.stop.is_some());
        let mut flows: Vec<_> = stopping.map(|(run, _)| run.task.flow.0).collect();
        flows.sort_unstable();
        flows.dedup();
        flows
    }
}

/// Returns the key of a task of a flow's first repetition.
pub(crate) fn task(flow: u64, step: u16, index: u16) -> TaskKey {
    TaskKey {
        flow: FlowId(flow),
        round: 0,
        step,
        index,
    }
}

/// Returns a step of tasks with a number of accelerators each, estimated at eight seconds.
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

/// Returns a step like [`step`] whose tasks are a gang that is slower across racks.
pub(crate) fn gang(count: u16, accelerators: u32) -> StepSpec {
    StepSpec {
        gang: true,
        one_rack: true,
        ..step(count, accelerators)
    }
}

fn worker(number: usize) -> BackendId {
    BackendId::parse(&format!("worker-{number}")).expect("the name is valid")
}

fn service() -> ServiceName {
    ServiceName::parse("service").expect("the name is valid")
}

/// Returns the name of a customer.
pub(crate) fn customer(number: usize) -> CustomerName {
    CustomerName::parse(&format!("customer-{number}")).expect("the name is valid")
}

fn queue_key(rank: u32) -> QueueKey {
    QueueKey {
        host: "host.example".to_owned(),
        prefix: format!("/rank-{rank}/"),
    }
}

fn config(guaranteed: &[u32]) -> SiteConfig {
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
        customers: (0..)
            .zip(guaranteed)
            .map(|(number, guaranteed)| CustomerRule {
                name: customer(number),
                keys: Vec::new(),
                guaranteed: *guaranteed,
            })
            .collect(),
    }
}
