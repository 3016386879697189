//! A simulation of a small installation on a virtual clock: flows arrive, the real state machine and the
//! real decisions place them, and modelled workers execute the orders.
//!
//! The load, the modelled workers and the accounting are in modules of their own.

#[path = "site_simulation/accounting.rs"]
mod accounting;
#[path = "site_simulation/load.rs"]
mod load;
#[path = "site_simulation/workers.rs"]
mod workers;

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use rand::{
    SeedableRng,
    rngs::SmallRng, //
};
use roseridge_dispatch::{
    AdmissionDecision,
    ContactView,
    DispatchLimits,
    DispatchView,
    ProgressRate,
    ProgressReading,
    check_admission,
    decide, //
};
use roseridge_flow::{
    BackendProfile,
    FlowChange,
    FlowOutcome,
    FlowState, //
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
    TaskKey,
    UnixMillis, //
};

use accounting::Accounting;
pub(crate) use accounting::ReplayMetrics;
use load::ActualFlow;
pub(crate) use load::{
    ClassLoad,
    CustomerLoad,
    DemandWave,
    Fault,
    SiteLoad, //
};
use workers::ActualWorker;

/// The time during which flows arrive, in milliseconds.
const ARRIVALS_MS: u64 = 34_000;
/// The time that the simulation continues after the last arrival, in milliseconds.
const COOLDOWN_MS: u64 = 14_000;
/// The maximum time between two scheduling passes, in milliseconds. There is also one after each change.
const PASS_INTERVAL_MS: u64 = 250;
/// The number of times that a caller submits a refused flow again.
const MAX_RETRIES: u32 = 4;
/// The time at which the virtual clock starts, in milliseconds.
///
/// The times of faults count from here.
const START_MS: u64 = 1_000_000;

/// The state of a simulation.
struct SiteSimulation<'a> {
    site: &'a SiteLoad,
    faults: &'a [Fault],
    rng: SmallRng,
    now_ms: u64,
    log_index: u64,
    flows: FlowState,
    actual_flows: BTreeMap<FlowId, ActualFlow>,
    workers: BTreeMap<BackendId, ActualWorker>,
    /// The work that the last checkpoint of each task preserves, in milliseconds.
    checkpoints: FastMap<TaskKey, u64>,
    /// Reports that are not applied yet, with the time at which they are.
    pending_reports: Vec<(u64, FlowChange)>,
    progress_rates: FastMap<RunKey, ProgressRate>,
    /// Progress readings that have not reached the leader yet, with the time at which they do.
    pending_readings: Vec<(u64, RunKey, ProgressReading)>,
    accounting: Accounting,
    /// Flows that were refused, with the time at which their callers submit them again and the number of
    /// earlier submissions.
    returning_flows: Vec<(u64, u32, (FlowId, FlowSpec))>,
    /// The log index and the time of the last scheduling pass.
    last_pass: (u64, u64),
    /// The runs whose orders have reached a worker.
    known_runs: BTreeSet<RunKey>,
}

/// Simulates an installation with its load and faults and returns the results.
///
/// The same arguments give the same results.
pub(crate) fn replay(site: &SiteLoad, faults: &[Fault], seed: u64) -> ReplayMetrics {
    let mut simulation = SiteSimulation {
        site,
        faults,
        rng: SmallRng::seed_from_u64(seed),
        now_ms: START_MS,
        log_index: 0,
        flows: FlowState::default(),
        actual_flows: BTreeMap::new(),
        workers: BTreeMap::new(),
        checkpoints: FastMap::default(),
        pending_reports: Vec::new(),
        progress_rates: FastMap::default(),
        pending_readings: Vec::new(),
        accounting: Accounting::default(),
        returning_flows: Vec::new(),
        last_pass: (0, 0),
        known_runs: BTreeSet::new(),
    };
    simulation.set_up();
    let arrivals = simulation.draw_arrivals();
    let mut arrivals = arrivals.into_iter().peekable();
    while simulation.now_ms < START_MS + ARRIVALS_MS + COOLDOWN_MS {
        simulation.now_ms += 10;
        while let Some((_, flow)) = arrivals.next_if(|(at, _)| *at <= simulation.now_ms) {
            simulation.submit(flow);
        }
        simulation.submit_returning_flows();
        simulation.advance();
    }
    simulation.finish()
}

