//! The calls that a leader answers.

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
    leader_desk::{
        ProposalOwner,
        ReplySender,
        outcome_reply, //
    },
    member_desk,
    replica_task::ReplicaTask,
    views::{
        job_counts,
        job_list,
        policy_view,
        worker_list, //
    },
};

/// The longest time that a caller may have its reply held back, in milliseconds.
const MAX_WAIT_MS: u64 = 30_000;

impl ReplicaTask {
    pub(crate) fn take_control(&mut self, call: ControlCall, reply: ReplySender) {
        if self.desk.is_none() || !self.core.can_serve() {
            let _ = reply.send(Err(self.not_leader()));
            return;
        }
        match call {
            ControlCall::Submit {
                customer,
                key,
                spec,
            } => self.submit((customer, key), spec, reply),
            ControlCall::Cancel { customer, job } => {
                self.propose_for(LedgerChange::Cancel { customer, job }, reply);
            }
            ControlCall::ChangeTemplate(change) => {
                self.propose_for(LedgerChange::ChangeTemplate(change), reply);
            }
            ControlCall::ReadRevision { entry, known } => {
                let now_ms = self.clock.now_ms();
                if let Some(desk) = &mut self.desk {
                    desk.rollout.hear(entry, known, now_ms);
                }
                let _ = reply.send(Ok(ControlReply::Revision(self.ledger.revision)));
            }
            ControlCall::DrainWorker(change) => {
                self.propose_for(LedgerChange::DrainWorker(change), reply);
            }
            ControlCall::AddReplica(replica) => {
                let change = member_desk::adding(&self.core, replica);
                self.change_members(change, reply);
            }
            ControlCall::RemoveReplica(replica) => {
                let change = member_desk::removing(&self.core, replica);
                self.change_members(change, reply);
            }
            ControlCall::Relay(report) => self.take_relay(report, reply),
            ControlCall::Flow(call) => self.take_flow(*call, reply),
            ControlCall::ReadJob {
                customer,
                job,
                wait,
            } => {
                let until_ms = self.clock.now_ms() + wait.0.min(MAX_WAIT_MS);
                if let Some(desk) = &mut self.desk {
                    desk.wait_for_job(customer, job, until_ms, reply);
                }
            }
            read => {
                let _ = reply.send(self.read(&read));
            }
        }
    }

    /// Answers a submission from the ledger if it can, and proposes it otherwise.
    ///
    /// A submission whose key is being proposed is proposed too: the log then orders the two, so that
    /// the second is not refused while the first is accepted.
    fn submit(&mut self, name: (CustomerName, RequestKey), spec: JobSpec, reply: ReplySender) {
        let in_flight = self.desk.as_ref().is_some_and(|d| d.is_submitting(&name));
        let known = match in_flight {
            true => None,
            false => self.ledger.preview_submit(&name.0, &name.1, &spec),
        };
        if let Some(outcome) = known {
            let _ = reply.send(outcome_reply(&outcome));
            return;
        }
        let (customer, key) = name.clone();
        let change = LedgerChange::Submit {
            customer,
            key,
            spec,
        };
        if let Err((error, ProposalOwner::Submission(_, reply))) =
            self.propose(change, ProposalOwner::Submission(name, reply))
        {
            let _ = reply.send(Err(error));
        }
    }

    fn propose_for(&mut self, change: LedgerChange, reply: ReplySender) {
        if let Err((error, ProposalOwner::Caller(reply))) =
            self.propose(change, ProposalOwner::Caller(reply))
        {
            let _ = reply.send(Err(error));
        }
    }

    fn change_members(&mut self, change: Result<MemberChange, MemberError>, reply: ReplySender) {
        let proposed = change.and_then(|change| self.core.propose_member_change(&change));
        match (proposed, &mut self.desk) {
            (Ok(index), Some(desk)) => {
                desk.expect(index, self.core.term(), ProposalOwner::Caller(reply));
            }
            (Err(MemberError::NotLeader), _) | (Ok(_), None) => {
                let _ = reply.send(Err(self.not_leader()));
            }
            (Err(reason), _) => {
                let _ = reply.send(Err(CallError::MemberRefused { reason }));
            }
        }
    }

    fn read(&self, call: &ControlCall) -> Result<ControlReply, CallError> {
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
                let members = member_desk::members_view(&self.core);
                Ok(ControlReply::Replicas(members))
            }
            ControlCall::ExplainJob { customer, job } => {
                let now = self.clock.wall();
                let explanation = self.ledger.explain(customer.as_ref(), *job, now);
                let reason = RefusalReason::UnknownJob;
                explanation
                    .map(ControlReply::Explanation)
                    .ok_or(CallError::Refused { reason })
            }
            ControlCall::CheckTemplate(change) => {
                let effect = self.ledger.template_effect(change, self.clock.wall());
                Ok(ControlReply::Effect(effect))
            }
            ControlCall::ReadPolicy => Ok(ControlReply::Policy(policy_view(&self.ledger))),
            ControlCall::ReadStatus => Ok(ControlReply::Status(self.status())),
            _ => Err(CallError::NotServing),
        }
    }

    /// Returns how far each replica's log agrees with this leader's.
    fn matched(&self) -> impl Iterator<Item = (ReplicaId, LogIndex)> {
        let own = (self.core.id(), self.core.last_index());
        let followers = self.core.followers().into_iter();
        followers
            .chain([own])
            .map(|(id, index)| (id.replica, index))
    }

    fn rollout(&self) -> Result<ControlReply, CallError> {
        let desk = self.desk.as_ref().ok_or(CallError::NotServing)?;
        let view = desk.rollout.view(self.matched(), self.clock.now_ms());
        Ok(ControlReply::Rollout(view))
    }

    fn status(&self) -> StatusView {
        let members = member_desk::members_view(&self.core).members;
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

/// Makes the reply that shows a job.
pub(crate) fn job_reply(view: Option<JobView>) -> Result<ControlReply, CallError> {
    let reason = RefusalReason::UnknownJob;
    view.map(ControlReply::Job)
        .ok_or(CallError::Refused { reason })
}
