//! What the agent knows of its backend server and its orders, and what follows from it.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use roseridge_model::{
    BackendId,
    DurationMs,
    FastMap,
    FlowId,
    InstanceName,
    RunKey, //
};
use roseridge_wire::{
    FlowOrders,
    FlowReport, //
};

use crate::{
    LivenessReport, RunAnswer, RunCall, RunList, RunRefusal,
    backend_incarnation::{
        BackendIncarnation,
        backend_report,
        latest_clock, //
    },
    run_progress::{
        RunProgress,
        RunStep, //
    },
};

/// The lease that must be left for a start to be worth sending, in milliseconds.
const LEAST_LEASE_MS: u64 = 200;
/// The pause before a start or a stop that was not carried out is sent again, in milliseconds.
const RETRY_MS: u64 = 100;
/// The pause before the next look while ends are listed that the leader did not take note of; the
/// backend server answers at once then.
const UNSEEN_ENDS_MS: u64 = 50;
/// The pause before a stopped run that is still listed is stopped again, in milliseconds.
const STOP_AGAIN_MS: u64 = 500;
/// The refusals of an unhealthy backend server after which a run is given up.
const MAX_REFUSALS: u32 = 3;
/// How long after its farewell a backend server that still answers is taken to stay, in milliseconds.
const FAREWELL_MS: u64 = 1_000;
/// The ended lives that are reported again until a new life has taken their place.
const MAX_ENDED_LIVES: usize = 4;

/// The intervals of a book.
#[derive(Debug, Clone, Copy)]
pub struct RunnerTiming {
    /// How long the backend server may hold back its list when nothing ends.
    pub list_wait: DurationMs,
}

/// What the agent knows of its backend server and its orders.
#[derive(Debug)]
pub struct RunTable {
    instance: InstanceName,
    timing: RunnerTiming,
    life: Option<BackendIncarnation>,
    /// A life that announced itself and did not answer a call yet.
    candidate: Option<LivenessReport>,
    ended: Vec<BackendId>,
    texts: FastMap<FlowId, String>,
    fence: u64,
    sequence: u64,
    known_group: u64,
    /// The number of the newest list that was asked for.
    lists: u64,
    /// The lists that are on their way: one that waits, and one that renews.
    waiting_list: bool,
    renewing_list: bool,
    checking: bool,
    list_not_before_ms: u64,
    news: bool,
}

impl RunTable {
    /// Makes the book of an agent that has not heard its backend server yet.
    pub fn new(instance: InstanceName, timing: RunnerTiming) -> Self {
        Self {
            instance,
            timing,
            life: None,
            candidate: None,
            ended: Vec::new(),
            texts: FastMap::default(),
            fence: 0,
            sequence: 0,
            known_group: 0,
            lists: 0,
            waiting_list: false,
            renewing_list: false,
            checking: false,
            list_not_before_ms: 0,
            news: true,
        }
    }

    /// Returns the present life of the backend server.
    pub fn backend(&self) -> Option<&BackendId> {
        self.life.as_ref().map(|life| &life.notice.backend)
    }

    /// Takes a backend server's report of itself; another life must first answer a call.
    pub fn hear(&mut self, notice: LivenessReport) {
        match &mut self.life {
            Some(life) if life.notice.backend == notice.backend => {
                if notice.sequence <= life.notice.sequence {
                    return;
                }
                let draining = notice.draining.is_some() && life.notice.draining.is_none();
                let changed = notice.profile != life.notice.profile;
                life.wants_profile |= changed;
                self.news |= draining || changed;
                // A backend server that leaves does not come back in the same life.
                let draining = notice.draining.or(life.notice.draining);
                life.notice = LivenessReport { draining, ..notice };
            }
            _ if self.ended.contains(&notice.backend) => {}
            _ => self.candidate = Some(notice),
        }
    }

    /// Takes a life's word that it ends.
    pub fn hear_farewell(&mut self, backend: &BackendId, now_ms: u64) {
        if let Some(life) = &mut self.life
            && life.notice.backend == *backend
        {
            life.farewell_ms.get_or_insert(now_ms);
        }
    }