impl SiteSimulation<'_> {
    fn apply(&mut self, change: FlowChange) -> FlowOutcome {
        self.log_index += 1;
        let at = UnixMillis(self.now_ms);
        self.flows.apply(self.log_index, at, change)
    }

    /// Configures the queues and customers and announces the workers.
    fn set_up(&mut self) {
        let service = ServiceName::parse("fake").expect("the name is valid");
        let queues = self.site.classes.iter().map(|class| QueueRule {
            key: queue_key(class.rank),
            service: service.clone(),
            rank: class.rank,
            attempt_limit: class.attempt_limit,
            stretch_percent: class.stretch_percent,
            latency_target: DurationMs(class.latency_target_ms),
            answer_limit: DurationMs(3_000),
            open: false,
        });
        let config = SiteConfig {
            version: 1,
            text: String::new(),
            queues: queues.collect(),
            services: vec![ServiceRule {
                name: service.clone(),
                enforces_capacity: false,
            }],
            customers: (0..)
                .zip(&self.site.customers)
                .map(|(number, load)| CustomerRule {
                    name: customer(number),
                    keys: Vec::new(),
                    guaranteed: load.guaranteed,
                })
                .collect(),
        };
        self.apply(FlowChange::Configure(config));
        for number in 0..self.site.workers {
            let backend = worker(number);
            let rack = number / self.site.workers_per_rack;
            let domain = format!("domain-{}", rack % self.site.domains);
            let rack = format!("rack-{rack}");
            let profile = BackendProfile {
                instance: InstanceName::parse(&format!("side-{number}"))
                    .expect("the name is valid"),
                service: service.clone(),
                domain: DomainName::parse(&domain).expect("the name is valid"),
                rack: Some(RackName::parse(&rack).expect("the name is valid")),
                labels: vec!["a".to_owned(), rack],
                shape: self.site.shape,
            };
            self.workers
                .insert(backend.clone(), ActualWorker::default());
            self.apply(FlowChange::Announce { backend, profile });
        }
    }

    /// Submits a flow for a random customer.
    fn submit(&mut self, (flow, spec): (FlowId, FlowSpec)) {
        let number = self.draw_customer();
        if let Some(actual) = self.actual_flows.get_mut(&flow) {
            actual.customer = number;
        }
        self.try_submit(0, (flow, spec));
    }

    /// Submits the refused flows whose callers come back now.
    fn submit_returning_flows(&mut self) {
        let now_ms = self.now_ms;
        let (due, later) = std::mem::take(&mut self.returning_flows)
            .into_iter()
            .partition(|(at, ..)| *at <= now_ms);
        self.returning_flows = later;
        for (_, retries, flow) in due {
            self.try_submit(retries, flow);
        }
    }

    /// Submits a flow, unless admission is simulated and refuses it. The caller of a refused flow comes
    /// back after the given time, in whole seconds, up to [`MAX_RETRIES`] times.
    fn try_submit(&mut self, retries: u32, (flow, spec): (FlowId, FlowSpec)) {
        let actual = &self.actual_flows[&flow];
        let (rank, customer) = (actual.rank, customer(actual.customer));
        let retry_after = match self.site.has_admission {
            true => self.refusal(rank, &spec),
            false => None,
        };
        let Some(retry_after) = retry_after else {
            self.apply(FlowChange::Submit {
                flow,
                customer: Some(customer),
                queue: queue_key(rank),
                spec,
            });
            return;
        };
        self.account_refusal((flow, &spec));
        if retries < MAX_RETRIES {
            let at_ms = self.now_ms + retry_after.0.div_ceil(1_000) * 1_000;
            self.returning_flows
                .push((at_ms, retries + 1, (flow, spec)));
        }
    }

    /// Returns the time after which a refused flow may come back, or `None` if the flow is accepted.
    fn refusal(&self, rank: u32, spec: &FlowSpec) -> Option<DurationMs> {
        let config = self.flows.config.as_ref()?;
        let queue = config.queue(&queue_key(rank))?;
        let contacts = self.contacts();
        match check_admission(&self.dispatch_view(&contacts), queue, spec) {
            AdmissionDecision::Accept => None,
            AdmissionDecision::TooLate { retry_after, .. }
            | AdmissionDecision::NeverFits { retry_after }
            | AdmissionDecision::QueueFull { retry_after } => Some(retry_after),
        }
    }

    /// Advances the simulation by one step of the clock.
    fn advance(&mut self) {
        self.cancel_due_flows();
        self.apply_departures();
        self.run_workers();
        self.deliver_reports();
        let has_leader = !self.faults.iter().any(|fault| match fault {
            Fault::NoLeader {
                start_ms,
                duration_ms,
            } => self.is_within(*start_ms, *duration_ms),
            _ => false,
        });
        if has_leader {
            self.report_progress();
            self.run_scheduling_pass();
            self.execute_orders();
        }
        self.count_late_reclaims();
    }

    /// Cancels the flows whose callers give up now.
    fn cancel_due_flows(&mut self) {
        let due: Vec<_> = self
            .actual_flows
            .iter()
            .filter(|(_, actual)| actual.cancel_at_ms.is_some_and(|at| at <= self.now_ms))
            .map(|(flow, _)| *flow)
            .collect();
        for flow in due {
            if let Some(actual) = self.actual_flows.get_mut(&flow) {
                actual.cancel_at_ms = None;
                actual.value = 0.0;
                actual.late_value = 0.0;
            }
            self.apply(FlowChange::Cancel { flow });
        }
    }

    /// Applies the reports that are due.
    fn deliver_reports(&mut self) {
        let now_ms = self.now_ms;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending_reports)
            .into_iter()
            .partition(|(at, _)| *at <= now_ms);
        self.pending_reports = later;
        for (_, change) in due {
            self.apply(change);
        }
    }

    /// Returns the contacts with the reachable workers.
    fn contacts(&self) -> FastMap<BackendId, ContactView> {
        (0..self.site.workers)
            .filter(|number| !self.is_partitioned(*number))
            .map(|number| (worker(number), ContactView::default()))
            .collect()
    }

    fn dispatch_view<'a>(
        &'a self,
        contacts: &'a FastMap<BackendId, ContactView>,
    ) -> DispatchView<'a> {
        DispatchView {
            flows: &self.flows,
            now: UnixMillis(self.now_ms),
            contacts,
            progress_rates: &self.progress_rates,
            proposed_flow_bytes: 0,
            limits: DispatchLimits {
                contact_timeout: DurationMs(1_600),
                restore_time: DurationMs(self.site.restore_ms),
                reclaim_wait: DurationMs(1_000),
            },
        }
    }

    /// Runs a scheduling pass and applies its decision.
    fn run_scheduling_pass(&mut self) {
        let (index, at_ms) = self.last_pass;
        let is_due = index != self.log_index || self.now_ms >= at_ms + PASS_INTERVAL_MS;
        if self.site.has_sparse_passes && !is_due {
            return;
        }
        let contacts = self.contacts();
        let decision = decide(&self.dispatch_view(&contacts));
        self.last_pass = (self.log_index, self.now_ms);
        if !decision.is_empty() {
            self.accounting.metrics.stops += decision.stops.len();
            self.apply(FlowChange::Decide {
                stops: decision.stops,
                places: decision.places,
            });
        }
    }
}

fn queue_key(rank: u32) -> QueueKey {
    QueueKey {
        host: "fake.example".to_owned(),
        prefix: format!("/rank-{rank}/"),
    }
}

fn customer(number: usize) -> CustomerName {
    CustomerName::parse(&format!("customer-{number}")).expect("the name is valid")
}

fn worker(number: usize) -> BackendId {
    BackendId::parse(&format!("worker-{number:03}")).expect("the name is valid")
}
