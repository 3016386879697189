//! An in-memory backend server: one incarnation of it, with its lease, its runs and its lists.

use std::collections::{
    BTreeMap,
    BTreeSet, //
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
    InstanceName,
    RunKey,
    ServiceName,
    TaskKey,
    TaskShape, //
};
use roseridge_runner::{
    ListedRun,
    RunAnswer,
    RunCall,
    RunList,
    RunRefusal,
    StatusReport, //
};

/// One incarnation of a backend server.
#[derive(Debug)]
pub(crate) struct FakeBackend {
    pub(crate) incarnation: BackendId,
    pub(crate) clock_ms: u64,
    pub(crate) lease_until_ms: u64,
    pub(crate) fence: u64,
    pub(crate) running: BTreeMap<RunKey, String>,
    pub(crate) ended: BTreeMap<u64, RunCompletion>,
    /// The highest run of each task that has ended or was stopped on this backend server.
    pub(crate) closed: BTreeMap<TaskKey, u32>,
    pub(crate) starts: Vec<RunKey>,
    pub(crate) is_unhealthy: bool,
    /// Whether its lists may leave out completions.
    pub(crate) is_list_truncated: bool,
    /// The highest number up to which completions were acknowledged. Later completions up to it are deleted too.
    acknowledged: u64,
    last_end: u64,
}

impl FakeBackend {
    pub(crate) fn new(incarnation: &str) -> Self {
        Self {
            incarnation: backend(incarnation),
            clock_ms: 500_000,
            lease_until_ms: 0,
            fence: 0,
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
            closed: BTreeMap::new(),
            starts: Vec::new(),
            is_unhealthy: false,
            is_list_truncated: false,
            acknowledged: 0,
            last_end: 0,
        }
    }

    /// Advances the clock, and ends the runs whose lease has expired.
    pub(crate) fn advance(&mut self, elapsed_ms: u64) {
        self.clock_ms += elapsed_ms;
        if self.clock_ms >= self.lease_until_ms {
            let expired: Vec<_> = self.running.keys().copied().collect();
            expired
                .into_iter()
                .for_each(|run| self.end(run, RunOutcome::Lapsed));
        }
    }

    /// Ends a run, if it is running, and lists its completion.
    pub(crate) fn end(&mut self, run: RunKey, end: RunOutcome) {
        if let Some(saved) = self.running.remove(&run) {
            self.last_end += 1;
            let number = self.last_end;
            let record = RunCompletion {
                number,
                run,
                end,
                saved,
            };
            if number > self.acknowledged {
                self.ended.insert(number, record);
            }
            self.close(run);
        }
    }

    /// Refuses starts of a run and of all earlier runs of its task from now on.
    fn close(&mut self, run: RunKey) {
        let highest = self.closed.entry(run.task).or_default();
        *highest = (*highest).max(run.run);
    }

    /// Carries out a call and returns its answer.
    pub(crate) fn answer(&mut self, call: &RunCall) -> RunAnswer {
        if !call.backend().shares_name(&self.incarnation) {
            return RunAnswer::OtherServer;
        }
        let fence = match call {
            RunCall::Renew { fence, .. }
            | RunCall::Start { fence, .. }
            | RunCall::Stop { fence, .. } => *fence,
        };
        if fence < self.fence {
            return RunAnswer::Refused(RunRefusal::OldFence);
        }
        self.fence = fence;
        match call {
            RunCall::Renew {
                lease_until_ms,
                ends_seen,
                ..
            } => {
                self.lease_until_ms = self.lease_until_ms.max(lease_until_ms.unwrap_or(0));
                self.acknowledged = self.acknowledged.max(*ends_seen);
                self.ended.retain(|number, _| number > ends_seen);
                match *call.backend() == self.incarnation {
                    true => self.done(Some(self.list())),
                    // The call was carried out, since it carries only the name.
                    false => RunAnswer::OtherLife,
                }
            }
            RunCall::Start {
                run,
                lease_until_ms,
                ..
            } => self.start(*run, *lease_until_ms),
            RunCall::Stop { run, .. } => {
                self.end(*run, RunOutcome::Stopped);
                self.close(*run);
                self.done(None)
            }
        }
    }

    fn start(&mut self, run: RunKey, lease_until_ms: u64) -> RunAnswer {
        let closed = self.closed.get(&run.task).copied().unwrap_or(0);
        match () {
            () if self.is_unhealthy => RunAnswer::Refused(RunRefusal::Unhealthy),
            () if self.running.contains_key(&run) => self.done(None),
            () if run.run <= closed => RunAnswer::Refused(RunRefusal::OldRun),
            () if lease_until_ms <= self.clock_ms => RunAnswer::Refused(RunRefusal::LateLease),
            () => {
                self.lease_until_ms = self.lease_until_ms.max(lease_until_ms);
                self.running.insert(run, String::new());
                self.starts.push(run);
                self.done(None)
            }
        }
    }

    fn done(&self, list: Option<RunList>) -> RunAnswer {
        let clock_ms = self.clock_ms;
        RunAnswer::Done { clock_ms, list }
    }

    fn list(&self) -> RunList {
        let running = self.running.iter().map(|(run, saved)| ListedRun {
            run: *run,
            saved: saved.clone(),
            percent: 50,
        });
        RunList {
            running: running.collect(),
            ended: self.ended.values().cloned().collect(),
            is_truncated: self.is_list_truncated,
            ..RunList::default()
        }
    }

    /// Returns the runs that were started more than once.
    pub(crate) fn repeated_starts(&self) -> BTreeSet<RunKey> {
        let mut seen = BTreeSet::new();
        let starts = self.starts.iter().copied();
        starts.filter(|run| !seen.insert(*run)).collect()
    }
}

pub(crate) fn backend(incarnation: &str) -> BackendId {
    BackendId::parse(incarnation).expect("a valid name")
}

pub(crate) fn instance() -> InstanceName {
    InstanceName::parse("instance").expect("a valid name")
}

pub(crate) fn status_report(incarnation: &str, sequence: u64) -> StatusReport {
    StatusReport {
        backend: backend(incarnation),
        profile: BackendProfile {
            instance: instance(),
            service: ServiceName::parse("service").expect("a valid name"),
            domain: DomainName::parse("domain").expect("a valid name"),
            rack: None,
            labels: Vec::new(),
            shape: TaskShape {
                millicores: 8_000,
                memory_mib: 8_192,
                accelerators: 8,
            },
        },
        sequence,
        draining: None,
        cold_remaining: DurationMs(0),
    }
}

pub(crate) fn run(flow: u64, number: u32) -> RunKey {
    RunKey {
        task: TaskKey {
            flow: FlowId(flow),
            ..TaskKey::default()
        },
        run: number,
    }
}
