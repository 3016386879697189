//! The agent's state for its backend server and its orders, and the reports made from it.

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
    StatusReport, //
    backend_incarnation::{
        BackendIncarnation,
        backend_report, //
    },
    candidate_calls::Candidate,
    completion_trial::CompletionTrial,
    contact_backoff::ContactBackoff,
    open_acks::OpenAcks,
    run_progress::RunProgress,
};

/// The maximum number of ended incarnations that are kept and reported until a new one is current.
const MAX_ENDED_INCARNATIONS: usize = 4;

/// The intervals of a run table.
#[derive(Debug, Clone, Copy)]
pub struct RunnerTiming {
    /// The maximum time that the backend server may wait for a completion before it answers a renewal.
    pub list_wait: DurationMs,
}

/// The agent's state for its backend server and its orders.
#[derive(Debug)]
pub struct RunTable {
    pub(crate) instance: InstanceName,
    pub(crate) timing: RunnerTiming,
    pub(crate) incarnation: Option<BackendIncarnation>,
    /// An incarnation that has announced itself and is not current yet.
    pub(crate) candidate: Option<Candidate>,
    /// The report of another incarnation that arrived during the barrier of the candidate.
    pub(crate) next_candidate: Option<StatusReport>,
    /// The runs that may have been started on ended incarnations, each with the time of its last start,
    /// in milliseconds.
    pub(crate) ended_starts: Vec<(BackendId, BTreeMap<RunKey, u64>)>,
    /// The acknowledgements that may still be carried out.
    pub(crate) open_acks: OpenAcks,
    pub(crate) backoff: ContactBackoff,
    /// The ended incarnations that are reported until a new one is current.
    pub(crate) ended_incarnations: Vec<BackendId>,
    /// The texts of the flows of the ordered runs.
    pub(crate) texts: FastMap<FlowId, String>,
    /// The highest term that the leader's orders carried.
    pub(crate) fence: u64,
    /// The number of the last report.
    pub(crate) sequence: u64,
    /// The digest of the control group that the leader last sent.
    pub(crate) known_group: u64,
    /// The number of the newest list that was requested.
    pub(crate) last_list: u64,
    /// Whether a renewal that may wait for a completion is in flight.
    pub(crate) is_waiting_renewal_open: bool,
    /// Whether a second renewal, which is answered at once, is in flight beside the waiting one.
    pub(crate) is_immediate_renewal_open: bool,
    /// The number of the list call to the candidate that is in flight.
    pub(crate) candidate_call: Option<u64>,
    /// The agent's time before which no renewal that may wait and no call to the candidate is made, in
    /// milliseconds.
    pub(crate) renew_not_before_ms: u64,
    /// Whether something has changed since the last report.
    pub(crate) has_changes: bool,
}

impl RunTable {
    /// Creates the table of an agent that has not had contact with its backend server yet.
    pub fn new(instance: InstanceName, timing: RunnerTiming) -> Self {
        Self {
            backoff: ContactBackoff::new(&instance),
            instance,
            timing,
            incarnation: None,
            candidate: None,
            next_candidate: None,
            ended_starts: Vec::new(),
            open_acks: OpenAcks::default(),
            ended_incarnations: Vec::new(),
            texts: FastMap::default(),
            fence: 0,
            sequence: 0,
            known_group: 0,
            last_list: 0,
            is_waiting_renewal_open: false,
            is_immediate_renewal_open: false,
            candidate_call: None,
            renew_not_before_ms: 0,
            has_changes: true,
        }
    }

    /// Returns the time for which the backend server is still cold, by its newest status report.
    pub(crate) fn cold_remaining(&self) -> DurationMs {
        let incarnation = self.incarnation.as_ref();
        incarnation.map_or(DurationMs(0), |incarnation| {
            incarnation.report.cold_remaining
        })
    }

    /// Returns the trial of the current incarnation, and the number up to which its completions may be deleted
    /// before they are listed.
    pub(crate) fn completion_trial(&self) -> Option<(CompletionTrial, u64)> {
        let incarnation = self.incarnation.as_ref()?;
        Some((incarnation.completion_trial, incarnation.hidden_until))
    }

    /// Returns the current incarnation of the backend server.
    pub fn backend(&self) -> Option<&BackendId> {
        self.incarnation
            .as_ref()
            .map(|incarnation| &incarnation.report.backend)
    }

    /// Applies a backend server's report on itself.
    ///
    /// A report of another incarnation makes that one the candidate, which has to answer a call before
    /// it replaces the current one. Returns whether the report is usable: one that names the current
    /// incarnation with another service comes from another writer and changes nothing.
    pub fn apply_status_report(&mut self, report: StatusReport) -> bool {
        match &mut self.incarnation {
            Some(incarnation) if incarnation.report.backend == report.backend => {
                // Before the leader has accepted the incarnation, the known service may be wrong too.
                let is_accepted = incarnation.lease_until_ms > 0;
                if is_accepted && report.profile.service != incarnation.report.profile.service {
                    return false;
                }
                if report.sequence <= incarnation.report.sequence {
                    return true;
                }
                if self.backoff.has_failed() {
                    // The backend server is up again.
                    self.renew_not_before_ms = 0;
                }
                let starts_draining =
                    report.draining.is_some() && incarnation.report.draining.is_none();
                let changed = report.profile != incarnation.report.profile;
                incarnation.wants_profile |= changed;
                self.has_changes |= starts_draining || changed;
                // Draining is final for an incarnation.
                let draining = report.draining.or(incarnation.report.draining);
                incarnation.report = StatusReport { draining, ..report };
            }
            _ if self.ended_incarnations.contains(&report.backend) => {}
            _ => self.propose_candidate(report),
        }
        true
    }