    /// Takes the leader's orders; those for another life change nothing of the runs.
    pub fn take_orders(&mut self, orders: FlowOrders) {
        self.fence = self.fence.max(orders.fence);
        if let Some(group) = &orders.group {
            self.known_group = group.digest;
        }
        let Some(life) = &mut self.life else {
            return;
        };
        if orders.backend.as_ref() != Some(&life.notice.backend) {
            return;
        }
        if orders.wants_profile && !life.wants_profile {
            life.wants_profile = true;
            self.news = true;
        }
        if orders.lease_until_ms.is_some() {
            life.wants_profile = false;
        }
        let lease_until_ms = orders.lease_until_ms.unwrap_or(0);
        life.lease_until_ms = life.lease_until_ms.max(lease_until_ms);
        if orders.ends_seen > life.ends_seen {
            // The backend server may forget them, and then waits for others.
            self.list_not_before_ms = 0;
            life.ends_seen = orders.ends_seen;
        }
        let seen = life.ends_seen;
        life.ends.retain(|number, _| *number > seen);
        self.texts.extend(orders.texts);
        if let Some(runs) = orders.runs
            && orders.index >= life.orders_index
        {
            life.orders_index = orders.index;
            let mut known = std::mem::take(&mut life.runs);
            for order in runs {
                let mut progress = known
                    .remove(&order.run)
                    .unwrap_or_else(|| RunProgress::new(order.clone()));
                progress.order = order;
                life.runs.insert(progress.order.run, progress);
            }
            let flows: BTreeSet<_> = life.runs.keys().map(|run| run.task.flow).collect();
            self.texts.retain(|flow, _| flows.contains(flow));
        }
    }

    /// Returns the calls that are to be made now, each with the number that its answer carries.
    pub fn next_calls(&mut self, now_ms: u64) -> Vec<(u64, RunCall)> {
        let mut calls = Vec::new();
        if now_ms >= self.list_not_before_ms {
            self.check_candidate(&mut calls);
        }
        if self.life.is_some() {
            self.push_lists(&mut calls, now_ms);
            self.push_runs(&mut calls, now_ms);
        }
        calls
    }

    /// Asks a life that announced itself for its list, which only that life answers.
    fn check_candidate(&mut self, calls: &mut Vec<(u64, RunCall)>) {
        let Some(candidate) = self.candidate.as_ref().filter(|_| !self.checking) else {
            return;
        };
        self.checking = true;
        self.lists += 1;
        let call = RunCall::Renew {
            backend: candidate.backend.clone(),
            fence: self.fence,
            lease_until_ms: None,
            ends_seen: 0,
            wait: DurationMs(0),
        };
        calls.push((self.lists, call));
    }

    fn push_lists(&mut self, calls: &mut Vec<(u64, RunCall)>, now_ms: u64) {
        let Some(life) = &mut self.life else {
            return;
        };
        let renews = life.lease_until_ms > life.told_until_ms;
        let is_first = !self.waiting_list && now_ms >= self.list_not_before_ms;
        let is_renewal = self.waiting_list && renews && !self.renewing_list;
        if !is_first && !is_renewal {
            return;
        }
        let wait = match is_first && life.has_list {
            true => self.timing.list_wait,
            false => DurationMs(0),
        };
        match is_first {
            true => self.waiting_list = true,
            false => self.renewing_list = true,
        }
        life.told_until_ms = life.lease_until_ms;
        self.lists += 1;
        let call = RunCall::Renew {
            backend: life.notice.backend.clone(),
            fence: self.fence,
            lease_until_ms: renews.then_some(life.lease_until_ms),
            ends_seen: life.ends_seen,
            wait,
        };
        calls.push((self.lists, call));
    }

    fn push_runs(&mut self, calls: &mut Vec<(u64, RunCall)>, now_ms: u64) {
        let Some(life) = &mut self.life else {
            return;
        };
        let backend = life.notice.backend.clone();
        let lease_left_ms = life
            .lease_until_ms
            .saturating_sub(latest_clock(life.clock, now_ms));
        let is_leaving = life.notice.draining.is_some() || life.farewell_ms.is_some();
        let fence = self.fence;
        let number = self.lists + 1;
        let ended: BTreeSet<_> = life.ends.values().map(|end| end.run).collect();
        for (run, progress) in &mut life.runs {
            let is_running = life.running.contains_key(run);
            let may_go = match progress.step {
                RunStep::Idle { not_before_ms } => now_ms >= not_before_ms,
                RunStep::Begun { .. } => progress.is_unwanted(),
                RunStep::Sealed { again_ms, .. } => is_running && now_ms >= again_ms,
                RunStep::Starting | RunStep::Stopping | RunStep::Unstarted => false,
            };
            if !may_go || ended.contains(run) || !life.has_list {
                continue;
            }
            if is_leaving && !is_running && !matches!(progress.step, RunStep::Begun { .. }) {
                progress.given_up.get_or_insert("the backend server leaves");
            }
            let text = self.texts.get(&run.task.flow);
            match text {
                _ if progress.is_unwanted() => {
                    progress.step = RunStep::Stopping;
                    calls.push((
                        number,
                        RunCall::Stop {
                            backend: backend.clone(),
                            fence,
                            run: *run,
                        },
                    ));
                }
                _ if is_running => {
                    progress.step = RunStep::Begun { from_list: number };
                }
                Some(text) if lease_left_ms > LEAST_LEASE_MS => {
                    progress.step = RunStep::Starting;
                    calls.push((
                        number,
                        RunCall::Start {
                            backend: backend.clone(),
                            fence,
                            run: *run,
                            text: text.clone(),
                            saved: progress.order.saved.clone(),
                            lease_until_ms: life.lease_until_ms,
                        },
                    ));
                }
                _ => {}
            }
        }
        let has_orders = life.orders_index > 0;
        let strays = life.running.keys();
        let strays: Vec<_> = strays
            .filter(|run| has_orders && !life.runs.contains_key(run))
            .filter(|run| !life.strays.contains(run))
            .copied()
            .collect();
        for run in strays {
            life.strays.insert(run);
            calls.push((
                number,
                RunCall::Stop {
                    backend: backend.clone(),
                    fence,
                    run,
                },
            ));
        }
    }

