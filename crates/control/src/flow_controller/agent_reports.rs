//! Reports of agents: contacts, progress, and the changes that the leader proposes for them.

use roseridge_dispatch::{
    ProgressRate,
    ProgressReading, //
};
use roseridge_events::{
    self as events,
    event, //
};
use roseridge_flow::{
    BackendStatus,
    FlowChange,
    FlowState, //
};
use roseridge_model::{
    BackendId,
    DurationMs,
    UnixMillis, //
};
use roseridge_wire::{
    BackendReport,
    FlowReport, //
};

use super::{
    AgentContact,
    FlowController,
    HeldReport,
    PendingChange,
    is_ended,
    max_lease_ms, //
};
use crate::{
    leader_controller::ReplySender,
    restart_barrier::{
        carried_completions,
        hidden_ends,
        unsettled_incarnation, //
    },
};

impl FlowController {
    /// Records a report and returns the changes to propose for it.
    ///
    /// The reply is held back until [`Self::answer_reports`] sends it. An agent waits only for the
    /// reply to its newest report, so the reply to an older report is dropped.
    pub fn handle_report(
        &mut self,
        flows: &FlowState,
        (report, cold_remaining): (FlowReport, DurationMs),
        (now, now_ms): (UnixMillis, u64),
        reply: ReplySender,
    ) -> Vec<FlowChange> {
        let mut changes = Vec::new();
        if let Some((backend, ends)) = carried_completions(flows, &report)
            && let Some(last) = ends.iter().map(|end| end.number).max()
            && self.start_proposal(PendingChange::Report(backend.clone(), last, 0), now_ms)
        {
            changes.push(FlowChange::Report {
                backend,
                ends,
                unstarted: Vec::new(),
            });
        }
        for backend in &report.ended {
            let record = flows.backends.get(backend);
            if record.is_none_or(|record| is_ended(record.status))
                || !self.start_proposal(PendingChange::Leave(backend.clone()), now_ms)
            {
                continue;
            }
            changes.extend(self.crash_change(flows, backend, now_ms));
            changes.extend(self.save_checkpoints(flows, backend));
            let backend = backend.clone();
            changes.push(FlowChange::Leave { backend });
        }
        if let Some(backend) = &report.backend {
            self.record_contact(backend, cold_remaining, now_ms);
            self.record_progress(flows, backend, now);
            if unsettled_incarnation(flows, &report).is_none() {
                changes.extend(self.changes_from_report(flows, (&report, backend), now_ms));
                changes.extend(self.resume_change(flows, &report, now_ms));
            }
        }
        self.hold_reply(report, now_ms, reply);
        changes
    }

    /// Holds back the reply to a report and drops the reply to an older report of the same
    /// instance.
    ///
    /// The same report from another route keeps its first arrival time, and all routes are
    /// answered.
    fn hold_reply(&mut self, report: FlowReport, now_ms: u64, reply: ReplySender) {
        let instance = report.instance.clone();
        let mut held_report = HeldReport {
            report,
            arrived_ms: now_ms,
            replies: vec![reply],
        };
        match self.held_reports.remove(&instance) {
            Some(known) if known.report == held_report.report => {
                held_report.arrived_ms = known.arrived_ms;
                held_report.replies.extend(known.replies);
            }
            _ => {}
        }
        self.held_reports.insert(instance, held_report);
    }

    /// Returns whether a report proves recent contact with the backend server itself, and not only with
    /// its agent.
    pub(super) fn is_backend_heard(&self, report: &BackendReport) -> bool {
        report.listed_ago.0 <= self.timing.contact_timeout_ms
    }

    /// Records contact with a backend server and the checkpoints that its report lists.
    fn record_contact(&mut self, report: &BackendReport, cold_remaining: DurationMs, now_ms: u64) {
        let is_heard = self.is_backend_heard(report);
        let running = report.running.iter();
        let checkpoints = running.filter(|r| !r.saved.is_empty());
        let checkpoints = checkpoints.map(|r| (r.run, r.saved.clone())).collect();
        let contact = self.contacts.entry(report.backend.clone());
        let contact = contact.or_insert_with(|| AgentContact::without_report(now_ms));
        let was_heard = contact.list_age_ms <= self.timing.contact_timeout_ms;
        if was_heard != is_heard {
            log_backend_contact(report, is_heard);
        }
        contact.last_contact_ms = Some(now_ms);
        contact.list_age_ms = report.listed_ago.0;
        contact.cold_until_ms = now_ms.saturating_add(cold_remaining.0);
        contact.checkpoints = checkpoints;
    }

