//! Calls of entries and operators, which the leader answers.

use roseridge_ledger::{
    LedgerChange,
    RefusalReason, //
};
use roseridge_model::{
    CustomerName,
    JobSpec,
    RequestKey, //
};
use roseridge_quorum::{
    LogIndex,
    MemberChange,
    MemberError,
    ReplicaId, //
};
use roseridge_wire::{
    CallError,
    ControlCall,
    ControlReply,
    JobView,
    MemberState,
    ReplicaView,
    StatusView, //
};

use crate::{
    leader_controller::{
        ProposalOwner,
        ReplySender,
        outcome_reply, //
    },
    membership,
    replica_task::ReplicaTask,
    state_size::encoded_bytes, //
    views::{
        job_counts,
        job_list,
        policy_view,
        worker_list, //
    },
};

/// Maximum time for which a reply is held back until a job ends, in milliseconds.
const MAX_WAIT_MS: u64 = 30_000;

impl ReplicaTask {
    /// Answers a call, or proposes the change that it requests.
    ///
    /// Refuses every call unless this replica certainly leads.
    pub(crate) fn handle_control_call(&mut self, call: ControlCall, reply: ReplySender) {
        if self.controller.is_none() || !self.core.can_serve() {
            let _ = reply.send(Err(self.not_leader_error()));
            return;
        }
        match call {
            ControlCall::Submit {
                customer,
                key,
                spec,
            } => self.submit((customer, key), spec, reply),
            ControlCall::Cancel { customer, job } => {
                self.propose_for_caller(LedgerChange::Cancel { customer, job }, reply);
            }
            ControlCall::ChangeTemplate(change)
                if !self.reserve_state(encoded_bytes(&change), self.config.state.change_bytes) =>
            {
                let _ = reply.send(Err(CallError::Overloaded));
            }
            ControlCall::ChangeTemplate(change) => {
                self.propose_for_caller(LedgerChange::ChangeTemplate(change), reply);
            }
            ControlCall::ReadRevision { entry, known } => {
                let now_ms = self.clock.now_ms();
                if let Some(controller) = &mut self.controller {
                    controller.rollout.record_entry(entry, known, now_ms);
                }
                let _ = reply.send(Ok(ControlReply::Revision(self.ledger.revision)));
            }
            ControlCall::DrainWorker(change) => {
                self.propose_for_caller(LedgerChange::DrainWorker(change), reply);
            }
            ControlCall::AddReplica(replica) => {
                let change = membership::change_to_add(&self.core, replica);
                self.change_members(change, reply);
            }
            ControlCall::RemoveReplica(replica) => {
                let change = membership::change_to_remove(&self.core, replica);
                self.change_members(change, reply);
            }
            ControlCall::Relay(report) => self.handle_relay_report(report, reply),
            ControlCall::Flow(call) => self.handle_flow_call(*call, reply),
            ControlCall::ReadJob {
                customer,
                job,
                wait,
            } => {
                let until_ms = self.clock.now_ms() + wait.0.min(MAX_WAIT_MS);
                if let Some(controller) = &mut self.controller {
                    controller.wait_for_job(customer, job, until_ms, reply);
                }
            }
            read => {
                let _ = reply.send(self.answer_read(&read));
            }
        }
    }

    /// Answers a submission from the ledger if its outcome is known, and proposes it otherwise.
    ///
    /// If a submission with the same key is not committed yet, this one is proposed too. The log
    /// then orders the two, so the second is not refused while the first is accepted.
    fn submit(
        &mut self,
        submission_key: (CustomerName, RequestKey),
        spec: JobSpec,
        reply: ReplySender,
    ) {
        let is_pending = self
            .controller
            .as_ref()
            .is_some_and(|c| c.is_submitting(&submission_key));
        let known = match is_pending {
            true => None,
            false => self
                .ledger
                .preview_submit(&submission_key.0, &submission_key.1, &spec),
        };
        if let Some(outcome) = known {
            let _ = reply.send(outcome_reply(&outcome));
            return;
        }
        let bytes = encoded_bytes(&spec);
        if !is_pending && !self.reserve_state(bytes, self.config.state.submission_bytes) {
            let reason = RefusalReason::StoreFull;
            let _ = reply.send(Err(CallError::Refused { reason }));
            return;
        }
        let (customer, key) = submission_key.clone();
        let change = LedgerChange::Submit {
            customer,
            key,
            spec,
        };
        if let Err((error, ProposalOwner::Submission(_, reply))) =
            self.propose(change, ProposalOwner::Submission(submission_key, reply))
        {
            let _ = reply.send(Err(error));
        }
    }