    /// Takes the answer to a call.
    pub fn take_answer(&mut self, number: u64, call: &RunCall, answer: RunAnswer, now_ms: u64) {
        let is_current = self.backend() == Some(call.backend());
        let is_candidate = self.candidate.as_ref().map(|c| &c.backend) == Some(call.backend());
        match call {
            RunCall::Renew { wait, .. } if is_current => {
                match *wait {
                    DurationMs(0) if self.renewing_list => self.renewing_list = false,
                    _ => self.waiting_list = false,
                }
                self.take_list(number, call, answer, now_ms);
            }
            RunCall::Renew { .. } if is_candidate => {
                self.checking = false;
                self.take_candidate(number, answer, now_ms);
            }
            RunCall::Renew { .. } => self.checking = false,
            _ if !is_current => {}
            RunCall::Start { run, .. } => self.take_start(*run, answer, now_ms),
            RunCall::Stop { run, .. } => self.take_stop(*run, answer, now_ms),
        }
    }

    fn take_candidate(&mut self, number: u64, answer: RunAnswer, now_ms: u64) {
        let Some(candidate) = self.candidate.take() else {
            return;
        };
        let (clock_ms, list) = match answer {
            RunAnswer::Done { clock_ms, list } => (clock_ms, list),
            // It is there, and has heard a leader that this life of the agent has not heard yet.
            RunAnswer::Refused(RunRefusal::OldFence) => {
                self.candidate = Some(candidate);
                self.list_not_before_ms = now_ms + RETRY_MS;
                return;
            }
            // It announces itself again if it is there.
            _ => return,
        };
        if let Some(older) = self.life.take() {
            self.note_ended(older.notice.backend);
        }
        self.waiting_list = false;
        self.renewing_list = false;
        self.list_not_before_ms = now_ms;
        self.texts.clear();
        self.news = true;
        self.life = Some(BackendIncarnation {
            notice: candidate,
            clock: (clock_ms, now_ms),
            lease_until_ms: 0,
            told_until_ms: 0,
            orders_index: 0,
            ends_seen: 0,
            ends: BTreeMap::new(),
            running: BTreeMap::new(),
            listed_ms: now_ms,
            runs: BTreeMap::new(),
            strays: BTreeSet::new(),
            has_list: false,
            farewell_ms: None,
            wants_profile: true,
        });
        if let Some(list) = list {
            self.note_list(number, list, now_ms);
        }
    }

    fn take_list(&mut self, number: u64, call: &RunCall, answer: RunAnswer, now_ms: u64) {
        let Some(life) = &mut self.life else {
            return;
        };
        match answer {
            RunAnswer::Done { clock_ms, list } => {
                if latest_clock(life.clock, now_ms) < clock_ms {
                    life.clock = (clock_ms, now_ms);
                }
                let is_over = |since| now_ms >= since + FAREWELL_MS;
                life.farewell_ms = life.farewell_ms.filter(|since| !is_over(*since));
                if let Some(list) = list {
                    self.note_list(number, list, now_ms);
                }
                if self.life.as_ref().is_some_and(|l| !l.ends.is_empty()) {
                    self.list_not_before_ms = now_ms + UNSEEN_ENDS_MS;
                }
            }
            RunAnswer::OtherLife => self.end_life(),
            RunAnswer::NoAnswer if life.farewell_ms.is_some() => self.end_life(),
            RunAnswer::NoAnswer | RunAnswer::Refused(_) => {
                // What the call told of the lease may not have arrived.
                if let RunCall::Renew { lease_until_ms, .. } = call
                    && lease_until_ms.is_some()
                {
                    life.told_until_ms = 0;
                }
                self.list_not_before_ms = now_ms + RETRY_MS;
            }
        }
    }