    /// Records the reported runs and their progress.
    ///
    /// A run that was started after the list has no progress yet.
    fn record_progress(&mut self, flows: &FlowState, report: &BackendReport, now: UnixMillis) {
        let at = UnixMillis(now.0.saturating_sub(report.listed_ago.0));
        let record = flows.backends.get(&report.backend);
        for running in &report.running {
            self.started_runs.insert(running.run);
            let held = record.and_then(|record| record.runs.get(&running.run));
            if held.is_some_and(|held| at < held.placed) {
                continue;
            }
            let percent = running.percent;
            let reading = ProgressReading { percent, at };
            let rate = self.progress_rates.entry(running.run);
            rate.and_modify(|rate| rate.record(reading))
                .or_insert_with(|| ProgressRate::new(reading));
        }
    }

    /// Returns the changes to propose for a report, without those that are already proposed.
    fn changes_from_report(
        &mut self,
        flows: &FlowState,
        (agent_report, report): (&FlowReport, &BackendReport),
        now_ms: u64,
    ) -> Vec<FlowChange> {
        let backend = &report.backend;
        let record = flows.backends.get(backend);
        let mut changes = Vec::new();
        match (record, &report.profile) {
            (Some(record), _) if is_ended(record.status) => return changes,
            // A backend server that its agent can't reach neither arrives nor returns.
            (record, _)
                if !self.is_backend_heard(report) && !record.is_some_and(|r| r.has_lease()) =>
            {
                return changes;
            }
            (Some(record), profile) if record.has_lease() => {
                let changed = profile
                    .as_ref()
                    .filter(|p| **p != record.profile && p.service == record.profile.service);
                let announced = changed.map(|profile| self.announce(backend, profile, 0, now_ms));
                changes.extend(announced.flatten());
            }
            // A report with a service that the configuration doesn't name comes from another writer.
            (_, Some(profile)) if !is_service_known(flows, profile) => return changes,
            (_, Some(profile)) => {
                let hidden_ends = match record {
                    None => hidden_ends(flows, agent_report),
                    Some(_) => 0,
                };
                if let Some(announcement) = self.announce(backend, profile, hidden_ends, now_ms) {
                    self.start_lease(backend, now_ms);
                    changes.extend(self.end_earlier(flows, report, now_ms));
                    changes.push(announcement);
                }
            }
            (_, None) => return changes,
        }
        let is_ready = record.is_none_or(|r| r.status == BackendStatus::Ready);
        if let Some(remaining) = report.draining.filter(|_| is_ready)
            && self.start_proposal(PendingChange::Drain(backend.clone()), now_ms)
        {
            let backend = backend.clone();
            changes.push(FlowChange::Drain { backend, remaining });
        }
        let last_seen = record.map_or(0, |r| r.ends_seen);
        let ends: Vec<_> = report
            .ends
            .iter()
            .filter(|end| end.number > last_seen)
            .collect();
        let unstarted = report.unstarted.iter();
        let unstarted: Vec<_> = unstarted
            .filter(|u| record.is_some_and(|r| r.runs.contains_key(&u.run)))
            .collect();
        let last = ends.iter().map(|end| end.number).max().unwrap_or(0);
        let key = PendingChange::Report(backend.clone(), last, unstarted.len());
        if (!ends.is_empty() || !unstarted.is_empty()) && self.start_proposal(key, now_ms) {
            changes.push(FlowChange::Report {
                backend: backend.clone(),
                ends: ends.into_iter().cloned().collect(),
                unstarted: unstarted.into_iter().cloned().collect(),
            });
        }
        changes
    }