    /// Records that the current incarnation with the name of `backend` has announced its shutdown.
    pub fn record_shutdown_notice(&mut self, backend: &BackendId, now_ms: u64) {
        if let Some(incarnation) = &mut self.incarnation
            && incarnation.report.backend.shares_name(backend)
        {
            incarnation.shutdown_notice_ms.get_or_insert(now_ms);
        }
    }

    /// Records that completions of an incarnation up to a number may be deleted before they are listed, by the leader's
    /// record.
    pub fn doubt_completions(&mut self, backend: Option<&BackendId>, hidden_until: u64) {
        let incarnation = self.incarnation.as_mut();
        let incarnation = incarnation.filter(|i| Some(&i.report.backend) == backend);
        if let Some(incarnation) = incarnation {
            incarnation.doubt_completions(hidden_until);
        }
    }

    /// Applies the leader's orders.
    ///
    /// Orders for another incarnation update only the term and the digest of the control group.
    pub fn apply_orders(&mut self, orders: FlowOrders) {
        self.fence = self.fence.max(orders.fence);
        if let Some(group) = &orders.group {
            self.known_group = group.digest;
        }
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        if orders.backend.as_ref() != Some(&incarnation.report.backend) {
            return;
        }
        if orders.wants_profile && !incarnation.wants_profile {
            incarnation.wants_profile = true;
            self.has_changes = true;
        }
        if orders.lease_until_ms.is_some() && !orders.wants_profile {
            incarnation.wants_profile = false;
        }
        let lease_until_ms = orders.lease_until_ms.unwrap_or(0);
        incarnation.lease_until_ms = incarnation.lease_until_ms.max(lease_until_ms);
        if orders.ends_seen > incarnation.ends_seen {
            // Once the backend server has forgotten the acknowledged completions, a renewal waits for
            // new ones again.
            self.renew_not_before_ms = 0;
            incarnation.ends_seen = orders.ends_seen;
        }
        let acknowledged = incarnation.ends_seen;
        incarnation
            .completions
            .retain(|number, _| *number > acknowledged);
        self.texts.extend(orders.texts);
        if let Some(runs) = orders.runs
            && orders.index >= incarnation.orders_index
        {
            incarnation.orders_index = orders.index;
            let mut previous_runs = std::mem::take(&mut incarnation.runs);
            for order in runs {
                let mut progress = previous_runs
                    .remove(&order.run)
                    .unwrap_or_else(|| RunProgress::new(order.clone()));
                progress.order = order;
                incarnation.runs.insert(progress.order.run, progress);
            }
            let flows: BTreeSet<_> = incarnation.runs.keys().map(|run| run.task.flow).collect();
            self.texts.retain(|flow, _| flows.contains(flow));
        }
    }

    /// Ends the current incarnation without a successor.
    pub(crate) fn end_incarnation(&mut self) {
        if let Some(incarnation) = self.incarnation.take() {
            let starts = incarnation.possible_starts();
            let backend = incarnation.report.backend;
            if !starts.is_empty() {
                self.ended_starts.push((backend.clone(), starts));
            }
            if self.ended_starts.len() > MAX_ENDED_INCARNATIONS {
                self.ended_starts.remove(0);
            }
            self.record_ended_incarnation(backend);
        }
        self.is_waiting_renewal_open = false;
        self.is_immediate_renewal_open = false;
        self.texts.clear();
        self.has_changes = true;
    }

    /// Adds an ended incarnation to those reported, and drops the oldest beyond the maximum.
    pub(crate) fn record_ended_incarnation(&mut self, backend: BackendId) {
        if self.ended_incarnations.len() >= MAX_ENDED_INCARNATIONS {
            self.ended_incarnations.remove(0);
        }
        self.ended_incarnations.push(backend);
    }

    /// Returns whether a run is among the newest orders.
    pub fn is_ordered(&self, run: &RunKey) -> bool {
        let incarnation = self.incarnation.as_ref();
        incarnation.is_some_and(|incarnation| incarnation.runs.contains_key(run))
    }

    /// Returns whether something has changed since the last report.
    pub fn has_unreported_changes(&self) -> bool {
        self.has_changes
    }

    /// Returns the ended incarnations to report.
    ///
    /// Beside a current incarnation, these are the ones with its name until the leader has accepted it:
    /// it has passed the barrier of stops for them. If an acknowledgement for them may have reached it, none is
    /// reported, so that the leader records the doubt, which outlives this agent.
    fn reported_ends(&self) -> Vec<BackendId> {
        let ended = self.ended_incarnations.iter();
        let ended = ended.filter(|id| match &self.incarnation {
            Some(current) if current.is_replaced || !current.is_beyond_doubt => false,
            Some(current) => current.lease_until_ms == 0 && id.shares_name(&current.report.backend),
            None => true,
        });
        ended.cloned().collect()
    }

    /// Builds the next report to the leader, which may wait for `hold` before it replies.
    pub fn report(&mut self, hold: DurationMs, now_ms: u64) -> FlowReport {
        self.has_changes = false;
        self.sequence += 1;
        FlowReport {
            instance: self.instance.clone(),
            sequence: self.sequence,
            backend: self
                .incarnation
                .as_ref()
                .filter(|incarnation| !incarnation.is_replaced)
                .map(|incarnation| backend_report(incarnation, &self.texts, now_ms)),
            ended: self.reported_ends(),
            hold,
            known_fence: self.fence,
            known_group: self.known_group,
        }
    }
}