    fn note_list(&mut self, number: u64, list: RunList, now_ms: u64) {
        let Some(life) = &mut self.life else {
            return;
        };
        life.has_list = true;
        for end in list.ended {
            if end.number > life.ends_seen && life.ends.insert(end.number, end).is_none() {
                self.news = true;
            }
        }
        let running = list.running.into_iter();
        life.running = running.map(|listed| (listed.run, listed)).collect();
        life.listed_ms = now_ms;
        let listed = &life.running;
        life.strays.retain(|run| listed.contains_key(run));
        let ended: BTreeSet<_> = life.ends.values().map(|end| end.run).collect();
        for (run, progress) in &mut life.runs {
            let is_there = life.running.contains_key(run) || ended.contains(run);
            match progress.step {
                _ if is_there => {}
                RunStep::Sealed { from_list, .. } if number >= from_list => {
                    progress.step = RunStep::Unstarted;
                    progress.given_up.get_or_insert("stopped before its start");
                    self.news = true;
                }
                RunStep::Begun { from_list } if number >= from_list => {
                    progress.given_up.get_or_insert("the run is not listed");
                    progress.step = RunStep::Idle {
                        not_before_ms: now_ms,
                    };
                }
                _ => {}
            }
        }
    }

    fn take_start(&mut self, run: RunKey, answer: RunAnswer, now_ms: u64) {
        let from_list = self.lists + 1;
        let Some(life) = &mut self.life else {
            return;
        };
        let Some(progress) = life.runs.get_mut(&run) else {
            return;
        };
        let again = RunStep::Idle {
            not_before_ms: now_ms + RETRY_MS,
        };
        match answer {
            RunAnswer::Done { .. } => {
                progress.step = RunStep::Begun { from_list };
                progress.refusals = 0;
            }
            RunAnswer::Refused(RunRefusal::OldFence | RunRefusal::LateLease)
            | RunAnswer::NoAnswer => progress.step = again,
            RunAnswer::Refused(RunRefusal::OldRun) => {
                // Its end is listed; if it is not, the run was sealed by a stop.
                progress.step = RunStep::Begun { from_list };
            }
            RunAnswer::Refused(RunRefusal::Unhealthy) if progress.refusals < MAX_REFUSALS => {
                progress.refusals += 1;
                progress.step = again;
            }
            RunAnswer::Refused(refusal) => {
                progress.given_up = Some(match refusal {
                    RunRefusal::NoRoom => "the backend server has no room",
                    RunRefusal::Unhealthy => "the backend server is not well",
                    _ => "the backend server refuses it",
                });
                progress.step = RunStep::Idle {
                    not_before_ms: now_ms,
                };
            }
            RunAnswer::OtherLife => self.end_life(),
        }
    }

    fn take_stop(&mut self, run: RunKey, answer: RunAnswer, now_ms: u64) {
        let from_list = self.lists + 1;
        let Some(life) = &mut self.life else {
            return;
        };
        let done = matches!(answer, RunAnswer::Done { .. })
            || answer == RunAnswer::Refused(RunRefusal::OldRun);
        match (life.runs.get_mut(&run), &answer) {
            (_, RunAnswer::OtherLife) => self.end_life(),
            (Some(progress), _) if done => {
                progress.step = RunStep::Sealed {
                    from_list,
                    again_ms: now_ms + STOP_AGAIN_MS,
                };
                // The proof needs a list that is asked for after the stop.
                self.renew_soon();
            }
            (Some(progress), _) => {
                progress.step = RunStep::Idle {
                    not_before_ms: now_ms + RETRY_MS,
                };
            }
            (None, _) if !done => {
                life.strays.remove(&run);
            }
            (None, _) => {}
        }
    }

    /// Lets another list be asked for beside the one that waits.
    fn renew_soon(&mut self) {
        if let Some(life) = &mut self.life {
            life.told_until_ms = 0;
        }
    }

    fn end_life(&mut self) {
        if let Some(life) = self.life.take() {
            self.note_ended(life.notice.backend);
        }
        self.waiting_list = false;
        self.renewing_list = false;
        self.texts.clear();
        self.news = true;
    }

    fn note_ended(&mut self, backend: BackendId) {
        if self.ended.len() >= MAX_ENDED_LIVES {
            self.ended.remove(0);
        }
        self.ended.push(backend);
    }

    /// Returns whether something happened that the leader does not know of.
    pub fn has_news(&self) -> bool {
        self.news
    }

    /// Makes the next report.
    pub fn report(&mut self, hold: DurationMs, now_ms: u64) -> FlowReport {
        self.news = false;
        self.sequence += 1;
        FlowReport {
            instance: self.instance.clone(),
            sequence: self.sequence,
            backend: self
                .life
                .as_ref()
                .map(|life| backend_report(life, &self.texts, now_ms)),
            ended: match self.life {
                Some(_) => Vec::new(),
                None => self.ended.clone(),
            },
            hold,
            known_fence: self.fence,
            known_group: self.known_group,
        }
    }
}