    /// Returns the change that ends the draining of a backend server that was reported as draining only while it
    /// might carry out acknowledgements for an earlier incarnation, as agents of an earlier version do.
    ///
    /// Only an agent that reports the earlier incarnation as ended knows when that is over; one that was
    /// restarted doesn't.
    fn resume_change(
        &mut self,
        flows: &FlowState,
        report: &FlowReport,
        now_ms: u64,
    ) -> Option<FlowChange> {
        let later = report.backend.as_ref()?;
        let backend = &later.backend;
        let record = flows.backends.get(backend)?;
        let is_draining = matches!(record.status, BackendStatus::Draining { .. });
        let mut earlier = report.ended.iter().filter(|id| id.shares_name(backend));
        let may_resume = is_draining && later.draining.is_none() && earlier.next().is_some();
        let is_new =
            may_resume && self.start_proposal(PendingChange::Resume(backend.clone()), now_ms);
        is_new.then(|| FlowChange::Resume {
            backend: backend.clone(),
        })
    }

    /// Returns the change that stores the reported checkpoints of the runs on a backend server whose
    /// incarnation has ended, if there are any.
    ///
    /// [`FlowChange::Leave`] carries none, so the backend server is declared lost before it.
    fn save_checkpoints(&self, flows: &FlowState, backend: &BackendId) -> Option<FlowChange> {
        let record = flows.backends.get(backend)?;
        let contact = self.contacts.get(backend)?;
        let saved: Vec<_> = contact
            .checkpoints
            .iter()
            .filter(|(run, _)| record.runs.contains_key(run))
            .map(|(run, saved)| (*run, saved.clone()))
            .collect();
        (record.has_lease() && !saved.is_empty()).then(|| FlowChange::Lose {
            backend: backend.clone(),
            saved,
        })
    }

    /// Returns the changes that end the earlier incarnations on the instance of a new one.
    fn end_earlier(
        &mut self,
        flows: &FlowState,
        report: &BackendReport,
        now_ms: u64,
    ) -> Vec<FlowChange> {
        let Some(profile) = &report.profile else {
            return Vec::new();
        };
        let earlier = flows.backends.iter().filter(|(id, record)| {
            **id != report.backend && record.profile.instance == profile.instance
        });
        let changes = earlier.flat_map(|(id, _)| {
            let crash = self.crash_change(flows, id, now_ms);
            crash.into_iter().chain(self.save_checkpoints(flows, id))
        });
        changes.collect()
    }

    /// Lets the loss of a backend server that is being announced wait for a lease of its own, also if an
    /// earlier loss was proposed a moment ago.
    fn start_lease(&mut self, backend: &BackendId, now_ms: u64) {
        self.proposals.remove(&PendingChange::Lose(backend.clone()));
        if let Some(contact) = self.contacts.get_mut(backend) {
            contact.lease_end_ms = now_ms + max_lease_ms(self.timing);
        }
    }

    /// Returns the change that announces a backend server, unless it is already proposed.
    ///
    /// `hidden_ends` is the number up to which its completions may be deleted before they are listed.
    fn announce(
        &mut self,
        backend: &BackendId,
        profile: &roseridge_flow::BackendProfile,
        hidden_ends: u64,
        now_ms: u64,
    ) -> Option<FlowChange> {
        let is_new = self.start_proposal(
            PendingChange::Announce(backend.clone(), profile.clone()),
            now_ms,
        );
        let (backend, profile) = (backend.clone(), profile.clone());
        is_new.then_some(match hidden_ends {
            0 => FlowChange::Announce { backend, profile },
            _ => FlowChange::AnnounceRestarted {
                backend,
                profile,
                hidden_ends,
            },
        })
    }
}

/// Logs that an agent has lost contact with its backend server, or has regained it.
fn log_backend_contact(report: &BackendReport, is_heard: bool) {
    let event = match is_heard {
        true => events::BACKEND_HEARD,
        false => events::BACKEND_SILENT,
    };
    event!(
        info,
        event,
        backend = report.backend,
        listed_ago_ms = report.listed_ago.0,
        running = report.running.len()
    );
}

/// Returns whether the configuration names the service of a backend server, or none is in force yet.
fn is_service_known(flows: &FlowState, profile: &roseridge_flow::BackendProfile) -> bool {
    let mut services = flows.config.iter().flat_map(|config| &config.services);
    flows.config.is_none() || services.any(|service| service.name == profile.service)
}