    /// Proposes a change whose outcome is the reply to the caller.
    fn propose_for_caller(&mut self, change: LedgerChange, reply: ReplySender) {
        if let Err((error, ProposalOwner::Caller(reply))) =
            self.propose(change, ProposalOwner::Caller(reply))
        {
            let _ = reply.send(Err(error));
        }
    }

    /// Proposes a change of the control group's members.
    fn change_members(&mut self, change: Result<MemberChange, MemberError>, reply: ReplySender) {
        let proposed = change.and_then(|change| self.core.propose_member_change(&change));
        match (proposed, &mut self.controller) {
            (Ok(index), Some(controller)) => {
                controller.track_proposal(index, self.core.term(), ProposalOwner::Caller(reply));
            }
            (Err(MemberError::NotLeader), _) | (Ok(_), None) => {
                let _ = reply.send(Err(self.not_leader_error()));
            }
            (Err(reason), _) => {
                let _ = reply.send(Err(CallError::MemberRefused { reason }));
            }
        }
    }

    /// Answers a call that only reads.
    fn answer_read(&self, call: &ControlCall) -> Result<ControlReply, CallError> {
        match call {
            ControlCall::ListJobs { customer, limit } => {
                let jobs = job_list(&self.ledger, customer.as_ref(), *limit as usize);
                Ok(ControlReply::Jobs(jobs))
            }
            ControlCall::ReadRollout => self.rollout(),
            ControlCall::ReadTemplates => Ok(ControlReply::Templates {
                revision: self.ledger.revision,
                templates: self.ledger.templates.values().cloned().collect(),
            }),
            ControlCall::ListWorkers => Ok(ControlReply::Workers(worker_list(&self.ledger))),
            ControlCall::ListReplicas => {
                let members = membership::members_view(&self.core);
                Ok(ControlReply::Replicas(members))
            }
            ControlCall::ExplainJob { customer, job } => {
                let now = self.clock.wall_time();
                let explanation = self.ledger.explain(customer.as_ref(), *job, now);
                let reason = RefusalReason::UnknownJob;
                explanation
                    .map(ControlReply::Explanation)
                    .ok_or(CallError::Refused { reason })
            }
            ControlCall::CheckTemplate(change) => {
                let effect = self.ledger.template_effect(change, self.clock.wall_time());
                Ok(ControlReply::Effect(effect))
            }
            ControlCall::ReadPolicy => Ok(ControlReply::Policy(policy_view(&self.ledger))),
            ControlCall::ReadStatus => Ok(ControlReply::Status(self.status())),
            _ => Err(CallError::NotServing),
        }
    }

    /// Returns the last log index of each replica that is known to match the leader's log.
    fn replication_progress(&self) -> impl Iterator<Item = (ReplicaId, LogIndex)> {
        let own = (self.core.id(), self.core.last_index());
        let followers = self.core.followers().into_iter();
        followers
            .chain([own])
            .map(|(id, index)| (id.replica, index))
    }

    /// Returns the revisions that replicas, entries and agents have.
    fn rollout(&self) -> Result<ControlReply, CallError> {
        let controller = self.controller.as_ref().ok_or(CallError::NotServing)?;
        let view = controller
            .rollout
            .view(self.replication_progress(), self.clock.now_ms());
        Ok(ControlReply::Rollout(view))
    }

    /// Returns the status of the cluster.
    fn status(&self) -> StatusView {
        let members = membership::members_view(&self.core).members;
        let members = members
            .into_iter()
            .filter(|m| m.state != MemberState::Joining);
        let replicas = members.map(|member| ReplicaView {
            replica: member.replica,
            address: member.address,
            matched: member.matched,
        });
        let (waiting, placed) = job_counts(&self.ledger);
        let workers = self.ledger.workers.iter();
        StatusView {
            leader: self.core.id().replica.0,
            term: self.core.term().0,
            commit: self.core.commit_index().0,
            revision: self.ledger.revision,
            replicas: replicas.collect(),
            workers: workers.map(|(name, w)| (name.clone(), w.live)).collect(),
            waiting,
            placed,
        }
    }
}

/// Converts the view of a job to a reply. Without a view, the job is unknown to the caller.
pub(crate) fn job_reply(view: Option<JobView>) -> Result<ControlReply, CallError> {
    let reason = RefusalReason::UnknownJob;
    view.map(ControlReply::Job)
        .ok_or(CallError::Refused { reason })
}
